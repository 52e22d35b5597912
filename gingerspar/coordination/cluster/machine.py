"""The machines of a term, and the tasks that are or may be on each of them."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from gingerspar.coordination.cluster.delivery import AnswerDelivery
from gingerspar.protocol.messages import Cause, JobSpec, MachineType, Priority, TaskStatus

TaskId = tuple[str, int]  # job and task number


class MachineState(Enum):
    __hash__ = object.__hash__  # Enum.__hash__ hashes the name on each call, here about ten thousand times a second

    BOOTING = "booting"  # no report with this leader's token yet, and not known to run tasks of earlier leaders
    UNSETTLED = "unsettled"  # may run tasks that an earlier leader started
    READY = "ready"  # its reports list all tasks that are on it
    LEAVING = "leaving"  # gets no new tasks: spot notice, unhealthy, or to be returned to the cloud
    LOST = "lost"  # its lease has expired: nothing runs on it any more
    RETURNING = "returning"  # its return has been requested from the cloud
    GONE = "gone"


_MACHINE_TRANSITIONS = {
    MachineState.BOOTING: {MachineState.UNSETTLED, MachineState.READY, MachineState.LOST, MachineState.RETURNING},
    MachineState.UNSETTLED: {MachineState.READY, MachineState.LOST, MachineState.RETURNING},
    MachineState.READY: {MachineState.LEAVING, MachineState.LOST, MachineState.RETURNING},
    MachineState.LEAVING: {MachineState.READY, MachineState.LOST, MachineState.RETURNING},
    MachineState.LOST: {MachineState.READY, MachineState.RETURNING, MachineState.UNSETTLED},
    MachineState.RETURNING: {MachineState.GONE},
    MachineState.GONE: set(),
}


class TaskState(Enum):
    __hash__ = object.__hash__  # faster than Enum.__hash__, see MachineState

    PLANNED = "planned"  # assigned to a machine, `run` not sent yet
    SENT = "sent"  # `run` sent; not reported yet
    FETCHING = "fetching"
    WAITING = "waiting"  # until all tasks of its gang are ready
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"
    GONE = "gone"  # not on its machine, and no message in transit can start it there


_IMAGE_PENDING = {TaskState.PLANNED, TaskState.SENT, TaskState.FETCHING}
ZERO_DURATION = timedelta(0)

TASK_STATE_BY_STATUS = {
    TaskStatus.FETCHING: TaskState.FETCHING,
    TaskStatus.WAITING: TaskState.WAITING,
    TaskStatus.RUNNING: TaskState.RUNNING,
    TaskStatus.SAVING: TaskState.SAVING,
    TaskStatus.EXITED: TaskState.EXITED,
}


@dataclass(slots=True, eq=False)
class Placement:
    """One attempt of one task on one machine."""

    spec: JobSpec
    number: int
    attempt: int
    machine: "Machine"
    state: TaskState
    state_since: timedelta  # time of the last state change
    sent_in_answer_to: tuple[int, int] = (0, 0)  # session and seq of the report whose answer carried `run`
    stop_grace: timedelta | None = None  # grace period of the requested stop
    stop_sent: bool = False  # in an answer to a report
    direct_stop_grace: timedelta | None = None  # grace period of the stop that was sent directly, not in an answer
    cause: Cause | None = None
    running_since: timedelta | None = None
    protected: bool = False  # placed by its class's share or as an overdue start: not preempted for more urgent work
    name: str = field(init=False)  # as in reports and commands

    def __post_init__(self) -> None:
        self.name = f"{self.spec.job}/{self.number}"

    @property
    def job(self) -> str:
        return self.spec.job

    @property
    def id(self) -> TaskId:
        return (self.spec.job, self.number)

    @property
    def rank(self) -> int:
        """Priority rank for preemption: a task may be preempted for work of a lower rank."""
        return 0 if self.protected else self.spec.priority.rank

    @property
    def live(self) -> bool:
        """Whether the task is, or may be, on the machine."""
        return self.state is not TaskState.EXITED and self.state is not TaskState.GONE

    def move(self, state: TaskState, now: timedelta) -> None:
        """Changes the state, and the machine's resource usage with it; no other code changes the state.

        Raises RuntimeError if the task has already left its machine.
        """
        if self.state is state:
            return
        if self.state in (TaskState.EXITED, TaskState.GONE):
            raise RuntimeError(f"{self.name}: invalid state change from {self.state} to {state}")
        if state is TaskState.RUNNING and self.running_since is None:
            self.running_since = now
        self.state = state
        self.state_since = now
        if state in (TaskState.EXITED, TaskState.GONE):
            self.machine.remove_placement(self)
        else:
            self.machine.cached_forecast = None


SERVICE_RUN_TIME = timedelta(minutes=5)  # assumed for tasks without an estimate, such as services, which never end


def run_time(spec: JobSpec) -> timedelta:
    """Returns the estimated run time of a task of the job."""
    return spec.estimate if spec.estimate_s > 0 else SERVICE_RUN_TIME


@dataclass(slots=True)
class Usage:
    """Amounts of resources in use."""

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0

    def add(self, spec: JobSpec, count: int = 1) -> None:
        self.cpus += count * spec.cpus
        self.gpus += count * spec.gpus
        self.memory_gb += count * spec.memory_gb


PRIORITY_COUNT = len(Priority)


def _empty_usage_by_priority() -> list[Usage]:
    return [Usage() for _ in range(PRIORITY_COUNT)]


def fits(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """Returns how many tasks of the job fit into the given amounts of free resources."""
    count = 1_000_000
    if spec.cpus > 0:
        count = int(cpus / spec.cpus + 1e-9)
        if count <= 0:
            return 0  # returns early: called very often, and processors are usually the first to run out
    if spec.gpus > 0:
        by_gpus = int(gpus / spec.gpus + 1e-9)
        if by_gpus < count:
            count = by_gpus
    if spec.memory_gb > 0:
        by_memory = int(memory_gb / spec.memory_gb + 1e-9)
        if by_memory < count:
            count = by_memory
    return count if count > 0 else 0


# A worker's report lists all tasks on its machine, also those that have exited, and may be 64 KiB long. A task takes up
# to 130 bytes in it.
MAX_TASKS_PER_MACHINE = 500


def task_capacity(machine_type: MachineType, spec: JobSpec) -> int:
    """Returns how many tasks of the job fit on an empty machine of this type."""
    return min(fits(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb), MAX_TASKS_PER_MACHINE)


def cost_per_task(machine_type: MachineType, spot: bool, spec: JobSpec) -> float:
    """Returns the hourly price per task on a machine filled with such tasks; infinite if none fits."""
    count = task_capacity(machine_type, spec)
    return machine_type.cost(spot) / count if count else math.inf


def resource_weight(amounts: JobSpec | MachineType) -> float:
    """Returns the resources of a task or a machine type in processors; an accelerator counts as ten."""
    return amounts.cpus + 10 * amounts.gpus


@dataclass(slots=True)
class StopCost:
    """Work that stopping a machine's tasks of one priority discards, in ``resource_weight`` times seconds."""

    unsaved_weight: float = 0.0  # total weight of the tasks that would lose all work since their start
    weighted_starts: float = 0.0  # sum over these tasks of weight times start time in seconds
    save_cost: float = 0.0  # of the tasks that save a checkpoint when stopped: weight times seconds that a save takes

    def add(self, placement: Placement) -> None:
        """Adds the cost of a task; a task that is already being stopped costs nothing."""
        spec = placement.spec
        if placement.stop_grace is not None:
            return
        weight = resource_weight(spec)
        if spec.checkpoint_s:
            self.save_cost += weight * spec.save_s
        else:
            self.unsaved_weight += weight
            self.weighted_starts += weight * (placement.running_since or placement.state_since).total_seconds()

    def discarded_work(self, now: timedelta) -> float:
        """Returns the work that would be discarded by stopping these tasks now."""
        return self.save_cost + self.unsaved_weight * now.total_seconds() - self.weighted_starts


