"""Reads and validates the platform's settings file."""

import dataclasses
import os
import re
import sys

import msgspec

from boragegw import balancing, errors, gateway, utils

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "BORAGEGW_SETTINGS"
#: Environment variable with policy parameters that differ from their defaults, a JSON
#: object of objects: ``{"asking": {"most": 4}}``. The settings file cannot hold them,
#: as it has only the fields that the platform defines.
POLICIES_VARIABLE = "BORAGEGW_POLICIES"
PORT = re.compile(r"[0-9]{1,5}")


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of a gateway process on this platform.

    :param gateway: platform-independent settings.
    :param store: ``(host, port)`` of the platform's store.
    :param ready: ``(host, port)`` of the readiness endpoint.
    :param directory: ``(host, port)`` where callers look up gateway addresses.
    :param control: ``(host, port)`` of the status endpoint for operators, or ``None``.
    :param metrics: ``(host, port)`` of the metrics endpoint: the second internal port,
        or ``None`` if there is only one.
    :param max_ttl: upper bound on the TTL of addresses, in seconds.
    """

    gateway: gateway.GatewaySettings
    store: tuple
    ready: tuple
    directory: tuple
    control: tuple | None
    metrics: tuple | None
    max_ttl: float


def load_settings(path):
    """Return the :class:`PlatformSettings` in the file at ``path``.

    :raises ConfigurationError: with the key, its value and what was expected.
    """
    try:
        data = _decode_file(path)
    except (OSError, utils.MalformedInputError) as error:
        raise errors.ConfigurationError(path, "file", str(error)) from error
    if not isinstance(data, dict):
        raise errors.ConfigurationError(path, "file", "expected a JSON object or TOML")
    return _SettingsReader(path, data).read()


def is_settings_file(path):
    """Return whether the file at ``path`` holds settings in the platform's format."""
    try:
        data = _decode_file(path)
    except (OSError, utils.MalformedInputError):
        return False
    return isinstance(data, dict) and {"node", "listen", "platform"} <= data.keys()


def _decode_file(path):
    with open(path, "rb") as file:
        data = file.read()
    if data.lstrip().startswith(b"{"):
        return _json.decode(data)
    return _toml.decode(data)


def _decode_toml(data):
    # The platform writes TOML unless a template asks for JSON. Importing the parser
    # takes 5 ms of the startup time.
    import tomllib

    return tomllib.loads(data.decode())


_json = utils.InputDecoder(msgspec.json.decode)
_toml = utils.InputDecoder(_decode_toml)


def _load_policy_parameters(text):
    """Return the validated policy parameters of the environment variable."""
    if not text:
        return {}
    try:
        parameters = _json.decode(text)
        balancing.PolicySettings(parameters).check()
    except (utils.MalformedInputError, utils.InvalidParameterError) as error:
        raise errors.ConfigurationError(POLICIES_VARIABLE, "", str(error)) from error
    return parameters


class _SettingsReader:
    """Reads and validates values by dotted key."""

    def __init__(self, path, data):
        self.path = path
        self.data = data

    def read(self):
        """Return the settings; unknown keys are ignored."""
        front = self.address("listen.front")
        ports = self.integers("internal_ports")
        if len(ports) != 2:
            self._raise_invalid("internal_ports", ports, "two ports")
        store = self.address("platform.address")
        return PlatformSettings(
            gateway=self._gateway(front, ports),
            store=store,
            ready=self.address("listen.ready"),
            directory=self.address("listen.directory"),
            control=self.address("listen.control", required=False),
            metrics=self._metrics_address(ports),
            max_ttl=self.number("bounds.ttl_max_s", 5.0),
        )

    def _metrics_address(self, ports):
        """Return the address of the second internal port; the first is for peers."""
        if ports[-1] <= ports[0]:
            return None
        return self.string("ip"), ports[0] + 1

    def _relay_address(self, ports):
        """Return the address of the third internal port, if there are as many."""
        if ports[-1] < ports[0] + 2:
            return None
        return self.string("ip"), ports[0] + 2

    def _gateway(self, front, ports):
        seeds = tuple(
            host
            for host, _ in (
                self._parse_address("seeds", s) for s in self.strings("seeds")
            )
        )
        return gateway.GatewaySettings(
            name=self.string("node"),
            data_centre=self.string("zone"),
            caller_address=front,
            peer_address=(self.string("ip"), ports[0]),
            relay_address=self._relay_address(ports),
            seeds=seeds,
            apply_limit=self.number("bounds.config_apply_s", 2.0) or 2.0,
            shutdown_timeout=self.number("bounds.grace_s", 6.0),
            link_mbps=self.number("limits.link_mbps", 1000.0),
            bootstrap=self._look_up("bootstrap") is True,
            retry_budget_ratio=self.number("bounds.retry_budget_ratio", 0.2),
            retry_budget_window=self.number("bounds.retry_window_s", 10.0),
            probe_rate=self.number("bounds.probes_per_s", 20.0),
            retry_budget_slack=self.number("bounds.retry_budget_slack", 20.0),
            quota_window=self.number("bounds.quota_window_s", 5.0) or 5.0,
            quota_overshoot=self.number("bounds.quota_overshoot", 0.25),
            quota_slack=self.number("bounds.quota_slack", 20.0),
            policies=_load_policy_parameters(os.environ.get(POLICIES_VARIABLE, "")),
        )

    def string(self, key):
        """Return a non-empty string."""
        value = self._look_up(key)
        if not isinstance(value, str) or not value:
            self._raise_invalid(key, value, "a string")
        return value

    def number(self, key, default):
        """Return a finite, non-negative number."""
        value = self._look_up(key)
        if value is None:
            return default
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not 0 <= value <= sys.float_info.max:
            self._raise_invalid(key, value, "a number of at least 0")
        return float(value)

    def integers(self, key):
        """Return a list of integers."""
        value = self._look_up(key)
        if not isinstance(value, list) or not all(type(v) is int for v in value):
            self._raise_invalid(key, value, "a list of whole numbers")
        return value

    def strings(self, key):
        """Return a list of strings, empty if the key is missing."""
        value = self._look_up(key)
        if value is None:
            return []
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            self._raise_invalid(key, value, "a list of strings")
        return value

    def address(self, key, required=True):
        """Return ``host:port`` as a tuple ``(host, port)``."""
        value = self._look_up(key)
        if value is None and not required:
            return None
        return self._parse_address(key, value)

    def _parse_address(self, key, value):
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("",) * 3
        if not host or not PORT.fullmatch(port):
            self._raise_invalid(key, value, "host:port")
        return host, int(port)

    def _look_up(self, key):
        value = self.data
        for part in key.split("."):
            if not isinstance(value, dict):
                return None
            value = value.get(part)
        return value

    def _raise_invalid(self, key, value, expected):
        detail = f"{value!r}, expected {expected}"
        raise errors.ConfigurationError(self.path, key, detail)
