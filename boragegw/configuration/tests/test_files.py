"""Files of settings and published documents."""

import errno
import json
import os
import pathlib

import pytest

from boragegw import configuration, errors

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def test_failed_write_leaves_no_temporary_file(tmp_path, monkeypatch):
    """A full disk left a hidden file with each attempt to publish."""

    def fail(*_):
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "replace", fail)
    published = configuration.PublishedConfiguration()
    with pytest.raises(errors.ConfigurationError, match="No space"):
        configuration.write_next_revision(tmp_path, published, {})
    assert list(tmp_path.iterdir()) == []


def test_paths_of_tls_files_are_relative_to_the_settings(tmp_path, monkeypatch):
    monkeypatch.chdir("/")
    (tmp_path / "peer.key").write_text("a key of the peers, long enough")
    for name in ("cert.pem", "key.pem"):
        (tmp_path / name).write_text("pem")
    data = configuration.load_jsonc(EXAMPLES / "entry-1.jsonc")
    data["tls"] = {"certificate": "cert.pem", "private_key": "key.pem"}
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(data))
    settings = configuration.load_settings(path)
    assert settings.tls.certificate == str(tmp_path / "cert.pem")
    data["tls"]["certificate"] = "none.pem"
    path.write_text(json.dumps(data))
    with pytest.raises(errors.ConfigurationError, match="tls.certificate"):
        configuration.load_settings(path)
