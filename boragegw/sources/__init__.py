"""What the platform publishes, read and watched; never written."""

from boragegw.sources._base import ConfigurationSource, FleetSource
from boragegw.sources._http import HttpConfigurationSource, HttpFleetSource

__all__ = [
    "ConfigurationSource",
    "FleetSource",
    "HttpConfigurationSource",
    "HttpFleetSource",
]
