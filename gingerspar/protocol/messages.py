"""Messages exchanged with users, workers, the cloud and the state service, as defined in PROTOCOL.

Attributes use the common terms of the field; ``rename`` maps each attribute to its name on the wire. A key of
``rename`` that matches no attribute is ignored silently. As PROTOCOL requires, unknown fields are ignored; in job
descriptions and for the task list of a report, null counts as omitted. Names that end in ``_s`` are durations in
seconds, names that end in ``_gb`` sizes in gigabytes.
"""

import math
import re
from datetime import timedelta
from enum import Enum
from typing import Annotated, Any, NamedTuple, TypeVar

import msgspec

T = TypeVar("T")


class Malformed(ValueError):
    """The received data is not a valid message; the exception text tells why."""


class Shape(Enum):
    """How the tasks of a job run."""

    ARRAY = "batch"  # each task runs independently of the others
    GANG = "gang"  # all tasks run at the same time
    SERVICE = "daemon"  # tasks run until the job is cancelled


class Priority(Enum):
    """Priority of a job. The order of the members defines ``rank``."""

    PRODUCTION = "prod"
    HIGH = "urgent"
    NORMAL = "standard"
    LOW = "idle"

    rank: int  # 0 is the highest priority


for _rank, _priority in enumerate(Priority):
    _priority.rank = _rank


class JobStatus(Enum):
    """Status in a job's record."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"

    @property
    def final(self) -> bool:
        """Whether the job has ended: its status will not change again."""
        return self in (JobStatus.DONE, JobStatus.CANCELLED)


class TaskStatus(Enum):
    """Status of a task on a worker."""

    FETCHING = "fetching"  # the image is being fetched
    WAITING = "gathering"  # waits until all tasks of its gang are ready
    RUNNING = "running"
    SAVING = "saving"  # saves its progress before it stops
    EXITED = "ended"  # listed until the leader sends ``Verb.FORGET``


class Cause(Enum):
    """Why a task on a worker has ended."""

    DONE = "done"  # succeeded
    STOPPED = "stopped"  # by ``Verb.STOP``
    PEERS = "peers"  # another task of its gang was lost
    INCOMPLETE = "incomplete"  # its gang was not complete in time
    ERROR = "error"
    FULL = "full"  # the machine lacks free capacity for it
    BUSY = "busy"  # another attempt of the task is on the machine
    UNKNOWN = "unknown"


_SPEC_NAMES = {
    "job": "Ref", "jobclass": "Jobclass", "team": "Crew", "shape": "Shape", "priority": "Urgency",
    "tasks": "Pieces", "cpus": "Cpus", "gpus": "Cards", "memory_gb": "MemoryGb", "image": "Bundle",
    "image_gb": "ImageGb", "types": "Builds", "zone": "Hall", "one_zone": "SamePlace", "spread": "Apart",
    "spot": "Loaners", "estimate_s": "GuessS", "checkpoint_s": "SaveEveryS", "save_s": "SaveTookS",
    "due_s": "DueS",
}  # fmt: skip

MAX_TASKS = 100_000  # per job

# Ranges in which calculations with amounts of a job neither divide by zero nor overflow. An amount outside of its range
# is legal; calculations use the nearest amount within it. 0 stands for "none" and is kept.
MIN_DURATION_S = 1e-3  # timers are no finer
MAX_DURATION_S = 1e9
MIN_RESOURCE_AMOUNT = 1e-6  # processors, accelerators or GB
MAX_IMAGE_GB = 1e6


class _Range(NamedTuple):
    minimum: float
    maximum: float


_DURATION_RANGE = _Range(MIN_DURATION_S, MAX_DURATION_S)
_RESOURCE_RANGE = _Range(MIN_RESOURCE_AMOUNT, math.inf)
_AMOUNT_RANGES = {  # by attribute of ``JobSpec``
    "cpus": _RESOURCE_RANGE,
    "gpus": _RESOURCE_RANGE,
    "memory_gb": _RESOURCE_RANGE,
    "image_gb": _Range(0.0, MAX_IMAGE_GB),
    "estimate_s": _DURATION_RANGE,
    "checkpoint_s": _DURATION_RANGE,
    "save_s": _DURATION_RANGE,
    "due_s": _DURATION_RANGE,
}

JOB_ID = re.compile(r"wk-[0-9]{1,20}", re.ASCII)


class JobSpec(msgspec.Struct, rename=_SPEC_NAMES, omit_defaults=True, frozen=True):
    """A job as described by its user. Amounts are per task.

    Amounts are brought into the ranges of ``_AMOUNT_RANGES``, wherever the description comes from: a submission, a
    stored record, possibly of an earlier release, or a peer.
    """

    job: str  # id, matches ``JOB_ID``
    jobclass: str
    team: str
    shape: Shape
    priority: Priority
    tasks: int  # number of tasks
    cpus: float
    memory_gb: float
    image: str = ""
    image_gb: float = 0.0
    gpus: float = 0.0
    types: tuple[str, ...] | None = None  # allowed machine types; None: all
    zone: str | None = None  # the only allowed zone; None: all are allowed
    one_zone: bool = False  # all tasks must run in the same zone
    spread: bool = False  # at most half of the tasks, rounded up, may run in one zone
    spot: bool = False  # may run on spot machines
    estimate_s: float = 0.0  # estimated run time
    checkpoint_s: float = 0.0  # interval between saves of progress; 0: the tasks don't save
    save_s: float = 0.0  # duration of one save
    due_s: float | None = None  # deadline, counted from submission; None: no deadline

    def __post_init__(self) -> None:
        for name, (minimum, maximum) in _AMOUNT_RANGES.items():
            amount = getattr(self, name)
            if amount and not minimum <= amount <= maximum:
                msgspec.structs.force_setattr(self, name, min(max(amount, minimum), maximum))

    @property
    def save_time(self) -> timedelta:
        return timedelta(seconds=self.save_s)

    @property
    def estimate(self) -> timedelta:
        return timedelta(seconds=self.estimate_s)


def job_id_in(body: Any) -> str | None:
    """The job id in a submission that may be invalid in other respects; None if there is no valid id."""
    if isinstance(body, dict):
        ref = body.get("Ref")
        if isinstance(ref, str) and JOB_ID.fullmatch(ref):
            return ref
    return None


def read_json(body: bytes) -> Any:
    """Decodes JSON; raises ``Malformed`` if that fails."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(f"not JSON: {error}") from error


