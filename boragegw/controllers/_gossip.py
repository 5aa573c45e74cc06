"""Exchanges requests in flight, temperatures and quarantines with other entries."""

from boragegw import blackboard, peers, utils

TEMPERATURES = 12
COUNTS = 80
IDLE_SHARE = 0.02


def backend_hash(name):
    """Return the 32 bit hash that stands for a backend server in digests."""
    return utils.stable_hash("backend", name) & 0xFFFFFFFF


class GossipController:
    """Sends and takes load digests, among the entries that serve the same service.

    :param network: a :class:`~boragegw.peers.PeerNetwork`.
    :param services: the :class:`ServicesController`.

    ``temperatures_received`` is set once a peer has told temperatures.
    """

    def __init__(self, board, clock, random_state, network, services, observer):
        self.board = board
        self.clock = clock
        self.random_state = random_state
        self.network = network
        self.services = services
        self.observer = observer
        self.temperatures_received = False
        self._told = {}
        self._indexes = {}

    def _index(self, service):
        """Return the backend servers by hash; those that collide are left out."""
        names = tuple(service.backends)
        cached = self._indexes.get(service.settings.name)
        if cached is not None and cached[0] == names:
            return cached[1]
        index = {}
        collided = set()
        for name in names:
            key = backend_hash(name)
            if key in index:
                collided.add(key)
            index[key] = name
        for key in collided:
            del index[key]
        self._indexes[service.settings.name] = (names, index)
        return index

    def send_digests(self):
        """Tell the other entries of each service this entry's counts."""
        working = self.services.working_entries()
        own = self.board.identity.incarnation
        for name, service in self.board.services.items():
            if self._is_idle(name, service):
                continue
            counts = self._counts(name, service)
            subset = self.services.subset(service, working)
            others = [member for member in subset if member.incarnation != own]
            digest = peers.LoadDigest(name, counts, self._some_temperatures(service))
            for member in others:
                self.network.send(member.peer_address, digest)
        self._tell_somebody(working, own)

    def _is_idle(self, name, service):
        """Return whether there is nothing to tell of a service.

        In a large fleet an entry serves few of the services. Of the others it tells
        the temperatures now and then, which repairs what lost datagrams left out.
        """
        if service.in_flight or self._told.get(name):
            return False
        return self.random_state.random() > IDLE_SHARE

    def _counts(self, name, service):
        """Return the counts above zero, and the zeros that were told as more."""
        told = self._told.setdefault(name, {})
        current = {
            backend.name: backend.own_in_flight for backend in service.backends.values()
        }
        changed = {n: c for n, c in current.items() if c or told.get(n)}
        self._told[name] = changed
        rows = list(changed.items())
        if len(rows) > COUNTS:
            rows = self.random_state.sample(rows, COUNTS)
        return [peers.BackendCount(backend_hash(n), c) for n, c in rows]

    def _some_temperatures(self, service):
        rows = [b for b in service.backends.values() if self._is_telling(b)]
        if len(rows) > TEMPERATURES:
            rows = self.random_state.sample(rows, TEMPERATURES)
        return [self._temperature(backend) for backend in rows]

    @staticmethod
    def _is_telling(backend):
        return backend.cold_epoch > 0 or backend.phase is blackboard.Phase.WARM

    @staticmethod
    def _temperature(backend):
        warm = backend.phase is blackboard.Phase.WARM
        reported = backend.report is not None and backend.report.draining
        return peers.Temperature(
            backend_hash(backend.name), backend.cold_epoch, warm, reported
        )

    def _tell_somebody(self, working, own):
        """Tell the temperatures of one service to any entry: spares need them too."""
        others = [member for member in working if member.incarnation != own]
        if not others or not self.board.services:
            return
        member = self.random_state.choice(others)
        name = self.random_state.choice(list(self.board.services))
        service = self.board.services[name]
        rows = self._some_temperatures(service)
        if rows:
            digest = peers.LoadDigest(name, [], rows)
            self.network.send(member.peer_address, digest)

    def send_all_temperatures(self, member):
        """Tell all temperatures to an entry that is new."""
        for name, service in self.board.services.items():
            rows = [
                self._temperature(backend)
                for backend in service.backends.values()
                if self._is_telling(backend)
            ]
            for start in range(0, len(rows), COUNTS // 2):
                part = rows[start : start + COUNTS // 2]
                digest = peers.LoadDigest(name, [], part)
                self.network.send(member.peer_address, digest)

    def broadcast_temperature(self, service, backend):
        """Tell everybody in sight of a change at once."""
        digest = peers.LoadDigest(
            service.settings.name, [], [self._temperature(backend)]
        )
        self._broadcast(digest)

    def broadcast_quarantine(self, fingerprint, remaining):
        """Tell everybody in sight of a request that crashes backend servers."""
        self._broadcast(peers.Quarantine(fingerprint, remaining))

    def _broadcast(self, message):
        now = self.clock.now()
        for member in list(self.board.membership.alive(now))[:64]:
            self.network.send(member.peer_address, message)

    def handle_digest(self, sender, digest):
        """Take a peer's counts and temperatures."""
        service = self.board.services.get(digest.service)
        if service is None:
            return
        index = self._index(service)
        now = self.clock.now()
        self.temperatures_received = self.temperatures_received or bool(
            digest.temperatures
        )
        for count in digest.counts:
            backend = service.backends.get(index.get(count.backend))
            if backend is None:
                continue
            if count.in_flight:
                peer = blackboard.PeerCount(count.in_flight, now)
                backend.peers[sender] = peer
            else:
                backend.peers.pop(sender, None)
        for row in digest.temperatures:
            backend = service.backends.get(index.get(row.backend))
            if backend is not None:
                self.observer.apply_peer_temperature(
                    service, backend, row.epoch, row.warm
                )
                self.observer.apply_peer_draining(backend, row.draining)

    def drop_stale_counts(self, horizon):
        """Drop the counts of peers that have not been heard for ``horizon``."""
        oldest = self.clock.now() - horizon
        for service in self.board.services.values():
            for backend in service.backends.values():
                for sender, peer in list(backend.peers.items()):
                    if peer.received_at < oldest:
                        del backend.peers[sender]
