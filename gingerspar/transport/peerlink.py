"""The link between controllers: netstrings of JSON, one direction per connection.

Every node connects to every other node and only sends on that connection; it receives on the
connections that the other nodes opened. A message that can't be sent at once is dropped: every
message is repeated later, or its content can be read from the state service.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Mapping
from datetime import timedelta

from tornado import iostream, tcpserver

from gingerspar.transport import netstrings
from gingerspar.transport.clock import Clock
from gingerspar.transport.sockets import new_stream

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_UNSENT_BYTES = 2 * 1024 * 1024
RECONNECT_INTERVAL = timedelta(milliseconds=400)
CONNECT_TIMEOUT = timedelta(seconds=1)

Receiver = Callable[[bytes], None]


class _Listener(tcpserver.TCPServer):
    """Accepts the peers' connections and passes each message to ``receive``."""

    def __init__(self, receive: Receiver) -> None:
        super().__init__()
        self._receive = receive
        self._streams: set[iostream.IOStream] = set()

    async def handle_stream(self, stream: iostream.IOStream, address: object) -> None:
        unpacker = netstrings.Unpacker(MAX_MESSAGE_BYTES)
        stream.set_nodelay(True)
        self._streams.add(stream)
        try:
            while True:
                for message in unpacker.feed(await stream.read_bytes(65536, partial=True)):
                    self._receive(message)
        except iostream.StreamClosedError:
            return
        except netstrings.Malformed as error:
            log.warning("peer link: closing the connection from %s: invalid netstring: %s", address, error)
            stream.close()
        finally:
            self._streams.discard(stream)

    def close(self) -> None:
        for stream in list(self._streams):
            stream.close()


class _OutgoingConnection:
    """The connection on which this node sends to one peer."""

    def __init__(self, address: str, clock: Clock) -> None:
        host, port = address.rsplit(":", 1)
        self._target = (host, int(port))
        self._stream: iostream.IOStream | None = None
        self._clock = clock
        self._connected_at = self._clock.now()
        self._unsent_bytes = 0

    @property
    def is_up(self) -> bool:
        return self._stream is not None and not self._stream.closed()

    @property
    def age(self) -> timedelta:
        """Time since the connection was established; zero if it is down."""
        return self._clock.now() - self._connected_at if self.is_up else timedelta(0)

    def close(self) -> None:
        if self._stream is not None:
            self._stream.close()

    async def run(self) -> None:
        """Keeps the connection open: reconnects whenever it fails or is closed."""
        while True:
            with contextlib.suppress(TimeoutError, iostream.StreamClosedError, OSError):
                await self._connect_until_closed()
            await asyncio.sleep(RECONNECT_INTERVAL.total_seconds())

    async def _connect_until_closed(self) -> None:
        stream = new_stream()
        try:
            await asyncio.wait_for(stream.connect(self._target), CONNECT_TIMEOUT.total_seconds())
            self._stream, self._unsent_bytes, self._connected_at = stream, 0, self._clock.now()
            await stream.read_until_close()  # peers never write here: returns when the connection is closed
        finally:
            self._stream = None
            stream.close()

    def send(self, frame: bytes) -> bool:
        """Returns False if the frame was dropped."""
        stream = self._stream
        if stream is None or stream.closed():
            return False
        if self._unsent_bytes + len(frame) > MAX_UNSENT_BYTES:
            stream.close()  # the peer does not read: likely a partition that drops packets without an error
            return False
        self._unsent_bytes += len(frame)
        future = stream.write(frame)

        def on_written(result: asyncio.Future[None]) -> None:
            self._unsent_bytes -= len(frame)
            if not result.cancelled():
                result.exception()

        asyncio.ensure_future(future).add_done_callback(on_written)
        return True


class PeerLink:
    """Sends messages to the other controllers and passes received ones to ``receive``.

    ``peers`` maps the name of each other controller to its address.
    """

    def __init__(self, peers: Mapping[str, str], receive: Receiver, clock: Clock) -> None:
        self._outgoing = {name: _OutgoingConnection(address, clock) for name, address in peers.items()}
        self._listener = _Listener(receive)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._listener.stop()
        self._listener.close()
        for connection in self._outgoing.values():
            connection.close()

    def start(self, port: int, address: str) -> list[asyncio.Task[None]]:
        """Listens on the address and starts connecting; returns the task of each outgoing connection."""
        self._listener.listen(port, address)
        return [asyncio.ensure_future(connection.run()) for connection in self._outgoing.values()]

    @property
    def peers(self) -> list[str]:
        """Names of the other controllers."""
        return list(self._outgoing)

    def is_up(self, peer: str) -> bool:
        """Whether this node can send to the peer; False for an unknown name."""
        connection = self._outgoing.get(peer)
        return connection is not None and connection.is_up

    def age(self, peer: str) -> timedelta:
        """Time since the connection to the peer was established; zero if it is down."""
        return self._outgoing[peer].age

    def reconnect(self, peer: str) -> None:
        """Closes the connection, so that a new one is made: a packet filter may have dropped it silently."""
        self._outgoing[peer].close()

    def send(self, peer: str, message: bytes) -> bool:
        """Returns False if the message was dropped, also if ``peer`` is this node or is not in the settings."""
        connection = self._outgoing.get(peer)
        return connection is not None and connection.send(netstrings.pack(message))

    def broadcast(self, message: bytes) -> None:
        """Sends the message to all peers that can be reached now."""
        frame = netstrings.pack(message)
        for connection in self._outgoing.values():
            connection.send(frame)
