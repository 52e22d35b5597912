"""The dispatcher's ledger: every machine and every task that is or may be on it."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from gingerspar.protocol.messages import Cause, JobSpec, MachineType, TaskStatus

TaskId = tuple[str, int]  # job and number


class MachineState(Enum):
    BOOTING = "booting"  # rented, no report yet
    UNSETTLED = "unsettled"  # may run what an older holder started
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
    PLANNED = "planned"  # has its place, `run` not sent yet
    SENT = "sent"  # `run` sent; not reported yet
    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"
    GONE = "gone"  # not on its machine, and nothing under way can bring it there


_LIVE = {
    TaskState.PLANNED, TaskState.SENT, TaskState.FETCHING, TaskState.WAITING, TaskState.RUNNING, TaskState.SAVING,
}  # fmt: skip

REPORTED = {
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
    stop: timedelta | None = None  # grace of the stop that is wanted
    stop_sent: bool = False
    told_directly: timedelta | None = None  # grace of the stop that was sent outside of reports
    cause: Cause | None = None
    running_since: timedelta | None = None

    @property
    def job(self) -> str:
        return self.spec.job

    @property
    def id(self) -> TaskId:
        return (self.spec.job, self.number)

    @property
    def name(self) -> str:
        return f"{self.spec.job}/{self.number}"

    @property
    def live(self) -> bool:
        """It is, or may be, on the machine."""
        return self.state in _LIVE

    def move(self, state: TaskState, now: timedelta) -> None:
        """The only place where a task's state changes; keeps the machine's and team's use."""
        if self.state is state:
            return
        if self.state in (TaskState.EXITED, TaskState.GONE):
            raise RuntimeError(f"{self.name}: {self.state} to {state}")
        if state in (TaskState.EXITED, TaskState.GONE):
            self.machine.release(self)
        if state is TaskState.RUNNING and self.running_since is None:
            self.running_since = now
        self.state = state
        self.since = now


@dataclass(slots=True)
class Usage:
    """Amounts in use."""

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0

    def add(self, spec: JobSpec, sign: int = 1) -> None:
        self.cpus += sign * spec.cpus
        self.gpus += sign * spec.gpus
        self.memory_gb += sign * spec.memory_gb


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
    least_session: int = 0  # reports of earlier sessions are stale: their lease has run out
    answered: timedelta | None = None  # when the last report that got a 200 came in
    rostered: bool = False
    notice: timedelta | None = None  # when the cloud takes it away
    live: dict[tuple[str, int, int], Placement] = field(default_factory=dict)
    exited: dict[tuple[str, int, int], Cause | None] = field(default_factory=dict)
    used: Usage = field(default_factory=Usage)
    images: dict[str, float] = field(default_factory=dict)  # least recently used first
    idle_since: timedelta | None = None
    errors: dict[str, int] = field(default_factory=dict)  # failed tasks by job since the last success
    suspect_until: timedelta | None = None
    why_leaving: str = ""
    booked: Usage = field(default_factory=Usage)  # kept for a job of higher priority, this time round

    def move(self, state: MachineState) -> None:
        """The only place where a machine's state changes."""
        if state is self.state:
            return
        if state not in _MACHINE_MOVES[self.state]:
            raise RuntimeError(f"{self.name}: {self.state} to {state}")
        self.state = state

    def take(self, placement: Placement) -> None:
        self.live[(placement.job, placement.number, placement.attempt)] = placement
        self.used.add(placement.spec)
        self.idle_since = None

    def release(self, placement: Placement) -> None:
        if self.live.pop((placement.job, placement.number, placement.attempt), None) is not None:
            self.used.add(placement.spec, -1)
            if not self.live:
                self.used = Usage()  # no rounding left over
                self.idle_since = None

    def room_for(self, spec: JobSpec) -> int:
        """How many more tasks of this kind fit."""
        kind = self.kind
        if kind is None:
            return 0
        fits = 1_000_000
        for have, used, need in (
            (kind.cpus, self.used.cpus + self.booked.cpus, spec.cpus),
            (kind.gpus, self.used.gpus + self.booked.gpus, spec.gpus),
            (kind.memory_gb, self.used.memory_gb + self.booked.memory_gb, spec.memory_gb),
        ):
            if need > 0:
                fits = min(fits, int((have - used) / need + 1e-9))
        return max(fits, 0)

    def remember_image(self, image: str, size_gb: float) -> None:
        """The machine has used this image; it caches the most recently used ones."""
        self.images.pop(image, None)
        self.images[image] = size_gb
        room = self.kind.cache_gb if self.kind is not None else 0.0
        total = sum(self.images.values())
        for name in list(self.images):
            if total <= room or name == image:
                break
            total -= self.images.pop(name)
