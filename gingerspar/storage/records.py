"""Records and keys that controllers store in the state service.

The fields of the record types have the same names in the stored JSON, so they can't be renamed, with two exceptions:
``Claimant`` is stored as an array, and ``TermRecord.leader`` names its stored field.
"""

import msgspec

from gingerspar.protocol.messages import JobSpec, JobStatus, Priority, Shape

PREFIX = "gs/"  # of all keys
JOBS = PREFIX + "j/"  # JobRecord, by job
FINISHED = PREFIX + "f/"  # ChunkRecord, by job and chunk
NODES = PREFIX + "n/"  # NodeRecord, by node
ROSTER = PREFIX + "r/"  # RosterRecord
TERM = PREFIX + "term"  # TermRecord
LIVENESS = PREFIX + "b/"  # LivenessRecord, by node


def job_key(job: str) -> str:
    return JOBS + job


def node_key(node: str) -> str:
    return NODES + node


def liveness_key(node: str) -> str:
    return LIVENESS + node


def finished_key(job: str, chunk: int) -> str:
    return f"{FINISHED}{job}/{chunk:04d}"


# Sort key of a job: rank of its priority, deadline and time of submission (both in seconds since 1970), job id.
Order = tuple[int, float, float, str]


class Claimant(msgspec.Struct, frozen=True, array_like=True):
    """A node in one of its sessions.

    Stored as an array: the order of the fields must not change.
    """

    node: str
    session: int  # version of the node's session key


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Description and progress of a job. Every write is conditional on the version of the stored record."""

    spec: JobSpec
    status: JobStatus
    attempt: int = 0  # raised by each claim
    claimant: Claimant | None = None  # None unless the job is running
    submitted: float = 0.0  # seconds since 1970
    first_term: int = 0  # term of the first claim; no task can have been started in an earlier term
    claim_term: int = 0  # term of the latest claim
    finished: str = ""  # bitmap of finished tasks (``TaskSet.text``); unused if ``spilled``
    spilled: bool = False  # the bitmap is stored in ``ChunkRecord`` values under keys of its own

    @property
    def due(self) -> float:
        """Deadline in seconds since 1970; infinite if the job has none."""
        return self.submitted + self.spec.due_s if self.spec.due_s is not None else float("inf")

    @property
    def order(self) -> Order:
        """Sort key: by priority, then by deadline, then by time of submission, earliest first."""
        return (self.spec.priority.rank, self.due, self.submitted, self.spec.job)


class Footprint(msgspec.Struct, frozen=True):
    """Resources that each task of an ended job occupies while it is still on a machine, and their owner.

    Kept in memory for every ended job regardless of age, so equal footprints share one object.
    """

    jobclass: str
    team: str
    shape: Shape
    priority: Priority
    cpus: float
    gpus: float
    memory_gb: float

    def spec(self, job: str, tasks: int) -> JobSpec:
        """A partial job description: sufficient to stop the remaining tasks and to account for them until they end."""
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
    """The data of an ended job that is kept in memory."""

    status: JobStatus
    tasks: int
    version: int  # of the stored job record
    footprint: Footprint


class NodeRecord(msgspec.Struct, frozen=True):
    """Value of a node's session key. The key is bound to the lease of the session."""

    started: float  # seconds since 1970
    lease: int = 0  # allows the next process of the node to resume the session


class LivenessRecord(msgspec.Struct, frozen=True):
    """A node's liveness mark: each write gives the key a new version, which shows peers that the node is alive."""

    term: int


class TermRecord(msgspec.Struct, frozen=True):
    """The leader, which commands the machines. ``term`` is the token that workers compare."""

    term: int
    leader: str = msgspec.field(name="holder")  # stored under this name since the first release
    session: int  # version of the leader's session key


class RosterRecord(msgspec.Struct, frozen=True):
    """A group of machines that may run tasks, all of one type, zone and purchase kind."""

    type: str
    zone: str
    spot: bool  # spot machines; otherwise ordinary ones
    names: tuple[str, ...] = ()  # of the machines


class ChunkRecord(msgspec.Struct, frozen=True):
    """One part of a bitmap of finished tasks that is too large for the job record."""

    bits: str  # as ``TaskSet.text`` returns it


_encoder = msgspec.json.Encoder()


def pack(record: msgspec.Struct) -> msgspec.Raw:
    return msgspec.Raw(_encoder.encode(record))


# Bytes reserved for the record of a job with a short description, without its bitmap. It must not change: whether
# records of earlier releases are spilled depends on it.
_USUAL_RECORD_BYTES = 2048
# Bytes reserved for the fields of a job record other than the description and the bitmap: status, claimant, terms.
_STATUS_BYTES = 512


def chunk_bytes(value_bytes: int) -> int:
    """Number of bitmap bytes that fit into one value as base64."""
    return max(96, (value_bytes - 512) * 3 // 4)


def description_bytes(spec: JobSpec) -> int:
    """Size of the stored description of a job."""
    return len(bytes(pack(spec)))


def max_description_bytes(value_bytes: int) -> int:
    """Size up to which a description fits into a job record, as a value may have ``value_bytes`` at most."""
    return value_bytes - _STATUS_BYTES


def must_spill(spec: JobSpec, value_bytes: int) -> bool:
    """Whether a job's bitmap is too large for its record, as a value may have ``value_bytes`` at most."""
    record_bytes = max(_USUAL_RECORD_BYTES, description_bytes(spec) + _STATUS_BYTES)
    return (spec.tasks + 7) // 8 * 4 // 3 + record_bytes > value_bytes