@dataclass(slots=True, frozen=True)
class UsageForecast:
    """Expected usage of a machine by its present tasks; cached until one of them changes."""

    last_release: timedelta | None  # when the last of the running tasks should end, by the estimates
    longest_not_started: timedelta  # longest run time among the tasks that are not running yet
    longest_run_time: timedelta  # longest run time among all tasks
    images_pending: frozenset[str]  # images that still have to be fetched or are being fetched
    stop_costs: tuple[StopCost, ...]  # by priority rank of the tasks


@dataclass(slots=True, eq=False)
class Machine:
    """One machine as the dispatcher knows it."""

    name: str
    type: str
    zone: str
    spot: bool
    state: MachineState
    created: timedelta
    machine_type: MachineType | None = None
    address: str = ""
    session: int = 0  # of the last accepted report
    seq: int = 0  # sequence number of that report in its session
    min_session: int = 0  # reports of earlier sessions are stale: their lease has expired
    last_answered_at: timedelta | None = None  # arrival of the last report that was answered with status 200
    answer_sent_at: timedelta | None = None  # when an answer with commands, perhaps none, was last sent
    # When this leader first sent its token to the worker; None once a report shows the token.
    token_sent_at: timedelta | None = None
    token_session: int = 0  # last session in which a report showed this leader's token
    delivery: AnswerDelivery = field(init=False)
    rostered: bool = False
    removal_at: timedelta | None = None  # when the cloud takes the machine away, according to its spot notice
    live: dict[tuple[str, int, int], Placement] = field(default_factory=dict)
    # Exited tasks in the last report, by job, number and attempt.
    exited_placements: dict[tuple[str, int, int], Cause | None] = field(default_factory=dict)
    # Those of ``exited_placements`` that have been processed, by the task name and attempt in the report:
    # a worker lists a finished task until the record of the job shows it.
    ended_placements: dict[tuple[str, int], tuple[str, int, int]] = field(default_factory=dict)
    used: Usage = field(default_factory=Usage)  # by all live placements
    # ``used`` by priority rank.
    usage_by_priority: list[Usage] = field(default_factory=lambda: _empty_usage_by_priority())
    # When `run` was last sent, by job, number and attempt; only while a copy of the answer may still be carried out.
    run_sent_at: dict[tuple[str, int, int], timedelta] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)  # cached images: GB by name, least recently used first
    idle_since: timedelta | None = None
    # Failed tasks by job since a task last succeeded here.
    failures_by_job: dict[str, int] = field(default_factory=dict)
    suspect_until: timedelta | None = None
    leave_reason: str = ""
    reserved: Usage = field(default_factory=Usage)  # for jobs that wait for more capacity, mostly gangs
    cached_forecast: UsageForecast | None = None
    last_task_list: bytes | None = None  # encoded task list of the last report, if it has been processed whole
    # Notifies the pool of a change; the second argument says whether free capacity may have grown.
    on_change: Callable[["Machine", bool], None] = lambda machine, gained: None

    def __post_init__(self) -> None:
        self.delivery = AnswerDelivery(self.name)

    def move(self, state: MachineState) -> None:
        """Changes the state; no other code does. Raises RuntimeError if the transition is not allowed."""
        if state is self.state:
            return
        if state not in _MACHINE_TRANSITIONS[self.state]:
            raise RuntimeError(f"{self.name}: invalid state change from {self.state} to {state}")
        self.state = state
        self.on_change(self, True)

    @property
    def settled(self) -> bool:
        """Whether its reports list all tasks that are on it, and it is sent commands."""
        return self.state is MachineState.READY or self.state is MachineState.LEAVING

    def record_delivery(self, received: bool) -> None:
        """Records whether a report shows that the answer to the previous report has reached the machine."""
        before = self.delivery.is_confirmed
        if received:
            self.delivery.answer_received()
        else:
            self.delivery.answer_lost()
        if before is not self.delivery.is_confirmed:
            self.on_change(self, True)

    def mark_rostered(self) -> None:
        """Records that the machine is on the roster: from now on tasks may be sent to it."""
        self.rostered = True
        self.on_change(self, True)

    def set_machine_type(self, machine_type: MachineType | None) -> None:
        previous, self.machine_type = self.machine_type, machine_type
        if previous is None or machine_type is None:
            self.on_change(self, True)

    def add_placement(self, placement: Placement) -> None:
        self.live[(placement.job, placement.number, placement.attempt)] = placement
        self.used.add(placement.spec)
        self.usage_by_priority[placement.rank].add(placement.spec)
        self.idle_since = None
        self.cached_forecast = None
        self.on_change(self, False)

    def remove_placement(self, placement: Placement) -> None:
        if self.live.pop((placement.job, placement.number, placement.attempt), None) is not None:
            self.used.add(placement.spec, -1)
            self.usage_by_priority[placement.rank].add(placement.spec, -1)
            self.cached_forecast = None
            if not self.live:
                # Drops accumulated rounding errors.
                self.used, self.usage_by_priority = Usage(), _empty_usage_by_priority()
                self.idle_since = None
            self.on_change(self, True)

    def forget_runs_sent_before(self, time: timedelta) -> None:
        """Drops the entries of ``run_sent_at`` that are older."""
        if self.run_sent_at:
            self.run_sent_at = {key: sent_at for key, sent_at in self.run_sent_at.items() if sent_at >= time}

    def reserve(self, spec: JobSpec, count: int) -> None:
        """Reserves capacity for a number of tasks of the job; a negative count releases it."""
        self.reserved.add(spec, count)
        self.on_change(self, count < 0)

    def free(self) -> tuple[float, float, float]:
        """Returns the processors, accelerators and GB of memory that are neither used nor reserved."""
        machine_type = self.machine_type
        if machine_type is None:
            return 0.0, 0.0, 0.0
        # Called about ten thousand times a second, so ``unused`` is inlined here.
        used, reserved = self.used, self.reserved
        return (
            machine_type.cpus - used.cpus - reserved.cpus,
            machine_type.gpus - used.gpus - reserved.gpus,
            machine_type.memory_gb - used.memory_gb - reserved.memory_gb,
        )

    def free_task_slots(self) -> int:
        """Returns how many more tasks of any size the machine may have."""
        return max(MAX_TASKS_PER_MACHINE - len(self.live) - len(self.exited_placements), 0)

    def unused(self) -> tuple[float, float, float]:
        """Returns the processors, accelerators and GB of memory that no task uses, including reserved ones."""
        machine_type, used = self.machine_type, self.used
        if machine_type is None:
            return 0.0, 0.0, 0.0
        return machine_type.cpus - used.cpus, machine_type.gpus - used.gpus, machine_type.memory_gb - used.memory_gb

    def tasks_that_fit(self, spec: JobSpec) -> int:
        """Returns how many more tasks of the job fit into the free capacity."""
        cpus, gpus, memory = self.free()
        return min(fits(spec, cpus, gpus, memory), self.free_task_slots())

    def forecast(self) -> UsageForecast:
        """Returns the usage forecast, which is computed again only after a change."""
        if self.cached_forecast is None:
            last_release: timedelta | None = None
            longest_not_started = longest_run_time = ZERO_DURATION
            images_pending: set[str] = set()
            stop_costs = tuple([StopCost() for _ in range(PRIORITY_COUNT)])
            run_times: dict[str, timedelta] = {}  # by job: a machine's tasks usually belong to few jobs
            for placement in self.live.values():
                spec = placement.spec
                expected_run_time = run_times.get(spec.job)
                if expected_run_time is None:
                    expected_run_time = run_times[spec.job] = run_time(spec)
                    longest_run_time = max(longest_run_time, expected_run_time)
                stop_costs[placement.rank].add(placement)
                since = placement.running_since
                if since is None:
                    longest_not_started = max(longest_not_started, expected_run_time)
                elif last_release is None or since + expected_run_time > last_release:
                    last_release = since + expected_run_time
                if placement.state in _IMAGE_PENDING and spec.image not in self.images:
                    images_pending.add(spec.image)
            self.cached_forecast = UsageForecast(
                last_release, longest_not_started, longest_run_time, frozenset(images_pending), stop_costs
            )
        return self.cached_forecast

    def remember_image(self, image: str, size_gb: float) -> None:
        """Records that the machine has used an image; it caches the most recently used images."""
        if self.images.pop(image, None) is None:
            self.cached_forecast = None
        self.images[image] = size_gb
        capacity_gb = self.machine_type.cache_gb if self.machine_type is not None else 0.0
        total_gb = sum(self.images.values())
        for name in list(self.images):
            if total_gb <= capacity_gb or name == image:
                break
            total_gb -= self.images.pop(name)
