"""Connects the allotment policy with the configuration and the other processes."""

import msgspec

from boragegw import balancing
from boragegw.gateway import _news, _peer_messages

#: Version of the membership protocol from which processes know these messages.
MIN_MEMBERSHIP_FORMAT = 2


class AllotmentExchange:
    """Asks the policy about requests, and exchanges its messages with its peers.

    :param policy: a :class:`~boragegw.balancing.AllotmentPolicy`.
    :param membership: the :class:`Membership`.
    """

    def __init__(self, board, policy, membership, *, now, random_state):
        self.board = board
        self.policy = policy
        self.membership = membership
        self.now = now
        self.random_state = random_state
        self._configuration = None
        self._fleet = None

    def admit(self, account):
        """Return the :class:`~boragegw.balancing.AllotmentDecision` on a request."""
        self._update_accounts()
        return self.policy.admit(account, self.fleet, self.now(), self.random_state)

    def refund(self, account):
        """Take back an admitted request that has not run."""
        self.policy.refund(account)

    @property
    def fleet(self):
        """The :class:`~boragegw.balancing.FleetView` of the latest exchange."""
        if self._fleet is None:
            self._update_fleet()
        return self._fleet

    def _update_accounts(self):
        configuration = self.board.configuration
        if configuration is self._configuration:
            return
        self._configuration = configuration
        table = configuration.accounts
        self.policy.update_accounts([] if table is None else table.limited_accounts())

    def _update_fleet(self):
        """Renew the view; equal data centres stay the same object."""
        own = self.membership.local_member
        data_centres = {own.name: own.data_centre}
        for known in self._peers():
            data_centres[known.member.name] = known.member.data_centre
        if self._fleet is not None and self._fleet.data_centres == data_centres:
            data_centres = self._fleet.data_centres
        self._fleet = balancing.FleetView(
            own.name, data_centres, max(self.board.processes, len(data_centres))
        )

    def _peers(self):
        """Return each live :class:`KnownPeer` that takes part and stays."""
        return [
            known
            for known in self.membership.roster.alive()
            if known.member.membership_format >= MIN_MEMBERSHIP_FORMAT
            and known.member.life != _peer_messages.Life.LEAVING
        ]

    # Messages.

    def send_messages(self):
        """Send what is due; to be called several times a second."""
        if self.board.configuration is None:
            return
        self._update_accounts()
        self._update_fleet()
        for outgoing in self.policy.take_messages(self.fleet, self.now()):
            self._send(outgoing)

    def _send(self, outgoing):
        if outgoing.target is None:
            self._broadcast(outgoing.message)
            return
        known = self.membership.roster.find_name(outgoing.target)
        if known is not None:
            self.membership.send_message([known], outgoing.message)

    def _broadcast(self, notice):
        """Send to all: directly in the own data centre, through relays to others."""
        peers = self._peers()
        own = self.membership.local_member.data_centre
        if not self.membership.roster.is_large:
            self.membership.send_message(peers, notice)
            return
        relays = _news.select_relays(peers, own, self.random_state)
        relayed = msgspec.structs.replace(notice, is_relayed=True)
        self.membership.send_message(self._local(peers), notice)
        self.membership.send_message(relays, relayed)

    def _local(self, peers):
        own = self.membership.local_member.data_centre
        return [known for known in peers if known.member.data_centre == own]

    def receive(self, message):
        """Apply a message of another process; pass a relayed one on."""
        if self.board.configuration is None:
            return
        self._update_accounts()
        if isinstance(message, balancing.LimitNotice) and message.is_relayed:
            notice = msgspec.structs.replace(message, is_relayed=False)
            self.membership.send_message(self._local(self._peers()), notice)
        for reply in self.policy.apply_message(message, self.fleet, self.now()):
            self._send(reply)
