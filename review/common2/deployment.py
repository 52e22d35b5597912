"""A small deployment on loopback: controllers as separate processes, the stand-ins, and users."""

import asyncio
import contextlib
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.common2.http import HOST, free_ports, request
from review.common2.machines import Cloud, Timing
from review.common2.state import StateService

ROOT = Path(__file__).resolve().parents[2]
MAX_RUN_S = 118.0

MENHIR = {
    "Label": "menhir", "Cpus": 16.0, "Cards": 0.0, "MemoryGb": 64.0, "CacheGb": 60.0, "PullGbPerS": 0.2,
    "Hourly": 0.86, "SpotPrice": 0.2, "StartupS": 20.0, "Halls": ["aber-west"],
}  # fmt: skip
DOLMEN = {
    "Label": "dolmen", "Cpus": 96.0, "Cards": 8.0, "MemoryGb": 384.0, "CacheGb": 80.0, "PullGbPerS": 0.6,
    "Hourly": 27.16, "SpotPrice": 6.91, "StartupS": 25.0, "Halls": ["aber-west"],
}  # fmt: skip


def job(number: int, **changes: Any) -> dict[str, Any]:
    """A job as a user submits it, with ``changes``."""
    spec: dict[str, Any] = {
        "Ref": f"wk-{number:06d}", "Jobclass": "render", "Crew": "red", "Shape": "batch", "Urgency": "standard",
        "Pieces": 1, "Cpus": 4.0, "Cards": 0.0, "MemoryGb": 4.0, "Bundle": "img-01", "ImageGb": 0.0, "Builds": None,
        "Hall": None, "SamePlace": False, "Apart": False, "Loaners": False, "GuessS": 5.0, "SaveEveryS": 0.0,
        "SaveTookS": 0.0, "DueS": None,
    }  # fmt: skip
    return {**spec, **changes}


class Node:
    """One controller: its settings file and its process."""

    def __init__(self, deployment: "Deployment", name: str, port: int, peer_port: int) -> None:
        self.deployment, self.name, self.port, self.peer_port = deployment, name, port, peer_port
        self.process: subprocess.Popen[bytes] | None = None
        self.settings = deployment.folder / f"{name}.toml"
        self.log = deployment.folder / f"{name}.log"
        self.peak_mb = 0.0

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*shlex.split(run), str(self.settings)],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.deployment.log("node", self.name, "started")

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.deployment.log("node", self.name, number.name)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.deployment.log("node", self.name, "killed")

    def resident_mb(self) -> float:
        """What the process holds in memory now, in units of 2^20 bytes."""
        if not self.running or self.process is None:
            return 0.0
        with contextlib.suppress(OSError, ValueError, IndexError):
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
        return 0.0


