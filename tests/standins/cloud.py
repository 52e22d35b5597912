"""Stand-in of the cloud: rents machines, each of which is a worker stand-in."""

import asyncio
import contextlib
import math
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.server import Answer, Request, Server
from tests.standins.state import answer
from tests.standins.worker import CPUS, Worker

GANG_WAIT = 10.0
GANG_PEER = 1.0
LISTED_FOR = 30.0  # seconds that a machine which has died is still listed as running
ARRAY = {"Shape": "batch", "Cpus": 4.0, "Crew": "red", "Pieces": 1_000_000, "SamePlace": False, "GuessS": None}


def catalog(zones: Sequence[str], startup_s: float) -> dict[str, Any]:
    return {
        "Builds": [
            {
                "Label": "small", "Cpus": CPUS, "Cards": 0, "MemoryGb": 32, "CacheGb": 20, "PullGbPerS": 10.0,
                "Hourly": 1.0, "SpotPrice": 0.3, "StartupS": startup_s, "Halls": list(zones),
            }
        ]
    }  # fmt: skip


class Cloud:
    """Boots are short; nothing is ever refused. Keeps the rules' books."""

    def __init__(
        self, controllers: dict[str, str], run_seconds: float, report_seconds: float, zones: Sequence[str] = ("a",)
    ) -> None:
        self.controllers = controllers
        self.run_seconds = run_seconds
        self.report_seconds = report_seconds
        self.zones = zones
        self.out = False  # it has trouble
        self.startup_s = 1.0  # as the catalog says: the longer, the longer idle machines are kept
        self.workers: dict[str, Worker] = {}
        self.died: dict[str, tuple[Worker, float]] = {}  # and when
        self.rented: dict[str, list[str]] = {}
        self.count = 0
        self.jobs: dict[str, dict[str, Any]] = {}  # as users have described them
        self.limits: dict[str, float] = {}  # of teams, in processors
        self.gangs: dict[tuple[str, int], dict[tuple[str, int], Worker]] = {}  # by job and attempt
        self.cancelled: dict[str, float] = {}  # when the user was told
        self.cancel_s = 0.0
        self.done: dict[str, set[str]] = {}  # by job: tasks that were done
        self.takes: dict[str, float] = {}  # seconds that a task runs, where it is not as its job's others
        self.started: Counter[str] = Counter()
        self.broken: list[str] = []
        self.gone: dict[str, float] = {}  # by job: when the last of its tasks that was on a machine ended
        self.again: Callable[[], float] = lambda: 0.0  # after how long a copy of a report comes; 0: never
        self.copies: set[asyncio.Task[None]] = set()
        self.all_done: Callable[[str], None] = lambda job: None  # called as the last task of a job is done
        self.late_starts: list[str] = []  # of tasks whose users had been told that their job is cancelled
        self.keeps: Callable[[], bool] = lambda: False  # whether a copy of a report is kept for the next leader
        self.kept: list[bytes] = []
        self.server = Server(self.handle)

    async def handle(self, request: Request) -> Answer:
        if self.out:
            return answer(503, {"error": "trouble"})
        if request.path == "/catalog":
            return answer(200, catalog(self.zones, self.startup_s))
        body: Any = msgspec.json.decode(request.body) if request.body else {}
        if request.path == "/machines/return":
            for name in body["Hosts"]:
                self.died.pop(name, None)
                worker = self.workers.pop(name, None)
                if worker is not None:
                    worker.stop()
            return answer(200, {})
        if request.method == "GET":
            listed = [self.listed(worker, "running") for worker in self.workers.values()]
            now = asyncio.get_running_loop().time()
            for worker, when in self.died.values():
                listed.append(self.listed(worker, "failed" if now - when > LISTED_FOR else "running"))
            return answer(200, {"Hosts": listed, "Truncated": False})
        if body["Hire"] not in self.rented:
            self.rented[body["Hire"]] = [self.rent(body) for _ in range(body["Number"])]
        return answer(200, {"Hosts": self.rented[body["Hire"]]})

    def rent(self, body: dict[str, Any]) -> str:
        name = f"n-{self.count:06d}"
        self.count += 1
        self.workers[name] = Worker(self, name, body["Build"], body["Hall"], body["Loaners"])
        return name

    @staticmethod
    def listed(worker: Worker, status: str) -> dict[str, Any]:
        return {
            "Ref": worker.name, "Endpoint": worker.address, "Build": worker.type, "Hall": worker.zone,
            "Loaners": worker.spot, "Status": status, "HeldS": 1.0,
        }  # fmt: skip

    def dies(self, name: str) -> None:
        worker = self.workers.pop(name)
        worker.stop()
        self.died[name] = (worker, asyncio.get_running_loop().time())

    def may_come_again(self, node: str, body: bytes) -> None:
        """A copy of the report arrives at the same controller, perhaps."""
        after = self.again()
        if after > 0:
            self._copy(after, node, body)
        if self.keeps():
            self.kept.append(body)

    def next_leader(self) -> None:
        """The term has changed: the copies that were kept arrive at every controller, now and a moment later."""
        kept, self.kept = self.kept, []
        for body in kept:
            for node in self.controllers:
                for after in (0.0, 0.3, 1.0):
                    self._copy(after, node, body)

    def _copy(self, after: float, node: str, body: bytes) -> None:
        copy = asyncio.ensure_future(self._come_again(after, node, body))
        self.copies.add(copy)
        copy.add_done_callback(self.copies.discard)

    async def _come_again(self, after: float, node: str, body: bytes) -> None:
        await asyncio.sleep(after)
        client = Client(self.controllers[node])
        with contextlib.suppress(NoAnswer):
            await client.request("POST", "/hello", body)
        client.close()

    # -- tasks and the rules --------------------------------------------------

    def job_of(self, task: str) -> dict[str, Any]:
        return self.jobs.get(task.partition("/")[0], ARRAY)

    def starts(self, worker: Worker, key: tuple[str, int]) -> None:
        task = key[0]
        name, spec = task.partition("/")[0], self.job_of(task)
        self.started[task] += 1
        live = [
            (other, each)
            for other in self.workers.values()
            for each, status in other.tasks.items()
            if status["Status"] != "ended"
        ]
        for other, (each, _) in live:
            if other is not worker and each == task:
                self.broken.append(f"ran_twice: {task} on {worker.name} and {other.name}")
            if spec["SamePlace"] and each.partition("/")[0] == name and other.zone != worker.zone:
                self.broken.append(f"wrong_place: {task} in {worker.zone}, {each} in {other.zone}")
        if spec.get("Hall") not in (None, worker.zone) or (worker.spot and not spec.get("Loaners", True)):
            self.broken.append(f"wrong_place: {task} in {worker.zone} on {worker.name}, spot {worker.spot}")
        used = sum(self.job_of(each)["Cpus"] for _, (each, _) in live if self.job_of(each)["Crew"] == spec["Crew"])
        if used > self.limits.get(spec["Crew"], math.inf):
            self.broken.append(f"quota: {spec['Crew']} uses {used}")
        if name in self.cancelled:
            after = asyncio.get_running_loop().time() - self.cancelled[name]
            self.late_starts.append(f"{task} {after:.2f} s after its job was cancelled")
            if after > self.cancel_s:
                self.broken.append(f"ran_cancelled: {task} starts on {worker.name}")
        if spec["Shape"] == "gang":
            self._gathers(worker, key)
        else:
            run_s = self.takes.get(task, self.run_seconds if spec["GuessS"] is None else spec["GuessS"])
            asyncio.get_running_loop().call_later(run_s, worker.end_life, key, worker.life, "done")

    def _gathers(self, worker: Worker, key: tuple[str, int]) -> None:
        name, loop = key[0].partition("/")[0], asyncio.get_running_loop()
        members = self.gangs.setdefault((name, key[1]), {})
        members[key] = worker
        worker.tasks[key]["Status"] = "gathering"
        loop.call_later(GANG_WAIT, self._incomplete, worker, key, worker.life)
        if len(members) == self.jobs[name]["Pieces"]:
            for each, other in members.items():
                other.tasks[each]["Status"] = "running"
                other.changed.set()
            loop.call_later(self.jobs[name]["GuessS"], self._complete, members, dict(members))

    def _complete(self, members: dict[tuple[str, int], Worker], began: dict[tuple[str, int], Worker]) -> None:
        """They complete together, or not at all once one of them is gone."""
        if members == began:
            for each, worker in began.items():
                worker.end(each, "done")

    def stands_still(self, worker: Worker, key: tuple[str, int], seconds: float) -> None:
        """The others of its gang notice, and so does it when it goes on."""
        members = self.gangs.get((key[0].partition("/")[0], key[1]), {})
        if seconds >= GANG_PEER and worker.tasks[key]["Status"] == "running" and members.pop(key, None) is not None:
            self._lost_one(members)
            worker.end_life(key, worker.life, "peers")  # not before it goes on

    @staticmethod
    def _lost_one(members: dict[tuple[str, int], Worker]) -> None:
        for each, other in list(members.items()):
            if other.tasks.get(each, {}).get("Status") == "running":
                asyncio.get_running_loop().call_later(GANG_PEER, other.end_life, each, other.life, "peers")

    def _incomplete(self, worker: Worker, key: tuple[str, int], life: int) -> None:
        task = worker.tasks.get(key)
        if worker.life == life and task is not None and task["Status"] == "gathering":
            worker.end(key, "incomplete")

    def ends(self, worker: Worker, key: tuple[str, int], cause: str) -> None:
        """A task that was on a machine is there no more."""
        name = key[0].partition("/")[0]
        self.gone[name] = asyncio.get_running_loop().time()
        if cause == "done":
            self.done.setdefault(name, set()).add(key[0])
            if len(self.done[name]) == self.job_of(key[0])["Pieces"]:
                self.all_done(name)
        members = self.gangs.get((name, key[1]), {})
        if members.pop(key, None) is not None and cause != "done":
            self._lost_one(members)
        if name in self.cancelled and self.gone[name] - self.cancelled[name] > self.cancel_s:
            self.broken.append(f"ran_cancelled: {key[0]} was on {worker.name}")

    def has_room(self, spec: dict[str, Any]) -> bool:
        """Whether a task, of a gang all tasks, of the job would fit now, by machines and the team's limit."""
        free: Counter[str] = Counter()
        used = 0.0
        for worker in self.workers.values():
            live = [name for name, attempt in worker.tasks if worker.on(name, attempt)]
            taken = sum(self.job_of(name)["Cpus"] for name in live)
            used += sum(self.job_of(name)["Cpus"] for name in live if self.job_of(name)["Crew"] == spec["Crew"])
            free[worker.zone] += int((CPUS - taken) // spec["Cpus"])
        needed = spec["Pieces"] if spec["Shape"] == "gang" else 1
        if used + needed * spec["Cpus"] > self.limits.get(spec["Crew"], math.inf):
            return False
        return (max(free.values(), default=0) if spec["SamePlace"] else free.total()) >= needed

    def tasks(self) -> list[str]:
        return [t["Piece"] for w in self.workers.values() for t in w.tasks.values() if t["Status"] != "ended"]

    def stop(self) -> None:
        for copy in self.copies:
            copy.cancel()
        for worker in self.workers.values():
            worker.stop()


async def settle(condition: Any, seconds: float) -> bool:
    """Waits until the condition holds, at most ``seconds``."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        found = condition()
        if await found if asyncio.iscoroutine(found) else found:
            return True
        await asyncio.sleep(0.05)
    return False
