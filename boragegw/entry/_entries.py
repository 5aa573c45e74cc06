"""Which entry VMs a caller should use, and the lease for its keys."""

import dataclasses

from boragegw import blackboard, decisions, errors


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesResponse:
    """The answer to ``GET /v1/entries``.

    :param entries: addresses in order of preference.
    :param keep_for_ms: how long a caller may keep the answer.
    :param lease: the first part of the caller's idempotency keys.
    :param lease_expires_in_ms: how long new keys may be made from the lease.
    """

    service: str
    entries: list
    keep_for_ms: int
    lease: str
    lease_expires_in_ms: int


class EntryDirectory:
    """Answers which entries to use.

    :param services: the services controller.
    :param leases: a :class:`~boragegw.decisions.LeaseAuthority`.
    :param lease_duration: seconds.
    :param keep_for: seconds for which callers keep the answer.
    """

    def __init__(
        self, board, clock, services, leases, lease_duration=600.0, keep_for=2.0
    ):
        self.board = board
        self.clock = clock
        self.services = services
        self.leases = leases
        self.lease_duration = lease_duration
        self.keep_for = keep_for

    def lookup(self, service_name, caller, data_centre=""):
        """Return the :class:`EntriesResponse` for a caller.

        :param caller: stable text that tells callers apart, such as their address.
        :raises RequestError: for an unknown service, or with no entry in sight.
        """
        service = self.board.services.get(service_name)
        if service is None:
            raise errors.RequestError.not_run(
                errors.Code.UNKNOWN_SERVICE, f"no service {service_name!r}"
            )
        live = self.services.live_entries()
        members = self.services.subsets.for_caller(
            service_name, live, service.settings.subset_size, caller, data_centre
        )
        if not members:
            raise errors.RequestError.not_run(
                errors.Code.NOT_READY, "no entry is serving", retry_after=1.0
            )
        return self._answer(service_name, members)

    def _answer(self, service_name, members):
        wall = self.clock.wall()
        home = members[0]
        lease = decisions.Lease(
            home.incarnation, home.peer_address, wall, wall + self.lease_duration
        )
        return EntriesResponse(
            service=service_name,
            entries=[member.caller_address for member in members],
            keep_for_ms=int(self.keep_for * 1000),
            lease=self.leases.encode(lease),
            lease_expires_in_ms=int(self.lease_duration * 1000),
        )


def is_draining(board):
    """Return whether callers should take their next request elsewhere."""
    return board.lifecycle.state >= blackboard.MemberState.DRAINING
