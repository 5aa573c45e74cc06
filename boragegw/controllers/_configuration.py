"""Replicates the platform's configuration and list of VMs, directly or from peers."""

import logging

from boragegw import configuration, errors, peers, utils
from boragegw.configuration import _documents

logger = logging.getLogger(__name__)

#: Mean back-off in seconds after a failed read; jitter makes it 0.5 to 1.5 times that.
FAILURE_BACKOFF_SECONDS = 0.5
#: Interval in seconds at which a non-reader checks its role, and at which a read that
#: exceeds the budget checks the budget again.
POLL_SECONDS = 0.25


class ConfigurationController:
    """Writes the configuration and fleet sections; revisions only ever increase.

    A few reader entries of each data centre watch the platform. The others fetch new
    revisions from the peers whose heartbeats report them.

    :param source: a :class:`~boragegw.sources.ConfigurationSource`.
    :param fleet_source: a :class:`~boragegw.sources.FleetSource`.
    :param reader_policy: a :class:`~boragegw.decisions.ReaderPolicy`.
    :param live_entries: function that returns the entries that callers may use.
    :param watch_timeout: seconds after which a watch returns without a change.
    :param reads_per_second: rate of this process's read budget.

    ``on_change`` is called after a new revision or list of VMs was adopted.
    """

    def __init__(
        self,
        board,
        clock,
        random_state,
        source,
        fleet_source,
        network,
        reader_policy,
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
        self.reader_policy = reader_policy
        self.live_entries = live_entries
        self.tasks = tasks
        self.sleep = sleep
        self.watch_timeout = watch_timeout
        self.read_budget = utils.TokenBucket(
            capacity=2 * reads_per_second, per_second=reads_per_second, tokens=4.0
        )
        self.on_change = lambda: None
        self._fetching_from_peer = False
        self._platform_failing = False

    def adopt(self, raw_head, documents):
        """Adopt a configuration if it is newer, complete and valid.

        Only a greater revision is ever adopted. A stale replica, a restarted platform
        or a peer with an older view may offer an older revision, which would silently
        undo a recall.

        :param raw_head: the raw head document.
        :param documents: the raw documents by name.
        :returns: whether it was adopted.
        """
        section = self.board.configuration
        try:
            bundle = configuration.parse_bundle(raw_head, documents)
        except errors.ConfigurationError as error:
            self._reject(str(error))
            return False
        if bundle.head.revision <= section.revision:
            return False
        section.revision = bundle.head.revision
        section.head = raw_head
        section.documents = {name: documents[name] for name in bundle.head.documents}
        section.services = bundle.services
        section.recalls = bundle.recalls
        section.accounts = bundle.accounts
        section.adopted_at = self.clock.now()
        section.rejected = ""
        self.board.counters["configuration.adopted"] += 1
        logger.info("configuration adopted", extra={"revision": bundle.head.revision})
        self.on_change()
        return True

    def _reject(self, reason):
        if self.board.configuration.rejected != reason:
            logger.error("configuration rejected: %s", reason)
        self.board.configuration.rejected = reason
        self.board.counters["configuration.rejected"] += 1

    def adopt_vm_list(self, raw):
        """Adopt the raw list of VMs if it is newer; return whether it was adopted."""
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

    async def handle_head(self, raw_head):
        """Handle a head read from the platform.

        A head of the current revision confirms it. For a newer one the changed
        documents are fetched and adopted.
        """
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
        """Return the documents of ``head``, reading only those that changed."""
        section = self.board.configuration
        held = self._document_hashes()
        documents = {}
        for name, digest in head.documents.items():
            if held.get(name) == digest:
                documents[name] = section.documents[name]
                continue
            await self._acquire_read()
            documents[name] = await self.source.read_document(name)
        return documents

    async def _acquire_read(self):
        """Wait until this process's own read budget allows a read, and count it."""
        while not self.read_budget.try_spend(self.clock.now()):
            await self.sleep(POLL_SECONDS)
        self.board.counters["configuration.reads"] += 1

    def _should_read(self):
        now = self.clock.now()
        section = self.board.configuration
        if self.reader_policy.must_read(section.confirmed_at, now):
            return True
        return self.reader_policy.is_reader(self.board.identity, self.live_entries())

    async def watch_configuration(self):
        """Watch the configuration forever.

        The platform is read only while this entry is a reader or the configuration
        has not been confirmed recently.
        """
        while True:
            if not self._should_read():
                await self.sleep(POLL_SECONDS)
                continue
            await self._run_with_backoff(self._watch_configuration_once)

    async def _watch_configuration_once(self):
        await self._acquire_read()
        timeout = min(self.watch_timeout, self.reader_policy.confirmation_timeout / 2)
        revision = self.board.configuration.revision
        await self.handle_head(await self.source.watch_head(revision, timeout))

    async def watch_vms(self):
        """Watch the list of VMs forever, under the rule of the configuration watch."""
        while True:
            if not self._should_read():
                await self.sleep(POLL_SECONDS)
                continue
            await self._run_with_backoff(self._watch_vms_once)

    async def _watch_vms_once(self):
        await self._acquire_read()
        version = self.board.fleet.version
        self.adopt_vm_list(
            await self.fleet_source.watch_vms(version, self.watch_timeout)
        )

    async def _run_with_backoff(self, step):
        """Run one step; after a failure keep the current state and back off."""
        try:
            await step()
            self._record_platform_result(None)
        except errors.PlatformError as error:
            self._record_platform_result(error)
            await self._back_off()
        except Exception:
            # What the platform returned has caused it; the next step may succeed.
            self.board.counters["platform.failures"] += 1
            logger.exception("handling a response of the platform failed")
            await self._back_off()

    async def _back_off(self):
        await self.sleep(FAILURE_BACKOFF_SECONDS * (0.5 + self.random_state.random()))

    def _record_platform_result(self, error):
        """Count failures; log only the first failure and the recovery."""
        failing = error is not None
        if failing:
            self.board.counters["platform.failures"] += 1
        if failing and not self._platform_failing:
            logger.warning("reading from the platform failed: %s", error)
        elif self._platform_failing and not failing:
            logger.info("reading from the platform succeeds again")
        self._platform_failing = failing

    def handle_heartbeat(self, member):
        """Compare a peer's revisions with the local ones.

        An equal revision passes on the peer's confirmation. A greater one starts a
        fetch from that peer, unless a fetch is running.

        :param member: the sender's :class:`~boragegw.blackboard.Member`.
        """
        section = self.board.configuration
        if member.revision == section.revision:
            confirmed_at = self.clock.now() - member.confirmed_age
            section.confirmed_at = max(section.confirmed_at, confirmed_at)
        newer = member.revision > section.revision
        newer_vms = member.fleet_version > self.board.fleet.version
        if (newer or newer_vms) and not self._fetching_from_peer:
            self._fetching_from_peer = True
            self.tasks.start(
                self._try_fetch_from_peer(member.peer_address), "fetch configuration"
            )

    async def _try_fetch_from_peer(self, address):
        try:
            await self.fetch_from_peer(address)
        except peers.PeerError as error:
            logger.warning("fetching the configuration from a peer failed: %s", error)
        finally:
            self._fetching_from_peer = False

    async def fetch_from_peer(self, address):
        """Fetch a peer's configuration and list of VMs, and adopt what is newer.

        :param address: the peer's ``host:port``.
        :raises PeerError: if the peer cannot provide them.
        """
        bundle = await self.network.fetch_configuration(
            address, self._known_configuration()
        )
        if bundle.head:
            self.adopt(bundle.head, self._complete_documents(bundle))
        if bundle.vms:
            self.adopt_vm_list(bundle.vms)

    def _document_hashes(self):
        section = self.board.configuration
        if not section.head:
            return {}
        return dict(_documents.parse_head(section.head).documents)

    def _known_configuration(self):
        return peers.KnownConfiguration(
            self.board.configuration.revision,
            self.board.fleet.version,
            frozenset(self._document_hashes().values()),
        )

    def _complete_documents(self, bundle):
        """Return a bundle's documents, completed by local ones with the same hash."""
        try:
            wanted = _documents.parse_head(bundle.head).documents
        except errors.ConfigurationError:
            return bundle.documents
        held = {
            digest: self.board.configuration.documents[name]
            for name, digest in self._document_hashes().items()
        }
        kept = {name: held[h] for name, h in wanted.items() if h in held}
        return {**kept, **bundle.documents}

    def build_bundle(self, known):
        """Return what a peer lacks of the current configuration and list of VMs.

        :param known: the peer's :class:`~boragegw.peers.KnownConfiguration`.
        """
        section = self.board.configuration
        head, documents = b"", {}
        if section.revision > known.revision:
            head = section.head
            documents = {
                name: section.documents[name]
                for name, digest in self._document_hashes().items()
                if digest not in known.hashes
            }
        newer = self.board.fleet.version > known.version
        return peers.ConfigurationBundle(
            head, documents, self.board.fleet.raw if newer else b""
        )

    async def bootstrap(self, seeds):
        """Read from the platform and from up to three peers; the newest is adopted.

        Otherwise a new VM could start with the configuration of a stale replica of
        the platform although its peers have a newer one.

        :param seeds: peer addresses to try besides those in the list of VMs.
        """
        await self._run_with_backoff(self._read_once)
        listed = [vm.peer_address for vm in self.board.fleet.entries()]
        own = self.board.identity.peer_address
        addresses = {address for address in (*listed, *seeds) if address} - {own}
        chosen = self.random_state.sample(sorted(addresses), min(3, len(addresses)))
        for address in chosen:
            try:
                await self.fetch_from_peer(address)
            except peers.PeerError as error:
                logger.info("fetching the configuration at startup failed: %s", error)

    async def _read_once(self):
        self.adopt_vm_list(await self.fleet_source.watch_vms(0, 0.0))
        await self.handle_head(await self.source.read_head())

    @property
    def ready(self):
        """Whether a configuration and a list of VMs have been adopted."""
        return self.board.configuration.revision > 0 and self.board.fleet.version > 0
