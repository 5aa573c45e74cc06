"""What the platform publishes, read and watched; never written."""

from boragegw.platform._base import ConfigurationSource, FleetSource
from boragegw.platform._http import HttpConfigurationSource, HttpFleetSource

__all__ = [
    "ConfigurationSource",
    "FleetSource",
    "HttpConfigurationSource",
    "HttpFleetSource",
]
