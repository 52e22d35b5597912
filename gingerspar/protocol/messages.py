"""The messages of PROTOCOL, as typed structures.

Attributes carry the field's usual terms; ``rename`` gives each its word on the
wire. Unknown fields are ignored and nulls count as omitted, as agreed.
"""

import math
import re
from datetime import timedelta
from enum import Enum
from typing import Annotated, Any, TypeVar

import msgspec

T = TypeVar("T")


class Malformed(ValueError):
    """What came is no valid message; the text says why."""


class Shape(Enum):
    ARRAY = "batch"
    GANG = "gang"
    SERVICE = "daemon"


class Priority(Enum):
    PRODUCTION = "prod"
    HIGH = "urgent"
    NORMAL = "standard"
    LOW = "idle"

    rank: int  # 0 is served first


for _rank, _priority in enumerate(Priority):
    _priority.rank = _rank


class JobStatus(Enum):
    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"

    @property
    def final(self) -> bool:
        return self in (JobStatus.DONE, JobStatus.CANCELLED)


class TaskStatus(Enum):
    FETCHING = "fetching"
    WAITING = "gathering"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "ended"


class Cause(Enum):
    DONE = "done"
    STOPPED = "stopped"
    PEERS = "peers"
    INCOMPLETE = "incomplete"
    ERROR = "error"
    FULL = "full"
    BUSY = "busy"
    UNKNOWN = "unknown"


_SPEC_NAMES = {
    "job": "Ref", "jobclass": "Jobclass", "team": "Crew", "shape": "Shape", "priority": "Urgency",
    "tasks": "Pieces", "cpus": "Cpus", "gpus": "Cards", "memory_gb": "MemoryGb", "image": "Bundle",
    "image_gb": "ImageGb", "types": "Builds", "zone": "Hall", "one_zone": "SamePlace", "spread": "Apart",
    "spot": "Loaners", "estimate_s": "GuessS", "checkpoint_s": "SaveEveryS", "save_s": "SaveTookS",
    "due_s": "DueS",
}  # fmt: skip

MOST_TASKS = 100_000
JOB_ID = re.compile(r"wk-[0-9]{1,20}", re.ASCII)


class JobSpec(msgspec.Struct, rename=_SPEC_NAMES, omit_defaults=True, frozen=True):
    """A job as its user described it."""

    job: str
    jobclass: str
    team: str
    shape: Shape
    priority: Priority
    tasks: int
    cpus: float
    memory_gb: float
    image: str = ""
    image_gb: float = 0.0
    gpus: float = 0.0
    types: tuple[str, ...] | None = None
    zone: str | None = None
    one_zone: bool = False
    spread: bool = False
    spot: bool = False
    estimate_s: float = 0.0
    checkpoint_s: float = 0.0
    save_s: float = 0.0
    due_s: float | None = None

    @property
    def save_time(self) -> timedelta:
        return timedelta(seconds=self.save_s)

    @property
    def estimate(self) -> timedelta:
        return timedelta(seconds=self.estimate_s)


def job_id_in(body: Any) -> str | None:
    """The job id of a submission that may be invalid otherwise."""
    if isinstance(body, dict):
        ref = body.get("Ref")
        if isinstance(ref, str) and JOB_ID.fullmatch(ref):
            return ref
    return None


