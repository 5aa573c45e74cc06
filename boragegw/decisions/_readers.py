"""Readers: the few entries of each data centre that watch the platform.

The other entries learn of changes from their peers.
"""

from boragegw import utils


class ReaderPolicy(utils.Parameterized):
    """Chooses the readers of each data centre.

    The load on the platform thus grows with the number of data centres and not with
    the number of entries.

    :param readers: number of entries in each data centre that watch the platform.
    :param confirmation_timeout: seconds without a confirmation after which any entry
        reads the platform.
    """

    _parameter_constraints = {
        "readers": utils.Interval(int, 1, 100),
        "confirmation_timeout": utils.Interval(float, 0.1, 60),
    }

    def __init__(self, readers=2, confirmation_timeout=2.0):
        self.readers = readers
        self.confirmation_timeout = confirmation_timeout

    def is_reader(self, identity, members):
        """Return whether this entry watches the platform.

        :param members: live entries, with or without this one.
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
        """Return whether an entry that is not a reader must read the platform itself.

        Guards against readers that have crashed or lost their connection. Their
        confirmations stop, and a recall would otherwise wait for them.
        """
        return now - confirmed_at > self.confirmation_timeout
