"""``boragegw check``: validates settings files and configuration documents."""

import json
import pathlib

from boragegw import configuration, platform
from boragegw.configuration import _documents


def add_parser(commands):
    """Add the ``check`` command to the subparsers."""
    parser = commands.add_parser(
        "check",
        help="validate settings or configuration documents",
        description="Validate settings files, configuration documents, or folders of "
        "documents. The first error is printed in one line, with exit code 2.",
    )
    parser.add_argument("paths", nargs="+", metavar="PATH")
    parser.set_defaults(run=run)


def run(options):
    """Validate each path and print its kind."""
    for path in options.paths:
        print(f"{path}: {check(pathlib.Path(path))}")
    return 0


def check(path):
    """Validate a file or folder and return a description of its kind.

    :raises ConfigurationError: for the first error.
    """
    if path.is_dir():
        return check_folder(path)
    if platform.is_settings_file(path):
        platform.load_settings(path)
        return "settings of the users' platform"
    data = configuration.load_jsonc(path)
    if isinstance(data, dict) and "recalls" in data:
        configuration.validate_model(configuration.RecallsDocument, data, path)
        return "a recalls document"
    if isinstance(data, dict) and "accounts" in data and "services" not in data:
        configuration.validate_model(configuration.AccountsDocument, data, path)
        return "an accounts document"
    if isinstance(data, dict) and "documents" in data:
        configuration.validate_model(configuration.HeadDocument, data, path)
        return "a head document"
    if isinstance(data, dict) and "vms" in data:
        configuration.parse_vm_list(json.dumps(data).encode())
        return "a list of VMs"
    if isinstance(data, dict) and "name" in data and "entry" not in data:
        configuration.validate_model(configuration.ServiceDocument, data, path)
        return "a service document"
    configuration.load_settings(path)
    return "settings"


def check_folder(path):
    """Validate ``head.json`` and all documents of a folder as one set."""
    documents = {
        file.name.removesuffix(".json"): file.read_bytes()
        for file in sorted(path.glob("*.json"))
    }
    head = documents.pop(_documents.HEAD, b"")
    bundle = configuration.parse_bundle(head, documents)
    return f"revision {bundle.head.revision} with {len(bundle.services)} services"
