"""Peer package: siblings."""
