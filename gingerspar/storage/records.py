"""Job records and the other records kept in the state service."""

import base64
from collections.abc import Iterable, Iterator

import msgspec

from gingerspar.protocol.messages import JobSpec, JobStatus, Priority, Shape

PREFIX = "gs/"
JOBS = PREFIX + "j/"
FINISHED = PREFIX + "f/"
NODES = PREFIX + "n/"
ROSTER = PREFIX + "r/"
TERM = PREFIX + "term"
LIVENESS = PREFIX + "b/"


def job_key(job: str) -> str:
    return JOBS + job


def node_key(node: str) -> str:
    return NODES + node


def liveness_key(node: str) -> str:
    return LIVENESS + node


def finished_key(job: str, chunk: int) -> str:
    return f"{FINISHED}{job}/{chunk:04d}"


# Priority, then due time, then submission, then the job's id.
Order = tuple[int, float, float, str]


class TaskSet:
    """Task numbers as a bitmap: 100,000 of them take 12.5 KB."""

    __slots__ = ("_bits", "_count", "_size")

    def __init__(self, size: int, members: Iterable[int] = ()) -> None:
        self._size = size
        self._bits = bytearray((size + 7) // 8)
        self._count = 0
        for number in members:
            self.add(number)

    def __contains__(self, number: int) -> bool:
        return 0 <= number < self._size and bool(self._bits[number >> 3] & (1 << (number & 7)))

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[int]:
        return (number for number in range(self._size) if number in self)

    @property
    def size(self) -> int:
        return self._size

    @property
    def full(self) -> bool:
        return self._count == self._size

    def add(self, number: int) -> bool:
        """True if it was not in before."""
        if not 0 <= number < self._size or number in self:
            return False
        self._bits[number >> 3] |= 1 << (number & 7)
        self._count += 1
        return True

    def missing(self) -> Iterator[int]:
        return (number for number in range(self._size) if number not in self)

    def difference(self, other: "TaskSet") -> list[int]:
        """Members that ``other``, of the same size, has not."""
        found: list[int] = []
        for place, (mine, theirs) in enumerate(zip(self._bits, other._bits, strict=True)):
            more = mine & ~theirs
            while more:
                lowest = more & -more
                found.append(place * 8 + lowest.bit_length() - 1)
                more ^= lowest
        return found

    def copy(self) -> "TaskSet":
        other = TaskSet(0)
        other._size, other._bits, other._count = self._size, bytearray(self._bits), self._count
        return other

    def text(self, first_byte: int = 0, byte_count: int | None = None) -> str:
        """Base64 of the bitmap or a part of it, without the empty end."""
        end = len(self._bits) if byte_count is None else first_byte + byte_count
        return base64.b64encode(bytes(self._bits[first_byte:end]).rstrip(b"\0")).decode()

    def merge(self, text: str, first_byte: int = 0) -> None:
        """Adds what ``text`` made from such a part holds."""
        for offset, byte in enumerate(base64.b64decode(text)):
            place = first_byte + offset
            if byte and place < len(self._bits):
                self._count += (byte & ~self._bits[place]).bit_count()
                self._bits[place] |= byte


class Claimant(msgspec.Struct, frozen=True, array_like=True):
    """A node in one of its sessions: the session key's version tells them apart."""

    node: str
    session: int


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What is kept of a job. Every write is conditional on the record's version."""

    spec: JobSpec
    status: JobStatus
    attempt: int = 0
    claimant: Claimant | None = None
    submitted: float = 0.0  # time of day, seconds
    first_term: int = 0  # term at the first claim: in no earlier one can a task have been started
    claim_term: int = 0  # term at the last claim
    finished: str = ""  # bitmap, unless it is spilled
    spilled: bool = False  # the bitmap is in chunk keys of its own

    @property
    def due(self) -> float:
        """When it should be complete, for ordering; without a deadline: far off."""
        return self.submitted + self.spec.due_s if self.spec.due_s is not None else float("inf")

    @property
    def order(self) -> Order:
        """Priority, then earliest due, then earliest submitted."""
        return (self.spec.priority.rank, self.due, self.submitted, self.spec.job)


class Footprint(msgspec.Struct, frozen=True):
    """What a task of a job that is over takes, and of whom, while it is still on a machine.

    Kept for each job that is over, however old: one such object serves all that are alike.
    """

    jobclass: str
    team: str
    shape: Shape
    priority: Priority
    cpus: float
    gpus: float
    memory_gb: float

    def spec(self, job: str, tasks: int) -> JobSpec:
        """Enough of the job's description to stop its tasks, and to count them until they have ended."""
        return JobSpec(
            job=job,
            jobclass=self.jobclass,
            team=self.team,
            shape=self.shape,
            priority=self.priority,
            tasks=tasks,
            cpus=self.cpus,
            gpus=self.gpus,
            memory_gb=self.memory_gb,
        )


def footprint(spec: JobSpec) -> Footprint:
    return Footprint(spec.jobclass, spec.team, spec.shape, spec.priority, spec.cpus, spec.gpus, spec.memory_gb)


class FinalRecord(msgspec.Struct, frozen=True):
    """All that is kept in memory of a job that is over."""

    status: JobStatus
    tasks: int
    version: int
    footprint: Footprint


class NodeRecord(msgspec.Struct, frozen=True):
    """The session key's value."""

    started: float
    lease: int = 0  # so that the node's next process can go on with the session


class LivenessRecord(msgspec.Struct, frozen=True):
    """A sign of life by way of the state service; each is a new version."""

    term: int


class TermRecord(msgspec.Struct, frozen=True):
    """Who commands the machines; ``term`` is the token that workers compare."""

    term: int
    leader: str = msgspec.field(name="holder")  # as it was stored from the first version on
    session: int


class RosterRecord(msgspec.Struct, frozen=True):
    """Machines that may run tasks, of one type, zone and kind."""

    type: str
    zone: str
    spot: bool
    names: tuple[str, ...] = ()


class ChunkRecord(msgspec.Struct, frozen=True):
    """A part of a spilled bitmap."""

    bits: str


_RECORD_ROOM = 2048  # for the record without its bitmap; ids and names are far shorter


def chunk_bytes(value_bytes: int) -> int:
    """Bitmap bytes that fit one value as base64."""
    return max(96, (value_bytes - 512) * 3 // 4)


def must_spill(tasks: int, value_bytes: int) -> bool:
    return (tasks + 7) // 8 * 4 // 3 + _RECORD_ROOM > value_bytes


_encoder = msgspec.json.Encoder()


def pack(record: msgspec.Struct) -> msgspec.Raw:
    return msgspec.Raw(_encoder.encode(record))
