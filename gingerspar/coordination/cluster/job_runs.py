"""The leader's state of each unfinished job (``JobRun``), and the backlog of jobs that wait for machines."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from sortedcontainers import SortedDict

from gingerspar.coordination.cluster.machine import ZERO_DURATION, Machine, Placement
from gingerspar.coordination.cluster.open_tasks import OpenTasks
from gingerspar.protocol.messages import JobSpec, JobStatus, Priority, Shape
from gingerspar.storage.records import JobRecord, Order
from gingerspar.storage.task_set import TaskSet

FIRST_BACKOFF = timedelta(seconds=1)  # initial pause before a job is placed again after a failure


ConstraintKey = tuple[object, ...]  # equal for jobs that may use the same machines


class MinDemand(NamedTuple):
    """Per resource, the minimum that a task of any of several jobs needs."""

    cpus: float
    gpus: float
    memory_gb: float


class Demands:
    """The amounts that a task of each of several jobs needs, with their minimum.

    Amounts are counted by value, so that the minimum is known after each change without a search. Many waiting jobs are
    alike: each one that was placed had its whole group searched, and 20,000 jobs kept the leader busy for minutes.
    """

    def __init__(self) -> None:
        self._cpus: SortedDict[float, int] = SortedDict()  # number of jobs by amount
        self._gpus: SortedDict[float, int] = SortedDict()
        self._memory_gb: SortedDict[float, int] = SortedDict()

    def __bool__(self) -> bool:
        return bool(self._cpus)

    def add(self, spec: JobSpec) -> None:
        for counts, amount in self._counts_and_amounts(spec):
            counts[amount] = counts.get(amount, 0) + 1

    def remove(self, spec: JobSpec) -> None:
        for counts, amount in self._counts_and_amounts(spec):
            counts[amount] -= 1
            if not counts[amount]:
                del counts[amount]

    def _counts_and_amounts(self, spec: JobSpec) -> tuple[tuple["SortedDict[float, int]", float], ...]:
        return ((self._cpus, spec.cpus), (self._gpus, spec.gpus), (self._memory_gb, spec.memory_gb))

    def minimum(self) -> MinDemand:
        return MinDemand(self._cpus.peekitem(0)[0], self._gpus.peekitem(0)[0], self._memory_gb.peekitem(0)[0])


class GangState(Enum):
    """State of a gang; it starts and stops as a whole. Jobs of other shapes stay IDLE."""

    IDLE = "idle"  # none of its tasks is on a machine
    PLACED = "placed"  # all its tasks have placements
    STOPPING = "stopping"  # a task was lost or the gang is being stopped: waits until all its tasks are gone


@dataclass(slots=True, eq=False)
class JobRun:
    """An unfinished job, or an ended one that still has tasks on machines."""

    spec: JobSpec
    record: JobRecord
    finished: TaskSet  # tasks finished according to the record or to reports
    unrecorded: set[int] = field(default_factory=set)  # tasks finished according to reports, not yet in the record
    placements: dict[int, list[Placement]] = field(default_factory=dict)  # live placements by task
    running: int = 0  # number of live placements that run or save
    gang_state: GangState = GangState.IDLE
    max_used_attempt: int = 0  # highest attempt that may have been started
    not_before: timedelta | None = None  # no task is placed before this time
    backoff: timedelta = FIRST_BACKOFF  # pause after the next failure of the job; doubles with each, up to a limit
    failures: dict[str, int] = field(default_factory=dict)  # number of errors by machine
    has_started: bool = False  # a task of the job has run
    logged_not_started: bool = False  # the log line about a missed start is written once for each job
    has_succeeded: bool = False  # a task of the job succeeded on some machine
    ended: bool = False  # done or cancelled
    notified_at: timedelta | None = None  # when the claimant was last notified of `unrecorded`
    reclaim_requested_at: timedelta | None = None  # when a new attempt was last requested for the gang
    submitted: timedelta = ZERO_DURATION  # on this node's monotonic clock
    waiting_since: timedelta | None = None
    open_when_scanned: int = 0  # number of open tasks when a pass last compared the run with all machines
    reserved: dict[Machine, int] = field(default_factory=dict)  # number of task slots reserved on each machine
    reserved_since: timedelta | None = None
    limit_reserved_since: timedelta | None = None  # since when the rest of its team's limit is reserved for the gang
    preemption_checked_at: timedelta | None = None  # when preemption of less urgent work for the run was last evaluated
    open: OpenTasks = field(init=False)  # unfinished tasks without a placement
    order: Order = field(init=False)  # key in the backlog; changes only through `Backlog.reorder`
    lateness: int = 0  # maximum of `ClusterState.lateness` so far; later jobs are ordered further back
    is_gang: bool = field(init=False)
    # Processors and accelerators needed to start: those of one task, or of all tasks of a gang.
    demand: tuple[float, float] = field(init=False)
    constraint_key: ConstraintKey = field(init=False)

    def __post_init__(self) -> None:
        self.order = self.record.order
        self.open = OpenTasks(self.finished)
        if self.ended:
            self.open.clear()
        spec = self.spec
        self.is_gang = spec.shape is Shape.GANG
        count = spec.tasks if self.is_gang else 1
        self.demand = (count * spec.cpus, count * spec.gpus)
        self.constraint_key = (spec.types, spec.zone, spec.spot, spec.gpus > 0, self.is_gang)

    @property
    def live(self) -> list[Placement]:
        return [placement for placements in self.placements.values() for placement in placements]

    def set_gang_state(self, state: GangState) -> None:
        """Sets the gang's state; no other code changes it."""
        self.gang_state = state

    @property
    def is_waiting(self) -> bool:
        """Whether the job is claimed and has a task to place; a gang waits only with all its tasks to place."""
        if not self.open or self.ended or self.record.status is not JobStatus.RUNNING:
            return False
        if self.is_gang:
            return self.gang_state is GangState.IDLE and not self.placements and len(self.open) >= self.spec.tasks
        return True

    @property
    def is_suspect(self) -> bool:
        """Whether the job itself is the probable cause: it failed repeatedly and succeeded on no machine."""
        return bool(self.failures) and not self.has_succeeded and self.backoff > FIRST_BACKOFF

    @property
    def needs_attempt(self) -> bool:
        """Whether the job is a gang that needs a new attempt to start, as its recorded one may have been used."""
        return self.is_gang and self.is_waiting and self.record.attempt <= self.max_used_attempt