_MAY_BE_NULL = {"Builds", "Hall", "DueS"}
_REQUIRED_TEXT = ("Jobclass", "Crew")
_OPTIONAL_AMOUNTS = ("Cards", "ImageGb", "GuessS", "SaveEveryS", "SaveTookS", "DueS")
_MAX_TEXT_LENGTH = 1000  # characters


def parse_job(body: Any) -> JobSpec:
    """Checks a submission, decoded from JSON, and converts it.

    Raises ``Malformed`` with a text that names the wrong field.
    """
    if not isinstance(body, dict):
        raise Malformed("not an object")
    fields = {key: value for key, value in body.items() if value is not None}
    for flag in ("SamePlace", "Apart", "Loaners"):
        if not isinstance(fields.get(flag, False), bool):
            raise Malformed(f"{flag}: expected true or false")
    for name in _SPEC_NAMES.values():
        if name not in fields and name not in _MAY_BE_NULL:
            raise Malformed(f"{name}: missing")
    try:
        spec = msgspec.convert(fields, JobSpec)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from error
    if not JOB_ID.fullmatch(spec.job):
        raise Malformed("Ref: not a job id")
    for name in _REQUIRED_TEXT:
        if not 0 < len(fields[name]) <= _MAX_TEXT_LENGTH:
            raise Malformed(f"{name}: empty or too long")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise Malformed(f"Pieces: expected 1 to {MAX_TASKS}")
    for name in ("Cpus", "MemoryGb", *_OPTIONAL_AMOUNTS):
        value = fields.get(name, 0.0)
        if not math.isfinite(value) or value < 0 or value > 1e12:
            raise Malformed(f"{name}: out of range")
    if spec.cpus == 0 and spec.gpus == 0 and spec.memory_gb == 0:
        raise Malformed("Cpus: a task that needs nothing")
    if len(spec.image) > _MAX_TEXT_LENGTH or len(spec.zone or "") > _MAX_TEXT_LENGTH:
        raise Malformed("Bundle or Hall: too long")
    if spec.types is not None and (not spec.types or len(spec.types) > 100):
        raise Malformed("Builds: expected a list of machine types or null")
    return spec