def read_json(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(f"not JSON: {error}") from error


_MAY_BE_NULL = {"Builds", "Hall", "DueS"}
_REQUIRED_TEXT = ("Jobclass", "Crew")
_OPTIONAL_AMOUNTS = ("Cards", "ImageGb", "GuessS", "SaveEveryS", "SaveTookS", "DueS")
_LONGEST_TEXT = 1000


def parse_job(body: Any) -> JobSpec:
    """A checked submission."""
    if not isinstance(body, dict):
        raise Malformed("not an object")
    given = {key: value for key, value in body.items() if value is not None}
    for flag in ("SamePlace", "Apart", "Loaners"):
        if not isinstance(given.get(flag, False), bool):
            raise Malformed(f"{flag}: expected true or false")
    for name in _SPEC_NAMES.values():
        if name not in given and name not in _MAY_BE_NULL:
            raise Malformed(f"{name}: missing")
    try:
        spec = msgspec.convert(given, JobSpec)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from error
    if not JOB_ID.fullmatch(spec.job):
        raise Malformed("Ref: not a job id")
    for name in _REQUIRED_TEXT:
        if not 0 < len(given[name]) <= _LONGEST_TEXT:
            raise Malformed(f"{name}: empty or too long")
    if not 1 <= spec.tasks <= MOST_TASKS:
        raise Malformed(f"Pieces: expected 1 to {MOST_TASKS}")
    for name in ("Cpus", "MemoryGb", *_OPTIONAL_AMOUNTS):
        value = given.get(name, 0.0)
        if not math.isfinite(value) or value < 0 or value > 1e12:
            raise Malformed(f"{name}: out of range")
    if spec.cpus == 0 and spec.gpus == 0 and spec.memory_gb == 0:
        raise Malformed("Cpus: a task that needs nothing")
    if len(spec.image) > _LONGEST_TEXT or len(spec.zone or "") > _LONGEST_TEXT:
        raise Malformed("Bundle or Hall: too long")
    if spec.types is not None and (not spec.types or len(spec.types) > 100):
        raise Malformed("Builds: expected a list of machine types or null")
    return spec


class JobView(msgspec.Struct, rename={"job": "Ref", "status": "Status"}):
    """What a user is told of a job."""

    job: str
    status: JobStatus
    done: int = 0
    running: int = 0


class JobState(msgspec.Struct, rename={"job": "Ref", "status": "Status"}):
    """What answers a submission or a cancellation."""

    job: str
    status: JobStatus


class TaskReport(
    msgspec.Struct, rename={"task": "Piece", "attempt": "Try", "status": "Status", "cause": "Cause", "saved": "Kept"}
):
    task: str
    attempt: int
    status: TaskStatus
    cause: Cause | None = None
    saved: bool | None = None

    def task_id(self) -> tuple[str, int]:
        """Job and number of the task."""
        job, _, number = self.task.rpartition("/")
        return job, int(number)


LONGEST_S = 1e9  # no span that anybody names is longer


class Report(
    msgspec.Struct,
    rename={
        "machine": "Host", "address": "Endpoint", "type": "Build", "zone": "Hall", "spot": "Loaners",
        "session": "Stint", "seq": "Tick", "token": "Baton", "notice_s": "WarningS", "tasks": "Pieces",
    },
):  # fmt: skip
    """A worker's report."""

    machine: str
    address: str
    type: str
    zone: str
    session: int
    seq: int
    token: int = 0
    spot: bool = False
    notice_s: Annotated[float, msgspec.Meta(ge=0.0, le=LONGEST_S)] | None = None
    tasks: msgspec.Raw = msgspec.Raw(b"[]")  # read by ``task_list`` only if it differs from the report before

    def task_list(self) -> list[TaskReport]:
        return decode(list[TaskReport], self.tasks) if bytes(self.tasks) != b"null" else []


class Verb(Enum):
    RUN = "run"
    STOP = "stop"
    FORGET = "forget"


class Command(
    msgspec.Struct,
    rename={"verb": "Verb", "task": "Piece", "attempt": "Try", "grace_s": "WindDownS"},
    omit_defaults=True,
    frozen=True,
):
    verb: Verb
    task: str
    attempt: int
    grace_s: float | None = None


class ReportAnswer(msgspec.Struct, rename={"token": "Baton", "commands": "Orders"}):
    token: int
    commands: list[Command]


class DirectCommands(msgspec.Struct, rename={"token": "Baton", "session": "Stint", "commands": "Orders"}):
    token: int
    session: int
    commands: list[Command]


class Redirect(msgspec.Struct, rename={"dispatcher": "Foreman"}, omit_defaults=True):
    """Sends a worker on to the node that commands the machines."""

    dispatcher: str | None = None


class MachineType(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "Label", "cpus": "Cpus", "gpus": "Cards", "memory_gb": "MemoryGb", "cache_gb": "CacheGb",
        "fetch_gb_per_s": "PullGbPerS", "price": "Hourly", "spot_price": "SpotPrice", "boot_s": "StartupS",
        "zones": "Halls",
    },
):  # fmt: skip
    """A machine type as the cloud lists it."""

    name: str
    cpus: float
    memory_gb: float
    gpus: float = 0.0
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    price: float = 0.0
    spot_price: float | None = None
    boot_s: float = 0.0
    zones: tuple[str, ...] = ()

    def cost(self, spot: bool) -> float:
        return self.spot_price if spot and self.spot_price is not None else self.price


