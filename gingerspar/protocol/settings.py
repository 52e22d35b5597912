"""The platform's settings (TOML) and the operators' own (YAML), both checked."""

from datetime import timedelta
from pathlib import Path
from typing import TypeVar

import msgspec

S = TypeVar("S")


class BadSettings(ValueError):
    """Settings that can't be used; the text is one line naming the field."""


class Peer(msgspec.Struct, rename={"node": "host_name", "zone": "domain", "address": "peer_addr"}, frozen=True):
    node: str
    address: str
    zone: str = ""


class Services(msgspec.Struct, frozen=True):
    cloud: str
    state: str


class TeamFacts(msgspec.Struct, frozen=True):
    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, rename={"jobclass": "class"}, frozen=True):
    kind: str
    jobclass: str | None = None
    within_s: float | None = None
    within_ms: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerFacts(msgspec.Struct, frozen=True):
    report_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float = 30.0
    gang_peer_s: float = 4.0

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
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class CloudFacts(msgspec.Struct, frozen=True):
    rps: float
    list_lag_s: float = 0.0

    @property
    def list_lag(self) -> timedelta:
        return timedelta(seconds=self.list_lag_s)


class MachineLimits(msgspec.Struct, frozen=True):
    cpu_share: float = 1.0
    memory_mb: float = 0.0
    fd_limit: float = 1024


class Facts(msgspec.Struct, frozen=True):
    workers: WorkerFacts
    state: StateFacts
    cloud: CloudFacts
    size: int = 1
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
    """What the platform hands over."""

    node: str
    listen: str
    peer_listen: str
    services: Services
    facts: Facts
    zone: str = ""
    peers: tuple[Peer, ...] = ()


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What operators may set; every field has a default that fits most clusters.

    Durations are in seconds. ``docs/operations.md`` explains each field.
    """

    session_ttl_s: float = 12.0
    claim_batch: int = 8
    sweep_batch: int = 8
    idle_return_s: float = 120.0
    result_interval_s: float = 0.3
    result_delay_s: float = 4.0

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


def _address(name: str, value: str) -> None:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise BadSettings(f"{name}: expected HOST:PORT, got {value!r}")


def parse_settings(text: str) -> Settings:
    """The platform's settings from TOML."""
    try:
        settings = msgspec.toml.decode(text.encode(), type=Settings)
    except (msgspec.DecodeError, ValueError) as error:
        raise BadSettings(_one_line(error)) from error
    _address("listen", settings.listen)
    _address("peer_bind", settings.peer_listen)
    _address("outside.cloud", settings.services.cloud)
    _address("outside.state", settings.services.state)
    for peer in settings.peers:
        _address(f"seeds ({peer.node}): peer_addr", peer.address)
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
    """The operators' settings from YAML; an empty file means all defaults."""
    import yaml  # few deployments have such a file, and a process that starts again is waited for

    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise BadSettings(_one_line(error)) from error
    try:
        settings = msgspec.convert({} if raw is None else raw, OperatorSettings)
    except msgspec.ValidationError as error:
        raise BadSettings(_one_line(error)) from error
    for name, (least, most) in _RANGES.items():
        value = getattr(settings, name)
        if not least <= value <= most:
            raise BadSettings(f"{name}: expected {least:g} to {most:g}, got {value:g}")
    return settings


def read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise BadSettings(f"{path}: {_one_line(error)}") from error
