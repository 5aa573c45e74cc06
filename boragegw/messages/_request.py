"""A request from a caller to a backend server."""

import dataclasses
import hashlib

from boragegw.messages import _body, _headers


@dataclasses.dataclass(slots=True)
class Request:
    """One request.

    :param target: path and query as sent to the backend server.
    :param headers: end-to-end header pairs of bytes, names in lower case.
    :param deadline: monotonic seconds by which the response must begin.
    :param key: idempotency key, "" if the caller sent none.
    :param retries_left: retries that the previous hops still allow.
    :param account: the :class:`~boragegw.accounts.ClientAccount` of the caller, or
        ``None``.
    :param trace: the span context of the previous hop, or ``None``.
    """

    request_id: str
    service: str
    method: str
    target: str
    headers: list
    body: _body.Body
    deadline: float
    key: str = ""
    retries_left: int = 2
    trace: object = None
    account: object = None

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]

    def fingerprint(self):
        """Return the digest that identifies the request content of a key.

        It includes the caller's credentials, so that another caller that guesses or
        repeats the key does not get the stored response. The body must be complete.
        """
        credentials = _headers.find_header(
            self.headers, _headers.AUTHORIZATION_HEADER, b""
        )
        cookie = _headers.find_header(self.headers, b"cookie", b"")
        content_type = _headers.find_header(self.headers, b"content-type", b"")
        parts = (
            self.service.encode(),
            self.method.encode(),
            self.target.encode(),
            credentials,
            cookie,
            content_type,
            self.body.digest(),
        )
        digest = hashlib.blake2b(digest_size=16)
        for part in parts:
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        return digest.digest()
