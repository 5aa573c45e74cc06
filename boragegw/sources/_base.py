"""Interfaces of the platform's configuration and list of VMs."""

import abc


class ConfigurationSource(abc.ABC):
    """Reads and watches the platform's configuration."""

    @abc.abstractmethod
    async def read_head(self):
        """Return the raw head document.

        :raises PlatformError: if it cannot be read.
        """

    @abc.abstractmethod
    async def watch_head(self, revision, timeout):
        """Return the raw head as soon as its revision exceeds ``revision``.

        :param timeout: seconds after which the unchanged head is returned.
        :raises PlatformError: if it cannot be read.
        """

    @abc.abstractmethod
    async def read_document(self, name):
        """Return the raw document ``name``.

        :raises PlatformError: if it cannot be read.
        """


class FleetSource(abc.ABC):
    """Watches the platform's list of live and leaving VMs, which may lag behind."""

    @abc.abstractmethod
    async def watch_vms(self, version, timeout):
        """Return the raw list as soon as its version exceeds ``version``.

        :param timeout: seconds after which the unchanged list is returned.
        :raises PlatformError: if it cannot be read.
        """
