"""The dispatcher's ledger: every machine and every task that is or may be on it."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from gingerspar.coordination.cluster.delivery import AnswerDelivery
from gingerspar.protocol.messages import Cause, JobSpec, MachineType, Priority, TaskStatus

TaskId = tuple[str, int]  # job and number


class MachineState(Enum):
    __hash__ = object.__hash__  # Enum's own hashes the name anew each time, some ten thousand times a second

    BOOTING = "booting"  # rented, no report yet
    UNSETTLED = "unsettled"  # may run what an older leader started
    READY = "ready"  # its reports tell all that is on it
    LEAVING = "leaving"  # takes no new task: spot notice, sick, or to be returned
    LOST = "lost"  # its lease has run out: nothing runs on it any more
    RETURNING = "returning"  # the cloud is asked to take it back
    GONE = "gone"


_MACHINE_MOVES = {
    MachineState.BOOTING: {MachineState.UNSETTLED, MachineState.READY, MachineState.LOST, MachineState.RETURNING},
    MachineState.UNSETTLED: {MachineState.READY, MachineState.LOST, MachineState.RETURNING},
    MachineState.READY: {MachineState.LEAVING, MachineState.LOST, MachineState.RETURNING},
    MachineState.LEAVING: {MachineState.READY, MachineState.LOST, MachineState.RETURNING},
    MachineState.LOST: {MachineState.READY, MachineState.RETURNING, MachineState.UNSETTLED},
    MachineState.RETURNING: {MachineState.GONE},
    MachineState.GONE: set(),
}


class TaskState(Enum):
    __hash__ = object.__hash__  # as above

    PLANNED = "planned"  # has its place, `run` not sent yet
    SENT = "sent"  # `run` sent; not reported yet
    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"
    GONE = "gone"  # not on its machine, and nothing under way can bring it there


_FETCHING = {TaskState.PLANNED, TaskState.SENT, TaskState.FETCHING}
NOTHING = timedelta(0)

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
    since: timedelta
    answered: tuple[int, int] = (0, 0)  # session and seq of the report whose answer carried `run`
    stop_grace: timedelta | None = None  # grace of the stop that is wanted
    stop_sent: bool = False
    direct_stop_grace: timedelta | None = None  # grace of the stop that was sent outside of reports
    cause: Cause | None = None
    running_since: timedelta | None = None
    protected: bool = False  # has its place by its class's share: more urgent work does not stop it
    name: str = field(init=False)  # as reports and commands have it

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
        """Less urgent work is stopped for work of a lower rank."""
        return 0 if self.protected else self.spec.priority.rank

    @property
    def live(self) -> bool:
        """It is, or may be, on the machine."""
        return self.state is not TaskState.EXITED and self.state is not TaskState.GONE

    def move(self, state: TaskState, now: timedelta) -> None:
        """The only place where a task's state changes; keeps the machine's and team's use."""
        if self.state is state:
            return
        if self.state in (TaskState.EXITED, TaskState.GONE):
            raise RuntimeError(f"{self.name}: {self.state} to {state}")
        if state is TaskState.RUNNING and self.running_since is None:
            self.running_since = now
        self.state = state
        self.since = now
        if state in (TaskState.EXITED, TaskState.GONE):
            self.machine.remove_placement(self)
        else:
            self.machine.cached_forecast = None


SERVICE_SPAN = timedelta(minutes=5)  # what a task that never ends counts as


def run_time(spec: JobSpec) -> timedelta:
    """How long a task of the job probably runs."""
    return spec.estimate if spec.estimate_s > 0 else SERVICE_SPAN


@dataclass(slots=True)
class Usage:
    """Amounts in use."""

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0

    def add(self, spec: JobSpec, count: int = 1) -> None:
        self.cpus += count * spec.cpus
        self.gpus += count * spec.gpus
        self.memory_gb += count * spec.memory_gb


RANKS = len(Priority)


def _empty_shares() -> list[Usage]:
    return [Usage() for _ in range(RANKS)]


