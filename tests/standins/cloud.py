"""Stand-in of the cloud: rents machines, each of which is a worker stand-in."""

import asyncio
from typing import Any

import msgspec

from gingerspar.transport.server import Answer, Request, Server
from tests.standins.state import answer
from tests.standins.worker import Worker

CATALOG = {
    "Builds": [
        {
            "Label": "small", "Cpus": 8, "Cards": 0, "MemoryGb": 32, "CacheGb": 20, "PullGbPerS": 10.0,
            "Hourly": 1.0, "SpotPrice": 0.3, "StartupS": 1, "Halls": ["a"],
        }
    ]
}  # fmt: skip


class Cloud:
    """Boots are short; nothing is ever refused. Keeps the rules' books."""

    def __init__(self, controllers: dict[str, str], run_seconds: float, report_seconds: float) -> None:
        self.controllers = controllers
        self.run_seconds = run_seconds
        self.report_seconds = report_seconds
        self.workers: dict[str, Worker] = {}
        self.rented: dict[str, list[str]] = {}
        self.count = 0
        self.broken: list[str] = []
        self.gone: dict[str, float] = {}  # by job: when the last of its tasks that was on a machine ended
        self.server = Server(self.handle)

    async def handle(self, request: Request) -> Answer:
        if request.path == "/catalog":
            return answer(200, CATALOG)
        body: Any = msgspec.json.decode(request.body) if request.body else {}
        if request.path == "/machines/return":
            for name in body["Hosts"]:
                worker = self.workers.pop(name, None)
                if worker is not None:
                    worker.stop()
            return answer(200, {})
        if request.method == "GET":
            return answer(200, {"Hosts": [self.listed(worker) for worker in self.workers.values()], "Truncated": False})
        if body["Hire"] not in self.rented:
            self.rented[body["Hire"]] = [self.rent(body) for _ in range(body["Number"])]
        return answer(200, {"Hosts": self.rented[body["Hire"]]})

    def rent(self, body: dict[str, Any]) -> str:
        name = f"n-{self.count:06d}"
        self.count += 1
        self.workers[name] = Worker(self, name, body["Build"], body["Hall"], body["Loaners"])
        return name

    @staticmethod
    def listed(worker: Worker) -> dict[str, Any]:
        return {
            "Ref": worker.name, "Endpoint": worker.address, "Build": worker.type, "Hall": worker.zone,
            "Loaners": worker.spot, "Status": "running", "HeldS": 1.0,
        }  # fmt: skip

    def starts(self, worker: Worker, task: str) -> None:
        """`ran_twice`: while a task is on one machine, it starts on another."""
        for other in self.workers.values():
            if other is not worker and any(t["Piece"] == task and t["Status"] != "ended" for t in other.tasks.values()):
                self.broken.append(f"{task} on {worker.name} and {other.name}")

    def tasks(self) -> list[str]:
        return [t["Piece"] for w in self.workers.values() for t in w.tasks.values() if t["Status"] != "ended"]

    def stop(self) -> None:
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
