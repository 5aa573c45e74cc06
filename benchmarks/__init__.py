"""Measurements of the real code; each module is run with ``python -m``."""
