"""Whether this node reaches the workers: what comes in shows it, and where nothing does, it asks.

While the leader is well all workers report to it, and no other node can tell from what it
hears whether it could command them. On kerlann-fonts-fleet the leader lost the state
service, and a second later it and three others lost the workers; the term went to one of
those, and the only node with all its links took it 22 s later, past the workers' lease.
So a node that doubts the leader, or a leader that hears nothing, asks a few machines for
their status. It changes nothing there and renews no lease.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from enum import Enum

from gingerspar.coordination.membership.worker_contacts import WorkerContacts
from gingerspar.protocol import messages, names
from gingerspar.protocol.messages import Malformed, Report
from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.clock import Clock

log = logging.getLogger(__name__)

REACHABILITY_FRESH_FOR = timedelta(seconds=1.5)  # a report or an answer shows so long that the workers are reached
ASKED = 3  # machines in one round
ROUND = timedelta(seconds=0.5)  # from one round to the next
PROBE_TIMEOUT = timedelta(seconds=0.7)  # for one answer
LATE = timedelta(seconds=0.4)  # a round that took longer than this beyond its time shows only that this node is late
ROUNDS_MISSED = 2  # without any answer: then the workers are out of reach
MOST_ASKED = 8  # workers that came here, at once; a few that answer are enough


class ReachabilityState(Enum):
    UNKNOWN = "unknown"  # nothing was heard, and nothing asked lately
    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"


class WorkerReachability:
    """Judges from reports and answers; one for each node."""

    def __init__(self, contacts: WorkerContacts) -> None:
        self.state = ReachabilityState.UNKNOWN
        self._contacts = contacts
        self._answered: timedelta | None = None
        self._missed = 0
        self._missed_at: timedelta | None = None

    def record_answer(self, now: timedelta) -> None:
        """A machine has answered."""
        self._answered, self._missed = now, 0
        self.update(now)

    def record_unanswered_round(self, now: timedelta) -> None:
        """Of all machines asked in one round none has."""
        self._missed, self._missed_at = self._missed + 1, now
        self.update(now)

    def update(self, now: timedelta) -> ReachabilityState:
        """The state as of now: what was heard grows old without any event."""
        if _fresh(self._contacts.last_report_at, now) or _fresh(self._answered, now):
            self._missed = 0
            self._move(ReachabilityState.REACHABLE)
        elif self._missed >= ROUNDS_MISSED and _fresh(self._missed_at, now):
            self._move(ReachabilityState.UNREACHABLE)
        else:
            self._move(ReachabilityState.UNKNOWN)
        return self.state

    @property
    def is_reachable(self) -> bool | None:
        """For the heartbeat; None: it can't be told."""
        return None if self.state is ReachabilityState.UNKNOWN else self.state is ReachabilityState.REACHABLE

    def _move(self, state: ReachabilityState) -> None:
        """The only place where the state changes."""
        if state is self.state:
            return
        if ReachabilityState.UNREACHABLE in (state, self.state):  # the others come and go with each doubt
            log.info("workers: %s -> %s, %d rounds without an answer", self.state.value, state.value, self._missed)
        self.state = state


def _fresh(when: timedelta | None, now: timedelta) -> bool:
    return when is not None and now - when <= REACHABILITY_FRESH_FOR


class Prober:
    """Asks a few machines for as long as ``wanted`` says so."""

    def __init__(
        self,
        reachability: WorkerReachability,
        contacts: WorkerContacts,
        clock: Clock,
        wanted: Callable[[], bool],
        addresses: Callable[[], Sequence[str]],
        rng: random.Random,
    ) -> None:
        self._reachability = reachability
        self._contacts = contacts
        self._clock = clock
        self._wanted = wanted
        self._addresses = addresses
        self._random = rng
        self._asking: dict[str, asyncio.Task[None]] = {}  # workers that came here

    def probe_contacts(self) -> None:
        """Whether workers that came here hear is worth knowing before they count as having left the leader."""
        if not self._wanted():
            return
        for machine, address in self._contacts.unprobed(MOST_ASKED):
            if machine not in self._asking and len(self._asking) < MOST_ASKED:
                self._asking[machine] = asyncio.ensure_future(self._ask_visitor(machine, address))

    async def _ask_visitor(self, machine: str, address: str) -> None:
        try:
            report = await self._ask(address)
            if report is not None:
                self._contacts.record_probe_answer(machine, (report.session, report.seq))
                self._reachability.record_answer(self._clock.now())
        finally:
            del self._asking[machine]

    async def run(self) -> None:
        while True:
            await asyncio.sleep(ROUND.total_seconds())
            self._reachability.update(self._clock.now())
            self.probe_contacts()
            addresses = self._addresses() if self._wanted() else ()
            if addresses:
                await self._round(self._random.sample(list(addresses), min(ASKED, len(addresses))))

    async def _round(self, addresses: list[str]) -> None:
        began = self._clock.now()
        asking = [asyncio.ensure_future(self._ask(address)) for address in addresses]
        for answer in asyncio.as_completed(asking):
            if await answer is not None:
                self._reachability.record_answer(self._clock.now())
                break
        else:
            now = self._clock.now()
            if now - began <= PROBE_TIMEOUT + LATE:  # else this node may itself have been late to hear them
                self._reachability.record_unanswered_round(now)
        for each in asking:
            each.cancel()

    async def _ask(self, address: str) -> Report | None:
        """The machine's report as of now; None if there is no answer."""
        try:
            client = Client(address, connect_timeout=PROBE_TIMEOUT)
        except ValueError:
            return None  # that is no address
        try:
            async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
                status, body = await client.request("GET", names.PATH_STATUS, timeout=PROBE_TIMEOUT)
                return messages.decode(Report, body) if status == 200 else None
        except (NoAnswer, TimeoutError, Malformed):
            return None
        finally:
            client.close()
