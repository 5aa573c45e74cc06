"""Benchmarks; those with a command line are run with ``python -m``."""
