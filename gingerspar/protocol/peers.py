"""Messages between controllers: JSON objects with a ``type`` tag, sent as netstrings.

The attributes are the names on the wire, so they can't be renamed. ``node`` is the sender, and ``term`` the
latest term that the sender knows or holds.
"""

from datetime import timedelta

import msgspec

NEVER_READ_S = 1e6  # maximum of ``Heartbeat.state_age_s``


class Heartbeat(msgspec.Struct, tag="heartbeat"):
    """Status of a node, sent several times per second."""

    node: str
    term: int
    dispatching: bool  # whether it commands the machines
    # Time since it sent its last successful read of the state service; ``NEVER_READ_S`` if there was none.
    state_age_s: float
    workers: int  # number of workers that reported to it within the last few seconds
    heard: list[str] = []  # nodes from which it has received heartbeats recently
    writes: float = 0.0  # changes per second that it requests to write to the state service
    up_s: float | None = None  # time since its process started; None: sent by a release without this field
    reaches: bool | None = None  # whether it reaches the workers; None: not known

    @property
    def state_age(self) -> timedelta:
        return timedelta(seconds=self.state_age_s)

    @property
    def has_read(self) -> bool:
        """Whether it has read the state service since its start; until then it reads all keys."""
        return self.state_age_s < NEVER_READ_S


class Counts(msgspec.Struct, tag="counts"):
    """Sent by the leader: running tasks for status answers to users, and addresses of some workers for probes."""

    node: str
    term: int
    running: dict[str, int]  # by job: number of running tasks
    addresses: list[str] = []  # HOST:PORT


class Handover(msgspec.Struct, tag="handover"):
    """A committed claim or cancellation of a job, sent so that the peer need not wait for its next read."""

    node: str
    term: int
    key: str  # of the record in the state service
    version: int
    record: msgspec.Raw


class Finished(msgspec.Struct, tag="finished"):
    """Sent by the leader to a claimant: the tasks of its jobs that are done."""

    node: str
    term: int
    jobs: dict[str, list[int]]  # by job: task numbers


class Reclaim(msgspec.Struct, tag="reclaim"):
    """Sent by the leader: the job must be claimed again, for a new attempt, before any of its tasks is started."""

    node: str
    term: int
    job: str
    attempt: int  # the job's current attempt, which the new one replaces


class Relay(msgspec.Struct, tag="relay"):
    """A user's request that the sender can't serve, forwarded to a peer that can."""

    node: str
    number: int  # identifies the request; the answer repeats it
    method: str  # of the HTTP request
    path: str
    body: str


class Relayed(msgspec.Struct, tag="relayed"):
    """The answer to a ``Relay``."""

    node: str
    number: int  # of the ``Relay``
    status: int  # HTTP status
    body: str
    retry_after: str | None = None  # value of the Retry-After header


Message = Heartbeat | Counts | Handover | Finished | Reclaim | Relay | Relayed

_decoder = msgspec.json.Decoder(Message)
_encoder = msgspec.json.Encoder()


def pack(message: Message) -> bytes:
    """Encodes a message, without the netstring's frame."""
    return _encoder.encode(message)


def unpack(data: bytes) -> Message:
    """Decodes a message. Raises ``msgspec.MsgspecError``."""
    message: Message = _decoder.decode(data)
    return message
