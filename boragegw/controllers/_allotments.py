"""Limits of client accounts over all entries."""

from boragegw import balancing


class AllotmentController:
    """Asks the policy about requests, and exchanges its messages between entries.

    :param services: the :class:`ServicesController`.
    :param network: a :class:`~boragegw.peers.PeerNetwork`.
    :param policy: a :class:`~boragegw.balancing.AllotmentPolicy`.
    """

    def __init__(self, board, clock, random_state, services, network, policy):
        self.board = board
        self.clock = clock
        self.random_state = random_state
        self.services = services
        self.network = network
        self.policy = policy
        self._accounts = None

    def admit(self, account):
        """Return the :class:`~boragegw.balancing.AllotmentDecision` on a request."""
        self._update_accounts()
        return self.policy.admit(
            account, self._fleet(), self.clock.now(), self.random_state
        )

    def send_messages(self):
        """Send what is due; to be called several times a second."""
        self._update_accounts()
        if self._accounts is None:
            return
        fleet = self._fleet()
        addresses = {
            member.name: member.peer_address
            for member in self.services.working_entries()
            if member.name != fleet.own_name
        }
        for outgoing in self.policy.take_messages(fleet, self.clock.now()):
            self._send(outgoing, addresses)

    def _send(self, outgoing, addresses):
        if outgoing.target is None:
            for address in addresses.values():
                self.network.send(address, outgoing.message)
        elif outgoing.target in addresses:
            self.network.send(addresses[outgoing.target], outgoing.message)

    def handle_message(self, message):
        """Apply a message of another entry."""
        self._update_accounts()
        if self._accounts is not None:
            self.policy.apply_message(message, self._fleet(), self.clock.now())

    def _update_accounts(self):
        table = self.board.configuration.accounts
        if table is not self._accounts:
            self._accounts = table
            limited = [] if table is None else table.limited_accounts()
            self.policy.update_accounts(limited)

    def _fleet(self):
        own = self.board.identity
        data_centres = {
            member.name: member.data_centre
            for member in self.services.working_entries()
        }
        data_centres[own.name] = own.data_centre
        listed = sum(1 for _ in self.board.fleet.entries())
        return balancing.FleetView(
            own.name, data_centres, max(listed, len(data_centres))
        )
