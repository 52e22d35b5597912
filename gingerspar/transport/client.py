"""An HTTP client that keeps its connections.

Tornado's simple client opens a connection for every request. Here each target
has a small pool of ``http1connection`` connections; a connection on which
anything went wrong is thrown away, never used again.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from tornado import http1connection, httputil, iostream


class NoAnswer(Exception):
    """No answer came; the request may have been carried out, or may yet be."""


class RequestNotSent(NoAnswer):
    """No connection came about, so the request was certainly not carried out."""


class _Reply(httputil.HTTPMessageDelegate):
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
    """Requests to one address."""

    def __init__(self, address: str, *, connect_timeout: timedelta = timedelta(seconds=2), most_kept: int = 8) -> None:
        host, port = address.rsplit(":", 1)
        self._target = (host, int(port))
        self._address = address
        self._connect_timeout = connect_timeout.total_seconds()
        self._kept: deque[tuple[iostream.IOStream, http1connection.HTTP1Connection]] = deque()
        self._most_kept = most_kept
        self._params = http1connection.HTTP1ConnectionParameters(no_keep_alive=False, max_body_size=256 * 1024 * 1024)

    async def _open(self) -> tuple[iostream.IOStream, http1connection.HTTP1Connection]:
        stream = iostream.IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM), max_buffer_size=256 * 1024 * 1024)
        stream.set_nodelay(True)
        try:
            await asyncio.wait_for(stream.connect(self._target), self._connect_timeout)
        except (TimeoutError, iostream.StreamClosedError, OSError) as error:
            stream.close()
            raise RequestNotSent(f"{self._address}: {error!r}") from error
        except asyncio.CancelledError:
            # Nobody else knows of it: it would stay among this process's sockets, behind a cut for minutes.
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
        """Status and body of the answer, or ``NoAnswer``.

        ``permit`` is asked at the last moment before the request leaves; if it says no,
        ``RequestNotSent`` is raised.
        """
        while self._kept:
            stream, connection = self._kept.pop()
            if not stream.closed():
                break
        else:
            stream, connection = await self._open()
        if permit is not None and not permit():
            self._kept.append((stream, connection))
            raise RequestNotSent(f"{self._address}: not entitled any more")
        reply = _Reply()
        clean = False
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._exchange(connection, reply, method, path, body)
            clean = reply.complete and not stream.closed()
        except (TimeoutError, iostream.StreamClosedError, httputil.HTTPInputError, OSError) as error:
            raise NoAnswer(f"{self._address}: {error!r}") from error
        finally:
            if clean and len(self._kept) < self._most_kept:
                self._kept.append((stream, connection))
            else:
                stream.close()
        if not reply.complete:
            raise NoAnswer(f"{self._address}: closed before the answer ended")
        return reply.status, b"".join(reply.chunks)

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
        while self._kept:
            self._kept.pop()[0].close()
