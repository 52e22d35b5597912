"""Unfinished jobs as the leader sees them, and the backlog of those that wait."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from sortedcontainers import SortedDict, SortedSet

from gingerspar.coordination.cluster.machine import NOTHING, Machine, Placement
from gingerspar.protocol.messages import JobSpec, JobStatus, Priority, Shape
from gingerspar.storage.records import JobRecord, Order, TaskSet

FIRST_BACKOFF = timedelta(seconds=1)


ConstraintKey = tuple[object, ...]  # of jobs that may use the same machines


class MinDemand(NamedTuple):
    """The least of each that a task takes, over several jobs."""

    cpus: float
    gpus: float
    memory_gb: float


class GangState(Enum):
    IDLE = "idle"  # nothing of it on any machine
    PLACED = "placed"  # all its tasks have places
    STOPPING = "stopping"  # it lost a task or is stopped: waits until all are gone


@dataclass(slots=True, eq=False)
class JobRun:
    """An unfinished job, or a finished one with tasks still on machines."""

    spec: JobSpec
    record: JobRecord
    finished: TaskSet  # as the record says, plus what reports say
    recorded: TaskSet  # as the record says
    unrecorded: set[int] = field(default_factory=set)  # finished, not yet in the record
    open: "SortedSet[int]" = field(default_factory=SortedSet)
    places: dict[int, list[Placement]] = field(default_factory=dict)  # live ones
    running: int = 0  # live ones that run or save
    gang_state: GangState = GangState.IDLE
    max_used_attempt: int = 0  # highest attempt that may have been started
    not_before: timedelta | None = None
    backoff: timedelta = FIRST_BACKOFF
    failures: dict[str, int] = field(default_factory=dict)  # errors by machine
    has_started: bool = False  # a task of it has run
    logged_not_started: bool = False
    has_succeeded: bool = False  # a task of it was done somewhere
    ended: bool = False
    notified_at: timedelta | None = None  # when the claimant was last told of `unrecorded`
    reclaim_requested_at: timedelta | None = None
    submitted: timedelta = NOTHING  # on this node's steady clock
    waiting_since: timedelta | None = None
    open_when_scanned: int = 0  # open tasks when a pass last compared it with all machines
    reserved: dict[Machine, int] = field(default_factory=dict)  # room that is kept for a gang
    reserved_since: timedelta | None = None
    limit_reserved_since: timedelta | None = None  # since when what its team's limit leaves is kept for a gang
    preemption_checked_at: timedelta | None = None  # when work was last looked at that could make room
    order: Order = field(init=False)  # changes only through ``Backlog.reorder``
    lateness: int = 0
    is_gang: bool = field(init=False)
    demand: tuple[float, float] = field(init=False)  # processors and accelerators that it needs to get on
    constraint_key: ConstraintKey = field(init=False)

    def __post_init__(self) -> None:
        self.order = self.record.order
        spec = self.spec
        self.is_gang = spec.shape is Shape.GANG
        count = spec.tasks if self.is_gang else 1
        self.demand = (count * spec.cpus, count * spec.gpus)
        self.constraint_key = (spec.types, spec.zone, spec.spot, spec.gpus > 0, self.is_gang)

    @property
    def live(self) -> list[Placement]:
        return [placement for places in self.places.values() for placement in places]

    def set_gang_state(self, state: GangState) -> None:
        """The only place where a gang's state changes."""
        self.gang_state = state

    @property
    def is_waiting(self) -> bool:
        """Claimed, and at least one task has no place; a gang starts only as a whole."""
        if not self.open or self.ended or self.record.status is not JobStatus.RUNNING:
            return False
        if self.is_gang:
            return self.gang_state is GangState.IDLE and not self.places and len(self.open) >= self.spec.tasks
        return True

    @property
    def is_suspect(self) -> bool:
        """It has failed and ran well nowhere so far, again and again: the job is to blame."""
        return bool(self.failures) and not self.has_succeeded and self.backoff > FIRST_BACKOFF

    @property
    def needs_attempt(self) -> bool:
        """A gang whose attempt may have been used needs a new one before it starts."""
        return self.is_gang and self.is_waiting and self.record.attempt <= self.max_used_attempt


