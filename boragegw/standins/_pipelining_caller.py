"""A caller that sends further requests on a connection before the first response."""

import asyncio
import collections
import dataclasses

from boragegw.standins import _wire_calls, _wire_installation


@dataclasses.dataclass(slots=True)
class PipelinedResponse:
    """A complete response.

    :param request_id: id of the request in whose place it arrived.
    :param seconds: time from the request until the end of the response.
    """

    request_id: str
    status: int
    headers: dict
    body: bytes
    seconds: float

    @property
    def answers_request(self):
        """Whether it names the request that it arrived for."""
        return self.headers.get("x-request-id") == self.request_id


class PipeliningCaller(asyncio.Protocol):
    """One connection of a caller that pipelines its requests.

    :param installation: a :class:`~boragegw.standins.WireInstallation`.
    :ivar responses: each :class:`PipelinedResponse`, in the order of arrival.
    :ivar unanswered: (id, method, seconds) of the requests without a response.
    :ivar interim: number of 100 Continue responses.
    :ivar rest: received bytes that are not a complete response.
    """

    def __init__(self, installation):
        self.installation = installation
        self.responses = []
        self.unanswered = collections.deque()
        self.interim = 0
        self.is_closed = False
        self.rest = b""
        self.transport = None
        self._finished = asyncio.Event()

    async def connect(self, to="gw-0", port=_wire_installation.CALLER_PORT):
        """Connect to a gateway process and return the caller."""
        loop = self.installation.loop
        self.transport, _ = await loop.create_connection(lambda: self, to, port)
        return self

    def send(self, path="/x", method="GET", body=b"", raw_body=b"", **fields):
        """Send a request and return its id.

        :param raw_body: bytes behind the head, for a framing that ``fields`` state.
        :param fields: headers, with underscores for hyphens.
        """
        request_id = self.installation.next_request_id()
        headers = {"x-request-id": request_id, "x-deadline-ms": "5000"}
        headers.update({k.replace("_", "-"): v for k, v in fields.items()})
        sent = _wire_calls.encode_request(path, method, body, headers)
        self.unanswered.append((request_id, method, self.installation.loop.time()))
        self._finished.clear()
        self.transport.write(sent + raw_body)
        return request_id

    async def finish(self, seconds=10.0):
        """Wait until all requests are answered or the connection has ended."""
        async with asyncio.timeout(seconds):
            await self._finished.wait()
        return self.responses

    @property
    def statuses(self):
        """Statuses of the responses."""
        return [response.status for response in self.responses]

    def data_received(self, data):
        """Take the complete responses out of the received bytes."""
        self.rest += data
        while self._take_response():
            pass

    def eof_received(self):
        """Close as well."""
        self.connection_lost(None)

    def connection_lost(self, exc):
        """Note the end of the connection."""
        self.is_closed = True
        self._finished.set()

    def _take_response(self):
        head, separator, rest = self.rest.partition(b"\r\n\r\n")
        if not separator:
            return False
        status_line, *lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        status = int(status_line.split()[1])
        if status == 100:
            self.interim += 1
            self.rest = rest
            return True
        request_id, method, sent_at = self.unanswered[0]
        taken = _take_body(rest, method, status, headers)
        if taken is None:
            return False
        body, self.rest = taken
        self.unanswered.popleft()
        seconds = self.installation.loop.time() - sent_at
        response = PipelinedResponse(request_id, status, headers, body, seconds)
        self.responses.append(response)
        if not self.unanswered:
            self._finished.set()
        return True


def _take_body(data, method, status, headers):
    """Return a body and the bytes behind it, or ``None`` if it is not complete."""
    if method == "HEAD" or status in (204, 304):
        return b"", data
    if headers.get("transfer-encoding") == "chunked":
        return _take_chunks(data)
    length = int(headers["content-length"])
    return None if len(data) < length else (data[:length], data[length:])


def _take_chunks(data):
    body = b""
    while True:
        line, separator, data = data.partition(b"\r\n")
        size = int(line or b"0", 16)
        if not separator or len(data) < size + 2:
            return None
        body += data[:size]
        data = data[size + 2 :]
        if size == 0:
            return body, data


@dataclasses.dataclass(slots=True)
class PipelinedCall:
    """Outcome of :func:`call_pipelined`.

    :param statuses: final status of each path; 0 without a response.
    :param unanswered: ids of all attempts that got no response.
    """

    statuses: dict
    unanswered: list


async def call_pipelined(installation, paths, processes):
    """Pipeline idempotent requests, as a caller that sends again what failed.

    Requests without a response with status 200 are pipelined once more on a new
    connection to the next process.

    :param processes: names of gateway processes, one for each attempt.
    """
    call = PipelinedCall(dict.fromkeys(paths, 0), [])
    for process in processes:
        left = [path for path, status in call.statuses.items() if status != 200]
        if not left:
            break
        try:
            caller = await PipeliningCaller(installation).connect(process)
        except ConnectionRefusedError:
            continue
        ids = {caller.send(path): path for path in left}
        for response in await caller.finish():
            call.statuses[ids[response.request_id]] = response.status
        call.unanswered += [request_id for request_id, _, _ in caller.unanswered]
        caller.transport.close()
    return call
