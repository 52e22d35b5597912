"""A minimal HTTP server on tornado's connections.

``tornado.web`` routes by regular expression and creates a handler object per request. A node has only
part of one core, so this server uses the ``http1connection`` layer below it directly.
"""

import asyncio
import logging
import math
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Container, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import Any

from tornado import http1connection, httpserver, httputil, iostream

from gingerspar.transport.clock import Clock
from gingerspar.transport.sockets import max_accepted

ServerConnection = http1connection.HTTP1ServerConnection
IdleConnections = OrderedDict[ServerConnection, timedelta]

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
IDLE_TIMEOUT = timedelta(minutes=2)  # connections without requests for this long are closed
# Idle timeout while sockets are scarce. Workers and polling users send requests far more often than this.
CROWDED_IDLE_TIMEOUT = timedelta(seconds=15)
CROWDED_SOCKET_SHARE = 0.75  # sockets count as scarce above this share of the process's socket limit
CLOSED_LOG_INTERVAL = timedelta(seconds=10)  # between log lines about connections closed for want of sockets


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
    """Collects one request and passes it to the server when it is complete."""

    def __init__(self, server: "Server", server_connection: ServerConnection, connection: httputil.HTTPConnection):
        self._server = server
        self._server_connection = server_connection
        self._connection = connection
        self._start_line: httputil.RequestStartLine | None = None
        self._chunks: list[bytes] = []

    def headers_received(
        self, start_line: httputil.RequestStartLine | httputil.ResponseStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line = start_line
        self._server.request_started(self._server_connection, start_line.path)

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        assert self._start_line is not None
        path, _, query = self._start_line.path.partition("?")
        request = Request(self._start_line.method, path, query, b"".join(self._chunks))
        self._server.handle_request(request, self._connection)


class _HttpServer(httpserver.HTTPServer):
    """Tornado's server, which does not tell its delegate that a connection has been closed."""

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        assert isinstance(self.request_callback, Server)
        self.request_callback.on_close(server_conn)


class Server(httputil.HTTPServerConnectionDelegate):
    """Listens on one address and passes every request to ``handler``.

    ``max_sockets`` is the number of sockets that this process may have. Workers that reconnect after a
    network partition, or are redirected between nodes, leave an unused connection behind for each new one;
    with a thousand workers, these would prevent new connections from being accepted. Once the accepted connections
    have used up their share (``sockets.max_accepted``), each new one replaces the one that was answered last, whose
    client connects again for its next request. (Replacing the one idle for longest would close, in turn, the
    connections of all clients shortly before their next requests.) Connections whose last request was for a path in
    ``essential_paths`` are replaced last.
    """

    def __init__(
        self,
        handler: Handler,
        max_sockets: float = math.inf,
        clock: Clock | None = None,
        essential_paths: Container[str] = (),
    ) -> None:
        self._handler = handler
        self._crowded_above = max_sockets * CROWDED_SOCKET_SHARE
        self._max_connections = max_accepted(max_sockets)
        self._essential_paths = essential_paths
        self._unfinished: set[asyncio.Future[Any]] = set()
        self._http = _HttpServer(
            self, max_body_size=MAX_BODY_BYTES, idle_connection_timeout=IDLE_TIMEOUT.total_seconds()
        )
        # A timer is a considerable part of the cost of a request, so tornado's idle timer covers only the first
        # request of a connection. After that, the idle connections are listed, idle for longest first.
        self._params_without_timer = http1connection.HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)
        self._clock = clock or Clock()
        self._connections: set[ServerConnection] = set()  # accepted and not closed
        # When the connections that wait for a request began to wait, in that order: those that wait for their first
        # one, those whose last one was for an essential path, and all others.
        self._unserved: IdleConnections = OrderedDict()
        self._idle_essential: IdleConnections = OrderedDict()
        self._idle: IdleConnections = OrderedDict()
        self._essential: set[ServerConnection] = set()  # connections whose last request was for an essential path
        self.replaced_count = 0  # idle connections closed to make room for new ones
        self.refused_count = 0  # new connections closed at once, as none was idle
        self._logged_at: timedelta | None = None

    def listen(self, port: int, address: str) -> None:
        self._http.listen(port, address)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._http.stop()
        closing = asyncio.ensure_future(self._http.close_all_connections())
        self._unfinished.add(closing)
        closing.add_done_callback(self._unfinished.discard)

    def start_request(self, server_conn: object, request_conn: httputil.HTTPConnection) -> httputil.HTTPMessageDelegate:
        """Called by tornado before it waits for each request; the response is written to ``request_conn``."""
        assert isinstance(server_conn, ServerConnection)
        now = self._clock.now()
        if server_conn.params is not self._params_without_timer:  # a new connection
            server_conn.params = self._params_without_timer
            self._connections.add(server_conn)
            self._close_idle(now)
            if len(self._connections) <= self._max_connections or self._make_room(server_conn, now):
                self._unserved[server_conn] = now
        elif server_conn in self._connections:
            idle = self._idle_essential if server_conn in self._essential else self._idle
            idle[server_conn] = now
            self._close_idle(now)
        return _RequestReader(self, server_conn, request_conn)

    def request_started(self, connection: ServerConnection, path: str) -> None:
        """Called when the head of a request has arrived: the connection is not idle until it has been answered."""
        self._remove_idle(connection)
        if path in self._essential_paths:
            self._essential.add(connection)
        else:
            self._essential.discard(connection)

    def on_close(self, server_conn: object) -> None:
        """Called when a connection has been closed."""
        assert isinstance(server_conn, ServerConnection)
        self._forget(server_conn)

    def _remove_idle(self, connection: ServerConnection) -> None:
        for idle in (self._unserved, self._idle, self._idle_essential):
            idle.pop(connection, None)

    def _forget(self, connection: ServerConnection) -> None:
        self._connections.discard(connection)
        self._remove_idle(connection)
        self._essential.discard(connection)

    def _close(self, connection: ServerConnection) -> None:
        self._forget(connection)  # it counts no more, although tornado reports the end of the connection later
        connection.stream.close()

    def _make_room(self, new_connection: ServerConnection, now: timedelta) -> bool:
        """Closes an idle connection, or the new one if none is idle; returns whether there is room for the new one."""
        replaced = self._replaceable_connection()
        if replaced is not None:
            self._close(replaced)
            self.replaced_count += 1
        else:
            self._close(new_connection)
            self.refused_count += 1
        if self._logged_at is None or now - self._logged_at >= CLOSED_LOG_INTERVAL:
            self._logged_at = now
            log.error(
                "no sockets left for accepted connections: %d are open; since the start %d idle ones were closed "
                "for new ones and %d new ones refused",
                len(self._connections), self.replaced_count, self.refused_count,
            )  # fmt: skip
        return replaced is not None

    def _replaceable_connection(self) -> ServerConnection | None:
        if self._idle:
            return next(reversed(self._idle))
        if self._unserved:
            return next(iter(self._unserved))
        return next(reversed(self._idle_essential), None)

    def _close_idle(self, now: timedelta) -> None:
        """Closes idle connections: machines that lose power leave connections open that are never used again."""
        for idle in (self._unserved, self._idle, self._idle_essential):
            while idle:
                oldest, idle_since = next(iter(idle.items()))
                crowded = len(self._connections) > self._crowded_above
                if now - idle_since <= (CROWDED_IDLE_TIMEOUT if crowded else IDLE_TIMEOUT):
                    break
                self._close(oldest)

    def handle_request(self, request: Request, connection: httputil.HTTPConnection) -> None:
        """Called when a request is complete."""
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
