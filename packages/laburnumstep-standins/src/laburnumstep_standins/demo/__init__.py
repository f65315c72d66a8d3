"""Runs stand-ins and entry VMs and prints the results of callers."""
