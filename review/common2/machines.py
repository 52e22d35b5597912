"""Stand-ins for the cloud and for the workers on its machines, as the protocol describes them."""

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from review.common2.http import HOST, HttpServer, free_ports, request
from review.common2.state import _Rate

ANSWER_TIMEOUT_S = 4.0
MIN_REPORT_GAP_S = 0.5
AMOUNTS = ("Cpus", "Cards", "MemoryGb")


@dataclass
class Timing:
    """The settings of the workers (``facts.workers``)."""

    report_s: float = 2.5
    lease_s: float = 18.0
    gang_wait_s: float = 35.0
    gang_peer_s: float = 4.0
    cancel_s: float = 43.0


@dataclass
class Task:
    """One attempt of a task on a machine."""

    piece: str
    attempt: int
    status: str = "fetching"
    cause: str | None = None
    kept: bool = False
    timer: asyncio.TimerHandle | None = None
    started: float | None = None

    def entry(self) -> dict[str, Any]:
        entry: dict[str, Any] = {"Piece": self.piece, "Try": self.attempt, "Status": self.status}
        if self.cause is not None:
            entry["Cause"] = self.cause
        if self.kept:
            entry["Kept"] = True
        return entry

    @property
    def active(self) -> bool:
        return self.status != "ended"


