"""Whether this node reaches the workers: known from their reports or, if there are none, from probes.

While the leader works normally, all workers report to it, so no other node can tell from received
reports whether it could command the workers. On kerlann-fonts-fleet the leader lost the state
service, and a second later it and three others lost the workers. The term went to one of those
three, and the only node with all its links took the term 22 s later, after the workers' leases had
run out. So a node that doubts the leader, and a leader that receives nothing, probe a few machines
for their status. A probe changes nothing on the machine and renews no lease.
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

REACHABILITY_FRESH_FOR = timedelta(seconds=1.5)  # age up to which a report or an answer shows that workers are reached
PROBES_PER_ROUND = 3  # number of machines probed in one round
ROUND_INTERVAL = timedelta(seconds=0.5)  # pause between two rounds of probes
PROBE_TIMEOUT = timedelta(seconds=0.7)  # for one answer
MAX_ROUND_DELAY = timedelta(seconds=0.4)  # beyond PROBE_TIMEOUT; a longer round shows only that this node is late
UNREACHABLE_AFTER_ROUNDS = 2  # rounds without any answer
MAX_CONTACT_PROBES = 8  # concurrent probes of workers that reported to this node; a few that answer are enough


class ReachabilityState(Enum):
    UNKNOWN = "unknown"  # no recent report or answer, and too few recent rounds of probes
    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"


class WorkerReachability:
    """Decides from reports and probe answers whether this node reaches the workers; one for each node."""

    def __init__(self, contacts: WorkerContacts) -> None:
        self.state = ReachabilityState.UNKNOWN
        self._contacts = contacts
        self._answered_at: timedelta | None = None
        self._missed_rounds = 0
        self._last_missed_at: timedelta | None = None

    def record_answer(self, now: timedelta) -> None:
        """Records that a machine answered a probe."""
        self._answered_at, self._missed_rounds = now, 0
        self.update(now)

    def record_unanswered_round(self, now: timedelta) -> None:
        """Records that no machine answered in one round of probes."""
        self._missed_rounds, self._last_missed_at = self._missed_rounds + 1, now
        self.update(now)

    def update(self, now: timedelta) -> ReachabilityState:
        """Returns the state as of now. Reports and answers grow old without any event, so callers update regularly."""
        if _is_fresh(self._contacts.last_report_at, now) or _is_fresh(self._answered_at, now):
            self._missed_rounds = 0
            self._move(ReachabilityState.REACHABLE)
        elif self._missed_rounds >= UNREACHABLE_AFTER_ROUNDS and _is_fresh(self._last_missed_at, now):
            self._move(ReachabilityState.UNREACHABLE)
        else:
            self._move(ReachabilityState.UNKNOWN)
        return self.state

    @property
    def is_reachable(self) -> bool | None:
        """For the heartbeat; None if unknown."""
        return None if self.state is ReachabilityState.UNKNOWN else self.state is ReachabilityState.REACHABLE

    def _move(self, state: ReachabilityState) -> None:
        """The only place where the state changes."""
        if state is self.state:
            return
        if ReachabilityState.UNREACHABLE in (state, self.state):  # other changes occur with each doubt
            log.info(
                "worker reachability: %s -> %s, %d rounds without an answer",
                self.state.value,
                state.value,
                self._missed_rounds,
            )
        self.state = state


def _is_fresh(when: timedelta | None, now: timedelta) -> bool:
    return when is not None and now - when <= REACHABILITY_FRESH_FOR


class Prober:
    """Probes a few machines at intervals while ``is_wanted`` returns true.

    ``addresses`` returns the machines of which each round probes a random sample.
    """

    def __init__(
        self,
        reachability: WorkerReachability,
        contacts: WorkerContacts,
        clock: Clock,
        is_wanted: Callable[[], bool],
        addresses: Callable[[], Sequence[str]],
        rng: random.Random,
    ) -> None:
        self._reachability = reachability
        self._contacts = contacts
        self._clock = clock
        self._is_wanted = is_wanted
        self._addresses = addresses
        self._random = rng
        self._contact_probes: dict[str, asyncio.Task[None]] = {}  # under way, by worker

    def probe_contacts(self) -> None:
        """Probes workers that reported to this node: only those that answer count as having left the leader."""
        if not self._is_wanted():
            return
        for machine, address in self._contacts.unprobed(MAX_CONTACT_PROBES):
            if machine not in self._contact_probes and len(self._contact_probes) < MAX_CONTACT_PROBES:
                self._contact_probes[machine] = asyncio.ensure_future(self._probe_contact(machine, address))

    async def _probe_contact(self, machine: str, address: str) -> None:
        try:
            report = await self._probe(address)
            if report is not None:
                self._contacts.record_probe_answer(machine, (report.session, report.seq))
                self._reachability.record_answer(self._clock.now())
        finally:
            del self._contact_probes[machine]

    async def run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL.total_seconds())
            self._reachability.update(self._clock.now())
            self.probe_contacts()
            addresses = self._addresses() if self._is_wanted() else ()
            if addresses:
                await self._run_round(self._random.sample(list(addresses), min(PROBES_PER_ROUND, len(addresses))))

    async def _run_round(self, addresses: list[str]) -> None:
        started = self._clock.now()
        probes = [asyncio.ensure_future(self._probe(address)) for address in addresses]
        for answer in asyncio.as_completed(probes):
            if await answer is not None:
                self._reachability.record_answer(self._clock.now())
                break
        else:
            now = self._clock.now()
            # In a longer round, this node itself may have been late to receive the answers.
            if now - started <= PROBE_TIMEOUT + MAX_ROUND_DELAY:
                self._reachability.record_unanswered_round(now)
        for probe in probes:
            probe.cancel()

    async def _probe(self, address: str) -> Report | None:
        """Returns the machine's current report, None if there is no valid answer."""
        try:
            client = Client(address, connect_timeout=PROBE_TIMEOUT)
        except ValueError:
            return None  # not a valid address
        try:
            async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
                status, body = await client.request("GET", names.PATH_STATUS, timeout=PROBE_TIMEOUT)
                return messages.decode(Report, body) if status == 200 else None
        except (NoAnswer, TimeoutError, Malformed):
            return None
        finally:
            client.close()
