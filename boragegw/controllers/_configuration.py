"""Follows the platform's configuration and list of VMs, directly or through peers."""

import logging

from boragegw import configuration, errors, peers, utils
from boragegw.configuration import _documents

logger = logging.getLogger(__name__)

FAILURE_PAUSE = 0.5
IDLE_PAUSE = 0.25


class ConfigurationController:
    """Writes the configuration and fleet sections. It never goes back.

    :param source: a :class:`~boragegw.sources.ConfigurationSource`.
    :param fleet_source: a :class:`~boragegw.sources.FleetSource`.
    :param readers: a :class:`~boragegw.decisions.ReaderPolicy`.
    :param on_change: called after anything new was adopted.
    """

    def __init__(
        self,
        board,
        clock,
        random_state,
        source,
        fleet_source,
        network,
        readers,
        live_entries,
        tasks,
        sleep,
        watch_timeout=5.0,
        reads_per_second=4.0,
    ):
        self.board = board
        self.clock = clock
        self.random_state = random_state
        self.source = source
        self.fleet_source = fleet_source
        self.network = network
        self.readers = readers
        self.live_entries = live_entries
        self.tasks = tasks
        self.sleep = sleep
        self.watch_timeout = watch_timeout
        self.reads = utils.TokenBucket(
            capacity=2 * reads_per_second, per_second=reads_per_second, tokens=4.0
        )
        self.on_change = lambda: None
        self._learning = False
        self._platform_failing = False

    def adopt(self, raw_head, documents):
        """Put a configuration in force if it is newer, whole and valid.

        Guards against going back: a stale replica, a restarted platform or a peer
        with an older view may offer an older revision, and a recall in force would
        silently be undone. Only a greater revision is ever adopted.

        :returns: whether it was adopted.
        """
        section = self.board.configuration
        try:
            head, services, recalls = configuration.parse_bundle(raw_head, documents)
        except errors.ConfigurationError as error:
            self._reject(str(error))
            return False
        if head.revision <= section.revision:
            return False
        section.revision = head.revision
        section.head = raw_head
        section.documents = {name: documents[name] for name in head.documents}
        section.services = services
        section.recalls = recalls
        section.adopted_at = self.clock.now()
        section.rejected = ""
        self.board.counters["configuration.adopted"] += 1
        logger.info("configuration adopted", extra={"revision": head.revision})
        self.on_change()
        return True

    def _reject(self, reason):
        if self.board.configuration.rejected != reason:
            logger.error("configuration rejected: %s", reason)
        self.board.configuration.rejected = reason
        self.board.counters["configuration.rejected"] += 1

    def adopt_vms(self, raw):
        """Take a newer list of VMs; return whether it was newer."""
        section = self.board.fleet
        try:
            version, vms = configuration.parse_vm_list(raw)
        except errors.ConfigurationError as error:
            self.board.counters["fleet.rejected"] += 1
            logger.error("list of VMs rejected: %s", error)
            return False
        section.confirmed_at = self.clock.now()
        if version <= section.version:
            return False
        section.version = version
        section.raw = raw
        section.vms = vms
        self.on_change()
        return True

    async def take_head(self, raw_head):
        """Act on a head read from the platform: confirm, or fetch what changed."""
        section = self.board.configuration
        try:
            head = _documents.parse_head(raw_head)
        except errors.ConfigurationError as error:
            self._reject(str(error))
            return
        if head.revision < section.revision:
            self.board.counters["configuration.stale_reads"] += 1
            return
        if head.revision == section.revision:
            section.confirmed_at = self.clock.now()
            return
        documents = await self._fetch_changed(head)
        if self.adopt(raw_head, documents):
            section.confirmed_at = self.clock.now()

    async def _fetch_changed(self, head):
        """Return the documents of ``head``; those unchanged are not read again."""
        section = self.board.configuration
        held = self._held_hashes()
        documents = {}
        for name, digest in head.documents.items():
            if held.get(name) == digest:
                documents[name] = section.documents[name]
                continue
            await self._take_read()
            documents[name] = await self.source.read_document(name)
        return documents

    async def _take_read(self):
        """Wait for the read budget, which each process keeps for itself."""
        while not self.reads.take(self.clock.now()):
            await self.sleep(IDLE_PAUSE)
        self.board.counters["configuration.reads"] += 1

    def _should_read(self):
        now = self.clock.now()
        section = self.board.configuration
        if self.readers.must_read(section.confirmed_at, now):
            return True
        return self.readers.is_reader(self.board.identity, self.live_entries())

    async def watch_configuration(self):
        """Watch for ever, while this entry is a reader or nobody confirms."""
        while True:
            if not self._should_read():
                await self.sleep(IDLE_PAUSE)
                continue
            await self._guarded(self._watch_once)

    async def _watch_once(self):
        await self._take_read()
        timeout = min(self.watch_timeout, self.readers.confirmation_timeout / 2)
        revision = self.board.configuration.revision
        await self.take_head(await self.source.watch_head(revision, timeout))

    async def watch_vms(self):
        """Watch the list of VMs for ever, under the same rule."""
        while True:
            if not self._should_read():
                await self.sleep(IDLE_PAUSE)
                continue
            await self._guarded(self._watch_vms_once)

    async def _watch_vms_once(self):
        await self._take_read()
        version = self.board.fleet.version
        self.adopt_vms(await self.fleet_source.watch_vms(version, self.watch_timeout))

    async def _guarded(self, step):
        """Run one step; after a failure pause with jitter and keep what is held."""
        try:
            await step()
            self._note_platform(None)
        except errors.PlatformError as error:
            self._note_platform(error)
            await self.sleep(FAILURE_PAUSE * (0.5 + self.random_state.random()))

    def _note_platform(self, error):
        """Count failures; log the first and the end of them, not each."""
        failing = error is not None
        if failing:
            self.board.counters["platform.failures"] += 1
        if failing and not self._platform_failing:
            logger.warning("platform cannot be read: %s", error)
        elif self._platform_failing and not failing:
            logger.info("platform can be read again")
        self._platform_failing = failing

    def heard(self, member):
        """Compare a peer's heartbeat with what is in force here."""
        section = self.board.configuration
        if member.revision == section.revision:
            heard_at = self.clock.now() - member.confirmed_age
            section.confirmed_at = max(section.confirmed_at, heard_at)
        newer = member.revision > section.revision
        newer_vms = member.fleet_version > self.board.fleet.version
        if (newer or newer_vms) and not self._learning:
            self._learning = True
            self.tasks.start(self._learn(member.peer_address), "learn configuration")

    async def _learn(self, address):
        try:
            await self.learn_from(address)
        except peers.PeerError as error:
            logger.warning("configuration not learned from peer: %s", error)
        finally:
            self._learning = False

    async def learn_from(self, address):
        """Take a peer's configuration and list of VMs if they are newer.

        :raises PeerError: if the peer has none.
        """
        bundle = await self.network.fetch_configuration(address, self._known())
        if bundle.head:
            self.adopt(bundle.head, self._completed(bundle))
        if bundle.vms:
            self.adopt_vms(bundle.vms)

    def _held_hashes(self):
        section = self.board.configuration
        if not section.head:
            return {}
        return dict(_documents.parse_head(section.head).documents)

    def _known(self):
        return peers.KnownConfiguration(
            self.board.configuration.revision,
            self.board.fleet.version,
            frozenset(self._held_hashes().values()),
        )

    def _completed(self, bundle):
        """Return a bundle's documents with those that are held here already."""
        try:
            wanted = _documents.parse_head(bundle.head).documents
        except errors.ConfigurationError:
            return bundle.documents
        held = {
            digest: self.board.configuration.documents[name]
            for name, digest in self._held_hashes().items()
        }
        kept = {name: held[h] for name, h in wanted.items() if h in held}
        return {**kept, **bundle.documents}

    def bundle(self, known):
        """Return what is in force here and a peer does not know."""
        section = self.board.configuration
        head, documents = b"", {}
        if section.revision > known.revision:
            head = section.head
            documents = {
                name: section.documents[name]
                for name, digest in self._held_hashes().items()
                if digest not in known.hashes
            }
        newer = self.board.fleet.version > known.version
        return peers.ConfigurationBundle(
            head, documents, self.board.fleet.raw if newer else b""
        )

    async def bootstrap(self, seeds):
        """Ask platform and peers once each; what is greatest is in force afterwards.

        Guards against a fresh VM that believes one stale replica of the platform
        while its peers know better.
        """
        await self._guarded(self._read_once)
        listed = [vm.peer_address for vm in self.board.fleet.entries()]
        own = self.board.identity.peer_address
        addresses = {address for address in (*listed, *seeds) if address} - {own}
        chosen = self.random_state.sample(sorted(addresses), min(3, len(addresses)))
        for address in chosen:
            try:
                await self.learn_from(address)
            except peers.PeerError as error:
                logger.info("peer not reached at start: %s", error)

    async def _read_once(self):
        self.adopt_vms(await self.fleet_source.watch_vms(0, 0.0))
        await self.take_head(await self.source.read_head())

    @property
    def ready(self):
        """Whether there is a configuration and a list of VMs to work by."""
        return self.board.configuration.revision > 0 and self.board.fleet.version > 0
