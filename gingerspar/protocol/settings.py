"""Settings of the platform (TOML) and of the operators (YAML), and their validation.

Attributes are the names of the settings unless ``rename`` gives another one. ``check-config`` prints the attributes of
``OperatorSettings``. Suffixes tell the unit: ``_s`` seconds, ``_ms`` milliseconds, ``_kb`` and ``_mb`` kilobytes and
megabytes; ``rps`` is requests per second.
"""

from datetime import timedelta
from pathlib import Path
from typing import TypeVar

import msgspec

S = TypeVar("S")


class BadSettings(ValueError):
    """Invalid settings. The text is a single line that names the field."""


class Peer(msgspec.Struct, rename={"node": "host_name", "zone": "domain", "address": "peer_addr"}, frozen=True):
    """Another controller."""

    node: str
    address: str  # HOST:PORT for messages between controllers
    zone: str = ""


class Services(msgspec.Struct, frozen=True):
    """Addresses (HOST:PORT) of the services that controllers use."""

    cloud: str
    state: str


class TeamFacts(msgspec.Struct, frozen=True):
    """A team. ``cpus_max`` and ``gpus_max`` limit what its tasks use at the same time; 0: no limit."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, rename={"jobclass": "class"}, frozen=True):
    """A service objective of the platform; ``kind`` tells which of the other fields it uses."""

    kind: str
    jobclass: str | None = None
    within_s: float | None = None
    within_ms: float | None = None
    share: float | None = None
    times: float | None = None  # multiple of the deadline


class WorkerFacts(msgspec.Struct, frozen=True):
    """Timing of the workers."""

    report_s: float  # interval between reports
    lease_s: float  # a worker without an answered report for this time stops its tasks
    cancel_s: float  # a confirmed cancellation takes effect within this time; must be longer than ``lease_s``
    gang_wait_s: float = 30.0  # a gang task waits this long for the other tasks of its gang
    gang_peer_s: float = 4.0  # tasks of a running gang end within this time after one of them is lost

    @property
    def report(self) -> timedelta:
        return timedelta(seconds=self.report_s)

    @property
    def lease(self) -> timedelta:
        return timedelta(seconds=self.lease_s)

    @property
    def cancel(self) -> timedelta:
        return timedelta(seconds=self.cancel_s)

    @property
    def gang_peer(self) -> timedelta:
        return timedelta(seconds=self.gang_peer_s)


class StateFacts(msgspec.Struct, frozen=True):
    """Limits of the state service; those per second are for all controllers together."""

    rps: float
    write_rps: float  # changes per second
    value_kb: float  # size of one value
    txn_ops: int  # changes in one transaction


class CloudFacts(msgspec.Struct, frozen=True):
    """Properties of the cloud's interface."""

    rps: float
    list_lag_s: float = 0.0  # the list of machines may be out of date by up to this time

    @property
    def list_lag(self) -> timedelta:
        return timedelta(seconds=self.list_lag_s)


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources of the machine on which this controller runs."""

    cpu_share: float = 1.0
    memory_mb: float = 0.0
    fd_limit: float = 1024


class Facts(msgspec.Struct, frozen=True):
    """Facts about the platform."""

    workers: WorkerFacts
    state: StateFacts
    cloud: CloudFacts
    size: int = 1  # number of controllers
    zones: tuple[str, ...] = ()
    clock_error_ms: float = 0.0
    teams: tuple[TeamFacts, ...] = ()
    objectives: tuple[Objective, ...] = ()
    machine_limits: MachineLimits = MachineLimits()


class Settings(
    msgspec.Struct,
    rename={"node": "host_name", "zone": "domain", "peer_listen": "peer_bind", "peers": "seeds", "services": "outside"},
    frozen=True,
):
    """The settings that the platform gives a controller."""

    node: str  # name of this controller
    listen: str  # HOST:PORT for workers and users
    peer_listen: str  # HOST:PORT for other controllers
    services: Services
    facts: Facts
    zone: str = ""
    peers: tuple[Peer, ...] = ()


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings that operators may change; every field has a default that fits most clusters.

    Durations are in seconds. ``docs/operations.md`` explains each field.
    """

    session_ttl_s: float = 12.0  # duration of the lease of a node's session
    claim_batch: int = 8  # maximum number of jobs claimed in one transaction
    sweep_batch: int = 8  # maximum number of jobs released in one transaction
    idle_return_s: float = 120.0  # maximum time until an idle machine is returned to the cloud
    result_interval_s: float = 0.3  # pause between writes of results
    result_delay_s: float = 4.0  # maximum time that a finished task waits for others of its job before it is recorded

    @property
    def session_ttl(self) -> timedelta:
        return timedelta(seconds=self.session_ttl_s)

    @property
    def idle_return(self) -> timedelta:
        return timedelta(seconds=self.idle_return_s)

    @property
    def result_delay(self) -> timedelta:
        return timedelta(seconds=self.result_delay_s)

    @property
    def result_interval(self) -> timedelta:
        return timedelta(seconds=self.result_interval_s)


