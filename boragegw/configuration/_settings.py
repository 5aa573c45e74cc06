"""The settings file of one entry process."""

import ipaddress
import pathlib
import typing

import pydantic

from boragegw import errors
from boragegw.configuration import _jsonc

#: Smallest size of the shared key of the peers, in bytes.
MIN_KEY_BYTES = 16


def _check_address(value):
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError("expected IP:PORT")
    ipaddress.ip_address(host.strip("[]"))
    return value


Address = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86400)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class EntrySettings(_Model):
    """Names and addresses of this entry VM; for port 0 the kernel chooses a port."""

    name: Name
    data_centre: Name
    caller_address: Address
    operator_address: Address
    peer_address: Address


class PlatformSettings(_Model):
    """Addresses of the platform and the rate limit for reads.

    :param reads_per_second: read budget of this process; a watch counts as one read.
    :param watch_timeout: seconds after which a watch returns without a change.
    """

    addresses: list[Address] = pydantic.Field(min_length=1)
    reads_per_second: float = pydantic.Field(default=4.0, gt=0, le=100)
    watch_timeout: Seconds = 5.0


class PeerSettings(_Model):
    """Communication between entry processes; times in seconds.

    :param key_file: file with the shared key, at least 16 bytes.
    :param seeds: peer addresses to contact at start, in addition to those in the
        platform's list.
    :param heartbeat_interval: time between two heartbeats.
    :param silence: time without heartbeats after which a peer counts as not alive.
    """

    key_file: str
    seeds: list[Address] = []
    heartbeat_interval: Seconds = 0.5
    silence: Seconds = 3.0


class LeaseSettings(_Model):
    """Leases for idempotency keys, and the records of these keys.

    :param duration: seconds for which a caller may create keys from one lease.
    :param retention: seconds for which records are kept after their lease expires.
    :param table_limit: largest number of records.
    :param stored_answer_limit: largest response that is stored, in bytes.
    :param stored_bytes_limit: total size of all stored responses, in bytes.
    """

    duration: Seconds = 600.0
    retention: Seconds = 600.0
    table_limit: int = pydantic.Field(default=100_000, ge=1, le=10_000_000)
    stored_answer_limit: int = pydantic.Field(default=65_536, ge=0, le=1 << 24)
    stored_bytes_limit: int = pydantic.Field(default=32 << 20, ge=0, le=1 << 30)


class LimitSettings(_Model):
    """Limits of the interface for callers.

    :param header_bytes: largest size of request headers.
    :param requests: largest number of requests in flight.
    :param shutdown_timeout: seconds after which a graceful shutdown ends.
    """

    header_bytes: int = pydantic.Field(default=32_768, ge=1024, le=1 << 20)
    requests: int = pydantic.Field(default=5_000, ge=1)
    shutdown_timeout: Seconds = 60.0


class ObservationSettings(_Model):
    """Logging, metrics and traces; an empty target disables the export.

    :param statsd: address of the statsd server.
    :param trace_target: a file for JSON lines, or an ``http://`` address for OTLP.
    :param trace_ratio: share of traces that are sampled if the caller made no decision.
    """

    log_level: str = pydantic.Field(
        default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )
    statsd: Address | None = None
    statsd_prefix: str = "boragegw"
    trace_target: str = ""
    trace_ratio: float = pydantic.Field(default=0.01, ge=0, le=1)


class TlsSettings(_Model):
    """Certificate and private key files for the callers' port."""

    certificate: str
    private_key: str


class Settings(_Model):
    """Settings of one entry process."""

    entry: EntrySettings
    platform: PlatformSettings
    peers: PeerSettings
    leases: LeaseSettings = LeaseSettings()
    limits: LimitSettings = LimitSettings()
    observation: ObservationSettings = ObservationSettings()
    tls: TlsSettings | None = None

    def read_peer_key(self, source="settings"):
        """Return the key that all peers share.

        :param source: name of the settings in error messages.

        :raises ConfigurationError: if the file cannot be read or is too short.
        """
        path = pathlib.Path(self.peers.key_file)
        try:
            key = path.read_bytes().strip()
        except OSError as error:
            raise errors.ConfigurationError(
                source, "peers.key_file", f"{str(path)!r}: {error.strerror}"
            ) from error
        if len(key) < MIN_KEY_BYTES:
            raise errors.ConfigurationError(
                source,
                "peers.key_file",
                f"{str(path)!r} holds {len(key)} bytes, expected at least "
                f"{MIN_KEY_BYTES}",
            )
        return key


def load_settings(path):
    """Return the validated :class:`Settings` from the file ``path``.

    Relative paths of files are resolved against the folder of the settings file.

    :raises ConfigurationError: with one line that names the invalid key.
    """
    settings = _jsonc.validate_model(Settings, _jsonc.load_jsonc(path), path)
    folder = pathlib.Path(path).parent
    peers = settings.peers.model_copy(
        update={"key_file": str(folder / settings.peers.key_file)}
    )
    settings = settings.model_copy(update={"peers": peers})
    settings.read_peer_key(path)
    if settings.tls is None:
        return settings
    return settings.model_copy(update={"tls": _resolve_tls(settings.tls, folder, path)})


def _resolve_tls(tls, folder, source):
    """Return the TLS settings with paths resolved against ``folder``."""
    paths = {key: folder / getattr(tls, key) for key in ("certificate", "private_key")}
    for key, path in paths.items():
        if not path.is_file():
            raise errors.ConfigurationError(
                source, f"tls.{key}", f"{getattr(tls, key)!r}: no such file"
            )
    return tls.model_copy(update={key: str(path) for key, path in paths.items()})
