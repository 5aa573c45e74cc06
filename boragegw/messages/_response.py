"""A response to a caller or peer."""

import dataclasses

from boragegw import errors


async def _single_chunk(content):
    if content:
        yield content


@dataclasses.dataclass(slots=True)
class Response:
    """One response.

    :param headers: pairs of bytes, names in lower case.
    :param body: async iterator of bytes; raises
        :class:`~boragegw.errors.TruncatedResponseError` if the body is incomplete.
    :param verdict: whether the request ran on a backend server.
    :param backend: name of the backend server that sent it, "" if none did.
    """

    status: int
    headers: list
    body: object
    verdict: errors.Verdict = errors.Verdict.RAN
    backend: str = ""

    @classmethod
    def from_bytes(cls, status, headers, content, verdict=errors.Verdict.RAN):
        """Return a response with ``content`` as its whole body."""
        return cls(status, list(headers), _single_chunk(content), verdict)

    @classmethod
    def from_error(cls, error, request_id=""):
        """Return the response for a :class:`~boragegw.errors.RequestError`."""
        problem = errors.problem_document(error, request_id)
        return cls.from_bytes(
            problem.status, problem.headers, problem.body, error.verdict
        )

    async def read(self):
        """Read and return the whole body."""
        return b"".join([chunk async for chunk in self.body])

    async def aclose(self):
        """Close the body without reading the rest."""
        close = getattr(self.body, "aclose", None)
        if close is not None:
            await close()
