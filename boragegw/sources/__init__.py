"""Read-only clients of the platform's configuration and list of VMs."""

from boragegw.sources._base import ConfigurationSource, FleetSource
from boragegw.sources._http import HttpConfigurationSource, HttpFleetSource

__all__ = [
    "ConfigurationSource",
    "FleetSource",
    "HttpConfigurationSource",
    "HttpFleetSource",
]
