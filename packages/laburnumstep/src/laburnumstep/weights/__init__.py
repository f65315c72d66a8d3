"""Peer package: weights."""
