"""Discovery of entries: the entry VMs for a caller and a lease for its keys."""

import dataclasses

from boragegw import blackboard, decisions, errors


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesResponse:
    """The response to ``GET /v1/entries``.

    :param entries: caller addresses of the entries, in order of preference.
    :param keep_for_ms: milliseconds for which the caller may cache the response.
    :param lease: the encoded lease, the first part of the caller's idempotency keys.
    :param lease_expires_in_ms: milliseconds for which the caller may make new
        keys from the lease.
    """

    service: str
    entries: list
    keep_for_ms: int
    lease: str
    lease_expires_in_ms: int


class EntryDirectory:
    """Assigns entries and a lease to each caller.

    :param services: a :class:`~boragegw.controllers.ServicesController`.
    :param leases: a :class:`~boragegw.decisions.LeaseAuthority`.
    :param lease_duration: seconds for which a lease is valid.
    :param cache_duration: seconds for which callers may cache a response.
    """

    def __init__(
        self, board, clock, services, leases, lease_duration=600.0, cache_duration=2.0
    ):
        self.board = board
        self.clock = clock
        self.services = services
        self.leases = leases
        self.lease_duration = lease_duration
        self.cache_duration = cache_duration

    def lookup(self, service_name, caller, data_centre=""):
        """Return the :class:`EntriesResponse` for a caller.

        :param caller: a stable identifier of the caller, such as its address.
        :raises RequestError: if the service is unknown or no entry is serving.
        """
        service = self.board.services.get(service_name)
        if service is None:
            raise errors.RequestError.not_run(
                errors.Code.UNKNOWN_SERVICE, f"no service {service_name!r}"
            )
        live_entries = self.services.live_entries()
        members = self.services.subsets.for_caller(
            service_name,
            live_entries,
            service.settings.subset_size,
            caller,
            data_centre,
        )
        if not members:
            raise errors.RequestError.not_run(
                errors.Code.NOT_READY,
                "no entry is serving",
                retry_after=1.0,
            )
        return self._build_response(service_name, members)

    def _build_response(self, service_name, members):
        wall = self.clock.wall()
        home_entry = members[0]
        lease = decisions.Lease(
            home_entry.incarnation,
            home_entry.peer_address,
            wall,
            wall + self.lease_duration,
        )
        return EntriesResponse(
            service=service_name,
            entries=[member.caller_address for member in members],
            keep_for_ms=int(self.cache_duration * 1000),
            lease=self.leases.encode(lease),
            lease_expires_in_ms=int(self.lease_duration * 1000),
        )


def is_draining(board):
    """Return whether callers should send their next request to another entry."""
    return board.lifecycle.state >= blackboard.MemberState.DRAINING
