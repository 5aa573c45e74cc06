"""Runs the command-line interface with ``python -m boragegw``."""

import sys

from boragegw import cli

if __name__ == "__main__":
    sys.exit(cli.main())
