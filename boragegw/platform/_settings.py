"""The platform's settings file, checked and turned into the product's settings."""

import dataclasses
import os

import msgspec

from boragegw import balancing, errors, gateway, utils

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "BORAGEGW_SETTINGS"
#: Environment variable with parameters of policies that differ from their defaults, a
#: JSON object of objects: ``{"asking": {"most": 4}}``. The settings file has the
#: platform's fields only.
POLICIES_VARIABLE = "BORAGEGW_POLICIES"


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """A process's settings on this platform.

    :param gateway: the product's own settings.
    :param store: ``(host, port)`` of the platform's store.
    :param ready: ``(host, port)`` on which the platform asks whether it is ready.
    :param directory: ``(host, port)`` on which callers ask for addresses.
    :param control: ``(host, port)`` for operators; ``None`` if it serves none.
    :param metrics: ``(host, port)`` for scrapers: the second internal port, ``None``
        if there is only one.
    :param keep_for: longest seconds that callers may keep an address.
    """

    gateway: gateway.GatewaySettings
    store: tuple
    ready: tuple
    directory: tuple
    control: tuple | None
    metrics: tuple | None
    keep_for: float


def load_settings(path):
    """Return the :class:`PlatformSettings` in the file at ``path``.

    :raises ConfigurationError: naming the key, its value and what was expected.
    """
    try:
        data = _decoded(path)
    except (OSError, msgspec.DecodeError) as error:
        raise errors.ConfigurationError(path, "file", str(error)) from error
    if not isinstance(data, dict):
        raise errors.ConfigurationError(path, "file", "expected a JSON object or TOML")
    return _Reader(path, data).settings()


def is_settings(path):
    """Return whether the file at ``path`` is the platform's settings of a process."""
    try:
        data = _decoded(path)
    except (OSError, msgspec.DecodeError):
        return False
    return isinstance(data, dict) and {"node", "listen", "platform"} <= data.keys()


def _decoded(path):
    with open(path, "rb") as file:
        data = file.read()
    if data.lstrip().startswith(b"{"):
        return msgspec.json.decode(data)
    # The platform's own form, where no template asks for JSON; the import of its
    # parser takes 5 ms of a start.
    import tomllib

    try:
        return tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error


def _policies(text):
    """Return the parameters of policies in the environment, checked."""
    if not text:
        return {}
    try:
        parameters = msgspec.json.decode(text)
        balancing.PolicySettings(parameters).check()
    except (msgspec.DecodeError, utils.InvalidParameterError) as error:
        raise errors.ConfigurationError(POLICIES_VARIABLE, "", str(error)) from error
    return parameters


class _Reader:
    """Reads typed values by dotted key."""

    def __init__(self, path, data):
        self.path = path
        self.data = data

    def settings(self):
        """Return the settings; what is not known here is ignored."""
        front = self.address("listen.front")
        ports = self.integers("internal_ports")
        if not ports:
            self._fail("internal_ports", ports, "two ports")
        store = self.address("platform.address")
        return PlatformSettings(
            gateway=self._gateway(front, ports[0]),
            store=store,
            ready=self.address("listen.ready"),
            directory=self.address("listen.directory"),
            control=self.address("listen.control", required=False),
            metrics=self._metrics_address(ports),
            keep_for=self.number("bounds.ttl_max_s", 5.0),
        )

    def _metrics_address(self, ports):
        """Return the second internal port's address; the first one is for peers."""
        if ports[-1] <= ports[0]:
            return None
        return self.string("ip"), ports[0] + 1

    def _gateway(self, front, peer_port):
        seeds = tuple(
            host for host, _ in (self._pair("seeds", s) for s in self.strings("seeds"))
        )
        return gateway.GatewaySettings(
            name=self.string("node"),
            data_centre=self.string("zone"),
            caller_address=front,
            peer_address=(self.string("ip"), peer_port),
            seeds=seeds,
            shutdown_timeout=self.number("bounds.grace_s", 6.0),
            link_mbps=self.number("limits.link_mbps", 1000.0),
            bootstrap=self._value("bootstrap") is True,
            retry_budget_ratio=self.number("bounds.retry_budget_ratio", 0.2),
            retry_budget_window=self.number("bounds.retry_window_s", 10.0),
            probe_rate=self.number("bounds.probes_per_s", 20.0),
            retry_budget_slack=self.number("bounds.retry_budget_slack", 20.0),
            policies=_policies(os.environ.get(POLICIES_VARIABLE, "")),
        )

    def string(self, key):
        """Return a string that is not empty."""
        value = self._value(key)
        if not isinstance(value, str) or not value:
            self._fail(key, value, "a string")
        return value

    def number(self, key, default):
        """Return a number of at least 0."""
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
            self._fail(key, value, "a number of at least 0")
        return float(value)

    def integers(self, key):
        """Return a list of whole numbers."""
        value = self._value(key)
        if not isinstance(value, list) or not all(type(v) is int for v in value):
            self._fail(key, value, "a list of whole numbers")
        return value

    def strings(self, key):
        """Return a list of strings, empty if there is none."""
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            self._fail(key, value, "a list of strings")
        return value

    def address(self, key, required=True):
        """Return ``host:port`` as a pair."""
        value = self._value(key)
        if value is None and not required:
            return None
        return self._pair(key, value)

    def _pair(self, key, value):
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("",) * 3
        if not host or not port.isdigit():
            self._fail(key, value, "host:port")
        return host, int(port)

    def _value(self, key):
        value = self.data
        for part in key.split("."):
            if not isinstance(value, dict):
                return None
            value = value.get(part)
        return value

    def _fail(self, key, value, expected):
        detail = f"{value!r}, expected {expected}"
        raise errors.ConfigurationError(self.path, key, detail)
