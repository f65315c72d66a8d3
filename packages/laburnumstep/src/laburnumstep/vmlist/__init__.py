"""Peer package: vmlist."""
