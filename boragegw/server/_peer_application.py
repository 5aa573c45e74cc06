"""The HTTP interface for peers: signed forwards and bulk transfers."""

import logging

import litestar
import litestar.types

from boragegw import errors, messages, peers
from boragegw.peers import _bulk_codec, _http

logger = logging.getLogger(__name__)

MAX_SEALED_TABLE_BYTES = 256 << 20
MAX_KNOWN_CONFIGURATION_BYTES = 4 << 20


class PeerApplication:
    """Adapts ASGI requests of peers to a :class:`Node`.

    :param node: a :class:`Node`.
    :param signer: a :class:`~boragegw.peers.RequestSigner`.
    """

    def __init__(self, node, signer):
        self.node = node
        self.signer = signer

    def build(self):
        """Return the ASGI application."""

        @litestar.asgi("/peer", is_mount=True, copy_scope=False)
        async def peer(
            scope: litestar.types.Scope,
            receive: litestar.types.Receive,
            send: litestar.types.Send,
        ) -> None:
            await self.serve(scope, receive, send)

        return litestar.Litestar([peer], openapi_config=None, logging_config=None)

    async def serve(self, scope, receive, send):
        """Serve one request from a peer."""
        path = scope["raw_path"].decode("latin1")
        routes = {
            ("POST", _http.FORWARD_PATH): self._forward,
            ("POST", _http.CONFIGURATION_PATH): self._configuration,
            ("POST", _http.SEALED_PATH): self._sealed,
        }
        handler = routes.get((scope["method"], path))
        if handler is None:
            await _reply(send, 404)
            return
        try:
            await handler(scope, receive, send)
        except peers.PeerError as error:
            logger.warning("refused a malformed request from a peer: %s", error)
            await _reply(send, 400)

    def _verify_signature(self, scope, *parts):
        value = messages.find_header(scope["headers"], _http.SIGNATURE_HEADER, b"")
        if self.signer.verify(self.node.clock.wall(), value, *parts):
            return True
        self.node.board.counters["peers.requests_refused"] += 1
        return False

    async def _forward(self, scope, receive, send):
        packed_fields = messages.find_header(
            scope["headers"], _http.FORWARD_HEADER, b""
        )
        if not self._verify_signature(scope, _http.FORWARD_HEADER, packed_fields):
            await _reply(send, 403)
            return
        lifecycle = self.node.board.lifecycle
        lifecycle.in_flight += 1
        try:
            await self._serve_forward(scope, receive, send, packed_fields)
        finally:
            lifecycle.in_flight -= 1

    async def _serve_forward(self, scope, receive, send, packed_fields):
        fields = _http.decode_forward_header(packed_fields)
        incarnation, request_id, service, method, target, key, remaining, left = fields
        internal_headers = (_http.FORWARD_HEADER, _http.SIGNATURE_HEADER)
        request = messages.Request(
            request_id=request_id,
            service=service,
            method=method,
            target=target,
            headers=[h for h in scope["headers"] if h[0] not in internal_headers],
            body=messages.Body(_body_chunks(receive)),
            deadline=self.node.clock.now() + remaining,
            key=key,
            retries_left=left,
            trace=messages.find_header(scope["headers"], messages.TRACEPARENT_HEADER),
        )
        response = await self.node.router.handle_forwarded(incarnation, request)
        if response is None:
            await _reply(send, 421)
            return
        await _send_response(send, response)

    async def _configuration(self, scope, receive, send):
        raw = await self._read_signed_body(
            scope, receive, send, MAX_KNOWN_CONFIGURATION_BYTES
        )
        if raw is not None:
            bundle = self.node.configuration.build_bundle(
                _bulk_codec.decode_known_configuration(raw)
            )
            await _reply(send, 200, _bulk_codec.encode_bundle(bundle))

    async def _sealed(self, scope, receive, send):
        raw = await self._read_signed_body(scope, receive, send, MAX_SEALED_TABLE_BYTES)
        if raw is not None:
            self.node.store_sealed_table(peers.decode_sealed_table(raw))
            await _reply(send, 200)

    async def _read_signed_body(self, scope, receive, send, limit):
        """Return the body if its signature is valid; else refuse and return ``None``.

        :param limit: largest body in bytes.
        """
        content = bytearray()
        async for chunk in _body_chunks(receive):
            content += chunk
            if len(content) > limit:
                await _reply(send, 413)
                return None
        raw = bytes(content)
        if not self._verify_signature(scope, b"POST", scope["raw_path"], raw):
            await _reply(send, 403)
            return None
        return raw


async def _body_chunks(receive):
    more = True
    while more:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise errors.RequestError.not_run(
                errors.Code.CALLER_GONE, "the forwarding peer went away"
            )
        more = event.get("more_body", False)
        if event.get("body"):
            yield event["body"]


async def _reply(send, status, content=b""):
    headers = [(b"content-length", str(len(content)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": content})


async def _send_response(send, response):
    headers = [
        *(h for h in response.headers if h[0] != messages.VERDICT_HEADER),
        (messages.VERDICT_HEADER, response.verdict.value.encode()),
        (_http.FORWARD_HEADER, b"answer"),
    ]
    try:
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        async for chunk in response.body:
            part = {"type": "http.response.body", "body": chunk, "more_body": True}
            await send(part)
        await send({"type": "http.response.body", "body": b""})
    except errors.TruncatedResponseError as error:
        logger.warning("response to a forwarding peer was truncated: %s", error)
    finally:
        await response.aclose()
