"""Claims pending job records, writes task results and releases claims that this node cannot serve.

Every write is conditional on the version of the session key and on the version of
the record. A write that is applied late, after the session or the claim has ended,
therefore fails (docs/design.md, "Kept from the write-up": the attempt is the fencing token).
"""

import asyncio
import logging
import zlib
from collections.abc import Callable, Iterator
from datetime import timedelta

from sortedcontainers import SortedDict

from gingerspar.coordination.cluster.job_failures import JobFailures
from gingerspar.coordination.cluster.job_order import JobOrder
from gingerspar.coordination.jobs.claimed_resources import ClaimedResources
from gingerspar.coordination.jobs.record_changes import RecordChange, claimed, released, with_results
from gingerspar.coordination.jobs.record_writer import RecordWriter, WriteStatus
from gingerspar.coordination.membership.session import Session
from gingerspar.protocol.messages import JobStatus, KeyVersion
from gingerspar.protocol.settings import OperatorSettings, TeamFacts
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import StateClient
from gingerspar.storage.records import JobRecord
from gingerspar.storage.view import Versioned, WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.waits import wait_for_event

log = logging.getLogger(__name__)

# A job older than this is claimed even if its team's limit is already used up by claims.
CLAIM_DEADLINE = timedelta(seconds=90)
# A record that has been claimable for this long may be claimed by a node that did not accept it.
FALLBACK_CLAIM_DELAY = timedelta(seconds=1)
ZERO_DURATION = timedelta(0)
# Each further node in the record's fallback order waits this much longer than the one before it.
FALLBACK_CLAIM_INTERVAL = timedelta(seconds=3)
# A claimant that has not reached the leader for this long releases its claims.
RELEASE_AFTER = timedelta(seconds=4)


class PendingResults:
    """Finished tasks of one job that its record does not show yet."""

    __slots__ = ("since", "tasks")

    def __init__(self, since: timedelta) -> None:
        self.tasks: set[int] = set()
        self.since = since  # when the wait started; each new version of the record restarts it


