"""The command-line interface, with one module for each command."""

from boragegw.cli._main import main

__all__ = ["main"]
