"""Runs stand-ins and entry VMs and shows what callers get."""