class Backlog:
    """Runs that wait for machines, by their order key: priority, then earliest due.

    ``unscanned`` holds the runs that a pass has to compare with all machines. The other waiting
    runs found too little free capacity when they were last scanned, so that only machines that
    have gained free capacity since can take their tasks.
    """

    def __init__(self) -> None:
        self.waiting: SortedDict[Order, JobRun] = SortedDict()
        self.unscanned: SortedDict[Order, JobRun] = SortedDict()
        self.awaiting_attempt: dict[str, JobRun] = {}
        self._delayed: dict[str, JobRun] = {}
        self._demands: dict[ConstraintKey, Demands] = {}  # of the waiting runs

    def update(self, run: JobRun, now: timedelta, *, rescan: bool = False) -> None:
        """Files the run according to its state; must be called after each change that may affect ``is_waiting``.

        With ``rescan``, a waiting run is compared with all machines once more.
        """
        order = run.order
        if run.is_waiting and run.not_before is not None and run.not_before > now:
            self._delayed[run.spec.job] = run
            self._remove(run)
        elif run.is_waiting:
            if order not in self.waiting:
                run.waiting_since = now
                self.waiting[order] = run
                self._demands.setdefault(run.constraint_key, Demands()).add(run.spec)
                rescan = True
            if rescan or len(run.open) > run.open_when_scanned:
                self.unscanned[order] = run
        else:
            self._remove(run)
        if run.needs_attempt:
            self.awaiting_attempt[run.spec.job] = run
        else:
            self.awaiting_attempt.pop(run.spec.job, None)
            run.reclaim_requested_at = None

    def _remove(self, run: JobRun) -> None:
        self.unscanned.pop(run.order, None)
        if self.waiting.pop(run.order, None) is None:
            return
        demands = self._demands[run.constraint_key]
        demands.remove(run.spec)
        if not demands:
            del self._demands[run.constraint_key]

    def min_demands(self) -> list[tuple[ConstraintKey, MinDemand]]:
        """The minimum demand of a task, for each constraint key among the waiting jobs."""
        return [(constraint_key, demands.minimum()) for constraint_key, demands in self._demands.items()]

    def resume_delayed(self, now: timedelta) -> None:
        """Moves runs whose pause has ended back to the waiting runs."""
        for job, run in list(self._delayed.items()):
            if run.not_before is None or run.not_before <= now:
                del self._delayed[job]
                self.update(run, now)

    def reorder(self, run: JobRun, order: Order) -> None:
        """Changes the order key of a run, which may be waiting."""
        if order == run.order:
            return
        for queue in (self.waiting, self.unscanned):
            if queue.pop(run.order, None) is not None:
                queue[order] = run
        run.order = order

    def rescan_all(self) -> None:
        """Marks all waiting runs to be compared with all machines once more."""
        self.unscanned.update(self.waiting)

    def mark_scanned(self, run: JobRun) -> None:
        """Records that a pass has compared the run with all machines."""
        run.open_when_scanned = len(run.open)
        self.unscanned.pop(run.order, None)

    def __iter__(self) -> Iterator[JobRun]:
        return iter(list(self.waiting.values()))


def unknown_job_spec(job: str) -> JobSpec:
    """Returns a placeholder for a job that has no record."""
    return JobSpec(
        job=job, jobclass="", team="", shape=Shape.ARRAY, priority=Priority.LOW, tasks=1, cpus=0.0, memory_gb=0.0
    )


def run_of_ended_job(spec: JobSpec) -> JobRun:
    """Returns a run for an ended job whose tasks are still found on machines."""
    record = JobRecord(spec=spec, status=JobStatus.CANCELLED)
    return JobRun(spec, record, TaskSet(spec.tasks), ended=True)
