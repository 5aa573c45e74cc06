"""The verdict: whether a request may have run on a backend server."""

import enum


class Verdict(enum.StrEnum):
    """What is known about the execution of a request.

    ``NOT_RUN`` is only given by proof: no byte of the request was handed to a
    connection, or the backend server said that it did not run it.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    @property
    def allows_retry(self):
        """Whether even a non-idempotent request may be sent again."""
        return self is Verdict.NOT_RUN
