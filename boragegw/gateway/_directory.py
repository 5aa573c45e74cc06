"""Which gateway processes callers are told to use."""

from boragegw import utils


class DirectoryPolicy(utils.Parameterized):
    """Chooses the processes that a caller is told to use.

    :param least_local: a caller is sent to its own data centre alone if at least
        this many processes there take requests; fewer would leave it with too little
        choice when one is lost.
    :param guests: processes of other data centres that are named besides, so that a
        caller whose data centre loses power has somewhere to go.
    :param most: addresses in an answer.
    """

    _parameter_constraints = {
        "least_local": utils.Interval(int, 0, 1000),
        "guests": utils.Interval(int, 0, 1000),
        "most": utils.Interval(int, 1, 64),
    }

    def __init__(self, least_local=2, guests=2, most=64):
        self.least_local = least_local
        self.guests = guests
        self.most = most

    def choose(self, members, data_centre, random_state):
        """Return the members that a caller in ``data_centre`` is told to use.

        :param members: :class:`Member` of all processes that take requests.
        """
        self._check_params()
        local = [m for m in members if m.data_centre == data_centre]
        others = [m for m in members if m.data_centre != data_centre]
        random_state.shuffle(local)
        random_state.shuffle(others)
        if len(local) < self.least_local:
            return (local + others)[: self.most]
        return (local + others[: self.guests])[: self.most]
