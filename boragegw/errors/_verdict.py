"""Verdict on whether a request ran on a backend server."""

import enum


class Verdict(enum.StrEnum):
    """What is known about the execution of a request.

    ``NOT_RUN`` requires proof: no byte of the request was written to a connection, or
    the backend server stated that it did not run the request.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    @property
    def allows_retry(self):
        """Whether the request may be retried even if it is not idempotent."""
        return self is Verdict.NOT_RUN
