"""Users' requests that a peer can serve while this node lacks the state service."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from datetime import timedelta

from gingerspar.coordination.jobs.job_api import error_answer
from gingerspar.protocol import peers
from gingerspar.transport.peerlink import PeerLink
from gingerspar.transport.server import Answer, resolve_answer

RELAY_WAIT = timedelta(seconds=1.7)  # pollers wait 2 s

NUMBER_BITS = 52  # where the requests' numbers begin; JSON numbers are whole up to 53 bits

Serve = Callable[[str, str, bytes], Answer | Awaitable[Answer]]


class RequestRelay:
    """Both ends: what this node asks of its peers, and what they ask of it."""

    def __init__(self, node: str, link: PeerLink, serve: Serve) -> None:
        self._node = node
        self._link = link
        self._serve = serve
        # A process that ends may be back within a fraction of a second, and then a peer's answer to
        # its former self is still under way: with numbers from 1 on another user would be given it.
        self._asked = secrets.randbits(NUMBER_BITS)
        self._waiting: dict[int, asyncio.Future[Answer]] = {}
        self._serving: set[asyncio.Task[None]] = set()

    async def forward(self, peer: str, method: str, path: str, body: bytes) -> Answer:
        """Asks the peer over the link; the load balancer takes seconds to steer users elsewhere."""
        try:
            text = body.decode()
        except UnicodeDecodeError:
            return error_answer(400, "not JSON")
        self._asked += 1
        number = self._asked
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            if not self._link.send(peer, peers.pack(peers.Relay(self._node, number, method, path, text))):
                return error_answer(503, "no state service", 1)
            return await asyncio.wait_for(future, RELAY_WAIT.total_seconds())
        except TimeoutError:
            return error_answer(503, "no state service", 1)
        finally:
            del self._waiting[number]

    def handle_answer(self, message: peers.Relayed) -> None:
        future = self._waiting.get(message.number)
        if future is not None and not future.done():
            headers = {} if message.retry_after is None else {"Retry-After": message.retry_after}
            future.set_result(Answer(message.status, message.body.encode(), headers))

    def serve(self, relay: peers.Relay) -> None:
        task = asyncio.ensure_future(self._answer(relay))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _answer(self, relay: peers.Relay) -> None:
        # Served here or not at all: a relayed request is never relayed again.
        answer = await resolve_answer(self._serve(relay.method, relay.path, relay.body.encode()))
        message = peers.Relayed(
            self._node, relay.number, answer.status, answer.body.decode(), answer.headers.get("Retry-After")
        )
        self._link.send(relay.node, peers.pack(message))
