"""A claimant: claims pending records, writes results, releases what it can't serve.

Every write names the session key's version and the record's version, so a write
that is applied late, after the session or the claim is over, fails (the late-result
table of the write-up).
"""

import asyncio
import logging
import zlib
from collections.abc import Callable
from datetime import timedelta

import msgspec
from sortedcontainers import SortedDict

from gingerspar.coordination.cluster.job_order import JobOrder
from gingerspar.coordination.membership.session import Session
from gingerspar.protocol.messages import JobStatus, KeyVersion, Put, Shape, Transaction
from gingerspar.protocol.settings import OperatorSettings, TeamFacts
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseExpired, OutcomeUnknown, StateClient, Unavailable
from gingerspar.storage.records import JobRecord
from gingerspar.storage.view import Versioned, WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.waits import wait_for_event

log = logging.getLogger(__name__)

CLAIM_BY = timedelta(seconds=90)  # after its submission, whatever its team has claimed
LEFT_OVER = timedelta(seconds=1)  # a record claimable for so long is claimed by whoever's turn it is
NOTHING = timedelta(0)
ROUNDING = 1e-6  # of sums that are added to and taken from
NEXT_TURN = timedelta(seconds=3)  # ... and by the next one after so long
UNREACHABLE = timedelta(seconds=4)  # a claimant cut off from the dispatcher releases its claims


class RecordChange(msgspec.Struct):
    """A new version of a record, to be written."""

    job: str
    base_version: int  # version it replaces
    record: JobRecord
    chunks: list[tuple[str, msgspec.Raw]] = []


def claimed(entry: Versioned, claimant: records.Claimant, term: int) -> JobRecord:
    """Pending to running: the claim raises the attempt."""
    record = entry.record
    return msgspec.structs.replace(
        record,
        status=JobStatus.RUNNING,
        attempt=record.attempt + 1,
        claimant=claimant,
        first_term=record.first_term or term,
        claim_term=term,
    )


def released(entry: Versioned) -> JobRecord:
    """Running to pending, the attempt as it is."""
    return msgspec.structs.replace(entry.record, status=JobStatus.PENDING, claimant=None)


def cancelled(entry: Versioned) -> JobRecord:
    return msgspec.structs.replace(entry.record, status=JobStatus.CANCELLED, claimant=None, finished="", spilled=False)