# By attribute of ``OperatorSettings``: minimum and maximum, both allowed.
_RANGES: dict[str, tuple[float, float]] = {
    "session_ttl_s": (1.0, 600.0),
    "claim_batch": (1, 1000),
    "sweep_batch": (1, 1000),
    "idle_return_s": (0.0, 86400.0),
    "result_interval_s": (0.0, 60.0),
    "result_delay_s": (0.0, 60.0),
}


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _check_address(name: str, value: str) -> None:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise BadSettings(f"{name}: expected HOST:PORT, got {value!r}")


def parse_settings(text: str) -> Settings:
    """Parses and checks the platform's settings (TOML). Raises ``BadSettings``."""
    try:
        settings = msgspec.toml.decode(text.encode(), type=Settings)
    except (msgspec.DecodeError, ValueError) as error:
        raise BadSettings(_one_line(error)) from error
    _check_address("listen", settings.listen)
    _check_address("peer_bind", settings.peer_listen)
    _check_address("outside.cloud", settings.services.cloud)
    _check_address("outside.state", settings.services.state)
    for peer in settings.peers:
        _check_address(f"seeds ({peer.node}): peer_addr", peer.address)
    facts = settings.facts
    for name, value in (
        ("facts.workers.report_s", facts.workers.report_s),
        ("facts.workers.lease_s", facts.workers.lease_s),
        ("facts.state.rps", facts.state.rps),
        ("facts.state.write_rps", facts.state.write_rps),
        ("facts.state.value_kb", facts.state.value_kb),
        ("facts.state.txn_ops", facts.state.txn_ops),
        ("facts.cloud.rps", facts.cloud.rps),
    ):
        if not value > 0:
            raise BadSettings(f"{name}: expected more than 0, got {value}")
    if facts.workers.cancel_s <= facts.workers.lease_s:
        raise BadSettings("facts.workers.cancel_s: expected more than lease_s")
    return settings


def parse_operator_settings(text: str) -> OperatorSettings:
    """Parses and checks the operators' settings (YAML); an empty file means all defaults. Raises ``BadSettings``."""
    import yaml  # imported here to keep restarts fast, since few deployments have such a file

    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise BadSettings(_one_line(error)) from error
    try:
        settings = msgspec.convert({} if raw is None else raw, OperatorSettings)
    except msgspec.ValidationError as error:
        raise BadSettings(_one_line(error)) from error
    for name, (minimum, maximum) in _RANGES.items():
        value = getattr(settings, name)
        if not minimum <= value <= maximum:
            raise BadSettings(f"{name}: expected {minimum:g} to {maximum:g}, got {value:g}")
    return settings


def read_text(path: Path) -> str:
    """Reads a UTF-8 file. Raises ``BadSettings`` if that fails."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise BadSettings(f"{path}: {_one_line(error)}") from error