class Backlog:
    """Runs with open tasks, by priority, then earliest due.

    ``unscanned`` are those that a pass has to compare with all machines. The others found
    no room at their last look; since then only machines that gained room can help them.
    """

    def __init__(self) -> None:
        self.waiting: SortedDict[Order, JobRun] = SortedDict()
        self.unscanned: SortedDict[Order, JobRun] = SortedDict()
        self.awaiting_attempt: dict[str, JobRun] = {}
        self._delayed: dict[str, JobRun] = {}
        self._by_constraint: dict[ConstraintKey, dict[str, JobRun]] = {}
        self._min_demands: dict[ConstraintKey, MinDemand] = {}

    def update(self, run: JobRun, now: timedelta, *, fresh: bool = False) -> None:
        """To be called after each change of what makes a run wait; ``fresh``: look at it anew."""
        order = run.order
        if run.is_waiting and run.not_before is not None and run.not_before > now:
            self._delayed[run.spec.job] = run
            self._drop(run)
        elif run.is_waiting:
            if order not in self.waiting:
                run.waiting_since = now
                self.waiting[order] = run
                self._join(run)
                fresh = True
            if fresh or len(run.open) > run.open_when_scanned:
                self.unscanned[order] = run
        else:
            self._drop(run)
        if run.needs_attempt:
            self.awaiting_attempt[run.spec.job] = run
        else:
            self.awaiting_attempt.pop(run.spec.job, None)
            run.reclaim_requested_at = None

    def _drop(self, run: JobRun) -> None:
        self.unscanned.pop(run.order, None)
        if self.waiting.pop(run.order, None) is None:
            return
        members = self._by_constraint[run.constraint_key]
        del members[run.spec.job]
        min_demand = self._min_demands.get(run.constraint_key)
        spec = run.spec
        if not members:
            del self._by_constraint[run.constraint_key]
            self._min_demands.pop(run.constraint_key, None)
        elif min_demand is not None and (
            spec.cpus <= min_demand.cpus or spec.gpus <= min_demand.gpus or spec.memory_gb <= min_demand.memory_gb
        ):
            del self._min_demands[run.constraint_key]  # to be worked out again

    def _join(self, run: JobRun) -> None:
        members = self._by_constraint.setdefault(run.constraint_key, {})
        members[run.spec.job] = run
        min_demand = self._min_demands.get(run.constraint_key)
        if min_demand is not None:
            self._min_demands[run.constraint_key] = _less_of(min_demand, run.spec)

    def min_demands(self) -> list[tuple[ConstraintKey, MinDemand]]:
        """What a task takes at the least, for each family of the jobs that wait."""
        for constraint_key, members in self._by_constraint.items():
            if constraint_key not in self._min_demands:
                min_demand = MinDemand(math.inf, math.inf, math.inf)
                for run in members.values():
                    min_demand = _less_of(min_demand, run.spec)
                self._min_demands[constraint_key] = min_demand
        return list(self._min_demands.items())

    def resume_delayed(self, now: timedelta) -> None:
        """Takes up runs whose pause is over."""
        for job, run in list(self._delayed.items()):
            if run.not_before is None or run.not_before <= now:
                del self._delayed[job]
                self.update(run, now)

    def reorder(self, run: JobRun, order: Order) -> None:
        """What a job is due for changes while it waits."""
        if order == run.order:
            return
        for queue in (self.waiting, self.unscanned):
            if queue.pop(run.order, None) is not None:
                queue[order] = run
        run.order = order

    def rescan_all(self) -> None:
        """All that wait are compared with all machines once more."""
        self.unscanned.update(self.waiting)

    def mark_scanned(self, run: JobRun) -> None:
        """A pass has compared it with all machines."""
        run.open_when_scanned = len(run.open)
        self.unscanned.pop(run.order, None)

    def __iter__(self) -> Iterator[JobRun]:
        return iter(list(self.waiting.values()))


def _less_of(min_demand: MinDemand, spec: JobSpec) -> MinDemand:
    return MinDemand(
        min(min_demand.cpus, spec.cpus), min(min_demand.gpus, spec.gpus), min(min_demand.memory_gb, spec.memory_gb)
    )


def unknown_job_spec(job: str) -> JobSpec:
    """Stands for a job that no record tells of."""
    return JobSpec(
        job=job, jobclass="", team="", shape=Shape.ARRAY, priority=Priority.LOW, tasks=1, cpus=0.0, memory_gb=0.0
    )


def run_of_ended_job(spec: JobSpec) -> JobRun:
    """Stands for a job that is over, whose tasks are still found on machines."""
    record = JobRecord(spec=spec, status=JobStatus.CANCELLED)
    return JobRun(spec, record, TaskSet(spec.tasks), TaskSet(spec.tasks), ended=True)
