"""Stand-in for the users: submits, queries, cancels and resubmits jobs, and checks every response."""

import asyncio
from random import Random
from typing import Any

from tests.standins.cluster import NODE_NAMES, Cluster, job

STATUS_CHECK_DELAYS_S = (0.0, 0.005, 0.03, 0.3)  # all controllers are queried at these times after a change of a job
MAX_WAIT_S = 90.0  # after the last failure has ended, no job may wait longer although a machine has capacity
POLL_INTERVAL_S = 2.0  # mean interval between two status queries for a job
REQUEST_TIMEOUT_S = 2.0  # of all requests but POST, which has 5 s
SUBMIT_RETRY_S = 60.0  # a submission without a final response is repeated for this time
MAX_SILENCE_S = 75.0  # after the last failure has ended, no job may be without a status response for longer
FINAL_STATUSES = ("done", "aborted")
# Amounts that the protocol allows although no task is like that, by field of a job.
ODD_AMOUNTS: dict[str, tuple[float | None, ...]] = {
    "GuessS": (0.0, 5e-324, 2e-7, 1e-3, 1e6, 1e12),
    "DueS": (None, 0.0, 1e-300, 30.0, 1e12),
    "Cpus": (5e-324, 1e-6, 0.01, 4.0),
    "MemoryGb": (0.0, 5e-324, 4.0),
    "ImageGb": (0.0, 1e-9, 2.0),
    "SaveEveryS": (0.0, 5e-324, 5.0, 1e12),
    "SaveTookS": (0.0, 5e-324, 1e12),
}
ODD_JOB_RUN_S = 5.0  # run time of their tasks, whatever the estimate


