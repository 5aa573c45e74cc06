"""Which entry VMs serve a service, and which one warms a backend server."""

from boragegw import utils


class SubsetPolicy(utils.Parameterized):
    """Rendezvous choice of a few entries for each service.

    Few entries for a service keep each one's own counts near the truth. The choice
    depends on names alone, so all entries with the same view agree without talking.

    :param spares: entries named to callers behind the subset.
    """

    _parameter_constraints = {"spares": utils.Interval(int, 0, 100)}

    def __init__(self, spares=1):
        self.spares = spares

    def subset(self, service, members, size):
        """Return the entries that serve ``service``: one in each data centre first.

        :param members: live entries, this one included.
        :param size: entries wanted; data centres in sight may make it more.
        """
        self._check_params()
        ranked = utils.rendezvous_rank(
            service, members, identity=lambda member: member.name
        )
        firsts = {}
        for member in ranked:
            firsts.setdefault(member.data_centre, member)
        chosen = {member.name for member in firsts.values()}
        for member in ranked:
            if len(chosen) >= size:
                break
            chosen.add(member.name)
        return [member for member in ranked if member.name in chosen]

    def for_caller(self, service, members, size, caller, data_centre=""):
        """Return entries in the order in which ``caller`` should try them.

        Callers are spread over the subset by their own hash; a caller that names its
        data centre gets the entries there first.

        :param caller: any stable text that tells callers apart.
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
        """Return the entry that may send to the cold backend server ``vm``.

        Guards against two warmers in a partition between data centres: the two sides
        see different entries, and both would load a server that bears one share. The
        warmer is an entry of the server's own data centre, which is on one side only.
        An entry elsewhere warms it only where the platform lists no entry VM there.

        :param subset: entries of the service that are in sight.
        :param listed_data_centres: data centres in which the platform lists entry VMs.
        """
        local = [m for m in subset if m.data_centre == vm.data_centre]
        if not local and vm.data_centre in listed_data_centres:
            return None
        ranked = utils.rendezvous_rank(
            vm.name, local or subset, identity=lambda member: member.name
        )
        return ranked[0] if ranked else None
