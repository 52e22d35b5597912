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


Family = tuple[object, ...]  # of jobs that may use the same machines


class Least(NamedTuple):
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
    saved: TaskSet  # as the record says
    unsaved: set[int] = field(default_factory=set)  # finished, not yet in the record
    open: "SortedSet[int]" = field(default_factory=SortedSet)
    places: dict[int, list[Placement]] = field(default_factory=dict)  # live ones
    running: int = 0  # live ones that run or save
    gang: GangState = GangState.IDLE
    used_attempt: int = 0  # highest attempt that may have been started
    not_before: timedelta | None = None
    backoff: timedelta = FIRST_BACKOFF
    failures: dict[str, int] = field(default_factory=dict)  # errors by machine
    begun: bool = False  # a task of it has run
    told_unbegun: bool = False
    ran_well: bool = False  # a task of it was done somewhere
    over: bool = False
    told: timedelta | None = None  # when the claimant was last told of `unsaved`
    reclaim_asked: timedelta | None = None
    submitted: timedelta = NOTHING  # on this node's steady clock
    waiting_since: timedelta | None = None
    seen_open: int = 0  # open tasks when a pass last compared it with all machines
    booked: dict[Machine, int] = field(default_factory=dict)  # room that is kept for a gang
    booked_since: timedelta | None = None
    limit_kept_since: timedelta | None = None  # since when what its team's limit leaves is kept for a gang
    room_sought: timedelta | None = None  # when work was last looked at that could make room
    order: Order = field(init=False)  # changes only through ``Backlog.reorder``
    lateness: int = 0
    gangs: bool = field(init=False)
    at_once: tuple[float, float] = field(init=False)  # processors and accelerators that it needs to get on
    family: Family = field(init=False)

    def __post_init__(self) -> None:
        self.order = self.record.order
        spec = self.spec
        self.gangs = spec.shape is Shape.GANG
        count = spec.tasks if self.gangs else 1
        self.at_once = (count * spec.cpus, count * spec.gpus)
        self.family = (spec.types, spec.zone, spec.spot, spec.gpus > 0, self.gangs)

    @property
    def live(self) -> list[Placement]:
        return [placement for places in self.places.values() for placement in places]

    def set_gang(self, state: GangState) -> None:
        """The only place where a gang's state changes."""
        self.gang = state

    @property
    def waits(self) -> bool:
        """Claimed, and at least one task has no place; a gang starts only as a whole."""
        if not self.open or self.over or self.record.status is not JobStatus.RUNNING:
            return False
        if self.gangs:
            return self.gang is GangState.IDLE and not self.places and len(self.open) >= self.spec.tasks
        return True

    @property
    def suspect(self) -> bool:
        """It has failed and ran well nowhere so far, again and again: the job is to blame."""
        return bool(self.failures) and not self.ran_well and self.backoff > FIRST_BACKOFF

    @property
    def needs_attempt(self) -> bool:
        """A gang whose attempt may have been used needs a new one before it starts."""
        return self.gangs and self.waits and self.record.attempt <= self.used_attempt


class Backlog:
    """Runs with open tasks, by priority, then earliest due.

    ``unseen`` are those that a pass has to compare with all machines. The others found
    no room at their last look; since then only machines that gained room can help them.
    """

    def __init__(self) -> None:
        self.waiting: SortedDict[Order, JobRun] = SortedDict()
        self.unseen: SortedDict[Order, JobRun] = SortedDict()
        self.lacking_attempt: dict[str, JobRun] = {}
        self._delayed: dict[str, JobRun] = {}
        self._families: dict[Family, dict[str, JobRun]] = {}
        self._least: dict[Family, Least] = {}

    def refile(self, run: JobRun, now: timedelta, *, fresh: bool = False) -> None:
        """To be called after each change of what makes a run wait; ``fresh``: look at it anew."""
        order = run.order
        if run.waits and run.not_before is not None and run.not_before > now:
            self._delayed[run.spec.job] = run
            self._drop(run)
        elif run.waits:
            if order not in self.waiting:
                run.waiting_since = now
                self.waiting[order] = run
                self._join(run)
                fresh = True
            if fresh or len(run.open) > run.seen_open:
                self.unseen[order] = run
        else:
            self._drop(run)
        if run.needs_attempt:
            self.lacking_attempt[run.spec.job] = run
        else:
            self.lacking_attempt.pop(run.spec.job, None)
            run.reclaim_asked = None

    def _drop(self, run: JobRun) -> None:
        self.unseen.pop(run.order, None)
        if self.waiting.pop(run.order, None) is None:
            return
        members = self._families[run.family]
        del members[run.spec.job]
        least = self._least.get(run.family)
        spec = run.spec
        if not members:
            del self._families[run.family]
            self._least.pop(run.family, None)
        elif least is not None and (
            spec.cpus <= least.cpus or spec.gpus <= least.gpus or spec.memory_gb <= least.memory_gb
        ):
            del self._least[run.family]  # to be worked out again

    def _join(self, run: JobRun) -> None:
        members = self._families.setdefault(run.family, {})
        members[run.spec.job] = run
        least = self._least.get(run.family)
        if least is not None:
            self._least[run.family] = _less_of(least, run.spec)

    def least(self) -> list[tuple[Family, Least]]:
        """What a task takes at the least, for each family of the jobs that wait."""
        for family, members in self._families.items():
            if family not in self._least:
                least = Least(math.inf, math.inf, math.inf)
                for run in members.values():
                    least = _less_of(least, run.spec)
                self._least[family] = least
        return list(self._least.items())

    def due(self, now: timedelta) -> None:
        """Takes up runs whose pause is over."""
        for job, run in list(self._delayed.items()):
            if run.not_before is None or run.not_before <= now:
                del self._delayed[job]
                self.refile(run, now)

    def reorder(self, run: JobRun, order: Order) -> None:
        """What a job is due for changes while it waits."""
        if order == run.order:
            return
        for queue in (self.waiting, self.unseen):
            if queue.pop(run.order, None) is not None:
                queue[order] = run
        run.order = order

    def look_again(self) -> None:
        """All that wait are compared with all machines once more."""
        self.unseen.update(self.waiting)

    def seen(self, run: JobRun) -> None:
        """A pass has compared it with all machines."""
        run.seen_open = len(run.open)
        self.unseen.pop(run.order, None)

    def __iter__(self) -> Iterator[JobRun]:
        return iter(list(self.waiting.values()))


def _less_of(least: Least, spec: JobSpec) -> Least:
    return Least(min(least.cpus, spec.cpus), min(least.gpus, spec.gpus), min(least.memory_gb, spec.memory_gb))


def stranger(job: str) -> JobSpec:
    """Stands for a job that no record tells of."""
    return JobSpec(
        job=job, jobclass="", team="", shape=Shape.ARRAY, priority=Priority.LOW, tasks=1, cpus=0.0, memory_gb=0.0
    )


def recordless(spec: JobSpec) -> JobRun:
    """Stands for a job that is over, whose tasks are still found on machines."""
    record = JobRecord(spec=spec, status=JobStatus.CANCELLED)
    return JobRun(spec, record, TaskSet(spec.tasks), TaskSet(spec.tasks), over=True)
