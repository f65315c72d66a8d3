"""Load generator and benchmarks, run by `make bench`."""