class Catalog(msgspec.Struct, rename={"types": "Builds"}):
    types: list[MachineType]


class RentRequest(
    msgspec.Struct, rename={"request": "Hire", "type": "Build", "zone": "Hall", "spot": "Loaners", "count": "Number"}
):
    request: str
    type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "Hosts"}):
    machines: list[str]


class MachineStatus(Enum):
    BOOTING = "booting"
    RUNNING = "running"
    FAILED = "failed"


class ListedMachine(
    msgspec.Struct,
    rename={
        "machine": "Ref", "address": "Endpoint", "type": "Build", "zone": "Hall", "spot": "Loaners",
        "status": "Status", "age_s": "HeldS",
    },
):  # fmt: skip
    machine: str
    type: str
    zone: str
    status: MachineStatus
    address: str = ""
    spot: bool = False
    age_s: float = 0.0


class MachineList(msgspec.Struct, rename={"machines": "Hosts", "more": "Truncated"}):
    machines: list[ListedMachine]
    more: bool = False


class KeyVersion(msgspec.Struct, rename={"key": "K", "version": "Stamp"}, frozen=True):
    """A condition: the key has this version; 0: it does not exist."""

    key: str
    version: int


class Put(msgspec.Struct, rename={"key": "Put", "value": "Data", "lease": "Hold"}, omit_defaults=True):
    key: str
    value: msgspec.Raw
    lease: int | None = None


class Delete(msgspec.Struct, rename={"key": "Remove"}):
    key: str


class Transaction(msgspec.Struct, rename={"conditions": "If", "writes": "Writes"}):
    conditions: list[KeyVersion]
    writes: list[Put | Delete]


class Committed(msgspec.Struct, rename={"revision": "Epoch"}):
    revision: int


class Refused(msgspec.Struct, rename={"revision": "Epoch"}):
    failed: list[str] = []
    revision: int = 0


class Item(msgspec.Struct, rename={"key": "K", "value": "Data", "version": "Stamp"}):
    key: str
    value: msgspec.Raw
    version: int


class Items(msgspec.Struct, rename={"items": "Rows", "more": "Truncated", "revision": "Epoch"}):
    items: list[Item]
    revision: int
    more: bool = False


class Event(msgspec.Struct, rename={"put": "Put", "delete": "Remove", "value": "Data", "version": "Stamp"}):
    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class Changes(msgspec.Struct, rename={"revision": "Epoch", "events": "Events"}):
    revision: int
    events: list[Event] = []


class GrantRequest(msgspec.Struct, rename={"ttl_ms": "TtlMs"}):
    ttl_ms: int


class Granted(msgspec.Struct, rename={"lease": "Hold"}):
    lease: int


_encoder = msgspec.json.Encoder()
_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


def encode(message: Any) -> bytes:
    return _encoder.encode(message)


def decode(kind: type[T], data: bytes | msgspec.Raw) -> T:
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    try:
        found: T = decoder.decode(data)
        return found
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(str(error)) from error
