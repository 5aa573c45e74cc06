"""``boragegw platform``: the stand-in platform, to try things without a real one."""

import asyncio
import json
import pathlib

from boragegw import configuration, errors, standins

POLL = 0.2


def add_parser(commands):
    """Add the command."""
    parser = commands.add_parser(
        "platform",
        help="run a stand-in of the platform on a folder of documents",
        description="Serve a folder (head.json, its documents, vms.json) as the "
        "platform would, read and watch only. Copying a newer set into the folder "
        "publishes it. For trials, not for production.",
    )
    parser.add_argument("folder", metavar="DIR")
    parser.add_argument("--address", default="127.0.0.1:7070", metavar="IP:PORT")
    parser.set_defaults(run=run)


def run(options):
    """Run the command."""
    folder = pathlib.Path(options.folder)
    if not folder.is_dir():
        raise errors.ConfigurationError(folder, "folder", "no such folder")
    asyncio.run(_serve(folder, options.address))
    return 0


async def _serve(folder, address):
    state = standins.PublishedState()
    platform = standins.StandinPlatform(state, address)
    await platform.start()
    print(f"serving {folder} at http://{platform.address}", flush=True)
    complaint = ""
    while True:
        try:
            load_folder(state, folder)
            complaint = ""
        except errors.ConfigurationError as error:
            if error.detail != complaint:
                complaint = error.detail
                print(f"not published: {complaint}", flush=True)
        await asyncio.sleep(POLL)


def load_folder(state, folder):
    """Publish what the folder holds if it is newer and whole."""
    published = configuration.read_published(str(folder))
    if published.revision > state.revision:
        state.replace(published.revision, published.documents)
    if published.vms is not None:
        data = json.loads(published.vms)
        configuration.parse_vm_list(published.vms)
        if data["version"] > state.version:
            state.vms = {row["name"]: row for row in data["vms"]}
            state.version = data["version"] - 1
            state.bump_vms_version()
