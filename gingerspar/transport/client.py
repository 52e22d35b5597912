"""An HTTP client with persistent connections.

Tornado's simple client opens a connection for every request. This client keeps a small
pool of idle ``http1connection`` connections to its address. A connection on which any
error occurred is closed and not reused.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from tornado import http1connection, httputil, iostream

from gingerspar.transport.sockets import new_stream

MAX_ANSWER_BYTES = 256 * 1024 * 1024


class NoAnswer(Exception):
    """No complete answer was received; the request may have been carried out, or may be carried out later."""


class RequestNotSent(NoAnswer):
    """The request was not sent, so it was certainly not carried out."""


class _Reply(httputil.HTTPMessageDelegate):
    """Collects one response."""

    def __init__(self) -> None:
        self.status = 0
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(self, start_line: object, headers: httputil.HTTPHeaders) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.complete = True


class Client:
    """Sends requests to one address (``HOST:PORT``).

    Up to ``max_idle`` idle connections are kept for later requests.
    """

    def __init__(self, address: str, *, connect_timeout: timedelta = timedelta(seconds=2), max_idle: int = 8) -> None:
        host, port = address.rsplit(":", 1)
        self._target = (host, int(port))
        self._address = address
        self._connect_timeout = connect_timeout.total_seconds()
        self._idle: deque[tuple[iostream.IOStream, http1connection.HTTP1Connection]] = deque()
        self._max_idle = max_idle
        self._params = http1connection.HTTP1ConnectionParameters(no_keep_alive=False, max_body_size=MAX_ANSWER_BYTES)

    async def _open(self) -> tuple[iostream.IOStream, http1connection.HTTP1Connection]:
        try:
            stream = new_stream(MAX_ANSWER_BYTES)
        except OSError as error:
            raise RequestNotSent(f"{self._address}: {error!r}") from error
        try:
            await asyncio.wait_for(stream.connect(self._target), self._connect_timeout)
        except (TimeoutError, iostream.StreamClosedError, OSError) as error:
            stream.close()
            raise RequestNotSent(f"{self._address}: {error!r}") from error
        except asyncio.CancelledError:
            # No other code holds this stream: unless it is closed here, its socket stays open in this process,
            # for minutes if the target is partitioned.
            stream.close()
            raise
        return stream, http1connection.HTTP1Connection(stream, True, self._params)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        timeout: timedelta = timedelta(seconds=3),
        permit: Callable[[], bool] | None = None,
    ) -> tuple[int, bytes]:
        """Sends a request and returns the status and the body of the answer.

        ``permit`` is called immediately before the request is sent. ``timeout`` bounds the exchange,
        without the time to connect. Raises ``RequestNotSent`` if no connection could be made or
        ``permit`` returned false, and ``NoAnswer`` if no complete answer was received.
        """
        while self._idle:
            stream, connection = self._idle.pop()
            if not stream.closed():
                break
        else:
            stream, connection = await self._open()
        if permit is not None and not permit():
            self._keep_or_close(stream, connection, reusable=True)
            raise RequestNotSent(f"{self._address}: no longer permitted")
        reply = _Reply()
        reusable = False
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._exchange(connection, reply, method, path, body)
            reusable = reply.complete and not stream.closed()
        except (TimeoutError, iostream.StreamClosedError, httputil.HTTPInputError, OSError) as error:
            raise NoAnswer(f"{self._address}: {error!r}") from error
        finally:
            self._keep_or_close(stream, connection, reusable=reusable)
        if not reply.complete:
            raise NoAnswer(f"{self._address}: connection closed before the answer was complete")
        return reply.status, b"".join(reply.chunks)

    def _keep_or_close(
        self, stream: iostream.IOStream, connection: http1connection.HTTP1Connection, *, reusable: bool
    ) -> None:
        if reusable and len(self._idle) < self._max_idle:
            self._idle.append((stream, connection))
        else:
            stream.close()

    async def _exchange(
        self, connection: http1connection.HTTP1Connection, reply: _Reply, method: str, path: str, body: bytes | None
    ) -> None:
        headers = httputil.HTTPHeaders({"Host": self._address})
        if body is not None:
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(body))
        await connection.write_headers(httputil.RequestStartLine(method, path, "HTTP/1.1"), headers, body)
        connection.finish()
        await connection.read_response(reply)

    def close(self) -> None:
        """Closes the idle connections; requests in progress are not affected."""
        while self._idle:
            self._idle.pop()[0].close()
