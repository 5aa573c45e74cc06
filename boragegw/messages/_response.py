"""An answer on its way to a caller."""

import dataclasses

from boragegw import errors


async def _one(content):
    if content:
        yield content


@dataclasses.dataclass(slots=True)
class Response:
    """One answer; its body is an async iterator that raises
    :class:`~boragegw.errors.TruncatedResponseError` if it breaks off.

    :param headers: pairs of bytes, names in lower case.
    """

    status: int
    headers: list
    body: object
    verdict: errors.Verdict = errors.Verdict.RAN

    @classmethod
    def from_bytes(cls, status, headers, content, verdict=errors.Verdict.RAN):
        """Return an answer that is held whole."""
        return cls(status, list(headers), _one(content), verdict)

    @classmethod
    def from_error(cls, error, request_id=""):
        """Return the answer for a :class:`~boragegw.errors.RequestError`."""
        problem = errors.problem_document(error, request_id)
        return cls.from_bytes(
            problem.status, problem.headers, problem.body, error.verdict
        )

    async def read(self):
        """Return the whole body."""
        return b"".join([chunk async for chunk in self.body])

    async def aclose(self):
        """Give up the rest of the body."""
        close = getattr(self.body, "aclose", None)
        if close is not None:
            await close()
