"""``boragegw serve``: one entry process."""

import asyncio

from boragegw import configuration, operations, server


def add_parser(commands):
    """Add the command."""
    parser = commands.add_parser(
        "serve",
        help="run one entry process",
        description="Run one entry process until SIGTERM; a second signal ends it "
        "at once. Logs go to standard error as JSON lines.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.set_defaults(run=run)


def run(options):
    """Run the command."""
    settings = configuration.load_settings(options.settings)
    operations.configure_logging(settings.observation.log_level, settings.entry.name)
    process = server.EntryProcess(settings)
    return asyncio.run(process.run())
