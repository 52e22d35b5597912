"""Stand-in of a worker: reports, runs arrays' tasks, keeps tokens and its lease."""

import asyncio
import contextlib
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec

from gingerspar.transport.client import Client, Unanswered

if TYPE_CHECKING:
    from tests.standins.cloud import Cloud

LEASE = 4.0


class Worker:
    """One machine."""

    def __init__(self, cloud: "Cloud", name: str, type_name: str, zone: str, spot: bool) -> None:
        self.cloud = cloud
        self.name, self.type, self.zone, self.spot = name, type_name, zone, spot
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.nodes = list(cloud.controllers)
        self.node = self.nodes[0]
        self.changed = asyncio.Event()
        self.loop = asyncio.ensure_future(self.live())

    def stop(self) -> None:
        self.loop.cancel()
        self.tasks.clear()

    async def live(self) -> None:
        clock = asyncio.get_running_loop().time
        answered = clock()
        await asyncio.sleep(0.2)
        while True:
            sent = clock()
            if await self.report(sent):
                answered = sent
            if clock() - answered > LEASE:
                self.session += 1
                self.tasks.clear()
                answered = clock()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), self.cloud.report_seconds)
            self.changed.clear()

    async def report(self, sent: float) -> bool:
        """True if the answer counted."""
        self.seq += 1
        session = self.session
        body = {
            "Host": self.name, "Endpoint": "", "Build": self.type, "Hall": self.zone, "Loaners": self.spot,
            "Stint": session, "Tick": self.seq, "Baton": self.token, "WarningS": None,
            "Pieces": list(self.tasks.values()),
        }  # fmt: skip
        client = Client(self.cloud.controllers[self.node])
        try:
            status, answer = await client.request(
                "POST", "/hello", msgspec.json.encode(body), timeout=timedelta(seconds=3)
            )
        except Unanswered:
            status, answer = 0, b"{}"
        finally:
            client.close()
        got = msgspec.json.decode(answer)
        if status == 200 and session == self.session and got.get("Baton", -1) >= self.token:
            if got["Baton"] > self.token:
                self.token = got["Baton"]
                self.changed.set()
            for command in got["Orders"]:
                self.execute(command)
            return True
        if status == 421 and got.get("Foreman") in self.cloud.controllers and got["Foreman"] != self.node:
            self.node = got["Foreman"]
            self.changed.set()
        else:
            self.node = self.nodes[(self.nodes.index(self.node) + 1) % len(self.nodes)]
            await asyncio.sleep(0.2)
        return False

    def execute(self, command: dict[str, Any]) -> None:
        key = (command["Piece"], command["Try"])
        task = self.tasks.get(key)
        if command["Verb"] == "run" and task is None:
            self.cloud.starts(self, command["Piece"])
            self.tasks[key] = {"Piece": command["Piece"], "Try": command["Try"], "Status": "running"}
            asyncio.get_running_loop().call_later(self.cloud.run_seconds, self.end, key, "done")
        elif command["Verb"] == "stop" and task is not None:
            self.end(key, "stopped")
        elif command["Verb"] == "forget" and task is not None and task["Status"] == "ended":
            del self.tasks[key]
        self.changed.set()

    def end(self, key: tuple[str, int], cause: str) -> None:
        task = self.tasks.get(key)
        if task is not None and task["Status"] != "ended":
            task["Status"], task["Cause"] = "ended", cause
            self.changed.set()
