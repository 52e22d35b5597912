"""Stand-in for the cloud: rents machines, each of which runs a worker stand-in."""

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
from tests.standins.worker import CPUS_PER_WORKER, Worker

GANG_WAIT_S = 10.0  # a member ends as incomplete if its gang is not complete by then
GANG_PEER_TIMEOUT_S = 1.0  # after this time the members of a running gang notice that one of them is lost
LISTED_AFTER_FAILURE_S = 30.0  # the cloud still lists a failed machine as running for this long
# Specification of the jobs that are not in ``Cloud.jobs``.
ARRAY_JOB = {"Shape": "batch", "Cpus": 4.0, "Crew": "red", "Pieces": 1_000_000, "SamePlace": False, "GuessS": None}


def catalog(zones: Sequence[str], startup_s: float) -> dict[str, Any]:
    return {
        "Builds": [
            {
                "Label": "small", "Cpus": CPUS_PER_WORKER, "Cards": 0, "MemoryGb": 32, "CacheGb": 20,
                "PullGbPerS": 10.0, "Hourly": 1.0, "SpotPrice": 0.3, "StartupS": startup_s, "Halls": list(zones),
            }
        ]
    }  # fmt: skip


class Cloud:
    """Machines boot quickly and no request for machines is refused. Records violations of the scheduling rules.

    The cloud sees every start and end of a task, so it also runs the tasks: arrays for a given time, gangs as a whole.
    """

    def __init__(
        self, controllers: dict[str, str], run_seconds: float, report_seconds: float, zones: Sequence[str] = ("a",)
    ) -> None:
        self.controllers = controllers
        self.run_seconds = run_seconds
        self.report_seconds = report_seconds
        self.zones = zones
        self.down = False  # answers every request with 503
        self.startup_s = 1.0  # in the catalog; controllers keep idle machines longer if startup takes longer
        self.workers: dict[str, Worker] = {}
        self.failed_workers: dict[str, tuple[Worker, float]] = {}  # with the time of the failure
        self.rented: dict[str, list[str]] = {}
        self.machine_count = 0
        self.jobs: dict[str, dict[str, Any]] = {}  # specifications as submitted by users
        self.limits: dict[str, float] = {}  # CPUs by team
        self.gang_members: dict[tuple[str, int], dict[tuple[str, int], Worker]] = {}  # by job and attempt
        self.cancelled_at: dict[str, float] = {}  # by job: when the user received the confirmation
        self.cancel_s = 0.0  # seconds within which tasks of a cancelled job have to be stopped
        self.done_tasks: dict[str, set[str]] = {}  # by job
        self.run_seconds_by_task: dict[str, float] = {}  # exceptions from the run time of the job's tasks
        self.start_counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.last_task_ended: dict[str, float] = {}  # by job: when one of its tasks last left a machine
        self.duplicate_delay: Callable[[], float] = lambda: 0.0  # seconds until a report is delivered again; 0: never
        self.duplicates: set[asyncio.Task[None]] = set()  # reports to be delivered again
        self.on_job_done: Callable[[str], None] = lambda job: None  # called when the last task of a job is done
        # Seconds after which copies of a response to a report, and of commands sent directly, arrive once more.
        self.answer_copy_delays: Sequence[float] = ()
        self.command_copy_delays: Sequence[float] = ()
        self.direct_verbs: Counter[str] = Counter()  # of commands sent directly and carried out
        self.gang_starts: Counter[tuple[str, int]] = (
            Counter()
        )  # by task and attempt; a gang needs a new attempt each time
        self.starts_after_done: list[str] = []  # starts of tasks that have completed before
        self.accepted_copies: Counter[str] = Counter()  # copies of responses and commands that workers carried out
        self.answers_to_copies: list[tuple[str, bytes]] = []  # answers with status 200 to copies of reports, by worker
        self.starts_after_cancel: list[str] = []  # starts of tasks after the confirmed cancellation
        # Whether a copy of a report is stored for the next leader.
        self.should_store_report: Callable[[], bool] = lambda: False
        self.stored_reports: list[bytes] = []
        self.server = Server(self.handle)

    async def handle(self, request: Request) -> Answer:
        if self.down:
            return answer(503, {"error": "trouble"})
        if request.path == "/catalog":
            return answer(200, catalog(self.zones, self.startup_s))
        body: Any = msgspec.json.decode(request.body) if request.body else {}
        if request.path == "/machines/return":
            for name in body["Hosts"]:
                self.failed_workers.pop(name, None)
                worker = self.workers.pop(name, None)
                if worker is not None:
                    worker.stop()
            return answer(200, {})
        if request.method == "GET":
            machines = [self.list_entry(worker, "running") for worker in self.workers.values()]
            now = asyncio.get_running_loop().time()
            for worker, failed_at in self.failed_workers.values():
                machines.append(
                    self.list_entry(worker, "failed" if now - failed_at > LISTED_AFTER_FAILURE_S else "running")
                )
            return answer(200, {"Hosts": machines, "Truncated": False})
        if body["Hire"] not in self.rented:
            self.rented[body["Hire"]] = [self.rent(body) for _ in range(body["Number"])]
        return answer(200, {"Hosts": self.rented[body["Hire"]]})

    def rent(self, body: dict[str, Any]) -> str:
        name = f"n-{self.machine_count:06d}"
        self.machine_count += 1
        self.workers[name] = Worker(self, name, body["Build"], body["Hall"], body["Loaners"])
        return name

    @staticmethod
    def list_entry(worker: Worker, status: str) -> dict[str, Any]:
        return {
            "Ref": worker.name, "Endpoint": worker.address, "Build": worker.type, "Hall": worker.zone,
            "Loaners": worker.spot, "Status": status, "HeldS": 1.0,
        }  # fmt: skip

    def fail_worker(self, name: str) -> None:
        worker = self.workers.pop(name)
        worker.stop()
        self.failed_workers[name] = (worker, asyncio.get_running_loop().time())

    def maybe_duplicate_report(self, node: str, body: bytes) -> None:
        """Delivers the report to the same controller again, or stores it for the next leader, as set by the test."""
        delay_s = self.duplicate_delay()
        if delay_s > 0:
            self._schedule_duplicate(delay_s, node, body)
        if self.should_store_report():
            self.stored_reports.append(body)

    def deliver_stored_reports(self) -> None:
        """Called on a term change: sends each stored report to every controller, at once, after 0.3 s and after 1 s."""
        reports, self.stored_reports = self.stored_reports, []
        for body in reports:
            for node in self.controllers:
                for delay_s in (0.0, 0.3, 1.0):
                    self._schedule_duplicate(delay_s, node, body)

    def _schedule_duplicate(self, delay_s: float, node: str, body: bytes) -> None:
        duplicate = asyncio.ensure_future(self._deliver_duplicate(delay_s, node, body))
        self.duplicates.add(duplicate)
        duplicate.add_done_callback(self.duplicates.discard)

    async def _deliver_duplicate(self, delay_s: float, node: str, body: bytes) -> None:
        await asyncio.sleep(delay_s)
        client = Client(self.controllers[node])
        with contextlib.suppress(NoAnswer):
            status, response = await client.request("POST", "/hello", body)
            if status == 200:
                self.answers_to_copies.append((msgspec.json.decode(body)["Host"], response))
        client.close()

    # -- tasks and scheduling rules -------------------------------------------

    def job_of(self, task: str) -> dict[str, Any]:
        return self.jobs.get(task.partition("/")[0], ARRAY_JOB)

    def on_task_start(self, worker: Worker, key: tuple[str, int]) -> None:
        task = key[0]
        name, spec = task.partition("/")[0], self.job_of(task)
        self.start_counts[task] += 1
        if task in self.done_tasks.get(name, ()):
            self.starts_after_done.append(f"{task} on {worker.name}")
        active = [
            (other, other_key)
            for other in self.workers.values()
            for other_key, status in other.tasks.items()
            if status["Status"] != "ended"
        ]
        for other, (other_task, _) in active:
            if other is not worker and other_task == task:
                self.violations.append(f"ran_twice: {task} on {worker.name} and {other.name}")
            if spec["SamePlace"] and other_task.partition("/")[0] == name and other.zone != worker.zone:
                self.violations.append(f"wrong_place: {task} in {worker.zone}, {other_task} in {other.zone}")
        if spec.get("Hall") not in (None, worker.zone) or (worker.spot and not spec.get("Loaners", True)):
            self.violations.append(f"wrong_place: {task} in {worker.zone} on {worker.name}, spot {worker.spot}")
        used = sum(self.job_of(piece)["Cpus"] for _, (piece, _) in active if self.job_of(piece)["Crew"] == spec["Crew"])
        if used > self.limits.get(spec["Crew"], math.inf):
            self.violations.append(f"quota: {spec['Crew']} uses {used}")
        if name in self.cancelled_at:
            since_cancel_s = asyncio.get_running_loop().time() - self.cancelled_at[name]
            self.starts_after_cancel.append(f"{task} {since_cancel_s:.2f} s after its job was cancelled")
            if since_cancel_s > self.cancel_s:
                self.violations.append(f"ran_cancelled: {task} starts on {worker.name}")
        if spec["Shape"] == "gang":
            self.gang_starts[key] += 1
            self._join_gang(worker, key)
        else:
            run_s = self.run_seconds_by_task.get(task, self.run_seconds if spec["GuessS"] is None else spec["GuessS"])
            asyncio.get_running_loop().call_later(run_s, worker.end_if_current, key, worker.task_generation, "done")

    def _join_gang(self, worker: Worker, key: tuple[str, int]) -> None:
        name, loop = key[0].partition("/")[0], asyncio.get_running_loop()
        members = self.gang_members.setdefault((name, key[1]), {})
        members[key] = worker
        worker.tasks[key]["Status"] = "gathering"
        loop.call_later(GANG_WAIT_S, self._end_incomplete, worker, key, worker.task_generation)
        if len(members) == self.jobs[name]["Pieces"]:
            for member, other in members.items():
                other.tasks[member]["Status"] = "running"
                other.changed.set()
            loop.call_later(self.jobs[name]["GuessS"], self._complete_gang, members, dict(members))

    def _complete_gang(self, members: dict[tuple[str, int], Worker], started: dict[tuple[str, int], Worker]) -> None:
        """Ends all members of a gang as done, unless one of them has left the gang since the start."""
        if members == started:
            for member, worker in started.items():
                worker.end(member, "done")

    def on_worker_pause(self, worker: Worker, key: tuple[str, int], seconds: float) -> None:
        """A gang member that pauses for ``GANG_PEER_TIMEOUT_S`` or longer ends when it resumes; its peers end."""
        members = self.gang_members.get((key[0].partition("/")[0], key[1]), {})
        if (
            seconds >= GANG_PEER_TIMEOUT_S
            and worker.tasks[key]["Status"] == "running"
            and members.pop(key, None) is not None
        ):
            self._schedule_peer_failures(members)
            worker.end_if_current(key, worker.task_generation, "peers")  # takes effect when the worker resumes

    @staticmethod
    def _schedule_peer_failures(members: dict[tuple[str, int], Worker]) -> None:
        for member, other in list(members.items()):
            if other.tasks.get(member, {}).get("Status") == "running":
                asyncio.get_running_loop().call_later(
                    GANG_PEER_TIMEOUT_S, other.end_if_current, member, other.task_generation, "peers"
                )

    def _end_incomplete(self, worker: Worker, key: tuple[str, int], task_generation: int) -> None:
        task = worker.tasks.get(key)
        if worker.task_generation == task_generation and task is not None and task["Status"] == "gathering":
            worker.end(key, "incomplete")

    def on_task_end(self, worker: Worker, key: tuple[str, int], cause: str) -> None:
        """A task has left its machine, for whatever cause."""
        name = key[0].partition("/")[0]
        self.last_task_ended[name] = asyncio.get_running_loop().time()
        if cause == "done":
            self.done_tasks.setdefault(name, set()).add(key[0])
            if len(self.done_tasks[name]) == self.job_of(key[0])["Pieces"]:
                self.on_job_done(name)
        members = self.gang_members.get((name, key[1]), {})
        if members.pop(key, None) is not None and cause != "done":
            self._schedule_peer_failures(members)
        if name in self.cancelled_at and self.last_task_ended[name] - self.cancelled_at[name] > self.cancel_s:
            self.violations.append(f"ran_cancelled: {key[0]} was on {worker.name}")

    def has_capacity(self, spec: dict[str, Any]) -> bool:
        """Whether one task of the job, or a whole gang, fits on the machines now and within the team's limit."""
        free: Counter[str] = Counter()
        used = 0.0
        for worker in self.workers.values():
            active = [name for name, attempt in worker.tasks if worker.is_active(name, attempt)]
            taken = sum(self.job_of(name)["Cpus"] for name in active)
            used += sum(self.job_of(name)["Cpus"] for name in active if self.job_of(name)["Crew"] == spec["Crew"])
            free[worker.zone] += int((CPUS_PER_WORKER - taken) // spec["Cpus"])
        needed = spec["Pieces"] if spec["Shape"] == "gang" else 1
        if used + needed * spec["Cpus"] > self.limits.get(spec["Crew"], math.inf):
            return False
        return (max(free.values(), default=0) if spec["SamePlace"] else free.total()) >= needed

    def active_tasks(self) -> list[str]:
        return [t["Piece"] for w in self.workers.values() for t in w.tasks.values() if t["Status"] != "ended"]

    def stop(self) -> None:
        for duplicate in self.duplicates:
            duplicate.cancel()
        for worker in self.workers.values():
            worker.stop()


async def wait_until(condition: Any, seconds: float) -> bool:
    """Waits until the condition holds; false if it doesn't within ``seconds``. The condition may be a coroutine."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        found = condition()
        if await found if asyncio.iscoroutine(found) else found:
            return True
        await asyncio.sleep(0.05)
    return False
