"""Peer package: targets."""