class Users:
    """Sends each request to a random controller, as a load balancer does, and records violations of the API's rules."""

    def __init__(self, cluster: Cluster, random: Random, odd_share: float = 0.0) -> None:
        """``odd_share``: share of the jobs with ``ODD_AMOUNTS``."""
        self.cluster = cluster
        self.random = random
        self.odd_share = odd_share
        self.failures_ended_at: float | None = None  # when the last failure ended
        self.accepted: set[str] = set()
        self.cancel_requested: set[str] = set()
        self.final_status: dict[str, str] = {}  # by job: done or aborted, as reported to its user
        self.answered_at: dict[str, float] = {}  # by job: time of the last status response
        self.longest_silence_s = 0.0  # longest time without a status response for a job, after the last failure
        self.lifecycles: list[asyncio.Task[None]] = []  # everything that users do with jobs
        self.specs: dict[str, dict[str, Any]] = {}
        # Whether all controllers are queried at once when a job was accepted, ended or cancelled.
        self.status_checks = False
        self.invalid_jobs = 0  # number of invalid submissions
        self.waiting_since: dict[str, float] = {}  # by job: since when it has waited although a machine has capacity

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def report_violation(self, rule: str, details: str) -> None:
        self.cluster.cloud.violations.append(f"{rule}: {details} at {self.now():.1f}")

    def start(self, jobs: int, within_s: float, cancel_share: float) -> None:
        """Submits ``jobs`` random jobs within ``within_s`` seconds and cancels a share of them."""
        for number in range(1, jobs + 1):
            spec = self.specs[f"wk-{number:06d}"] = self.random_job(number)
            self.cluster.cloud.jobs[spec["Ref"]] = spec
            if self.odd_share and self.random.random() < self.odd_share:
                self.make_odd(spec)
            start_after_s = self.random.uniform(0, within_s)
            cancel_after_s = self.random.uniform(1, 40) if self.random.random() < cancel_share else None
            self.lifecycles.append(asyncio.ensure_future(self.run_lifecycle(spec, start_after_s, cancel_after_s)))

    def random_job(self, number: int) -> dict[str, Any]:
        gang = self.random.random() < 0.4
        tasks = self.random.choice([2, 3]) if gang or self.random.random() < 0.7 else self.random.randint(4, 9)
        return job(
            number,
            Shape="gang" if gang else "batch",
            Pieces=tasks,
            Urgency=self.random.choice(["urgent", "standard"]),
            Crew=self.random.choice(list(self.cluster.limits)),
            SamePlace=gang and self.random.random() < 0.5,
            GuessS=self.random.choice([2.0, 8.0, 25.0]),
            Bundle="",
            ImageGb=0.0,
        )

    def make_odd(self, spec: dict[str, Any]) -> None:
        """Gives a job odd amounts; the cloud runs its tasks as if they took a little of a machine."""
        spec.update({name: self.random.choice(amounts) for name, amounts in ODD_AMOUNTS.items()})
        spec["Apart"] = spec["Shape"] == "batch" and self.random.random() < 0.5
        self.cluster.cloud.jobs[spec["Ref"]] = {**spec, "GuessS": ODD_JOB_RUN_S, "Cpus": max(spec["Cpus"], 1e-6)}

    async def request(self, method: str, path: str, body: Any = None, node: str | None = None) -> tuple[int, Any]:
        """Sends a request to ``node``, or to a random running controller; ``(0, None)`` without a response."""
        name = node or self.random.choice(
            [name for name in NODE_NAMES if name in self.cluster.nodes] or list(NODE_NAMES)
        )
        try:
            async with asyncio.timeout(5.0 if method == "POST" else REQUEST_TIMEOUT_S):
                return await self.cluster.request(name, method, path, body)
        except TimeoutError:
            return 0, None

    async def run_lifecycle(self, spec: dict[str, Any], start_after_s: float, cancel_after_s: float | None) -> None:
        """Submits a job, queries it until its end was reported, and three times more, with some resubmissions."""
        name = spec["Ref"]
        await asyncio.sleep(start_after_s)
        started_at = self.now()
        while name not in self.accepted:
            status, body = await self.request("POST", "/v1/jobs", spec)
            if status in (200, 201):
                self.accepted.add(name)
                self.record_status(name, body, None)
                self.start_status_check(name)
            elif status in (400, 422) or self.now() - started_at > SUBMIT_RETRY_S:
                assert status not in (400, 422), body
                return
            else:
                await asyncio.sleep(1)
        self.answered_at[name] = self.now()
        canceller = asyncio.ensure_future(self.cancel(name, cancel_after_s)) if cancel_after_s is not None else None
        queries_after_end = 3
        while queries_after_end:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * POLL_INTERVAL_S)
            await self.query_status(name)
            if self.random.random() < 0.1:
                await self.resubmit(spec)
            queries_after_end -= name in self.final_status
        if canceller is not None:
            await canceller

    async def query_status(self, name: str, node: str | None = None) -> None:
        before = self.final_status.get(name)
        status, body = await self.request("GET", f"/v1/jobs/{name}", node=node)
        if status == 404:
            self.report_violation("forgotten", f"{name} is answered with 404")
        if status == 200:
            self.record_status(name, body, before)
        if self.failures_ended_at is not None:
            silence_s = self.now() - max(self.answered_at[name], self.failures_ended_at)
            self.longest_silence_s = max(self.longest_silence_s, silence_s)
            if silence_s > MAX_SILENCE_S:
                self.report_violation("forgotten", f"{name} has no status response")
        if status == 200:
            self.answered_at[name] = self.now()

    async def resubmit(self, body: dict[str, Any], node: str | None = None) -> None:
        """Resubmits a job that was accepted, perhaps with an incomplete body; it must not be rejected."""
        name = body["Ref"]
        before = self.final_status.get(name)
        status, answer = await self.request("POST", "/v1/jobs", body, node)
        if status in (400, 404, 422):
            self.report_violation("forgotten", f"{name} is answered with {status} when it is resubmitted")
        if status in (200, 201):
            self.record_status(name, answer, before)

    def start_status_check(self, name: str) -> None:
        """After a change of a job: queries it and resubmits it at all controllers, after each of the delays."""
        if self.status_checks:
            self.lifecycles.append(asyncio.ensure_future(self._status_check(name)))

    async def _status_check(self, name: str) -> None:
        started_at = self.now()
        checks: list[asyncio.Task[None]] = []
        for delay_s in STATUS_CHECK_DELAYS_S:
            await asyncio.sleep(max(started_at + delay_s - self.now(), 0))
            for node in self.cluster.nodes:
                checks.append(asyncio.ensure_future(self.query_status(name, node)))
                checks.append(asyncio.ensure_future(self.resubmit(self.specs[name], node)))
        await asyncio.gather(*checks)

    async def send_invalid_requests(self) -> None:
        """Sends requests with typical mistakes of users.

        Invalid jobs must be rejected; incomplete resubmissions and cancellations of done jobs must not change a job.
        """
        self.invalid_jobs += 1
        number = 800_000 + self.invalid_jobs
        for changes, expected in (({"Cpus": 1e6}, 422), ({"Crew": "nobody"}, 422), ({"Pieces": None}, 400)):
            status, _ = await self.request("POST", "/v1/jobs", job(number, **changes))
            if status in (200, 201, 400, 422) and status != expected:
                self.report_violation("odd", f"a job with {changes} is answered with {status}")
        status, _ = await self.request("GET", f"/v1/jobs/wk-{number}")
        if status == 200:
            self.report_violation("invented", f"an invalid job: wk-{number}")
        if self.accepted:
            await self.resubmit({"Ref": self.random.choice(sorted(self.accepted)), "Pieces": -1})
        done_jobs = sorted(name for name, status in self.final_status.items() if status == "done")
        if done_jobs:
            await self.request_cancel(self.random.choice(done_jobs))

    async def cancel_running_jobs(self, delay_s: float, limit: int = 3, within_s: float = 0.0) -> list[str]:
        """Waits ``delay_s`` and cancels up to ``limit`` running jobs within ``within_s`` seconds; returns their ids."""
        await asyncio.sleep(delay_s)
        running = sorted({task.partition("/")[0] for task in self.cluster.cloud.active_tasks()} - self.cancel_requested)
        selected = self.random.sample(running, min(limit, len(running)))
        for name in selected:
            self.lifecycles.append(asyncio.ensure_future(self.cancel(name, self.random.uniform(0, within_s))))
        return selected

    async def cancel(self, name: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.cancel_requested.add(name)
        for _ in range(2):  # the second time after it was confirmed
            while not await self.request_cancel(name):
                await asyncio.sleep(1)
            await asyncio.sleep(self.random.uniform(1, 20))

    async def request_cancel(self, name: str) -> bool:
        self.cancel_requested.add(name)
        before = self.final_status.get(name)
        status, body = await self.request("POST", f"/v1/jobs/{name}/abort", b"")
        if status == 200:
            self.record_status(name, body, before)
        return status == 200

    def record_status(self, name: str, body: dict[str, Any], before: str | None) -> None:
        """Checks a response that reports a job's status, and records the status.

        ``before`` is the final status that had been reported to the user when the request was sent, if any.
        """
        status = body["Status"]
        reported = self.final_status.get(name)
        if (before or (reported if status in FINAL_STATUSES else None)) not in (None, status):
            self.report_violation("went_back", f"{name} was {before or reported} and is {status}")
        if status == "aborted" and name not in self.cancel_requested:
            self.report_violation("went_back", f"{name} is reported as cancelled without a request")
        if (
            status == "done"
            and len(self.cluster.cloud.done_tasks.get(name, ())) < self.cluster.cloud.jobs[name]["Pieces"]
        ):
            self.report_violation("not_done", name)
        if status == "aborted":
            self.cluster.cloud.cancelled_at.setdefault(name, self.now())
        if status in FINAL_STATUSES and reported is None:
            self.final_status[name] = status
            self.start_status_check(name)

    async def watch_waiting(self) -> None:
        """Checks every second, after the last failure has ended, how long jobs wait although a machine has capacity."""
        while True:
            await asyncio.sleep(1)
            if self.failures_ended_at is not None:
                self.check_waiting()

    def check_waiting(self) -> None:
        cloud = self.cluster.cloud
        running = {task.partition("/")[0] for task in cloud.active_tasks()}
        for name in sorted(self.accepted - self.final_status.keys() - self.cancel_requested):
            if name in running or not cloud.has_capacity(self.specs[name]):
                self.waiting_since.pop(name, None)
            elif self.now() - self.waiting_since.setdefault(name, self.now()) > MAX_WAIT_S:
                self.report_violation("waits", f"{name} while a machine has capacity for it")
                self.waiting_since.pop(name)

    async def query_unknown_jobs(self) -> None:
        """Queries jobs that nobody has submitted, every 5 s."""
        while True:
            await asyncio.sleep(5)
            status, _ = await self.request("GET", f"/v1/jobs/wk-{self.random.randint(900_000, 999_999)}")
            if status == 200:
                self.report_violation("invented", "status of an unknown job")
