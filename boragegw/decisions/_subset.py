"""Subsetting: which entry VMs serve a service, and which one warms up a server."""

from boragegw import utils


class SubsetPolicy(utils.Parameterized):
    """Chooses a few entries for each service by rendezvous hashing.

    With few entries for a service, each entry's own request counts are nearly exact.
    The choice depends only on names, so all entries with the same view of the members
    agree without communication.

    :param spares: number of entries that callers get in addition to the subset.
    """

    _parameter_constraints = {"spares": utils.Interval(int, 0, 100)}

    def __init__(self, spares=1):
        self.spares = spares

    def subset(self, service, members, size):
        """Return the entries that serve ``service``, at least one in each data centre.

        :param members: live entries, this one included.
        :param size: number of entries to choose; more if there are more data centres.
        """
        self._check_params()
        ranked = utils.rendezvous_rank(
            service, members, identity=lambda member: member.name
        )
        first_by_data_centre = {}
        for member in ranked:
            first_by_data_centre.setdefault(member.data_centre, member)
        chosen = {member.name for member in first_by_data_centre.values()}
        for member in ranked:
            if len(chosen) >= size:
                break
            chosen.add(member.name)
        return [member for member in ranked if member.name in chosen]

    def for_caller(self, service, members, size, caller, data_centre=""):
        """Return entries in the order in which ``caller`` should try them.

        Callers are distributed over the subset by a hash of their identity. A caller
        that states its data centre gets the entries there first.

        :param caller: stable text that identifies the caller.
        """
        subset = self.subset(service, members, size)
        ordered = utils.rendezvous_rank(
            f"{service}/{caller}", subset, identity=lambda member: member.name
        )
        ordered.sort(key=lambda member: member.data_centre != data_centre)
        names = {member.name for member in subset}
        rest = utils.rendezvous_rank(
            service,
            [member for member in members if member.name not in names],
            identity=lambda member: member.name,
        )
        return ordered + rest[: self.spares]

    def warmer(self, vm, subset, listed_data_centres):
        """Return the entry that warms up the cold backend server ``vm``, or ``None``.

        Only this entry may send requests to it. Guards against two such entries during
        a network partition between data centres: the two sides see different entries,
        and both would send to a server that can handle the load of one. The entry is in
        the server's own data centre, which is on one side only. An entry elsewhere is
        chosen only if the platform lists no entry VM in that data centre.

        :param subset: live entries of the service.
        :param listed_data_centres: data centres in which the platform lists entry VMs.
        """
        local = [m for m in subset if m.data_centre == vm.data_centre]
        if not local and vm.data_centre in listed_data_centres:
            return None
        ranked = utils.rendezvous_rank(
            vm.name, local or subset, identity=lambda member: member.name
        )
        return ranked[0] if ranked else None
