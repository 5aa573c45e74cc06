"""``boragegw serve``: runs one entry process."""

import asyncio

from boragegw import configuration, operations, platform, server


def add_parser(commands):
    """Add the ``serve`` command to the subparsers."""
    parser = commands.add_parser(
        "serve",
        help="run one entry process",
        description="Run one entry process until SIGTERM; a second signal ends it "
        "at once. Logs go to standard error as JSON lines. With a settings file of the "
        "users' platform it runs the process of boragegw/platform/__main__.py, which "
        "starts faster, and logs go to standard output.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.set_defaults(run=run)


def run(options):
    """Run the process that the settings file describes until it stops."""
    if platform.is_settings_file(options.settings):
        return asyncio.run(platform.PlatformProcess(options.settings).run())
    settings = configuration.load_settings(options.settings)
    operations.configure_logging(settings.observation.log_level, settings.entry.name)
    process = server.EntryProcess(settings)
    return asyncio.run(process.run())
