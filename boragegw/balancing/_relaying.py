"""Relaying: which process gets a request whose service this process cannot reach."""

from boragegw import utils


class RelayPolicy(utils.Parameterized):
    """Chooses one of the processes that reach a service.

    :param local_share: least share of the processes of the own data centre that must
        reach the service for only these to be chosen from. With fewer, the processes of
        all data centres share the load, so that the last ones left nearby do not get
        the requests of all others.
    """

    _parameter_constraints = {"local_share": utils.Interval(float, 0, 1)}

    def __init__(self, local_share=0.5):
        self.local_share = local_share

    def choose(self, candidates, local_processes, data_centre, random_state):
        """Return one of the candidates, or ``None`` if there are none.

        :param candidates: processes that reach the service, with ``data_centre``.
        :param local_processes: number of processes in the own data centre.
        :param data_centre: the own data centre.
        """
        self._check_params()
        local = [c for c in candidates if c.data_centre == data_centre]
        if local and len(local) >= self.local_share * local_processes:
            return random_state.choice(local)
        return random_state.choice(candidates) if candidates else None
