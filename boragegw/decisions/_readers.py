"""Who reads the platform: a few entries of each data centre; the others listen."""

from boragegw import utils


class ReaderPolicy(utils.Parameterized):
    """Chooses readers, so that reads grow with data centres and not with the fleet.

    :param readers: entries of each data centre that watch the platform.
    :param patience: seconds without a confirmation after which any entry reads.
    """

    _parameter_constraints = {
        "readers": utils.Interval(int, 1, 100),
        "patience": utils.Interval(float, 0.1, 60),
    }

    def __init__(self, readers=2, patience=2.0):
        self.readers = readers
        self.patience = patience

    def is_reader(self, identity, members):
        """Return whether this entry watches the platform.

        :param members: live entries, this one perhaps among them.
        """
        self._check_params()
        local = [m for m in members if m.data_centre == identity.data_centre]
        if all(member.name != identity.name for member in local):
            local.append(identity)
        ranked = utils.rendezvous_rank(
            "readers", local, identity=lambda member: member.name
        )
        return any(m.name == identity.name for m in ranked[: self.readers])

    def must_read(self, confirmed_at, now):
        """Return whether an entry that is no reader has waited too long.

        Guards against readers that have died or are cut off: confirmations stop, and
        a recall would wait for them.
        """
        return now - confirmed_at > self.patience
