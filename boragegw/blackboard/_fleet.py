"""Published state of the platform: the configuration and the list of VMs."""

import dataclasses

ROLE_BACKEND = "backend"
ROLE_ENTRY = "entry"
#: Harm ranks are 0 to this one.
HIGHEST_HARM = 2


@dataclasses.dataclass(frozen=True, slots=True)
class VirtualMachine:
    """One row of the platform's list of VMs.

    :param role: :data:`ROLE_BACKEND` or :data:`ROLE_ENTRY`.
    :param address: ``host:port`` for requests; of an entry VM for those of callers.
    :param service: service of a backend server, else "".
    :param release: release that a backend server runs.
    :param labels: labels that recalls can name.
    :param slots: requests a backend server runs at once.
    :param connections: connections a backend server accepts from all entries.
    :param peer_address: ``host:port`` of an entry VM's peer interface, else "".
    :param leaving: whether the platform has announced the removal of the VM.
    """

    name: str
    role: str
    address: str
    data_centre: str
    service: str = ""
    release: str = ""
    labels: frozenset = frozenset()
    slots: int = 1
    connections: int = 64
    peer_address: str = ""
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Recall:
    """A batch of backend servers that gets no new requests.

    :param kind: ``data-centre``, ``release``, ``label`` or ``vms``.
    :param values: names of the data centres, releases, labels or VMs in the batch.
    """

    kind: str
    values: frozenset

    def covers(self, vm):
        """Return whether the backend server ``vm`` belongs to the batch."""
        if self.kind == "data-centre":
            return vm.data_centre in self.values
        if self.kind == "release":
            return vm.release in self.values
        if self.kind == "label":
            return bool(vm.labels & self.values)
        return vm.name in self.values


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Resolved settings of one service, times in seconds.

    :param idempotent_rules: triples (method, path prefix, idempotent); the first
        match decides. Without a match only GET and HEAD are idempotent.
    :param harm_rules: triples (method, path prefix, harm); 0 is the least harm.
    :param deadline: time limit of a request whose caller states none.
    :param in_flight_factor: requests in flight per slot of a backend server.
    :param queue_limit: requests that may wait in one entry.
    :param cold_in_flight: requests in flight that a cold backend server can handle.
    :param warm_up: shortest time from cold to warm.
    :param subset_size: entry VMs returned to callers, besides the spares.
    :param hedge_budget: share of idempotent requests that may be hedged.
    :param retry_budget: retries added to the budget by each request.
    :param probe_budget: probes added to the budget by each request.
    :param non_idempotent_body_limit: most bytes of a non-idempotent request's body.
    :param body_limit: most bytes of a request's body.
    """

    name: str
    idempotent_rules: tuple = ()
    harm_rules: tuple = ()
    deadline: float = 10.0
    in_flight_factor: float = 1.0
    queue_limit: int = 200
    cold_in_flight: int = 1
    warm_up: float = 10.0
    subset_size: int = 3
    hedge_budget: float = 0.05
    retry_budget: float = 0.1
    probe_budget: float = 0.01
    non_idempotent_body_limit: int = 1 << 20
    body_limit: int = 1 << 30

    def is_idempotent(self, method, path):
        """Return whether it is safe to run a request more than once."""
        for rule_method, prefix, idempotent in self.idempotent_rules:
            if rule_method in ("*", method) and path.startswith(prefix):
                return idempotent
        return method in ("GET", "HEAD")

    def harm(self, method, path):
        """Return the harm rank of losing a request; 0 is the least."""
        for rule_method, prefix, harm in self.harm_rules:
            if rule_method in ("*", method) and path.startswith(prefix):
                return harm
        return 1


@dataclasses.dataclass(slots=True)
class ConfigurationSection:
    """The current configuration. Writer: the configuration controller.

    :param revision: revision of the current head, 0 before the first.
    :param head: the raw head document, passed to peers unchanged.
    :param documents: raw documents by name.
    :param services: :class:`ServiceSettings` by name.
    :param recalls: the :class:`Recall` objects in force.
    :param accounts: an :class:`~boragegw.accounts.AccountTable`; ``None`` if requests
        need no API keys.
    :param confirmed_at: monotonic seconds at which this revision was last known to be
        the platform's latest.
    :param adopted_at: monotonic seconds at which this revision was adopted.
    :param rejected: reason of the latest rejection; "" since an adoption.
    """

    revision: int = 0
    head: bytes = b""
    documents: dict = dataclasses.field(default_factory=dict)
    services: dict = dataclasses.field(default_factory=dict)
    recalls: tuple = ()
    accounts: object = None
    confirmed_at: float = float("-inf")
    adopted_at: float = float("-inf")
    rejected: str = ""

    def is_recalled(self, vm):
        """Return whether ``vm`` is in a recalled batch."""
        return any(recall.covers(vm) for recall in self.recalls)


@dataclasses.dataclass(slots=True)
class FleetSection:
    """The platform's list of VMs. Writer: the configuration controller.

    :param version: version of the list, 0 before the first.
    :param raw: the list as published, passed to peers unchanged.
    :param vms: :class:`VirtualMachine` by name.
    :param confirmed_at: monotonic seconds at which a list was last received.
    """

    version: int = 0
    raw: bytes = b""
    vms: dict = dataclasses.field(default_factory=dict)
    confirmed_at: float = float("-inf")

    def entries(self):
        """Yield the entry VMs that the platform does not list as leaving."""
        return (
            vm for vm in self.vms.values() if vm.role == ROLE_ENTRY and not vm.leaving
        )
