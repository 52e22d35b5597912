"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the second review."""

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any

Handler = Callable[[str, str, bytes], Awaitable[tuple[int, Any]]]
# Each run has a loopback address of its own, so that runs at the same time can't take each other's ports.
HOST = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"
_taken: set[int] = set()  # ports that this process has chosen


def free_ports(count: int) -> list[int]:
    """Loopback ports on which nothing listens, below the range from which clients get theirs."""
    sockets, ports = [], []
    for port in range(20000, 32000):
        if port in _taken:
            continue
        probe = socket.socket()
        try:
            probe.bind((HOST, port))
        except OSError:
            probe.close()
            continue
        _taken.add(port)
        sockets.append(probe)
        ports.append(port)
        if len(ports) == count:
            break
    for probe in sockets:
        probe.close()
    return ports


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """The first line, the headers and the body of a request or response."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length) if length else b""


class HttpServer:
    """Passes method, path with query, and body to ``handler``, which returns a status and a JSON value."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port, backlog=512)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            while True:
                first, headers, body = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, value = await self._handler(method, path, body)
                data = value if isinstance(value, bytes) else json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        self._writers.discard(writer)
        writer.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


async def request(port: int, method: str, path: str, value: Any = None, timeout_s: float = 5.0) -> tuple[int, Any]:
    """Sends one request on a connection of its own; status 0 if there is no complete answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            body = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{port}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            first, _, answer = await _read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer) if answer else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
