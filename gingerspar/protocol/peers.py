"""What controllers say to one another (netstrings of JSON, tagged)."""

from datetime import timedelta

import msgspec


class Heartbeat(msgspec.Struct, tag="heartbeat"):
    """How a node fares, several times a second."""

    node: str
    term: int
    dispatching: bool
    state_age_s: float  # since the sending of its last successful read of the state service
    workers: int  # reports that reached it within the last few seconds
    heard: list[str] = []  # nodes that it has heard lately
    writes: float = 0.0  # changes a second that it would like to write to the state service
    up_s: float | None = None  # since its process began; None: it is of a version that doesn't say
    reaches: bool | None = None  # the workers; None: it can't tell

    @property
    def state_age(self) -> timedelta:
        return timedelta(seconds=self.state_age_s)


class Counts(msgspec.Struct, tag="counts"):
    """The dispatcher's count of running tasks by job, for display, and where some machines can be asked."""

    node: str
    term: int
    running: dict[str, int]
    addresses: list[str] = []


class Handover(msgspec.Struct, tag="handover"):
    """A committed claim or cancellation, handed to a peer ahead of its watched view."""

    node: str
    term: int
    key: str
    version: int
    record: msgspec.Raw


class Finished(msgspec.Struct, tag="finished"):
    """The dispatcher tells the claimant which tasks of its jobs are done."""

    node: str
    term: int
    jobs: dict[str, list[int]]


class Reclaim(msgspec.Struct, tag="reclaim"):
    """The dispatcher needs a new attempt of a job before any new start."""

    node: str
    term: int
    job: str
    attempt: int


class Relay(msgspec.Struct, tag="relay"):
    """A user's request that this node can't serve, for a peer that can."""

    node: str
    number: int
    method: str
    path: str
    body: str


class Relayed(msgspec.Struct, tag="relayed"):
    """What the peer answered."""

    node: str
    number: int
    status: int
    body: str
    retry_after: str | None = None


Message = Heartbeat | Counts | Handover | Finished | Reclaim | Relay | Relayed

_decoder = msgspec.json.Decoder(Message)
_encoder = msgspec.json.Encoder()


def pack(message: Message) -> bytes:
    return _encoder.encode(message)


def unpack(data: bytes) -> Message:
    message: Message = _decoder.decode(data)
    return message
