"""Gossip of in-flight counts, temperatures and quarantines between entries."""

from boragegw import blackboard, peers, utils

#: Most temperatures in a load digest.
MAX_TEMPERATURES = 12
#: Most in-flight counts in a load digest.
MAX_COUNTS = 80
#: Probability that a round sends a digest of a service without requests in flight.
IDLE_SEND_PROBABILITY = 0.02


def backend_hash(name):
    """Return the 32 bit hash that identifies a backend server in digests."""
    return utils.stable_hash("backend", name) & 0xFFFFFFFF


class GossipController:
    """Exchanges load digests between the entries that serve the same service.

    :param network: a :class:`~boragegw.peers.PeerNetwork`.
    :param services: the :class:`ServicesController`.
    :param observer: the :class:`HealthObserver`.

    ``temperatures_received`` is set once a peer has sent temperatures.
    """

    def __init__(self, board, clock, random_state, network, services, observer):
        self.board = board
        self.clock = clock
        self.random_state = random_state
        self.network = network
        self.services = services
        self.observer = observer
        self.temperatures_received = False
        self._sent_counts = {}
        self._indexes = {}

    def _names_by_hash(self, service):
        """Return the names of the backend servers by hash, without collisions."""
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
        """Send this entry's counts to the other entries of each service."""
        working = self.services.working_entries()
        own = self.board.identity.incarnation
        for name, service in self.board.services.items():
            if self._skips_round(name, service):
                continue
            counts = self._counts(name, service)
            subset = self.services.subset(service, working)
            others = [member for member in subset if member.incarnation != own]
            digest = peers.LoadDigest(name, counts, self._sample_temperatures(service))
            for member in others:
                self.network.send(member.peer_address, digest)
        self._send_to_random_entry(working, own)

    def _skips_round(self, name, service):
        """Return whether to skip the digest of a service in this round.

        In a large fleet an entry has requests for few of the services. It sends the
        temperatures of the others at a low random rate, which makes up for lost
        datagrams.
        """
        if service.in_flight or self._sent_counts.get(name):
            return False
        return self.random_state.random() > IDLE_SEND_PROBABILITY

    def _counts(self, name, service):
        """Return the counts above zero, and the zeros last sent as a higher count."""
        sent = self._sent_counts.setdefault(name, {})
        current = {
            backend.name: backend.own_in_flight for backend in service.backends.values()
        }
        changed = {n: c for n, c in current.items() if c or sent.get(n)}
        self._sent_counts[name] = changed
        rows = list(changed.items())
        if len(rows) > MAX_COUNTS:
            rows = self.random_state.sample(rows, MAX_COUNTS)
        return [peers.BackendCount(backend_hash(n), c) for n, c in rows]

    def _sample_temperatures(self, service):
        rows = [b for b in service.backends.values() if self._has_known_temperature(b)]
        if len(rows) > MAX_TEMPERATURES:
            rows = self.random_state.sample(rows, MAX_TEMPERATURES)
        return [self._temperature(backend) for backend in rows]

    @staticmethod
    def _has_known_temperature(backend):
        return backend.cold_epoch > 0 or backend.phase is blackboard.Phase.WARM

    @staticmethod
    def _temperature(backend):
        warm = backend.phase is blackboard.Phase.WARM
        reported = backend.report is not None and backend.report.draining
        return peers.Temperature(
            backend_hash(backend.name), backend.cold_epoch, warm, reported
        )

    def _send_to_random_entry(self, working, own):
        """Send temperatures of one service to a random entry.

        Spare entries outside the service's subset need them too.
        """
        others = [member for member in working if member.incarnation != own]
        if not others or not self.board.services:
            return
        member = self.random_state.choice(others)
        name = self.random_state.choice(list(self.board.services))
        service = self.board.services[name]
        rows = self._sample_temperatures(service)
        if rows:
            digest = peers.LoadDigest(name, [], rows)
            self.network.send(member.peer_address, digest)

    def send_all_temperatures(self, member):
        """Send all temperatures to a new entry, in several digests."""
        for name, service in self.board.services.items():
            rows = [
                self._temperature(backend)
                for backend in service.backends.values()
                if self._has_known_temperature(backend)
            ]
            for start in range(0, len(rows), MAX_COUNTS // 2):
                part = rows[start : start + MAX_COUNTS // 2]
                digest = peers.LoadDigest(name, [], part)
                self.network.send(member.peer_address, digest)

    def broadcast_temperature(self, service, backend):
        """Send a changed temperature to the live peers at once, at most 64 of them."""
        digest = peers.LoadDigest(
            service.settings.name, [], [self._temperature(backend)]
        )
        self._broadcast(digest)

    def broadcast_quarantine(self, fingerprint, remaining):
        """Send the quarantine of a request to at most 64 live peers at once.

        A request that crashes backend servers is quarantined.

        :param fingerprint: fingerprint of the request.
        :param remaining: seconds until the quarantine ends.
        """
        self._broadcast(peers.Quarantine(fingerprint, remaining))

    def _broadcast(self, message):
        now = self.clock.now()
        for member in list(self.board.membership.alive(now))[:64]:
            self.network.send(member.peer_address, message)

    def handle_digest(self, sender, digest):
        """Apply a peer's counts and temperatures.

        :param sender: incarnation of the peer.
        :param digest: a :class:`~boragegw.peers.LoadDigest`.
        """
        service = self.board.services.get(digest.service)
        if service is None:
            return
        index = self._names_by_hash(service)
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
        """Drop counts of peers that are older than ``horizon`` seconds."""
        oldest = self.clock.now() - horizon
        for service in self.board.services.values():
            for backend in service.backends.values():
                for sender, peer in list(backend.peers.items()):
                    if peer.received_at < oldest:
                        del backend.peers[sender]