def fits(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks of this kind the given amounts take."""
    count = 1_000_000
    if spec.cpus > 0:
        count = int(cpus / spec.cpus + 1e-9)
        if count <= 0:
            return 0  # mostly it is the first that is short, and this is asked very often
    if spec.gpus > 0:
        cards = int(gpus / spec.gpus + 1e-9)
        if cards < count:
            count = cards
    if spec.memory_gb > 0:
        parts = int(memory_gb / spec.memory_gb + 1e-9)
        if parts < count:
            count = parts
    return count if count > 0 else 0


def task_capacity(kind: MachineType, spec: JobSpec) -> int:
    """Tasks of this kind that an empty machine takes."""
    return fits(spec, kind.cpus, kind.gpus, kind.memory_gb)


def cost_per_task(kind: MachineType, spot: bool, spec: JobSpec) -> float:
    """What a place for one task costs an hour on a machine that is full of them."""
    count = task_capacity(kind, spec)
    return kind.cost(spot) / count if count else math.inf


def resource_weight(amounts: JobSpec | MachineType) -> float:
    """What a task takes or a machine has, in processors; an accelerator counts for ten."""
    return amounts.cpus + 10 * amounts.gpus


@dataclass(slots=True)
class StopCost:
    """What stopping the tasks of one priority would throw away."""

    weight: float = 0.0  # of those whose work since their start would be lost
    since: float = 0.0  # the same, times their start
    saved: float = 0.0  # of those that save when they are stopped

    def add(self, placement: Placement) -> None:
        spec = placement.spec
        if placement.stop_grace is not None:
            return
        weight = resource_weight(spec)
        if spec.checkpoint_s:
            self.saved += weight * spec.save_s
        else:
            self.weight += weight
            self.since += weight * (placement.running_since or placement.since).total_seconds()

    def lost(self, now: timedelta) -> float:
        return self.saved + self.weight * now.total_seconds() - self.since


@dataclass(slots=True, frozen=True)
class UsageForecast:
    """What a machine's present tasks say of its next minutes; kept until one of them changes."""

    last_end: timedelta | None  # of the running ones, by their estimates
    longest_ahead: timedelta  # of those that don't run yet
    longest: timedelta
    fetching: frozenset[str]  # images that are still under way
    weights: tuple[StopCost, ...]  # of the tasks of each priority


@dataclass(slots=True, eq=False)
class Machine:
    """One machine, as far as the dispatcher knows."""

    name: str
    type: str
    zone: str
    spot: bool
    state: MachineState
    created: timedelta
    kind: MachineType | None = None
    address: str = ""
    session: int = 0
    seq: int = 0
    min_session: int = 0  # reports of earlier sessions are stale: their lease has run out
    answered: timedelta | None = None  # when the last report that got a 200 came in
    token_sent_at: timedelta | None = None  # when it was first answered by this leader without showing its token since
    token_session: int = 0  # the last session in which it has shown this leader's token
    delivery: AnswerDelivery = field(init=False)
    rostered: bool = False
    notice: timedelta | None = None  # when the cloud takes it away
    live: dict[tuple[str, int, int], Placement] = field(default_factory=dict)
    exited_placements: dict[tuple[str, int, int], Cause | None] = field(default_factory=dict)
    ended_placements: dict[tuple[str, int], tuple[str, int, int]] = field(
        default_factory=dict
    )  # of these, by the report's
    # name and attempt, what has been taken in: a finish is listed until its record shows it
    used: Usage = field(default_factory=Usage)
    shares: list[Usage] = field(default_factory=lambda: _empty_shares())  # of it by priority
    images: dict[str, float] = field(default_factory=dict)  # least recently used first
    idle_since: timedelta | None = None
    errors: dict[str, int] = field(default_factory=dict)  # failed tasks by job since the last success
    suspect_until: timedelta | None = None
    leave_reason: str = ""
    reserved: Usage = field(default_factory=Usage)  # kept for gangs that wait for more room
    cached_forecast: UsageForecast | None = None
    tasks_seen: bytes | None = None  # the task list of the last report, when it was taken in whole
    on_change: Callable[["Machine", bool], None] = lambda machine, gained: None  # tells the pool

    def __post_init__(self) -> None:
        self.delivery = AnswerDelivery(self.name)

    def move(self, state: MachineState) -> None:
        """The only place where a machine's state changes."""
        if state is self.state:
            return
        if state not in _MACHINE_MOVES[self.state]:
            raise RuntimeError(f"{self.name}: {self.state} to {state}")
        self.state = state
        self.on_change(self, True)

    @property
    def settled(self) -> bool:
        """Its reports tell all that is on it, and it is given commands."""
        return self.state is MachineState.READY or self.state is MachineState.LEAVING

    def record_delivery(self, heard: bool) -> None:
        """Its report shows whether the answer before has reached it."""
        before = self.delivery.is_confirmed
        if heard:
            self.delivery.answer_received()
        else:
            self.delivery.answer_lost()
        if before is not self.delivery.is_confirmed:
            self.on_change(self, True)

    def mark_rostered(self) -> None:
        """The machine is on the roster now: tasks may be sent to it."""
        self.rostered = True
        self.on_change(self, True)

    def set_kind(self, kind: MachineType | None) -> None:
        known, self.kind = self.kind, kind
        if known is None or kind is None:
            self.on_change(self, True)

    def add_placement(self, placement: Placement) -> None:
        self.live[(placement.job, placement.number, placement.attempt)] = placement
        self.used.add(placement.spec)
        self.shares[placement.rank].add(placement.spec)
        self.idle_since = None
        self.cached_forecast = None
        self.on_change(self, False)

    def remove_placement(self, placement: Placement) -> None:
        if self.live.pop((placement.job, placement.number, placement.attempt), None) is not None:
            self.used.add(placement.spec, -1)
            self.shares[placement.rank].add(placement.spec, -1)
            self.cached_forecast = None
            if not self.live:
                self.used, self.shares = Usage(), _empty_shares()  # no rounding left over
                self.idle_since = None
            self.on_change(self, True)

    def reserve(self, spec: JobSpec, count: int) -> None:
        """Keeps room for tasks, or with a negative count gives it up."""
        self.reserved.add(spec, count)
        self.on_change(self, count < 0)

    def free(self) -> tuple[float, float, float]:
        """Processors, accelerators and memory that no task has and no gang has booked."""
        kind = self.kind
        if kind is None:
            return 0.0, 0.0, 0.0
        used, booked = self.used, self.reserved  # asked some ten thousand times a second: ``unused`` is not called here
        return (
            kind.cpus - used.cpus - booked.cpus,
            kind.gpus - used.gpus - booked.gpus,
            kind.memory_gb - used.memory_gb - booked.memory_gb,
        )

    def unused(self) -> tuple[float, float, float]:
        """Processors, accelerators and memory that no task has."""
        kind, used = self.kind, self.used
        if kind is None:
            return 0.0, 0.0, 0.0
        return kind.cpus - used.cpus, kind.gpus - used.gpus, kind.memory_gb - used.memory_gb

    def tasks_that_fit(self, spec: JobSpec) -> int:
        """How many more tasks of this kind fit."""
        cpus, gpus, memory = self.free()
        return fits(spec, cpus, gpus, memory)

    def forecast(self) -> UsageForecast:
        """The machine's outlook, worked out again only after a change."""
        if self.cached_forecast is None:
            last_end: timedelta | None = None
            longest_ahead = longest = NOTHING
            fetching: set[str] = set()
            weights = tuple([StopCost() for _ in range(RANKS)])
            spans: dict[str, timedelta] = {}  # mostly these are tasks of few jobs
            for placement in self.live.values():
                spec = placement.spec
                span = spans.get(spec.job)
                if span is None:
                    span = spans[spec.job] = run_time(spec)
                    longest = max(longest, span)
                weights[placement.rank].add(placement)
                since = placement.running_since
                if since is None:
                    longest_ahead = max(longest_ahead, span)
                elif last_end is None or since + span > last_end:
                    last_end = since + span
                if placement.state in _FETCHING and spec.image not in self.images:
                    fetching.add(spec.image)
            self.cached_forecast = UsageForecast(last_end, longest_ahead, longest, frozenset(fetching), weights)
        return self.cached_forecast

    def remember_image(self, image: str, size_gb: float) -> None:
        """The machine has used this image; it caches the most recently used ones."""
        if self.images.pop(image, None) is None:
            self.cached_forecast = None
        self.images[image] = size_gb
        room = self.kind.cache_gb if self.kind is not None else 0.0
        total = sum(self.images.values())
        for name in list(self.images):
            if total <= room or name == image:
                break
            total -= self.images.pop(name)