class Worker:
    """A machine that is up, with its worker."""

    def __init__(self, cloud: "Cloud", name: str, offer: tuple[str, str, bool], port: int) -> None:
        self.cloud, self.name, self.port = cloud, name, port
        self.type, self.zone, self.spot = offer
        self.session, self.tick, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.active: dict[str, Task] = {}  # by name: the tasks that have not ended
        self.used: Counter[str] = Counter()  # by them
        self.images: set[str] = set()
        self.node = random.choice(list(cloud.controllers))
        self.changed = asyncio.Event()
        self.last_answered = time.monotonic()
        self.server = HttpServer(self.handle)
        self.loops: list[asyncio.Task[None]] = []
        self.fetching: dict[str, asyncio.Task[None]] = {}

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        await self.server.listen(self.port)
        self.last_answered = time.monotonic()
        self.loops = [asyncio.ensure_future(self._report_loop()), asyncio.ensure_future(self._lease_loop())]

    def stop(self) -> None:
        for loop in [*self.loops, *self.fetching.values()]:
            loop.cancel()
        self.server.close()
        self._drop_tasks("machine gone")

    def _drop_tasks(self, why: str) -> None:
        for fetch in self.fetching.values():
            fetch.cancel()
        self.fetching.clear()
        for task in list(self.tasks.values()):
            if task.active:
                self._end(task, why)
        self.tasks.clear()

    def _report(self) -> dict[str, Any]:
        self.tick += 1
        return {
            "Host": self.name, "Endpoint": self.address, "Build": self.type, "Hall": self.zone, "Loaners": self.spot,
            "Stint": self.session, "Tick": self.tick, "Baton": self.token, "WarningS": None,
            "Pieces": [task.entry() for task in self.tasks.values()],
        }  # fmt: skip

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(max(self.last_answered + self.cloud.timing.lease_s - time.monotonic(), 0.001))
            if time.monotonic() - self.last_answered > self.cloud.timing.lease_s:
                self.cloud.log("lease", self.name, f"session {self.session} ends")
                self._drop_tasks("lease ended")
                self.session += 1
                self.last_answered = time.monotonic()
                self.changed.set()

    async def _report_loop(self) -> None:
        while True:
            sent = time.monotonic()
            self.changed.clear()
            if not await self._send_report(sent):
                continue
            await asyncio.sleep(max(sent + MIN_REPORT_GAP_S - time.monotonic(), 0))
            wait_s = self.cloud.timing.report_s * random.uniform(0.75, 1.25) - (time.monotonic() - sent)
            if wait_s > 0:
                try:
                    async with asyncio.timeout(wait_s):
                        await self.changed.wait()
                except TimeoutError:
                    pass

    async def _send_report(self, sent: float) -> bool:
        """Sends one report; returns whether the worker stays with this node."""
        session, nodes = self.session, list(self.cloud.controllers)
        status, answer = await request(
            self.cloud.controllers[self.node], "POST", "/hello", self._report(), ANSWER_TIMEOUT_S
        )
        if status == 200:
            if session == self.session and isinstance(answer.get("Baton"), int) and answer["Baton"] >= self.token:
                self.last_answered = max(self.last_answered, sent)
                self._see_token(answer["Baton"])
                for order in answer["Orders"]:
                    self._execute(order)
            return True
        if status == 421 and answer.get("Foreman") in nodes and answer["Foreman"] != self.node:
            self.node = answer["Foreman"]
            await asyncio.sleep(random.uniform(0, 0.5))
        else:
            self.node = nodes[(nodes.index(self.node) + 1) % len(nodes)]
            await asyncio.sleep(1)
        return False

    def _see_token(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self.changed.set()

    async def handle(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        if path == "/status":
            return 200, self._report()
        if path != "/commands":
            return 404, {}
        orders = json.loads(body)
        if "Baton" not in orders or "Stint" not in orders:
            return 400, {}
        if orders["Baton"] < self.token or orders["Stint"] != self.session:
            return 409, self._report()
        self._see_token(orders["Baton"])
        for order in orders["Orders"]:
            self._execute(order)
        return 200, self._report()

    # -- commands ---------------------------------------------------------------

    def _execute(self, order: dict[str, Any]) -> None:
        key = (order["Piece"], order["Try"])
        task = self.tasks.get(key)
        self.cloud.log("order", self.name, f"{order['Verb']} {key[0]} try {key[1]}")
        if order["Verb"] == "run" and task is None:
            self._run(key)
        elif order["Verb"] == "stop" and task is not None and task.active:
            self._stop(task, order.get("WindDownS") or 0.0)
        elif order["Verb"] == "forget" and task is not None and not task.active:
            del self.tasks[key]
            self.changed.set()

    def _run(self, key: tuple[str, int]) -> None:
        spec = self.cloud.jobs.get(key[0].partition("/")[0])
        task = self.tasks[key] = Task(*key)
        self.changed.set()
        if spec is None:
            return self._refuse(task, "unknown")
        if key[0] in self.active:
            return self._refuse(task, "busy")
        machine_type = self.cloud.types[self.type]
        if any(self.used[amount] + spec[amount] > machine_type[amount] + 1e-6 for amount in AMOUNTS):
            return self._refuse(task, "full")
        self.active[key[0]] = task
        for amount in AMOUNTS:
            self.used[amount] += spec[amount]
        if spec["Bundle"] in self.images or not spec["ImageGb"]:
            self._image_ready(task)
        elif spec["Bundle"] not in self.fetching:
            self.fetching[spec["Bundle"]] = asyncio.ensure_future(self._fetch(spec))
        return None

    def _refuse(self, task: Task, cause: str) -> None:
        task.status, task.cause = "ended", cause

    async def _fetch(self, spec: dict[str, Any]) -> None:
        await asyncio.sleep(spec["ImageGb"] / self.cloud.types[self.type]["PullGbPerS"])
        self.images.add(spec["Bundle"])
        del self.fetching[spec["Bundle"]]
        for task in list(self.tasks.values()):
            if task.status == "fetching" and self.cloud.spec_of(task.piece)["Bundle"] == spec["Bundle"]:
                self._image_ready(task)

    def _image_ready(self, task: Task) -> None:
        spec = self.cloud.spec_of(task.piece)
        task.started = time.monotonic()
        self.cloud.task_on_machine(self, task)
        self.changed.set()
        if spec["Shape"] == "gang":
            task.status = "gathering"
            self.cloud.join_gang(self, task)
            return
        task.status = "running"
        if self.cloud.fails(task.piece, self):
            task.timer = asyncio.get_running_loop().call_later(1.0, self._end, task, "error")
        elif spec["Shape"] == "batch":
            run_s = 0.0 if task.piece in self.cloud.done else self.cloud.run_s(task.piece)
            task.timer = asyncio.get_running_loop().call_later(run_s, self._end, task, "done")

    def _stop(self, task: Task, wind_down_s: float) -> None:
        spec = self.cloud.spec_of(task.piece)
        if task.status == "saving":
            if wind_down_s == 0:
                self._end(task, "stopped")
            return
        if task.status == "running" and spec["SaveEveryS"] and wind_down_s >= spec["SaveTookS"] > 0:
            if task.timer is not None:
                task.timer.cancel()
            task.status, task.kept = "saving", True
            task.timer = asyncio.get_running_loop().call_later(spec["SaveTookS"], self._end, task, "stopped")
            self.changed.set()
            return
        task.kept = False
        self._end(task, "stopped")

    def _end(self, task: Task, cause: str) -> None:
        if not task.active:
            return
        if task.timer is not None:
            task.timer.cancel()
        was_on_machine = task.started is not None
        if self.active.get(task.piece) is task:
            del self.active[task.piece]
            for amount in AMOUNTS:
                self.used[amount] -= self.cloud.spec_of(task.piece)[amount]
        task.status, task.cause = "ended", cause
        self.changed.set()
        if was_on_machine:
            self.cloud.task_left(self, task)


@dataclass
class Host:
    """A rented machine; ``worker`` is None until it is up."""

    name: str
    offer: tuple[str, str, bool]
    rented: float
    worker: Worker | None = None
    boot: asyncio.Task[None] | None = None
    up_at: float | None = None


@dataclass
class Cloud:
    """Rents machines, up to ``capacity`` of each offer, and checks the scheduling rules at each start of a task."""

    types: dict[str, dict[str, Any]]
    controllers: dict[str, int]  # ports by name
    timing: Timing
    log: Callable[[str, str, str], None]
    rps: float = 5.0
    list_lag_s: float = 3.0
    capacity: dict[tuple[str, str, bool], int] = field(default_factory=dict)  # of offers that are limited
    default_capacity: int = 10
    boot_s: Callable[[str], float] | None = None  # of a machine of this type; default: as in the catalog
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)  # processors and accelerators by team, 0: none
    run_s: Callable[[str], float] = lambda piece: 1.0
    fails: Callable[[str, Worker], bool] = lambda piece, worker: False
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)  # uploaded by users
    hosts: dict[str, Host] = field(default_factory=dict)
    hires: dict[str, list[str]] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    cancelled_at: dict[str, float] = field(default_factory=dict)
    starts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    gangs: dict[tuple[str, int], dict[str, tuple[Worker, Task]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.server = HttpServer(self.handle)
        self._rate = _Rate(2 * self.rps)
        self._rate_per_s = self.rps
        self._count = 0
        self._snapshots: list[tuple[float, list[dict[str, Any]]]] = []
        self.down = False
        # Of the tasks on machines: machines by task, zones by job, and what they use by team.
        self._machines_of: dict[str, list[str]] = {}
        self._zones: dict[str, Counter[str]] = {}
        self._used: dict[str, Counter[str]] = {}

    def spec_of(self, piece: str) -> dict[str, Any]:
        return self.jobs[piece.partition("/")[0]]

    def workers(self) -> list[Worker]:
        return [host.worker for host in self.hosts.values() if host.worker is not None]

    # -- the cloud's interface --------------------------------------------------

    async def handle(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        await asyncio.sleep(0.1)
        if self.down:
            return 503, {"error": "trouble"}
        if not self._rate.take(2):
            return 429, {"error": "too many requests"}
        path, _, query_text = target.partition("?")
        if path == "/catalog":
            return 200, {"Builds": list(self.types.values())}
        if path == "/machines/return":
            for name in json.loads(body)["Hosts"]:
                host = self.hosts.pop(name, None)
                if host is not None:
                    self.log("cloud", name, "returned")
                    self._remove(host)
            return 200, {}
        if path == "/machines" and method == "GET":
            query = {name: values[0] for name, values in parse_qs(query_text).items()}
            now = time.monotonic()
            listed = next((snapshot for at, snapshot in reversed(self._snapshots) if at <= now - self.list_lag_s), [])
            rows = [row for row in listed if row["Ref"] > query.get("Since", "") and row["Ref"] in self.hosts]
            most = min(int(query.get("Most", 500)), 500)
            return 200, {"Hosts": rows[:most], "Truncated": len(rows) > most}
        if path == "/machines":
            return self._rent(json.loads(body))
        return 400, {}

    def _rent(self, order: dict[str, Any]) -> tuple[int, Any]:
        if order["Hire"] in self.hires:
            return 200, {"Hosts": self.hires[order["Hire"]]}
        offer = (order["Build"], order["Hall"], order["Loaners"])
        if offer[0] not in self.types or offer[1] not in self.types[offer[0]]["Halls"] or not 0 < order["Number"] <= 50:
            return 400, {"error": "malformed"}
        used = sum(host.offer == offer for host in self.hosts.values())
        number = min(order["Number"], self.capacity.get(offer, self.default_capacity) - used)
        if number <= 0:
            self.log("cloud", "-", f"no capacity for {offer}")
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(number):
            self._count += 1
            host = Host(f"n-{self._count:06d}", offer, time.monotonic())
            self.hosts[host.name] = host
            host.boot = asyncio.ensure_future(self._boot(host))
            names.append(host.name)
            self.log("cloud", host.name, f"rented {offer}")
        self.hires[order["Hire"]] = names
        return 200, {"Hosts": names}

    async def _boot(self, host: Host) -> None:
        startup_s = self.types[host.offer[0]]["StartupS"]
        await asyncio.sleep(self.boot_s(host.offer[0]) if self.boot_s is not None else startup_s)
        host.worker = Worker(self, host.name, host.offer, free_ports(1)[0])
        await host.worker.start()
        host.up_at = time.monotonic()
        self.log("cloud", host.name, "up")

    def _remove(self, host: Host) -> None:
        if host.boot is not None:
            host.boot.cancel()
        if host.worker is not None:
            host.worker.stop()

    def die(self, name: str) -> None:
        """The machine stops with all that is on it (it leaves the list when it is deleted)."""
        host = self.hosts[name]
        self.log("cloud", name, "died")
        self._remove(host)
        host.worker = None

    async def snapshot_loop(self) -> None:
        while True:
            now = time.monotonic()
            rows = [
                {
                    "Ref": host.name, "Endpoint": host.worker.address if host.worker else f"{HOST}:1",
                    "Build": host.offer[0], "Hall": host.offer[1], "Loaners": host.offer[2],
                    "Status": "running" if host.worker else "booting", "HeldS": now - host.rented,
                }
                for host in self.hosts.values()
            ]  # fmt: skip
            self._snapshots = [*self._snapshots[-200:], (now, rows)]
            await asyncio.sleep(0.2)

    def close(self) -> None:
        self.server.close()
        for host in self.hosts.values():
            self._remove(host)

    # -- tasks and rules --------------------------------------------------------

    def active(self) -> list[tuple[Worker, Task]]:
        """All tasks that are on a machine: they have their image and have not ended."""
        return [(w, t) for w in self.workers() for t in w.active.values() if t.started is not None]

    def on_machines(self, job: str) -> int:
        """How many tasks of the job are on machines."""
        return self._zones.get(job, Counter()).total()

    def _violation(self, rule: str, text: str) -> None:
        self.violations.append(f"{rule}: {text}")
        self.log("VIOLATION", rule, text)

    def task_on_machine(self, worker: Worker, task: Task) -> None:
        spec, job = self.spec_of(task.piece), task.piece.partition("/")[0]
        self.starts[task.piece] += 1
        self.log("start", worker.name, f"{task.piece} try {task.attempt}")
        for other in self._machines_of.get(task.piece, ()):
            if other != worker.name:
                self._violation("ran_twice", f"{task.piece} on {worker.name} and {other}")
        self._machines_of.setdefault(task.piece, []).append(worker.name)
        zones = self._zones.setdefault(job, Counter())
        zones[worker.zone] += 1
        used = self._used.setdefault(spec["Crew"], Counter())
        for amount in AMOUNTS:
            used[amount] += spec[amount]
        if (
            (spec["Builds"] and worker.type not in spec["Builds"])
            or (spec["Hall"] and worker.zone != spec["Hall"])
            or (worker.spot and not spec["Loaners"])
            or (spec["SamePlace"] and zones.total() > zones[worker.zone])
            or (spec["Apart"] and zones[worker.zone] > (spec["Pieces"] + 1) // 2)
        ):
            self._violation("wrong_place", f"{task.piece} on {worker.name} {worker.type} {worker.zone}")
        limit = self.limits.get(spec["Crew"])
        if limit is not None:
            for amount, most in zip(("Cpus", "Cards"), limit, strict=True):
                if most and used[amount] > most + 1e-6:
                    self._violation("quota", f"{spec['Crew']} uses {used[amount]} {amount}")
        if job in self.cancelled_at and time.monotonic() - self.cancelled_at[job] > self.timing.cancel_s:
            self._violation("ran_cancelled", f"{task.piece} starts")

    def task_left(self, worker: Worker, task: Task) -> None:
        spec, job = self.spec_of(task.piece), task.piece.partition("/")[0]
        self._machines_of[task.piece].remove(worker.name)
        self._zones[job][worker.zone] -= 1
        for amount in AMOUNTS:
            self._used[spec["Crew"]][amount] -= spec[amount]
        self.log("end", worker.name, f"{task.piece} try {task.attempt} {task.cause}")
        if task.cause == "done":
            self.done.add(task.piece)
        if job in self.cancelled_at and time.monotonic() - self.cancelled_at[job] > self.timing.cancel_s:
            self._violation("ran_cancelled", f"{task.piece} was on {worker.name}")
        members = self.gangs.get((job, task.attempt))
        if members is not None and members.pop(task.piece, None) is not None and task.cause not in ("done", "stopped"):
            for other_worker, other in list(members.values()):
                if other.status == "running":
                    asyncio.get_running_loop().call_later(self.timing.gang_peer_s, other_worker._end, other, "peers")

    def join_gang(self, worker: Worker, task: Task) -> None:
        spec, job = self.spec_of(task.piece), task.piece.partition("/")[0]
        members = self.gangs.setdefault((job, task.attempt), {})
        members[task.piece] = (worker, task)
        loop = asyncio.get_running_loop()
        if len(members) < spec["Pieces"]:
            task.timer = loop.call_later(self.timing.gang_wait_s, worker._end, task, "incomplete")
            return
        for member_worker, member in members.values():
            if member.timer is not None:
                member.timer.cancel()
            member.status = "running"
            member.timer = loop.call_later(self.run_s(member.piece), member_worker._end, member, "done")
            member_worker.changed.set()

    def room_for(self, spec: dict[str, Any]) -> list[str]:
        """Machines that are up and allowed, with room for one of the job's tasks; none if its team is at its limit."""
        limit = self.limits.get(spec["Crew"])
        if limit is not None:
            used = self._used.get(spec["Crew"], Counter())
            for amount, most in zip(("Cpus", "Cards"), limit, strict=True):
                if most and used[amount] + spec[amount] > most + 1e-6:
                    return []
        found = []
        for worker in self.workers():
            if spec["Builds"] and worker.type not in spec["Builds"]:
                continue
            if (spec["Hall"] and worker.zone != spec["Hall"]) or (worker.spot and not spec["Loaners"]):
                continue
            if all(worker.used[amount] + spec[amount] <= self.types[worker.type][amount] + 1e-6 for amount in AMOUNTS):
                found.append(worker.name)
        return found