def with_results(entry: Versioned, tasks: set[int], value_bytes: int) -> RecordChange | None:
    """The record with newly finished tasks; done only once all are. None: nothing new."""
    record = entry.record
    finished = entry.finished.copy()
    new = [number for number in tasks if finished.add(number)]
    if not new:
        return None
    if finished.full and record.spec.shape is not Shape.SERVICE:
        over = msgspec.structs.replace(record, status=JobStatus.DONE, claimant=None, finished="", spilled=False)
        return RecordChange(record.spec.job, entry.version, over)
    if not records.must_spill(record.spec.tasks, value_bytes):
        return RecordChange(record.spec.job, entry.version, msgspec.structs.replace(record, finished=finished.text()))
    step = records.chunk_bytes(value_bytes)
    chunks = [
        (
            records.finished_key(record.spec.job, chunk),
            records.pack(records.ChunkRecord(finished.text(chunk * step, step))),
        )
        for chunk in sorted({number // (8 * step) for number in new})
    ]
    return RecordChange(record.spec.job, entry.version, msgspec.structs.replace(record, spilled=True), chunks)


class ClaimedResources:
    """What claimed, unfinished work of each team and priority takes in all; kept in step, record by record."""

    def __init__(self) -> None:
        self._sums: dict[tuple[str, int], tuple[float, float]] = {}
        self._jobs: dict[str, tuple[tuple[str, int], float, float]] = {}
        self._overdue: set[str] = set()

    def see(self, job: str, entry: Versioned | None, *, overdue: bool = False) -> None:
        """A new version of a record; None: the job is over.

        One that is ``overdue`` when it is first seen claimed counts with one task: it was claimed to begin,
        and must not keep all others of its team from being claimed.
        """
        known = self._jobs.pop(job, None)
        if known is not None:
            self._add(known[0], -known[1], -known[2])
        if entry is None or entry.record.status is not JobStatus.RUNNING:
            self._overdue.discard(job)
            return
        if overdue and known is None:
            self._overdue.add(job)
        cpus, gpus = _left(entry)
        part = 1 / max(entry.record.spec.tasks - len(entry.finished), 1) if job in self._overdue else 1.0
        self._jobs[job] = (_whose(entry), cpus * part, gpus * part)
        self._add(*self._jobs[job])

    def _add(self, whose: tuple[str, int], cpus: float, gpus: float) -> None:
        sums = self._sums.get(whose, (0.0, 0.0))
        self._sums[whose] = (sums[0] + cpus, sums[1] + gpus)

    def with_more(self) -> "ClaimedResources":
        """A copy of the sums, to which what is about to be claimed is added."""
        found = ClaimedResources()
        found._sums = dict(self._sums)
        return found

    def add(self, entry: Versioned) -> None:
        self._add(_whose(entry), *_left(entry))

    def over_limit(self, teams: dict[str, TeamFacts], entry: Versioned) -> bool:
        """True if claims of the same or a higher priority already use up the team's limit."""
        spec = entry.record.spec
        team = teams.get(spec.team)
        if team is None or not (team.cpus_max or team.gpus_max):
            return False
        cpus = gpus = 0.0
        for rank in range(spec.priority.rank + 1):
            sums = self._sums.get((spec.team, rank))
            if sums is not None:
                cpus, gpus = cpus + sums[0], gpus + sums[1]
        return bool(
            (team.cpus_max and spec.cpus and cpus >= team.cpus_max - ROUNDING)
            or (team.gpus_max and spec.gpus and gpus >= team.gpus_max - ROUNDING)
        )


def _whose(entry: Versioned) -> tuple[str, int]:
    return (entry.record.spec.team, entry.record.spec.priority.rank)


def _left(entry: Versioned) -> tuple[float, float]:
    """Processors and accelerators that its unfinished tasks take."""
    spec = entry.record.spec
    left = spec.tasks - len(entry.finished)
    return left * spec.cpus, left * spec.gpus


class PendingResults:
    """Newly finished tasks of one job that its record doesn't show yet."""

    __slots__ = ("since", "tasks")

    def __init__(self, since: timedelta) -> None:
        self.tasks: set[int] = set()
        self.since = since


class ClaimManager:
    """Runs in every node."""

    def __init__(
        self,
        node: str,
        client: StateClient,
        view: WatchedView,
        session: Session,
        clock: Clock,
        teams: dict[str, TeamFacts],
        settings: OperatorSettings,
        job_order: JobOrder,
    ) -> None:
        self._node = node
        self._client = client
        self._view = view
        self._session = session
        self._clock = clock
        self._teams = teams
        self._settings = settings
        self._job_order = job_order
        self._pending: SortedDict[tuple[int, float, float, str], str] = SortedDict()
        self._orders: dict[str, tuple[int, float, float, str]] = {}
        self._since: dict[str, timedelta] = {}
        self._accepted: set[str] = set()  # by this node: it claims them at once
        self._results: dict[str, PendingResults] = {}
        self._reclaims: dict[str, int] = {}
        self._held = ClaimedResources()
        self._wake = asyncio.Event()
        self._result_wake = asyncio.Event()
        self._reached = clock.now()
        self.dispatcher_reachable: Callable[[], bool] = lambda: True  # whether the dispatcher can be handed work
        self.hand_over: Callable[[str, int, JobRecord], None] = lambda job, version, record: None
        view.on_job.append(self._job_changed)

    def _job_changed(self, job: str) -> None:
        entry = self._view.jobs.get(job)
        self._held.see(job, entry, overdue=entry is not None and self._overdue(entry))
        if entry is not None and entry.record.status is JobStatus.PENDING:
            if job not in self._orders:
                order = self._job_order.key(entry.record)
                self._orders[job] = order
                self._pending[order] = job
                self._since[job] = self._clock.now()
                self._wake.set()
            return
        pending = self._results.get(job)
        if entry is not None and pending is not None:
            pending.tasks = {number for number in pending.tasks if number not in entry.finished}
            pending.since = self._clock.now()
        order_then = self._orders.pop(job, None)
        if order_then is not None:
            self._pending.pop(order_then, None)
            self._since.pop(job, None)
        if entry is None:
            self._accepted.discard(job)
            self._results.pop(job, None)
            self._reclaims.pop(job, None)

    def add_accepted(self, job: str) -> None:
        self._accepted.add(job)
        self._wake.set()

    def add_finished(self, jobs: dict[str, list[int]]) -> None:
        """From the dispatcher; said again until the record shows it."""
        now = self._clock.now()
        for job, tasks in jobs.items():
            entry = self._view.jobs.get(job)
            if entry is None:
                continue
            pending = self._results.get(job)
            if pending is None:
                pending = self._results[job] = PendingResults(now)
            pending.tasks.update(number for number in tasks if number not in entry.finished)
            self._result_wake.set()

    def reclaim(self, job: str, attempt: int) -> None:
        """From the dispatcher: a new attempt is needed, unless there is one already."""
        self._reclaims[job] = attempt
        self._wake.set()

    async def run_claims(self) -> None:
        while True:
            if await wait_for_event(self._wake, timedelta(seconds=0.5)):
                await asyncio.sleep(0.005)
            self._wake.clear()
            if self._view.term is None or self._session.claimant is None:
                continue
            now = self._clock.now()
            if self.dispatcher_reachable():
                self._reached = now
                await self._write(self._next_reclaims(), Urgency.CLAIM, hand_over=True)
                while batch := self._next_claims(now):
                    if not await self._write(batch, Urgency.CLAIM, hand_over=True):
                        break
            elif now - self._reached > UNREACHABLE:
                await self._write(self._next_releases(), Urgency.BACKGROUND)

    def _next_claims(self, now: timedelta) -> list[RecordChange]:
        claimant, term = self._session.claimant, self._view.term
        if claimant is None or term is None or not self._pending:
            return []
        batch: list[RecordChange] = []
        most = min(self._settings.claim_batch, self._client.most_puts)
        held = self._held.with_more()
        nodes = sorted(self._view.nodes)
        for job in self._pending.values():
            entry = self._view.jobs[job]
            # One that has waited long is claimed all the same, so that it can begin: the leader keeps the limit, task
            # by task. Large ones come last here, and waited for minutes while their team had all that it may have
            # claimed (kerlann-fonts-ops inc-e135).
            overdue = self._overdue(entry)
            if not overdue and held.over_limit(self._teams, entry):
                self._since[job] = now  # else all nodes would claim it at once when the team has room
                continue
            waited = now - self._since[job] - LEFT_OVER
            if job in self._accepted or (waited >= NOTHING and waited >= NEXT_TURN * self._turn(job, nodes)):
                if not overdue:
                    held.add(entry)
                batch.append(RecordChange(job, entry.version, claimed(entry, claimant, term[0].term)))
                if len(batch) >= most:
                    break
        return batch

    def _overdue(self, entry: Versioned) -> bool:
        return self._clock.today().timestamp() - entry.record.submitted >= CLAIM_BY.total_seconds()

    def _turn(self, job: str, nodes: list[str]) -> int:
        """This node's place among the live ones for a record that nobody else has claimed.

        Each record has an order of its own, so that the work of a node that is gone falls to all.
        """
        order = sorted(nodes, key=lambda node: zlib.crc32(f"{job} {node}".encode()))
        return order.index(self._node) if self._node in order else len(order)

    def _next_reclaims(self) -> list[RecordChange]:
        claimant, term = self._session.claimant, self._view.term
        batch: list[RecordChange] = []
        for job, attempt in list(self._reclaims.items()):
            entry = self._view.jobs.get(job)
            if entry is None or entry.record.claimant != claimant or entry.record.attempt > attempt:
                del self._reclaims[job]
            elif claimant is not None and term is not None and len(batch) < self._client.most_puts:
                del self._reclaims[job]
                batch.append(RecordChange(job, entry.version, claimed(entry, claimant, term[0].term)))
        return batch

    def _next_releases(self) -> list[RecordChange]:
        claimant = self._session.claimant
        mine = [
            (job, entry)
            for job, entry in self._view.jobs.items()
            if claimant is not None and entry.record.claimant == claimant
        ]
        return [
            RecordChange(job, entry.version, released(entry))
            for job, entry in mine[: min(self._settings.sweep_batch, self._client.most_puts)]
        ]

    async def run_results(self) -> None:
        while True:
            # A finish that completes no job waits for others of its job, `result_delay` at most.
            await wait_for_event(self._result_wake, timedelta(seconds=1))
            self._result_wake.clear()
            if self._session.claimant is None:
                await asyncio.sleep(0.2)
                continue
            while batch := self._next_results(self._clock.now()):
                if not await self._write(batch, Urgency.RESULT):
                    break
            await asyncio.sleep(self._settings.result_interval.total_seconds())

    def _next_results(self, now: timedelta) -> list[RecordChange]:
        """One write per job with newly finished tasks, as many jobs as fit one transaction.

        Those that complete their job go first, then what has waited longest.
        """
        claimant = self._session.claimant
        ready: list[tuple[bool, timedelta, str]] = []
        for job, pending in list(self._results.items()):
            entry = self._view.jobs.get(job)
            if entry is None or entry.record.claimant != claimant or claimant is None or not pending.tasks:
                del self._results[job]
                continue
            completes = len(entry.finished) + len(pending.tasks) >= entry.record.spec.tasks
            if completes or now - pending.since >= self._settings.result_delay:
                ready.append((not completes, pending.since, job))
        ready.sort()
        batch: list[RecordChange] = []
        puts = 0
        for _, _, job in ready:
            change = with_results(self._view.jobs[job], self._results[job].tasks, self._client.value_bytes)
            if change is None:
                del self._results[job]
                continue
            if puts + 1 + len(change.chunks) > self._client.most_puts and batch:
                break
            puts += 1 + len(change.chunks)
            batch.append(change)
        return batch

    async def _write(self, batch: list[RecordChange], urgency: Urgency, *, hand_over: bool = False) -> bool:
        """Commits the changes in one transaction; what it wrote is in the view at once."""
        term = self._view.term
        if not batch or term is None:
            return False
        session = self._session.condition()
        conditions = [session, *(KeyVersion(records.job_key(change.job), change.base_version) for change in batch)]
        if hand_over:
            # A claim names the term it was made in: none is made for an older leader than
            # the record says, so `first_term` tells who may have started its tasks.
            conditions.append(KeyVersion(records.TERM, term[1]))
        puts: list[Put] = []
        for change in batch:
            puts += [Put(key, value) for key, value in change.chunks]
            puts.append(Put(records.job_key(change.job), records.pack(change.record)))
        try:
            version = await self._client.commit(Transaction(conditions, [*puts]), urgency)
        except Conflict as conflict:
            log.debug("write refused: %s", conflict)
            await self._view.barrier(timedelta(seconds=1))
            return False
        except LeaseExpired:
            return False
        except (Unavailable, OutcomeUnknown) as error:
            log.debug("write: %s", error)
            await asyncio.sleep(0.1)
            self._wake.set()
            self._result_wake.set()
            await self._view.barrier(timedelta(seconds=1))
            return False
        for put in puts:
            self._view.apply(put.key, bytes(put.value), version)
        if hand_over:
            for change in batch:
                log.info("claimed %s attempt %d", change.job, change.record.attempt)
                self.hand_over(change.job, version, change.record)
        return True
