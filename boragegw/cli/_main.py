"""Parses the command line and runs the command.

Exit codes: 0 on success, 1 if the command failed, 2 for bad input, 130 on Ctrl-C.
"""

import argparse
import sys

import boragegw
from boragegw import errors
from boragegw.cli import (
    _check,
    _configure,
    _demo,
    _explain,
    _platform,
    _recall,
    _serve,
    _status,
)

EXIT_BAD_INPUT = 2
COMMAND_MODULES = (
    _configure,
    _check,
    _serve,
    _recall,
    _status,
    _explain,
    _demo,
    _platform,
)


def make_parser():
    """Return the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="boragegw",
        description="Load balancer for servers whose load shifts in milliseconds.",
    )
    parser.add_argument(
        "--version", action="version", version=f"boragegw {boragegw.__version__}"
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    for module in COMMAND_MODULES:
        module.add_parser(commands)
    return parser


def main(arguments=None):
    """Run the command in ``arguments`` and return the exit code."""
    options = make_parser().parse_args(arguments)
    try:
        return options.run(options)
    except errors.ConfigurationError as error:
        print(f"boragegw: {error.detail}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except errors.BoragegwError as error:
        print(f"boragegw: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
