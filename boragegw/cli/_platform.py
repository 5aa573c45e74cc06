"""``boragegw platform``: runs a stand-in of the platform for trials."""

import asyncio
import json
import pathlib

from boragegw import configuration, errors, standins, utils

POLL_SECONDS = 0.2

_json = utils.InputDecoder(json.loads)


def add_parser(commands):
    """Add the ``platform`` command to the subparsers."""
    parser = commands.add_parser(
        "platform",
        help="run a stand-in of the platform that serves a folder of documents",
        description="Serve a folder (head.json, its documents, vms.json) through the "
        "platform's interface, for reads and watches only. Copying a newer set into "
        "the folder publishes it. For trials, not for production.",
    )
    parser.add_argument("folder", metavar="DIR")
    parser.add_argument("--address", default="127.0.0.1:7070", metavar="IP:PORT")
    parser.set_defaults(run=run)


def run(options):
    """Serve the folder until the process is stopped."""
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
    last_error = ""
    while True:
        try:
            publish_folder(state, folder)
            last_error = ""
        except errors.ConfigurationError as error:
            if error.detail != last_error:
                last_error = error.detail
                print(f"not published: {last_error}", flush=True)
        await asyncio.sleep(POLL_SECONDS)


def publish_folder(state, folder):
    """Publish the folder's documents and VM list if they are valid and newer."""
    published = configuration.read_published(str(folder))
    if published.revision > state.revision:
        state.replace(published.revision, published.documents)
    if published.vms is not None:
        version, _ = configuration.parse_vm_list(published.vms)
        if version > state.version:
            data = _json.decode(published.vms)
            state.vms = {row["name"]: row for row in data["vms"]}
            # bump_vms_version() increments the version.
            state.version = version - 1
            state.bump_vms_version()
