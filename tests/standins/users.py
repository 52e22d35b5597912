"""Stand-in of the users: they submit, ask, cancel and repeat themselves, and check what they are told."""

import asyncio
from random import Random
from typing import Any

from tests.standins.cluster import NAMES, Cluster, job

LOOKS = (0.0, 0.005, 0.03, 0.3)  # seconds after news at which all controllers are asked
WAITED = 90.0  # seconds that no job may wait for a machine that has room, once all troubles are over
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
        self.specs: dict[str, dict[str, Any]] = {}
        self.looks = False  # whether all controllers are asked at once whenever a job was accepted, ended or cancelled
        self.odd = 0  # number of the last job that was sent though it can't run
        self.waits: dict[str, float] = {}  # since when a job has waited though a machine has room, by job

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def broken(self, rule: str, what: str) -> None:
        self.cluster.cloud.broken.append(f"{rule}: {what} at {self.now():.1f}")

    def begin(self, jobs: int, within: float, cancelled: float) -> None:
        """``jobs`` of them are submitted within so many seconds, and a share of them cancelled."""
        for number in range(1, jobs + 1):
            spec = self.specs[f"wk-{number:06d}"] = self.draw(number)
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

    async def ask(self, method: str, path: str, body: Any = None, node: str | None = None) -> tuple[int, Any]:
        """Any controller is asked, unless it is said which."""
        name = node or self.random.choice([name for name in NAMES if name in self.cluster.nodes] or list(NAMES))
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
                self.hear(name, body, None)
                self.look(name)
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

    async def question(self, name: str, node: str | None = None) -> None:
        before = self.told.get(name)
        status, body = await self.ask("GET", f"/v1/jobs/{name}", node=node)
        if status == 404:
            self.broken("forgotten", f"{name} is answered 404")
        if status == 200:
            self.hear(name, body, before)
        if self.over is not None:
            silent = self.now() - max(self.answered[name], self.over)
            self.at_last = max(self.at_last, silent)
            if silent > FORGOTTEN:
                self.broken("forgotten", f"{name} is not answered about")
        if status == 200:
            self.answered[name] = self.now()

    async def repeat(self, body: dict[str, Any], node: str | None = None) -> None:
        """A job that was accepted is submitted again, perhaps with a body that lacks something."""
        name = body["Ref"]
        before = self.told.get(name)
        status, answer = await self.ask("POST", "/v1/jobs", body, node)
        if status in (400, 404, 422):
            self.broken("forgotten", f"{name} is answered {status} when it is submitted again")
        if status in (200, 201):
            self.hear(name, answer, before)

    def look(self, name: str) -> None:
        """There is news of a job: all controllers are asked at once, again and again."""
        if self.looks:
            self.lives.append(asyncio.ensure_future(self._look(name)))

    async def _look(self, name: str) -> None:
        began = self.now()
        looks: list[asyncio.Task[None]] = []
        for after in LOOKS:
            await asyncio.sleep(max(began + after - self.now(), 0))
            for node in self.cluster.nodes:
                looks.append(asyncio.ensure_future(self.question(name, node)))
                looks.append(asyncio.ensure_future(self.repeat(self.specs[name], node)))
        await asyncio.gather(*looks)

    async def send_odd(self) -> None:
        """What users do by mistake: nothing of it may be accepted, and nothing that was accepted refused."""
        self.odd += 1
        number = 800_000 + self.odd
        for changes, expected in (({"Cpus": 1e6}, 422), ({"Crew": "nobody"}, 422), ({"Pieces": None}, 400)):
            status, _ = await self.ask("POST", "/v1/jobs", job(number, **changes))
            if status in (200, 201, 400, 422) and status != expected:
                self.broken("odd", f"a job with {changes} is answered {status}")
        status, _ = await self.ask("GET", f"/v1/jobs/wk-{number}")
        if status == 200:
            self.broken("invented", f"a job that can't run: wk-{number}")
        if self.accepted:
            await self.repeat({"Ref": self.random.choice(sorted(self.accepted)), "Pieces": -1})
        over = sorted(name for name, status in self.told.items() if status == "done")
        if over:
            await self.cancel_once(self.random.choice(over))

    async def cancel_some(self, after: float, most: int = 3, within: float = 0.0) -> list[str]:
        """Several at once change their minds about jobs that run; which ones."""
        await asyncio.sleep(after)
        on_machines = sorted({task.partition("/")[0] for task in self.cluster.cloud.tasks()} - self.asked_to_cancel)
        some = self.random.sample(on_machines, min(most, len(on_machines)))
        for name in some:
            self.lives.append(asyncio.ensure_future(self.cancel(name, self.random.uniform(0, within))))
        return some

    async def cancel(self, name: str, after: float) -> None:
        await asyncio.sleep(after)
        self.asked_to_cancel.add(name)
        for _ in range(2):  # and once more later, when it was carried out
            while not await self.cancel_once(name):
                await asyncio.sleep(1)
            await asyncio.sleep(self.random.uniform(1, 20))

    async def cancel_once(self, name: str) -> bool:
        self.asked_to_cancel.add(name)
        before = self.told.get(name)
        status, body = await self.ask("POST", f"/v1/jobs/{name}/abort", b"")
        if status == 200:
            self.hear(name, body, before)
        return status == 200

    def hear(self, name: str, body: dict[str, Any], before: str | None) -> None:
        """``before``: the end of the job of which its user had been told when this was asked."""
        status = body["Status"]
        told = self.told.get(name)
        if (before or (told if status in FINAL else None)) not in (None, status):
            self.broken("went_back", f"{name} was {before or told} and is {status}")
        if status == "aborted" and name not in self.asked_to_cancel:
            self.broken("went_back", f"{name} is called cancelled")
        if status == "done" and len(self.cluster.cloud.done.get(name, ())) < self.cluster.cloud.jobs[name]["Pieces"]:
            self.broken("not_done", name)
        if status == "aborted":
            self.cluster.cloud.cancelled.setdefault(name, self.now())
        if status in FINAL and told is None:
            self.told[name] = status
            self.look(name)

    async def watch_waiting(self) -> None:
        """Once all troubles are over: how long each job waits though a machine has room for it."""
        while True:
            await asyncio.sleep(1)
            if self.over is not None:
                self.see_waiting()

    def see_waiting(self) -> None:
        cloud = self.cluster.cloud
        on_machines = {task.partition("/")[0] for task in cloud.tasks()}
        for name in sorted(self.accepted - self.told.keys() - self.asked_to_cancel):
            if name in on_machines or not cloud.has_room(self.specs[name]):
                self.waits.pop(name, None)
            elif self.now() - self.waits.setdefault(name, self.now()) > WAITED:
                self.broken("waits", f"{name} while a machine has room for it")
                self.waits.pop(name)

    async def probe(self) -> None:
        """Somebody asks about jobs that nobody has submitted."""
        while True:
            await asyncio.sleep(5)
            status, _ = await self.ask("GET", f"/v1/jobs/wk-{self.random.randint(900_000, 999_999)}")
            if status == 200:
                self.broken("invented", "an unknown job")
