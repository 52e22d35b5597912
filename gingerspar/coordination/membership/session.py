"""A node's session: a key on a lease. Every write of a claim or result is conditional on this key."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

from gingerspar.protocol.messages import KeyVersion, Put, Transaction
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseExpired, OutcomeUnknown, StateClient, Unavailable
from gingerspar.storage.records import Claimant, NodeRecord
from gingerspar.storage.view import Phase, WatchedView
from gingerspar.transport.clock import Clock

log = logging.getLogger(__name__)


class SessionState(Enum):
    NONE = "none"
    LEASED = "leased"  # the lease is granted, its key is not written yet
    OPEN = "open"


_ALLOWED = {
    (SessionState.NONE, SessionState.LEASED),
    (SessionState.LEASED, SessionState.OPEN),
    (SessionState.LEASED, SessionState.NONE),
    (SessionState.NONE, SessionState.OPEN),  # resumed from this node's previous process
    (SessionState.OPEN, SessionState.NONE),
}


class Session:
    """Opens this node's session, renews its lease, and opens a new session when it is lost.

    The callbacks in ``on_change`` are called with each new state.
    """

    def __init__(self, node: str, client: StateClient, view: WatchedView, clock: Clock, ttl: timedelta) -> None:
        self._node = node
        self._key = records.node_key(node)
        self._client = client
        self._view = view
        self._clock = clock
        self._ttl = ttl
        self._lease = 0
        self._version = 0
        self._resume_tried = False
        self.state = SessionState.NONE
        self.on_change: list[Callable[[SessionState], None]] = []
        view.on_node.append(self._on_node_change)

    def _move(self, state: SessionState, why: str) -> None:
        """The only place where the session's state changes."""
        if (self.state, state) not in _ALLOWED:
            raise RuntimeError(f"session: invalid state change from {self.state} to {state}")
        log.info("session %s -> %s: %s", self.state.value, state.value, why)
        self.state = state
        for listener in self.on_change:
            listener(state)

    @property
    def claimant(self) -> Claimant | None:
        """This node and the session's version; None while the session is not open."""
        return Claimant(self._node, self._version) if self.state is SessionState.OPEN else None

    def condition(self) -> KeyVersion:
        """A condition that makes a write fail once this session has ended, however late the write is applied."""
        return KeyVersion(self._key, self._version)

    def _on_node_change(self, node: str) -> None:
        if node != self._node or self.state is not SessionState.OPEN:
            return
        if self._view.nodes.get(node) != self._version:
            self._move(SessionState.NONE, "session key was removed or replaced")

    async def run(self) -> None:
        while True:
            try:
                if self.state is SessionState.OPEN:
                    await asyncio.sleep(self._ttl.total_seconds() / 4)
                    await self._client.extend(self._lease)
                elif self._view.phase is Phase.FOLLOWING:
                    await self._open()
                else:
                    await asyncio.sleep(0.05)
            except LeaseExpired:
                self._resume_tried = True
                if self.state is not SessionState.NONE:
                    self._move(SessionState.NONE, "lease has expired")
            except (Unavailable, OutcomeUnknown) as error:
                log.debug("session request failed: %s", error)
                await asyncio.sleep(0.3)

    async def _resume(self) -> bool:
        """Resumes the session of this node's previous process if its lease has not expired; whether it did.

        This is safe: the platform restarts a node's process only after the previous one has ended, so
        nobody else uses the session, and writes of the previous process that are still under way are
        conditional on the version of each record. Without resuming, a restart of all controllers made
        every claim lapse, and sweeping and claiming several hundred records again took more than a
        minute of the write budget.
        """
        previous, version = self._view.node_records.get(self._node), self._view.nodes.get(self._node)
        if self._resume_tried or previous is None or version is None or not previous.lease:
            return False
        await self._client.extend(previous.lease)
        self._resume_tried = True
        if self._view.nodes.get(self._node) != version:
            return False
        self._lease, self._version = previous.lease, version
        self._move(SessionState.OPEN, f"version {version}, resumed from the previous process")
        return True

    async def _open(self) -> None:
        if self.state is SessionState.NONE and await self._resume():
            return
        if self.state is SessionState.NONE:
            self._lease = await self._client.grant(self._ttl)
            self._move(SessionState.LEASED, f"lease {self._lease}")
        value = records.pack(NodeRecord(started=self._clock.utc_now().timestamp(), lease=self._lease))
        transaction = Transaction(
            # Conditional, so that a delayed put of an earlier session cannot replace this one unnoticed.
            [KeyVersion(self._key, self._view.nodes.get(self._node, 0))],
            [Put(self._key, value, self._lease)],
        )
        try:
            version = await self._client.commit(transaction, Urgency.SESSION)
        except Conflict:
            await self._view.barrier(timedelta(seconds=1))
            return
        except OutcomeUnknown:
            # The write may have been applied with this lease; a new lease tells the two sessions apart.
            self._move(SessionState.NONE, "no answer to the write of the session key")
            raise
        self._version = version
        self._resume_tried = True
        self._view.apply(self._key, bytes(value), version)
        if self.state is SessionState.LEASED:
            self._move(SessionState.OPEN, f"version {version}")