class JobView(msgspec.Struct, rename={"job": "Ref", "status": "Status"}):
    """Answer to a user's query for the status of a job."""

    job: str
    status: JobStatus
    done: int = 0  # number of tasks
    running: int = 0  # number of tasks


class JobState(msgspec.Struct, rename={"job": "Ref", "status": "Status"}):
    """Answer to a submission or cancellation."""

    job: str
    status: JobStatus


class TaskReport(
    msgspec.Struct, rename={"task": "Piece", "attempt": "Try", "status": "Status", "cause": "Cause", "saved": "Kept"}
):
    """One task in a worker's report."""

    task: str  # JOB/NUMBER
    attempt: int  # of the job, as sent with ``Verb.RUN``
    status: TaskStatus
    cause: Cause | None = None  # set once the task has ended
    saved: bool | None = None

    def task_id(self) -> tuple[str, int]:
        """Job id and number of the task. Raises ValueError if ``task`` has no number."""
        job, _, number = self.task.rpartition("/")
        return job, int(number)


MAX_NOTICE_S = 1e9  # upper bound of ``Report.notice_s``; no real notice is longer


class Report(
    msgspec.Struct,
    rename={
        "machine": "Host", "address": "Endpoint", "type": "Build", "zone": "Hall", "spot": "Loaners",
        "session": "Stint", "seq": "Tick", "token": "Baton", "notice_s": "WarningS", "tasks": "Pieces",
    },
):  # fmt: skip
    """A worker's report."""

    machine: str
    address: str  # HOST:PORT at which the worker accepts direct commands and probes
    type: str
    zone: str
    session: int  # number of the worker session; raised when the worker's lease expires
    seq: int  # sequence number of the report
    token: int = 0  # the highest token that the worker has received
    spot: bool = False
    # Time until the cloud takes a spot machine away; None: no notice.
    notice_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_NOTICE_S)] | None = None
    # Left encoded: the leader decodes it, with ``task_list``, only if it differs from the previous report's.
    tasks: msgspec.Raw = msgspec.Raw(b"[]")

    def task_list(self) -> list[TaskReport]:
        """Decodes ``tasks``; null counts as an empty list. Raises ``Malformed``."""
        return decode(list[TaskReport], self.tasks) if bytes(self.tasks) != b"null" else []


class Verb(Enum):
    """What a worker is to do with a task."""

    RUN = "run"
    STOP = "stop"
    FORGET = "forget"  # no longer list the ended task in reports


class Command(
    msgspec.Struct,
    rename={"verb": "Verb", "task": "Piece", "attempt": "Try", "grace_s": "WindDownS"},
    omit_defaults=True,
    frozen=True,
):
    """A command to a worker, for one attempt of a task."""

    verb: Verb
    task: str  # JOB/NUMBER
    attempt: int
    grace_s: float | None = None  # for ``Verb.STOP``: time to save progress


class ReportAnswer(msgspec.Struct, rename={"token": "Baton", "commands": "Orders"}):
    """The leader's answer to a worker's report."""

    token: int  # the leader's term
    commands: list[Command]


class DirectCommands(msgspec.Struct, rename={"token": "Baton", "session": "Stint", "commands": "Orders"}):
    """Commands that the leader sends to a worker without waiting for its next report."""

    token: int  # the leader's term
    session: int  # worker session that the commands are meant for
    commands: list[Command]


class Redirect(msgspec.Struct, rename={"dispatcher": "Foreman"}, omit_defaults=True):
    """Redirects a worker to the leader, which commands the machines."""

    dispatcher: str | None = None  # node name of the leader; None: not known


class MachineType(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "Label", "cpus": "Cpus", "gpus": "Cards", "memory_gb": "MemoryGb", "cache_gb": "CacheGb",
        "fetch_gb_per_s": "PullGbPerS", "price": "Hourly", "spot_price": "SpotPrice", "boot_s": "StartupS",
        "zones": "Halls",
    },
):  # fmt: skip
    """A machine type in the cloud's catalog. Prices are per hour."""

    name: str
    cpus: float
    memory_gb: float
    gpus: float = 0.0
    cache_gb: float = 0.0  # space for images
    fetch_gb_per_s: float = 1.0  # rate at which images are fetched
    price: float = 0.0
    spot_price: float | None = None  # None: not offered as spot machine
    boot_s: float = 0.0
    zones: tuple[str, ...] = ()

    def cost(self, spot: bool) -> float:
        """Price per hour, as a spot machine or an ordinary one."""
        return self.spot_price if spot and self.spot_price is not None else self.price


