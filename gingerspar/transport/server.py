"""A thin HTTP server on tornado's connections.

``tornado.web`` routes by regular expression and builds a handler object per request;
with a part of one core per node, the plain connections below it are enough.
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

MAX_BODY = 64 * 1024
IDLE_AT_MOST = timedelta(minutes=2)  # a connection without requests
IDLE_CROWDED = timedelta(seconds=15)  # the same where sockets are short: workers and pollers ask far more often
CROWDED = 0.75  # of the sockets that this process may have; beyond it they are short


@dataclass(slots=True)
class Answer:
    """What goes back to whoever asked."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Request:
    """What was asked."""

    method: str
    path: str
    query: str
    body: bytes


# The answer itself where nothing has to be waited for: a task for each request is what a busy node can't afford.
Handler = Callable[[Request], Answer | Awaitable[Answer]]


async def resolve_answer(answer: Answer | Awaitable[Answer]) -> Answer:
    """The answer, whether it was there at once or has to be waited for."""
    return answer if isinstance(answer, Answer) else await answer


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


class _Exchange(httputil.HTTPMessageDelegate):
    """One request as it comes in."""

    def __init__(self, begin: Callable[[Request, httputil.HTTPConnection], None], connection: httputil.HTTPConnection):
        self._begin = begin
        self._connection = connection
        self._line: httputil.RequestStartLine | None = None
        self._chunks: list[bytes] = []

    def headers_received(
        self, start_line: httputil.RequestStartLine | httputil.ResponseStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self._line = start_line

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        assert self._line is not None
        path, _, query = self._line.path.partition("?")
        self._begin(Request(self._line.method, path, query, b"".join(self._chunks)), self._connection)


class Server(httputil.HTTPServerConnectionDelegate):
    """Listens on one address and hands every request to ``handler``.

    ``sockets``: how many this process may have. Workers that come back after a cut, or are sent
    round, leave a connection behind for each that they open; with a thousand of them these would
    keep the new ones from being accepted.
    """

    def __init__(self, handler: Handler, sockets: float = math.inf, clock: Clock | None = None) -> None:
        self._handler = handler
        self._crowded = sockets * CROWDED
        self._running: set[asyncio.Future[Any]] = set()
        self._http = httpserver.HTTPServer(
            self, max_body_size=MAX_BODY, idle_connection_timeout=IDLE_AT_MOST.total_seconds()
        )
        # A timer for each request is a good part of what it costs, so only a connection's first one has
        # it; from then on the connections are kept in the order of their last requests.
        self._later = http1connection.HTTP1ConnectionParameters(max_body_size=MAX_BODY)
        self._clock = clock or Clock()
        self._asked: OrderedDict[http1connection.HTTP1ServerConnection, timedelta] = OrderedDict()

    def listen(self, port: int, address: str) -> None:
        self._http.listen(port, address)

    def stop(self) -> None:
        """Takes no new connection and closes those there are."""
        self._http.stop()
        closing = asyncio.ensure_future(self._http.close_all_connections())
        self._running.add(closing)
        closing.add_done_callback(self._running.discard)

    def start_request(self, server_conn: object, request_conn: httputil.HTTPConnection) -> httputil.HTTPMessageDelegate:
        """Called by tornado before it reads each request; the answer goes to ``request_conn``."""
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        now = self._clock.now()
        if server_conn in self._asked:
            self._asked.move_to_end(server_conn)
        else:
            server_conn.params = self._later
        self._asked[server_conn] = now
        self._drop_idle(now)
        return _Exchange(self._begin, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Called by tornado when a connection is gone."""
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        self._asked.pop(server_conn, None)

    def _drop_idle(self, now: timedelta) -> None:
        """Machines that lose their power leave connections behind that nobody will use again."""
        while self._asked:
            oldest, asked = next(iter(self._asked.items()))
            if now - asked <= (IDLE_CROWDED if len(self._asked) > self._crowded else IDLE_AT_MOST):
                return
            del self._asked[oldest]
            oldest.stream.close()

    def _begin(self, request: Request, connection: httputil.HTTPConnection) -> None:
        try:
            answer = self._handler(request)
        except Exception:
            answer = self._failed(request)
        if isinstance(answer, Answer):
            _send(answer, connection)
            return
        coming = asyncio.ensure_future(answer)  # a future is taken as it is, without a task of its own
        self._running.add(coming)
        coming.add_done_callback(partial(self._answered, request, connection))

    def _failed(self, request: Request) -> Answer:
        log.exception("request %s %s failed", request.method, request.path)
        return Answer(503, b'{"error":"internal"}', {"Retry-After": "1"})

    def _answered(self, request: Request, connection: httputil.HTTPConnection, coming: asyncio.Future[Answer]) -> None:
        self._running.discard(coming)
        if coming.cancelled():
            return  # this server is being stopped
        try:
            answer = coming.result()
        except Exception:
            answer = self._failed(request)
        _send(answer, connection)


def _send(answer: Answer, connection: httputil.HTTPConnection) -> None:
    headers = httputil.HTTPHeaders(
        {"Content-Type": "application/json", "Content-Length": str(len(answer.body)), **answer.headers}
    )
    line = httputil.ResponseStartLine("HTTP/1.1", answer.status, REASONS.get(answer.status, "Unknown"))
    try:
        sent = connection.write_headers(line, headers, answer.body)
        connection.finish()
    except (iostream.StreamClosedError, httputil.HTTPOutputError, OSError):
        return  # the other side went away; it will ask again
    sent.add_done_callback(_seen)


def _seen(sent: asyncio.Future[None]) -> None:
    """That the other side went away before it had its answer is nobody's concern: it will ask again."""
    if not sent.cancelled():
        sent.exception()
