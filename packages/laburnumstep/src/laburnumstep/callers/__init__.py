"""Peer package: callers."""