class Catalog(msgspec.Struct, rename={"types": "Builds"}):
    """The cloud's answer with all machine types."""

    types: list[MachineType]


class RentRequest(
    msgspec.Struct, rename={"request": "Hire", "type": "Build", "zone": "Hall", "spot": "Loaners", "count": "Number"}
):
    """Rents machines from the cloud."""

    request: str  # id of the request; the cloud executes each id once, so a request can be repeated
    type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "Hosts"}):
    """Names of machines that were rented, or that are to be returned."""

    machines: list[str]


class MachineStatus(Enum):
    """Status of a machine as reported by the cloud."""

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
    """A rented machine in the cloud's list."""

    machine: str
    type: str
    zone: str
    status: MachineStatus
    address: str = ""
    spot: bool = False
    age_s: float = 0.0  # time since it was rented


class MachineList(msgspec.Struct, rename={"machines": "Hosts", "more": "Truncated"}):
    """One page of the cloud's list of machines."""

    machines: list[ListedMachine]
    more: bool = False  # further pages follow


class KeyVersion(msgspec.Struct, rename={"key": "K", "version": "Stamp"}, frozen=True):
    """A condition of a transaction: the key has this version; 0: the key does not exist."""

    key: str
    version: int


class Put(msgspec.Struct, rename={"key": "Put", "value": "Data", "lease": "Hold"}, omit_defaults=True):
    """Writes a key's value."""

    key: str
    value: msgspec.Raw
    lease: int | None = None  # the state service deletes the key when this lease ends


class Delete(msgspec.Struct, rename={"key": "Remove"}):
    """Deletes a key."""

    key: str


class Transaction(msgspec.Struct, rename={"conditions": "If", "writes": "Writes"}):
    """Executes all writes if all conditions hold, and none otherwise."""

    conditions: list[KeyVersion]
    writes: list[Put | Delete]


class Committed(msgspec.Struct, rename={"revision": "Epoch"}):
    """Answer to a transaction that was executed."""

    revision: int  # version of all keys that it has written


class Refused(msgspec.Struct, rename={"revision": "Epoch"}):
    """Answer to a transaction with a condition that does not hold."""

    failed: list[str] = []  # keys of the conditions that do not hold
    revision: int = 0


class Item(msgspec.Struct, rename={"key": "K", "value": "Data", "version": "Stamp"}):
    """A key with its value and version."""

    key: str
    value: msgspec.Raw
    version: int


class Items(msgspec.Struct, rename={"items": "Rows", "more": "Truncated", "revision": "Epoch"}):
    """One page of the keys with a prefix."""

    items: list[Item]
    revision: int  # of the state service at the time of the read
    more: bool = False  # further pages follow


class Event(msgspec.Struct, rename={"put": "Put", "delete": "Remove", "value": "Data", "version": "Stamp"}):
    """One change of a key."""

    version: int
    put: str | None = None  # the key, if it was written
    delete: str | None = None  # the key, if it was deleted
    value: msgspec.Raw = msgspec.Raw(b"null")


class Changes(msgspec.Struct, rename={"revision": "Epoch", "events": "Events"}):
    """The changes since a revision."""

    revision: int  # up to which the changes are complete
    events: list[Event] = []


class GrantRequest(msgspec.Struct, rename={"ttl_ms": "TtlMs"}):
    """Requests a lease from the state service."""

    ttl_ms: int  # duration of the lease in milliseconds


class Granted(msgspec.Struct, rename={"lease": "Hold"}):
    """Answer to ``GrantRequest``."""

    lease: int  # number of the lease


_encoder = msgspec.json.Encoder()
_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


def encode(message: Any) -> bytes:
    """Encodes a message as JSON."""
    return _encoder.encode(message)


def decode(message_type: type[T], data: bytes | msgspec.Raw) -> T:
    """Decodes and checks a JSON message of the given type; raises ``Malformed``."""
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = _decoders[message_type] = msgspec.json.Decoder(message_type)
    try:
        message: T = decoder.decode(data)
        return message
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(str(error)) from error
