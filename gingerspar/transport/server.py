"""A minimal HTTP server on tornado's connections.

``tornado.web`` routes by regular expression and creates a handler object per request. A node has only
part of one core, so this server uses the ``http1connection`` layer below it directly.
"""

import asyncio
import logging
import math
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import Any

from tornado import http1connection, httpserver, httputil, iostream

from gingerspar.transport.clock import Clock

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
IDLE_TIMEOUT = timedelta(minutes=2)  # connections without requests for this long are closed
# Idle timeout while sockets are scarce. Workers and polling users send requests far more often than this.
CROWDED_IDLE_TIMEOUT = timedelta(seconds=15)
CROWDED_SOCKET_SHARE = 0.75  # sockets count as scarce above this share of the process's socket limit


@dataclass(slots=True)
class Answer:
    """An HTTP response."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Request:
    """An HTTP request."""

    method: str
    path: str
    query: str
    body: bytes


# A handler that has nothing to wait for returns the answer itself: creating a task for each request costs too much
# on a busy node.
Handler = Callable[[Request], Answer | Awaitable[Answer]]


async def resolve_answer(answer: Answer | Awaitable[Answer]) -> Answer:
    """Returns what a handler returned, awaited if necessary."""
    return answer if isinstance(answer, Answer) else await answer


REASON_PHRASES = {
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


class _RequestReader(httputil.HTTPMessageDelegate):
    """Collects one request and passes it to ``on_request`` when it is complete."""

    def __init__(
        self, on_request: Callable[[Request, httputil.HTTPConnection], None], connection: httputil.HTTPConnection
    ):
        self._on_request = on_request
        self._connection = connection
        self._start_line: httputil.RequestStartLine | None = None
        self._chunks: list[bytes] = []

    def headers_received(
        self, start_line: httputil.RequestStartLine | httputil.ResponseStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line = start_line

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        assert self._start_line is not None
        path, _, query = self._start_line.path.partition("?")
        self._on_request(Request(self._start_line.method, path, query, b"".join(self._chunks)), self._connection)


class Server(httputil.HTTPServerConnectionDelegate):
    """Listens on one address and passes every request to ``handler``.

    ``max_sockets`` is the number of sockets that this process may have. Workers that reconnect after a
    network partition, or are redirected between nodes, leave an unused connection behind for each new one;
    with a thousand workers, these would prevent new connections from being accepted.
    """

    def __init__(self, handler: Handler, max_sockets: float = math.inf, clock: Clock | None = None) -> None:
        self._handler = handler
        self._crowded_above = max_sockets * CROWDED_SOCKET_SHARE
        self._unfinished: set[asyncio.Future[Any]] = set()
        self._http = httpserver.HTTPServer(
            self, max_body_size=MAX_BODY_BYTES, idle_connection_timeout=IDLE_TIMEOUT.total_seconds()
        )
        # A timer is a considerable part of the cost of a request, so tornado's idle timer covers only the first
        # request of a connection. After that, ``_last_request_at`` lists the connections, least recently used first.
        self._params_without_timer = http1connection.HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)
        self._clock = clock or Clock()
        self._last_request_at: OrderedDict[http1connection.HTTP1ServerConnection, timedelta] = OrderedDict()

    def listen(self, port: int, address: str) -> None:
        self._http.listen(port, address)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._http.stop()
        closing = asyncio.ensure_future(self._http.close_all_connections())
        self._unfinished.add(closing)
        closing.add_done_callback(self._unfinished.discard)

    def start_request(self, server_conn: object, request_conn: httputil.HTTPConnection) -> httputil.HTTPMessageDelegate:
        """Called by tornado before it reads each request; the response is written to ``request_conn``."""
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        now = self._clock.now()
        if server_conn in self._last_request_at:
            self._last_request_at.move_to_end(server_conn)
        else:
            server_conn.params = self._params_without_timer
        self._last_request_at[server_conn] = now
        self._close_idle(now)
        return _RequestReader(self._handle_request, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Called by tornado when a connection has been closed."""
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        self._last_request_at.pop(server_conn, None)

    def _close_idle(self, now: timedelta) -> None:
        """Closes idle connections: machines that lose power leave connections open that are never used again."""
        while self._last_request_at:
            oldest, requested_at = next(iter(self._last_request_at.items()))
            if now - requested_at <= (
                CROWDED_IDLE_TIMEOUT if len(self._last_request_at) > self._crowded_above else IDLE_TIMEOUT
            ):
                return
            del self._last_request_at[oldest]
            oldest.stream.close()

    def _handle_request(self, request: Request, connection: httputil.HTTPConnection) -> None:
        try:
            answer = self._handler(request)
        except Exception:
            answer = self._log_failure(request)
        if isinstance(answer, Answer):
            _send(answer, connection)
            return
        future = asyncio.ensure_future(answer)  # a future is used as it is; no task is created for it
        self._unfinished.add(future)
        future.add_done_callback(partial(self._handler_done, request, connection))

    def _log_failure(self, request: Request) -> Answer:
        log.exception("request %s %s failed", request.method, request.path)
        return Answer(503, b'{"error":"internal"}', {"Retry-After": "1"})

    def _handler_done(
        self, request: Request, connection: httputil.HTTPConnection, future: asyncio.Future[Answer]
    ) -> None:
        self._unfinished.discard(future)
        if future.cancelled():
            return  # the server is being stopped
        try:
            answer = future.result()
        except Exception:
            answer = self._log_failure(request)
        _send(answer, connection)


def _send(answer: Answer, connection: httputil.HTTPConnection) -> None:
    headers = httputil.HTTPHeaders(
        {"Content-Type": "application/json", "Content-Length": str(len(answer.body)), **answer.headers}
    )
    line = httputil.ResponseStartLine("HTTP/1.1", answer.status, REASON_PHRASES.get(answer.status, "Unknown"))
    try:
        written = connection.write_headers(line, headers, answer.body)
        connection.finish()
    except (iostream.StreamClosedError, httputil.HTTPOutputError, OSError):
        return  # the client closed the connection; it will repeat the request
    written.add_done_callback(_ignore_write_error)


def _ignore_write_error(written: asyncio.Future[None]) -> None:
    """Ignores that the client closed the connection before it received the answer: it will repeat the request."""
    if not written.cancelled():
        written.exception()
