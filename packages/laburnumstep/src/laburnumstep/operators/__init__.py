"""Peer package: operators."""
