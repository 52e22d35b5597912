"""Forwards users' requests to a peer while this node cannot reach the state service and the peer can."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from datetime import timedelta

from gingerspar.coordination.jobs.job_api import error_answer
from gingerspar.protocol import peers
from gingerspar.transport.peerlink import PeerLink
from gingerspar.transport.server import Answer, resolve_answer

RELAY_TIMEOUT = timedelta(seconds=1.7)  # users wait 2 s for the answer to a status request

# Size of the random number from which requests are numbered; JSON numbers are exact integers up to 53 bits.
FIRST_NUMBER_BITS = 52

Serve = Callable[[str, str, bytes], Answer | Awaitable[Answer]]


class RequestRelay:
    """Both ends of the relay: forwards requests to peers and serves the requests that peers forward."""

    def __init__(self, node: str, link: PeerLink, serve: Serve) -> None:
        self._node = node
        self._link = link
        self._serve = serve
        # A process may restart within a fraction of a second, while a peer's answer to the previous process is still
        # in transit. If both processes numbered their requests from 1, another user would receive that answer.
        self._last_number = secrets.randbits(FIRST_NUMBER_BITS)
        self._pending_answers: dict[int, asyncio.Future[Answer]] = {}
        self._serving: set[asyncio.Task[None]] = set()

    async def forward(self, peer: str, method: str, path: str, body: bytes) -> Answer:
        """Forwards a request to a peer over the link and returns the peer's answer, or 503 if none arrives in time.

        Without the relay, users' requests would fail until the load balancer redirects them to another node, which
        takes seconds.
        """
        try:
            text = body.decode()
        except UnicodeDecodeError:
            return error_answer(400, "not JSON")
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending_answers[number] = future
        try:
            if not self._link.send(peer, peers.pack(peers.Relay(self._node, number, method, path, text))):
                return error_answer(503, "no state service", 1)
            return await asyncio.wait_for(future, RELAY_TIMEOUT.total_seconds())
        except TimeoutError:
            return error_answer(503, "no state service", 1)
        finally:
            del self._pending_answers[number]

    def handle_answer(self, message: peers.Relayed) -> None:
        """Passes a peer's answer to the waiting request; an answer to no waiting request is ignored."""
        future = self._pending_answers.get(message.number)
        if future is not None and not future.done():
            headers = {} if message.retry_after is None else {"Retry-After": message.retry_after}
            future.set_result(Answer(message.status, message.body.encode(), headers))

    def serve(self, relay: peers.Relay) -> None:
        """Starts serving a request that a peer forwarded; the answer goes back over the link."""
        task = asyncio.ensure_future(self._answer(relay))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _answer(self, relay: peers.Relay) -> None:
        # A relayed request is served here or fails; it is never relayed again.
        answer = await resolve_answer(self._serve(relay.method, relay.path, relay.body.encode()))
        message = peers.Relayed(
            self._node, relay.number, answer.status, answer.body.decode(), answer.headers.get("Retry-After")
        )
        self._link.send(relay.node, peers.pack(message))
