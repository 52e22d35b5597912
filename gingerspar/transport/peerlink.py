"""The link between controllers: netstrings of JSON, one way per connection.

Every node dials every other one and speaks on that connection only; what it
hears comes in on the connections that the others dialled. A message that can't
be sent at once is dropped: everything said here is said again or can be read
from the state service.
"""

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from datetime import timedelta

from tornado import iostream, tcpserver

from gingerspar.transport import netstrings
from gingerspar.transport.clock import Clock

log = logging.getLogger(__name__)

LONGEST = 4 * 1024 * 1024
BACKLOG = 2 * 1024 * 1024
RETRY = timedelta(milliseconds=400)
CONNECT_TIMEOUT = timedelta(seconds=1)

Receiver = Callable[[bytes], None]


class _Listener(tcpserver.TCPServer):
    def __init__(self, receive: Receiver) -> None:
        super().__init__()
        self._receive = receive
        self._streams: set[iostream.IOStream] = set()

    async def handle_stream(self, stream: iostream.IOStream, address: object) -> None:
        unpacker = netstrings.Unpacker(LONGEST)
        stream.set_nodelay(True)
        self._streams.add(stream)
        try:
            while True:
                for message in unpacker.feed(await stream.read_bytes(65536, partial=True)):
                    self._receive(message)
        except iostream.StreamClosedError:
            return
        except netstrings.Malformed as error:
            log.warning("peer link: %s sent no netstring: %s", address, error)
            stream.close()
        finally:
            self._streams.discard(stream)

    def close(self) -> None:
        for stream in list(self._streams):
            stream.close()


class _Outgoing:
    """The connection on which this node speaks to one peer."""

    def __init__(self, address: str, clock: Clock) -> None:
        host, port = address.rsplit(":", 1)
        self._target = (host, int(port))
        self._stream: iostream.IOStream | None = None
        self._clock = clock
        self._since = self._clock.now()
        self._unsent = 0

    @property
    def is_up(self) -> bool:
        return self._stream is not None and not self._stream.closed()

    @property
    def age(self) -> timedelta:
        """How long the connection has been up."""
        return self._clock.now() - self._since if self.is_up else timedelta(0)

    def close(self) -> None:
        if self._stream is not None:
            self._stream.close()

    async def run(self) -> None:
        while True:
            stream = iostream.IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            try:
                stream.set_nodelay(True)
                await asyncio.wait_for(stream.connect(self._target), CONNECT_TIMEOUT.total_seconds())
                self._stream, self._unsent, self._since = stream, 0, self._clock.now()
                await stream.read_until_close()  # nothing is said back: this ends when the peer does
            except (TimeoutError, iostream.StreamClosedError, OSError):
                pass
            finally:
                self._stream = None
                stream.close()
            await asyncio.sleep(RETRY.total_seconds())

    def send(self, frame: bytes) -> bool:
        stream = self._stream
        if stream is None or stream.closed():
            return False
        if self._unsent + len(frame) > BACKLOG:
            stream.close()  # the peer reads nothing: a cut that shows no error
            return False
        self._unsent += len(frame)
        future = stream.write(frame)

        def written(done: asyncio.Future[None]) -> None:
            self._unsent -= len(frame)
            if not done.cancelled():
                done.exception()

        asyncio.ensure_future(future).add_done_callback(written)
        return True


class PeerLink:
    """Speaks to and hears from the other controllers."""

    def __init__(self, peers: Mapping[str, str], receive: Receiver, clock: Clock) -> None:
        self._outgoing = {name: _Outgoing(address, clock) for name, address in peers.items()}
        self._listener = _Listener(receive)

    def stop(self) -> None:
        self._listener.stop()
        self._listener.close()
        for out in self._outgoing.values():
            out.close()

    def start(self, port: int, address: str) -> list[asyncio.Task[None]]:
        self._listener.listen(port, address)
        return [asyncio.ensure_future(out.run()) for out in self._outgoing.values()]

    @property
    def peers(self) -> list[str]:
        return list(self._outgoing)

    def is_up(self, peer: str) -> bool:
        out = self._outgoing.get(peer)
        return out is not None and out.is_up

    def age(self, peer: str) -> timedelta:
        return self._outgoing[peer].age

    def redial(self, peer: str) -> None:
        """Gives the connection up for a new one: a filter may have dropped it without a word."""
        self._outgoing[peer].close()

    def send(self, peer: str, message: bytes) -> bool:
        """False if it can't be sent: nor can anything to this node itself or to one that is not in the settings."""
        out = self._outgoing.get(peer)
        return out is not None and out.send(netstrings.pack(message))

    def broadcast(self, message: bytes) -> None:
        frame = netstrings.pack(message)
        for out in self._outgoing.values():
            out.send(frame)