class ClaimManager:
    """Claims, results and releases of one node; every node runs one."""

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
        writer: RecordWriter,
    ) -> None:
        self._node = node
        self._client = client
        self._view = view
        self._session = session
        self._clock = clock
        self._teams = teams
        self._settings = settings
        self._job_order = job_order
        self._writer = writer
        self._failures = JobFailures()
        # Jobs that can be claimed, in the order in which they are claimed, and the sort key of each.
        self._pending_jobs: SortedDict[tuple[int, float, float, str], str] = SortedDict()
        self._order_keys: dict[str, tuple[int, float, float, str]] = {}
        self._claimable_since: dict[str, timedelta] = {}
        self._accepted: set[str] = set()  # jobs that this node accepted: it claims them without delay
        self._pending_results: dict[str, PendingResults] = {}
        self._reclaim_requests: dict[str, int] = {}  # job -> attempt that needs a successor
        self._claimed_resources = ClaimedResources()
        self._wake = asyncio.Event()
        self._result_wake = asyncio.Event()
        self._leader_reached_at = clock.now()
        self.leader_reachable: Callable[[], bool] = lambda: True  # whether claims can be handed over to it
        self.hand_over: Callable[[str, int, JobRecord], None] = lambda job, version, record: None
        view.on_job.append(self._job_changed)

    def _job_changed(self, job: str) -> None:
        entry = self._view.jobs.get(job)
        self._claimed_resources.update_job(job, entry, overdue=entry is not None and self._is_overdue(entry))
        if entry is not None and entry.record.status is JobStatus.PENDING:
            if job not in self._order_keys:
                order_key = self._job_order.key(entry.record)
                self._order_keys[job] = order_key
                self._pending_jobs[order_key] = job
                self._claimable_since[job] = self._clock.now()
                self._wake.set()
            return
        pending = self._pending_results.get(job)
        if entry is not None and pending is not None:
            pending.tasks = {number for number in pending.tasks if number not in entry.finished}
            pending.since = self._clock.now()
        previous_key = self._order_keys.pop(job, None)
        if previous_key is not None:
            self._pending_jobs.pop(previous_key, None)
            self._claimable_since.pop(job, None)
        if entry is None:
            self._accepted.discard(job)
            self._pending_results.pop(job, None)
            self._reclaim_requests.pop(job, None)

    def add_accepted(self, job: str) -> None:
        """Marks a job as accepted by this node, which then claims it without the fallback delay."""
        self._accepted.add(job)
        self._wake.set()

    def add_finished(self, jobs: dict[str, list[int]]) -> None:
        """Adds finished tasks by job. The leader reports each task repeatedly until the job's record shows it."""
        now = self._clock.now()
        for job, tasks in jobs.items():
            entry = self._view.jobs.get(job)
            if entry is None:
                continue
            pending = self._pending_results.get(job)
            if pending is None:
                pending = self._pending_results[job] = PendingResults(now)
            pending.tasks.update(number for number in tasks if number not in entry.finished)
            self._result_wake.set()

    def request_reclaim(self, job: str, attempt: int) -> None:
        """Queues the leader's request for a later attempt of a job; ignored if the record has one already."""
        self._reclaim_requests[job] = attempt
        self._wake.set()

    async def run_claims(self) -> None:
        """Writes claims while the leader is reachable; releases them after ``RELEASE_AFTER`` without it."""
        while True:
            if await wait_for_event(self._wake, timedelta(seconds=0.5)):
                await asyncio.sleep(0.005)
            self._wake.clear()
            if self._view.term is None or self._session.claimant is None:
                continue
            now = self._clock.now()
            if self.leader_reachable():
                self._leader_reached_at = now
                await self._write(self._next_reclaims(), Urgency.CLAIM, hand_over=True)
                while batch := self._next_claims(now):
                    if not await self._write(batch, Urgency.CLAIM, hand_over=True):
                        break
            elif now - self._leader_reached_at > RELEASE_AFTER:
                await self._write(self._next_releases(), Urgency.BACKGROUND)

    def _next_claims(self, now: timedelta) -> list[RecordChange]:
        """Claims of pending jobs in order, as many as fit into one transaction."""
        claimant, term = self._session.claimant, self._view.term
        if claimant is None or term is None or not self._pending_jobs:
            return []
        return self._writer.select(self._claim_candidates(claimant, term[0].term, now), self._settings.claim_batch)

    def _claim_candidates(self, claimant: records.Claimant, term: int, now: timedelta) -> Iterator[RecordChange]:
        claimed_resources = self._claimed_resources.copy_totals()
        nodes = sorted(self._view.nodes)
        for job in self._pending_jobs.values():
            if self._writer.is_paused(job) or self._failures.is_paused(job, now):
                continue
            try:
                change = self._claim_of(job, claimant, term, claimed_resources, nodes, now)
            except Exception:
                self._failures.add(job, "claiming", now)
                continue
            if change is not None:
                yield change

    def _claim_of(
        self,
        job: str,
        claimant: records.Claimant,
        term: int,
        claimed_resources: ClaimedResources,
        nodes: list[str],
        now: timedelta,
    ) -> RecordChange | None:
        """The claim of a pending job, added to ``claimed_resources``; None if this node is not to claim it now."""
        entry = self._view.jobs[job]
        # An overdue job is claimed past the limit so that it can start; the leader enforces the limit task by task.
        # Large jobs come last in this order, and waited for minutes while other claims used up their team's limit
        # (kerlann-fonts-ops inc-e135).
        overdue = self._is_overdue(entry)
        if not overdue and claimed_resources.over_limit(self._teams, entry):
            # Without this, all nodes would claim the job at the same time once the team is below its limit.
            self._claimable_since[job] = now
            return None
        waited = now - self._claimable_since[job] - FALLBACK_CLAIM_DELAY
        if job not in self._accepted and (
            waited < ZERO_DURATION or waited < FALLBACK_CLAIM_INTERVAL * self._fallback_position(job, nodes)
        ):
            return None
        change = RecordChange(job, entry.version, claimed(entry, claimant, term))
        if not overdue:
            claimed_resources.add(entry)
        return change

    def _is_overdue(self, entry: Versioned) -> bool:
        """True if the job has waited so long that it is claimed past its team's limit."""
        return self._clock.utc_now().timestamp() - entry.record.submitted >= CLAIM_DEADLINE.total_seconds()

    def _fallback_position(self, job: str, nodes: list[str]) -> int:
        """This node's position among the live nodes in the order in which they may claim an unclaimed record.

        The order differs from record to record, so that the jobs of a failed node are spread over all others.
        """
        order = sorted(nodes, key=lambda node: zlib.crc32(f"{job} {node}".encode()))
        return order.index(self._node) if self._node in order else len(order)

    def _next_reclaims(self) -> list[RecordChange]:
        claimant, term = self._session.claimant, self._view.term
        candidates: list[RecordChange] = []
        for job, attempt in list(self._reclaim_requests.items()):
            entry = self._view.jobs.get(job)
            if entry is None or entry.record.claimant != claimant or entry.record.attempt > attempt:
                del self._reclaim_requests[job]
            elif claimant is not None and term is not None:
                candidates.append(RecordChange(job, entry.version, claimed(entry, claimant, term[0].term)))
        batch = self._writer.select(candidates)
        for change in batch:
            del self._reclaim_requests[change.job]
        return batch

    def _next_releases(self) -> list[RecordChange]:
        claimant = self._session.claimant
        own_claims = (
            RecordChange(job, entry.version, released(entry))
            for job, entry in self._view.jobs.items()
            if claimant is not None and entry.record.claimant == claimant
        )
        return self._writer.select(own_claims, self._settings.sweep_batch)

    async def run_results(self) -> None:
        """Writes finished tasks to the records of the jobs that this node has claimed."""
        while True:
            # Results that do not complete their job wait up to `result_delay` for further results of the same job.
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
        """One change for each job with newly finished tasks, for as many jobs as fit into one transaction.

        Changes that complete their job come first, then those that have waited longest.
        """
        claimant = self._session.claimant
        ready: list[tuple[bool, timedelta, str]] = []
        for job, pending in list(self._pending_results.items()):
            entry = self._view.jobs.get(job)
            if entry is None or entry.record.claimant != claimant or claimant is None or not pending.tasks:
                del self._pending_results[job]
                continue
            completes = len(entry.finished) + len(pending.tasks) >= entry.record.spec.tasks
            if completes or now - pending.since >= self._settings.result_delay:
                ready.append((not completes, pending.since, job))
        ready.sort()
        return self._writer.select(self._results_of([job for _, _, job in ready], now))

    def _results_of(self, jobs: list[str], now: timedelta) -> Iterator[RecordChange]:
        for job in jobs:
            if self._writer.is_paused(job) or self._failures.is_paused(job, now):
                continue
            try:
                change = with_results(
                    self._view.jobs[job],
                    self._pending_results[job].tasks,
                    self._client.value_bytes,
                    self._writer.new_transaction(),
                )
            except Exception:
                self._failures.add(job, "recording of results", now)
                continue
            if change is None:
                del self._pending_results[job]
            else:
                yield change

    async def _write(self, batch: list[RecordChange], urgency: Urgency, *, hand_over: bool = False) -> bool:
        """Writes the changes.

        ``hand_over``: the changes are claims, which are passed on to the leader. Returns False if nothing was
        written or the outcome is unknown.
        """
        term = self._view.term
        if not batch or term is None:
            return False
        # A claim records the term in which it was made. With this condition no claim is made for an
        # older leader than the term record names, so `first_term` shows who may have started its tasks.
        conditions = [KeyVersion(records.TERM, term[1])] if hand_over else []
        result = await self._writer.write(batch, urgency, conditions)
        if hand_over:
            for change, version in result.written:
                log.info("claimed %s attempt %d", change.job, change.record.attempt)
                self.hand_over(change.job, version, change.record)
        if result.status is WriteStatus.FAILED:
            self._wake.set()
            self._result_wake.set()
        return result.status is WriteStatus.WRITTEN
