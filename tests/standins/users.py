"""Stand-in of the users: they submit, ask, cancel and repeat themselves, and check what they are told."""

import asyncio
from random import Random
from typing import Any

from tests.standins.cluster import NAMES, Cluster, job

ASK = 2.0  # seconds between two questions about a job
PATIENCE = 2.0
REPEATED_FOR = 60.0
FORGOTTEN = 75.0  # without an answer about a job, once all troubles are over
FINAL = ("done", "aborted")


class Users:
    """Any request goes to any controller, as after a load balancer's choice."""

    def __init__(self, cluster: Cluster, random: Random) -> None:
        self.cluster = cluster
        self.random = random
        self.over: float | None = None  # when all troubles were
        self.accepted: set[str] = set()
        self.asked_to_cancel: set[str] = set()
        self.told: dict[str, str] = {}  # done or aborted, by job
        self.answered: dict[str, float] = {}
        self.at_last = 0.0  # the longest time that any job had no answer after the end of all troubles
        self.lives: list[asyncio.Task[None]] = []

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def broken(self, rule: str, what: str) -> None:
        self.cluster.cloud.broken.append(f"{rule}: {what} at {self.now():.1f}")

    def begin(self, jobs: int, within: float, cancelled: float) -> None:
        """``jobs`` of them are submitted within so many seconds, and a share of them cancelled."""
        for number in range(1, jobs + 1):
            spec = self.draw(number)
            self.cluster.cloud.jobs[spec["Ref"]] = spec
            at = self.random.uniform(0, within)
            cancel = self.random.uniform(1, 40) if self.random.random() < cancelled else None
            self.lives.append(asyncio.ensure_future(self.live(spec, at, cancel)))

    def draw(self, number: int) -> dict[str, Any]:
        gang = self.random.random() < 0.4
        pieces = self.random.choice([2, 3]) if gang or self.random.random() < 0.7 else self.random.randint(4, 9)
        return job(
            number,
            Shape="gang" if gang else "batch",
            Pieces=pieces,
            Urgency=self.random.choice(["urgent", "standard"]),
            Crew=self.random.choice(list(self.cluster.limits)),
            SamePlace=gang and self.random.random() < 0.5,
            GuessS=self.random.choice([2.0, 8.0, 25.0]),
            Bundle="",
            ImageGb=0.0,
        )

    async def ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        name = self.random.choice([name for name in NAMES if name in self.cluster.nodes] or list(NAMES))
        try:
            async with asyncio.timeout(5.0 if method == "POST" else PATIENCE):
                return await self.cluster.ask(name, method, path, body)
        except TimeoutError:
            return 0, None

    async def live(self, spec: dict[str, Any], at: float, cancel: float | None) -> None:
        """One job, from its submission until its end is told, and some questions and repeats after it."""
        name = spec["Ref"]
        await asyncio.sleep(at)
        began = self.now()
        while name not in self.accepted:
            status, body = await self.ask("POST", "/v1/jobs", spec)
            if status in (200, 201):
                self.accepted.add(name)
                self.hear(name, body)
            elif status in (400, 422) or self.now() - began > REPEATED_FOR:
                assert status not in (400, 422), body
                return
            else:
                await asyncio.sleep(1)
        self.answered[name] = self.now()
        canceller = asyncio.ensure_future(self.cancel(name, cancel)) if cancel is not None else None
        rest = 3
        while rest:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * ASK)
            await self.question(name)
            if self.random.random() < 0.1:
                await self.repeat(spec)
            rest -= name in self.told
        if canceller is not None:
            await canceller

    async def question(self, name: str) -> None:
        status, body = await self.ask("GET", f"/v1/jobs/{name}")
        if status == 404:
            self.broken("forgotten", f"{name} is answered 404")
        if status == 200:
            self.hear(name, body)
        if self.over is not None:
            silent = self.now() - max(self.answered[name], self.over)
            self.at_last = max(self.at_last, silent)
            if silent > FORGOTTEN:
                self.broken("forgotten", f"{name} is not answered about")
        if status == 200:
            self.answered[name] = self.now()

    async def repeat(self, spec: dict[str, Any]) -> None:
        status, body = await self.ask("POST", "/v1/jobs", spec)
        if status in (400, 404, 422):
            self.broken("forgotten", f"{spec['Ref']} is answered {status} when it is submitted again")
        if status in (200, 201):
            self.hear(spec["Ref"], body)

    async def cancel_some(self, after: float) -> None:
        """Several at once change their minds about jobs that run."""
        await asyncio.sleep(after)
        on_machines = sorted({task.partition("/")[0] for task in self.cluster.cloud.tasks()} - self.asked_to_cancel)
        some = self.random.sample(on_machines, min(3, len(on_machines)))
        await asyncio.gather(*(self.cancel(name, 0) for name in some))

    async def cancel(self, name: str, after: float) -> None:
        await asyncio.sleep(after)
        self.asked_to_cancel.add(name)
        for _ in range(2):  # and once more later, when it was carried out
            status, body = 0, None
            while status != 200:
                status, body = await self.ask("POST", f"/v1/jobs/{name}/abort", b"")
                await asyncio.sleep(1)
            if body["Status"] == "aborted":
                self.cluster.cloud.cancelled.setdefault(name, self.now() - 1)
            self.hear(name, body)
            await asyncio.sleep(self.random.uniform(1, 20))

    def hear(self, name: str, body: dict[str, Any]) -> None:
        status = body["Status"]
        if name in self.told and status != self.told[name]:
            self.broken("went_back", f"{name} was {self.told[name]} and is {status}")
        if status == "aborted" and name not in self.asked_to_cancel:
            self.broken("went_back", f"{name} is called cancelled")
        if status == "done" and len(self.cluster.cloud.done.get(name, ())) < self.cluster.cloud.jobs[name]["Pieces"]:
            self.broken("not_done", name)
        if status in FINAL:
            self.told[name] = status

    async def probe(self) -> None:
        """Somebody asks about jobs that nobody has submitted."""
        while True:
            await asyncio.sleep(5)
            status, _ = await self.ask("GET", f"/v1/jobs/wk-{self.random.randint(900_000, 999_999)}")
            if status == 200:
                self.broken("invented", "an unknown job")
