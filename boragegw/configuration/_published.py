"""Reads the published configuration and writes the next revision."""

import dataclasses
import os
import pathlib
import tempfile

import httpx

from boragegw import errors
from boragegw.configuration import _documents

#: Timeout of each request to the platform.
TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class PublishedConfiguration:
    """The documents and the list of VMs that are published.

    :param revision: revision of the head; 0 if there is no head.
    :param documents: raw documents by name, without the head.
    :param vms: raw list of VMs, or ``None`` if there is none.
    """

    revision: int = 0
    documents: dict = dataclasses.field(default_factory=dict)
    vms: bytes | None = None

    def recalls(self):
        """Return the :class:`RecallsDocument`, empty if none is published."""
        raw = self.documents.get(_documents.RECALLS)
        if raw is None:
            return _documents.RecallsDocument()
        return _documents.parse_document(_documents.RECALLS, raw)

    def batches(self):
        """Return each :class:`NamedBatch` by name."""
        raw = self.documents.get(_documents.BATCHES)
        if raw is None:
            return {}
        document = _documents.parse_document(_documents.BATCHES, raw)
        return {batch.name: batch for batch in document.batches}


def read_published(place):
    """Return the :class:`PublishedConfiguration` from a folder or from the platform.

    :param place: path of a folder, or ``http://HOST:PORT`` of the platform.
    :raises ConfigurationError: if it cannot be read, or is incomplete or invalid.
    """
    if place.startswith(("http://", "https://")):
        return _read_platform(place)
    return _read_folder(pathlib.Path(place))


def _read_folder(folder):
    if not folder.is_dir():
        raise errors.ConfigurationError(folder, "folder", "no such folder")
    files = {path.stem: path for path in sorted(folder.glob("*.json"))}
    vms = files.pop("vms", None)
    head = files.pop(_documents.HEAD, None)
    published = PublishedConfiguration(vms=vms.read_bytes() if vms else None)
    if head is None:
        return published
    parsed = _documents.parse_head(head.read_bytes())
    documents = {
        name: files[name].read_bytes() for name in parsed.documents if name in files
    }
    _documents.parse_bundle(head.read_bytes(), documents)
    published.revision = parsed.revision
    published.documents = documents
    return published


def _read_platform(address):
    try:
        with httpx.Client(
            base_url=address, timeout=TIMEOUT_SECONDS, trust_env=False
        ) as client:
            head = _get(client, "/v1/configuration/head")
            parsed = _documents.parse_head(head)
            documents = {
                name: _get(client, f"/v1/configuration/documents/{name}")
                for name in parsed.documents
            }
            vms = _get(client, "/v1/vms/watch?after=0&timeout=0")
    except httpx.HTTPError as error:
        raise errors.ConfigurationError(address, "platform", str(error)) from error
    _documents.parse_bundle(head, documents)
    return PublishedConfiguration(parsed.revision, documents, vms)


def _get(client, path):
    response = client.get(path)
    response.raise_for_status()
    return response.content


def write_next_revision(folder, published, changed):
    """Write the next revision's documents and head into ``folder``.

    The documents are validated before the first file is written, each file is replaced
    atomically, and the head is written last. A failure therefore leaves no head that
    refers to missing documents.

    :param published: the :class:`PublishedConfiguration` on which it is based.
    :param changed: raw documents by name that are new or replace published ones.
    :returns: the new revision.
    """
    documents = {**published.documents, **changed}
    head = _documents.build_head(published.revision + 1, documents)
    raw_head = _documents.encode_document(head)
    _documents.parse_bundle(raw_head, documents)
    folder = pathlib.Path(folder)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for name, raw in [*sorted(documents.items()), (_documents.HEAD, raw_head)]:
            _write_atomically(folder / f"{name}.json", raw)
    except OSError as error:
        raise errors.ConfigurationError(folder, "folder", error.strerror) from error
    return head.revision


def _write_atomically(path, raw):
    descriptor, temporary = tempfile.mkstemp(dir=path.parent, prefix=".")
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(raw)
        os.chmod(temporary, 0o644)
        os.replace(temporary, path)
    except OSError:
        os.unlink(temporary)
        raise
