"""What a process that shuts down still sends to backend servers and processes."""

#: Reason of an attempt that is not made because the process ends too soon.
STOPPING = "process stops"


class StopGate:
    """Decides on requests while this process shuts down.

    :param board: the :class:`Blackboard`.
    :param policy: a :class:`~boragegw.balancing.StopPolicy`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, board, policy, *, now):
        self.board = board
        self.policy = policy
        self.now = now

    def permits(self, call):
        """Return whether a call certainly ends before the process does.

        :param call: a :class:`Call`.
        """
        if not self.board.stopping:
            return True
        return self.policy.permits(call.deadline, stop_by=self.board.stop_by)

    def permits_hedge(self, call):
        """Return whether a hedge that starts now probably ends before the process.

        :param call: a :class:`Call` with an attempt that is running.
        """
        if not self.board.stopping:
            return True
        return self.policy.permits_hedge(
            call.route.name,
            call.deadline,
            call.state.latencies,
            stop_by=self.board.stop_by,
            now=self.now(),
        )
