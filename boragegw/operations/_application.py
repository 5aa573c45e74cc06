"""The operator interface: liveness, readiness, status, explain and a status page."""

import html
import json

import litestar
from litestar import params

from boragegw.operations import _status

PAGE = """<!doctype html><meta charset="utf-8"><meta http-equiv="refresh" content="2">
<title>boragegw {name}</title>
<style>body{{font:15px sans-serif;margin:2em}}table{{border-collapse:collapse}}
td,th{{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:left}}</style>
<h1>{name}</h1><p>revision {revision}, VM list {version}, {in_flight} in flight</p>
<h2>Entries</h2><table><tr><th>name<th>data centre<th>state<th>revision
<th>confirmed s ago<th>silent s</tr>{entries}</table>
<h2>Services</h2><table><tr>{columns}</tr>{services}</table>
<h2>Recalls</h2><pre>{recalls}</pre>"""


def _cells(*values):
    return "<tr>" + "".join(f"<td>{html.escape(str(v))}" for v in values) + "</tr>"


def _page(status):
    entries = "".join(
        _cells(
            row["name"],
            row["data_centre"],
            row["state"],
            row["revision"],
            row["confirmed_age"],
            row["silence"],
        )
        for row in status["entries"]
    )
    services = "".join(
        _cells(*_status.service_cells(name, row))
        for name, row in status["services"].items()
    )
    return PAGE.format(
        name=html.escape(status["entry"]),
        revision=status["revision"],
        version=status["vm_list_version"],
        in_flight=status["in_flight"],
        entries=entries,
        columns="".join(f"<th>{title}" for title in _status.SERVICE_COLUMNS),
        services=services,
        recalls=html.escape(json.dumps(status["recalls"], indent=1)),
    )


class OperatorApplication:
    """Serves the status functions over HTTP; the interface is read-only.

    :param board: the blackboard.
    :param keys: the table of idempotency keys.
    :param is_ready: function that returns whether this entry accepts requests.
    """

    def __init__(self, board, clock, keys, is_ready):
        self.board = board
        self.clock = clock
        self.keys = keys
        self.is_ready = is_ready

    def _status(self):
        return _status.build_status(self.board, self.clock, self.keys)

    def build(self):
        """Return the ASGI application."""

        @litestar.get("/ops/live", sync_to_thread=False)
        def live() -> dict:
            return {"live": True}

        @litestar.get("/ops/ready", sync_to_thread=False)
        def ready() -> litestar.Response:
            is_ready = self.is_ready()
            return litestar.Response(
                {"ready": is_ready}, status_code=200 if is_ready else 503
            )

        @litestar.get("/ops/status", sync_to_thread=False)
        def status() -> dict:
            return self._status()

        @litestar.get("/ops/explain/{request_id:str}", sync_to_thread=False)
        def explain(request_id: params.FromPath[str]) -> litestar.Response:
            record = _status.explain_request(self.board, request_id)
            if record is None:
                problem = {"detail": f"request {request_id!r} is not remembered here"}
                return litestar.Response(problem, status_code=404)
            return litestar.Response(record)

        @litestar.get("/", media_type=litestar.MediaType.HTML, sync_to_thread=False)
        def page() -> str:
            return _page(self._status())

        return litestar.Litestar(
            [live, ready, status, explain, page],
            openapi_config=None,
            logging_config=None,
        )
