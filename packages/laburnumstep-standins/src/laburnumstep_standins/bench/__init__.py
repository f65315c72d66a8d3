"""The load tool, run by `make bench`."""
