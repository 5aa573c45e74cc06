"""Updates services and backend servers from the configuration, VMs and peers."""

from boragegw import blackboard


class ServicesController:
    """Writes which backend servers exist, are recalled, or are warmed by this entry.

    A cold backend server gets its slow start from a single entry, its warmer.

    :param subsets: a :class:`~boragegw.decisions.SubsetPolicy`.
    :param membership: a :class:`~boragegw.decisions.MembershipPolicy`.
    :param ramp: a :class:`~boragegw.decisions.SlowStartPolicy`.
    """

    def __init__(self, board, clock, dispatcher, subsets, membership, ramp):
        self.board = board
        self.clock = clock
        self.dispatcher = dispatcher
        self.subsets = subsets
        self.membership = membership
        self.ramp = ramp
        self._view = None
        self._view_of_warmers = None
        self._subsets = {}

    def refresh(self):
        """Update services, backend servers, recalls and warmers.

        It is cheap enough to run on each change and each tick.
        """
        configuration = self.board.configuration
        services = self.board.services
        for name, settings in configuration.services.items():
            if name not in services:
                services[name] = blackboard.ServiceState(settings)
            services[name].settings = settings
        for name in [name for name in services if name not in configuration.services]:
            self._remove_service(services.pop(name))
        self._refresh_backends()
        self.refresh_recalls()
        self.refresh_warmers()

    def _remove_service(self, service):
        for backend in service.backends.values():
            backend.removed = True
        self.dispatcher.dispatch_waiting(service)

    def _refresh_backends(self):
        listed = {name: {} for name in self.board.services}
        for vm in self.board.fleet.vms.values():
            if vm.role == blackboard.ROLE_BACKEND and vm.service in listed:
                listed[vm.service][vm.name] = vm
        for name, vms in listed.items():
            service = self.board.services[name]
            for gone in [n for n in service.backends if n not in vms]:
                service.backends.pop(gone).removed = True
            for vm in vms.values():
                self._refresh_backend(service, vm)

    def _refresh_backend(self, service, vm):
        known = service.backends.get(vm.name)
        if known is not None and known.vm.address == vm.address:
            known.vm = vm
            return
        if known is not None:
            known.removed = True
        backend = blackboard.BackendState(vm)
        backend.slow_start_limit = float(min(service.settings.cold_in_flight, vm.slots))
        backend.cold_since = self.clock.now()
        service.backends[vm.name] = backend

    def refresh_recalls(self):
        """Apply the recalls in force; a backend server starts cold after a recall."""
        for service in self.board.services.values():
            for backend in service.backends.values():
                recalled = self.board.configuration.is_recalled(backend.vm)
                if backend.recalled and not recalled:
                    now, wall = self.clock.now(), self.clock.wall()
                    self.ramp.turn_cold(backend, service.settings, now, wall)
                backend.recalled = recalled
            self.dispatcher.dispatch_waiting(service)

    def live_entries(self):
        """Return the entries that callers may use."""
        return self.membership.live_entries(self.board, self.clock.now())

    def working_entries(self):
        """Return the entries that may send requests to backend servers."""
        return self.membership.working_entries(self.board, self.clock.now())

    def subset(self, service, members=None):
        """Return the entries that serve ``service``.

        Ranking all entries for each service is the most expensive control task in a
        large fleet, so the result is cached until the view changes.

        :param service: a :class:`~boragegw.blackboard.ServiceState`.
        :param members: the working entries, if the caller has them already.
        """
        settings = service.settings
        members = self.working_entries() if members is None else members
        self._update_view(members)
        cached = self._subsets.get(settings.name)
        if cached is None:
            cached = self.subsets.subset(settings.name, members, settings.subset_size)
            self._subsets[settings.name] = cached
        return cached

    def _update_view(self, members):
        """Return the current view; clear the cached subsets if it has changed."""
        view = (
            self.board.configuration.revision,
            self.board.fleet.version,
            frozenset(member.incarnation for member in members),
        )
        if view != self._view:
            self._view = view
            self._subsets.clear()
        return view

    def refresh_warmers(self, force=True):
        """Decide for each backend server whether this entry is its warmer.

        :param force: whether to decide again even if the view has not changed.
        """
        working = self.working_entries()
        view = self._update_view(working)
        if view == self._view_of_warmers and not force:
            return
        self._view_of_warmers = view
        listed = {vm.data_centre for vm in self.board.fleet.entries()}
        own = self.board.identity.name
        for service in self.board.services.values():
            subset = self.subset(service, working)
            for backend in service.backends.values():
                warmer = self.subsets.warmer(backend.vm, subset, listed)
                is_warmer = warmer is not None and warmer.name == own
                self._set_warmer(service, backend, is_warmer)

    def _set_warmer(self, service, backend, is_warmer):
        """Record whether this entry is the warmer; a new warmer restarts slow start.

        The limit that another process reached is not taken over: only the process
        that received the timely responses knows how far slow start has got.
        """
        became = is_warmer and not backend.is_warmer
        backend.is_warmer = is_warmer
        if became and backend.phase is blackboard.Phase.COLD:
            settings = service.settings
            backend.slow_start_limit = float(
                min(settings.cold_in_flight, backend.vm.slots)
            )
            backend.cold_since = self.clock.now()
