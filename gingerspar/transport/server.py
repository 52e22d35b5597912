"""A thin HTTP server: one coroutine answers each request.

``tornado.web`` routes by regular expression and builds a handler object per
request; with a part of one core per node, the plain server below it is enough.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from tornado import httpserver, httputil, iostream

log = logging.getLogger(__name__)

MAX_BODY = 64 * 1024


@dataclass(slots=True)
class Answer:
    """What goes back to whoever asked."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


Handler = Callable[[httputil.HTTPServerRequest], Awaitable[Answer]]

REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Server:
    """Listens on one address and hands every request to ``handler``."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._running: set[asyncio.Task[None]] = set()
        self._http = httpserver.HTTPServer(self._begin, max_body_size=MAX_BODY, idle_connection_timeout=120)

    def listen(self, port: int, address: str) -> None:
        self._http.listen(port, address)

    def stop(self) -> None:
        """Takes no new connection and closes those there are."""
        self._http.stop()
        closing = asyncio.ensure_future(self._http.close_all_connections())
        self._running.add(closing)
        closing.add_done_callback(self._running.discard)

    def _begin(self, request: httputil.HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._answer(request))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _answer(self, request: httputil.HTTPServerRequest) -> None:
        try:
            answer = await self._handler(request)
        except Exception:
            log.exception("request %s %s failed", request.method, request.path)
            answer = Answer(503, b'{"error":"internal"}', {"Retry-After": "1"})
        headers = httputil.HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(answer.body)), **answer.headers}
        )
        connection = request.connection
        try:
            if connection is None:
                return
            line = httputil.ResponseStartLine("HTTP/1.1", answer.status, REASONS.get(answer.status, "Unknown"))
            sent = connection.write_headers(line, headers, answer.body)
            connection.finish()
            await sent
        except (iostream.StreamClosedError, httputil.HTTPOutputError, OSError):
            return  # the other side went away; it will ask again
