"""Interfaces to the platform."""

import abc


class ConfigurationSource(abc.ABC):
    """The platform's configuration service."""

    @abc.abstractmethod
    async def read_head(self):
        """Return the raw head document.

        :raises PlatformError: if it cannot be read.
        """

    @abc.abstractmethod
    async def watch_head(self, revision, timeout):
        """Return the raw head once its revision exceeds ``revision``.

        :param timeout: seconds after which the head is returned as it is.
        :raises PlatformError: if it cannot be read.
        """

    @abc.abstractmethod
    async def read_document(self, name):
        """Return the raw document ``name``.

        :raises PlatformError: if it cannot be read.
        """


class FleetSource(abc.ABC):
    """The platform's lagging list of live and leaving VMs."""

    @abc.abstractmethod
    async def watch_vms(self, version, timeout):
        """Return the raw list once its version exceeds ``version``.

        :param timeout: seconds after which the list is returned as it is.
        :raises PlatformError: if it cannot be read.
        """