class Deployment:
    """Three controllers with the settings of a small deployment, the stand-ins, users and the record of a run."""

    def __init__(
        self,
        case: Path,
        *,
        teams: dict[str, tuple[float, float, float, float]],
        types: list[dict[str, Any]],
        zones: tuple[str, ...] = ("aber-west",),
        timing: Timing | None = None,
        memory_mb: float = 186.0,
        node_count: int = 3,
    ) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._record = (case / "record.txt").open("w")
        self.began = time.monotonic()
        self.memory_mb = memory_mb
        self.timing = timing or Timing()
        ports = free_ports(2 + 2 * node_count)
        self.state_port, self.cloud_port = ports[:2]
        names = [f"hearth-{index}" for index in range(node_count)]
        self.nodes = {
            name: Node(self, name, ports[2 + 2 * index], ports[3 + 2 * index]) for index, name in enumerate(names)
        }
        self.state = StateService(100.0, 25.0, 32.0, 16)
        self.cloud = Cloud(
            {machine_type["Label"]: machine_type for machine_type in types},
            {name: node.port for name, node in self.nodes.items()},
            self.timing,
            self.log,
        )
        self.cloud.limits = {team: (limits[1], limits[3]) for team, limits in teams.items()}
        for node in self.nodes.values():
            node.settings.write_text(self._settings(node, teams, zones))
        self.ended_nodes: list[str] = []
        self.final: dict[str, str] = {}
        self._loops: list[asyncio.Task[Any]] = []

    def _settings(self, node: Node, teams: dict[str, tuple[float, float, float, float]], zones: tuple[str, ...]) -> str:
        seeds = "".join(
            f'[[seeds]]\nhost_name = "{other.name}"\ndomain = "{zones[0]}"\npeer_addr = "{HOST}:{other.peer_port}"\n'
            for other in self.nodes.values()
            if other is not node
        )
        team_text = "".join(
            f'[[facts.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {cpus_max}\ngpus = {gpus}\n'
            f"gpus_max = {gpus_max}\n"
            for name, (cpus, cpus_max, gpus, gpus_max) in teams.items()
        )
        timing = self.timing
        return f"""
host_name = "{node.name}"
domain = "{zones[0]}"
listen = "{HOST}:{node.port}"
peer_bind = "{HOST}:{node.peer_port}"
{seeds}
[outside]
cloud = "{HOST}:{self.cloud_port}"
state = "{HOST}:{self.state_port}"
[facts]
size = {len(self.nodes)}
zones = {list(zones)}
clock_error_ms = 1000.0
{team_text}
[facts.workers]
report_s = {timing.report_s}
lease_s = {timing.lease_s}
gang_wait_s = {timing.gang_wait_s}
gang_peer_s = {timing.gang_peer_s}
cancel_s = {timing.cancel_s}
[facts.state]
rps = 100.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 16
[facts.cloud]
rps = 5.0
list_lag_s = 3.0
[facts.machine_limits]
cpu_share = 0.75
memory_mb = {self.memory_mb}
fd_limit = 1500
"""

    # -- record -----------------------------------------------------------------

    def now(self) -> float:
        return time.monotonic() - self.began

    def log(self, kind: str, who: str, text: str) -> None:
        self._record.write(f"{self.now():8.2f} {kind:9} {who:10} {text}\n")

    # -- lifecycle --------------------------------------------------------------

    async def start(self, nodes: list[Node] | None = None) -> None:
        """Starts the stand-ins and these controllers, by default all, and waits until each of them is healthy."""
        nodes = list(self.nodes.values()) if nodes is None else nodes
        if not self._loops:
            await self.state.server.listen(self.state_port)
            await self.cloud.server.listen(self.cloud_port)
            self._loops.append(asyncio.ensure_future(self.cloud.snapshot_loop()))
        for node in nodes:
            node.start()

        async def all_are_up() -> bool:
            return all([(await request(node.port, "GET", "/up", timeout_s=1.0))[0] == 200 for node in nodes])

        await self.wait_until(all_are_up, 40.0)

    def close(self) -> None:
        for loop in self._loops:
            loop.cancel()
        for node in self.nodes.values():
            node.signal(signal.SIGCONT)
            node.kill()
        self.cloud.close()
        self.state.server.close()
        self._record.flush()
        self._temporary.cleanup()

    async def wait_until(self, condition: Callable[[], Any], seconds: float) -> bool:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = condition()
            if isinstance(found, Awaitable):
                found = await found
            if found:
                return True
            await asyncio.sleep(0.1)
        return False

    def leader(self) -> str | None:
        record = self.state.value("gs/term")
        return None if record is None else str(record["holder"])

    # -- users ------------------------------------------------------------------

    def _ports(self, node: str | None) -> list[int]:
        """Ports to try: of one node, or of the running nodes in random order, as a load balancer would."""
        if node is not None:
            return [self.nodes[node].port]
        running = [entry.port for entry in self.nodes.values() if entry.running]
        return random.sample(running, len(running))

    async def ask(self, method: str, path: str, value: Any = None, node: str | None = None) -> tuple[int, Any]:
        """One request of a user; a refused connection goes to the next node. Users wait 5 s, for a GET 2 s."""
        for port in self._ports(node)[:3]:
            try:
                _, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), 0.5)
                writer.close()
            except (OSError, TimeoutError):
                continue
            status, answer = await request(port, method, path, value, 2.0 if method == "GET" else 5.0)
            return status, answer
        return 0, None

    async def submit(self, spec: dict[str, Any]) -> bool:
        """Submits a job as a user does, for up to 60 s; returns whether it was accepted."""
        self.cloud.jobs[spec["Ref"]] = spec
        began = time.monotonic()
        while time.monotonic() - began < 60.0:
            status, answer = await self.ask("POST", "/v1/jobs", spec)
            self.log("submit", spec["Ref"], f"{status} {answer}")
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def status(self, ref: str, node: str | None = None) -> str | None:
        status, answer = await self.ask("GET", f"/v1/jobs/{ref}", node=node)
        self.log("poll", ref, f"{status} {answer}")
        return answer["Status"] if status == 200 else None


def run(case: Callable[[], Awaitable[int]]) -> None:
    """Runs a case and ends this process with its result; 2 if it could not run."""

    async def limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):  # the case ends its processes when it is interrupted
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(MAX_RUN_S):
            return await case()

    try:
        result = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        print(f"could not run: {error!r}", file=sys.stderr)
        result = 2
    sys.exit(result)
