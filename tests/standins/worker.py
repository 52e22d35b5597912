"""Stand-in of a worker: reports, runs arrays' tasks, keeps tokens and its lease."""

import asyncio
import contextlib
import itertools
import os
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec

from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.server import Answer, Request, Server

if TYPE_CHECKING:
    from tests.standins.cloud import Cloud

CPUS = 8.0
LEASE = 4.0
GIVES_UP = 4.0
HOP = 0.02  # seconds from one controller to the one that it has named


# Below those that the system gives to clients, which would take one between its choice and its use; each process
# begins elsewhere, so that several may play at once.
_ports = itertools.cycle(range(10_000 + os.getpid() % 100 * 220, 32_000))


def free_port() -> int:
    """A port of loopback on which nothing listens."""
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise AssertionError("not reached: the ports are gone through again and again")


class Worker:
    """One machine."""

    def __init__(self, cloud: "Cloud", name: str, type_name: str, zone: str, spot: bool) -> None:
        self.cloud = cloud
        self.name, self.type, self.zone, self.spot = name, type_name, zone, spot
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.life = 0  # grows whenever all its tasks are gone: what was planned for them is void
        self.nodes = list(cloud.controllers)
        self.node = self.nodes[0]
        self.changed = asyncio.Event()
        self.deaf = False  # its reports arrive, no answer and no command reaches it
        self.unordered = False  # commands sent directly don't reach it
        self.reaches = set(self.nodes)  # others are behind a cut
        self.orders_late = 0.0  # so many seconds after they were sent commands are carried out that are sent directly
        self.answers_late: Callable[[], float] = lambda: 0.0  # so many seconds after they have come
        self.hung_until = 0.0  # until then it does nothing at all
        self.answered = 0.0  # when the last report that was answered had been sent
        self.address = f"127.0.0.1:{free_port()}"
        self.server = Server(self.handle)
        self.server.listen(int(self.address.rsplit(":", 1)[1]), "127.0.0.1")
        self.loops = [asyncio.ensure_future(self.live()), asyncio.ensure_future(self.keep_lease())]

    def stop(self) -> None:
        for loop in self.loops:
            loop.cancel()
        self.server.stop()
        self.drop_tasks()

    def drop_tasks(self) -> None:
        for key in list(self.tasks):
            self.end(key, "gone")
        self.tasks.clear()
        self.life += 1

    async def live(self) -> None:
        clock = asyncio.get_running_loop().time
        await asyncio.sleep(0.2)
        while True:
            await self.while_hung()
            sent = clock()
            if await self.report(sent):
                self.answered = sent
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), self.cloud.report_seconds)
            self.changed.clear()

    @property
    def hung(self) -> bool:
        return asyncio.get_running_loop().time() < self.hung_until

    async def while_hung(self) -> None:
        while self.hung:
            await asyncio.sleep(self.hung_until - asyncio.get_running_loop().time())

    def hang(self, seconds: float) -> None:
        """It stands still; what it has been sent meanwhile it finds when it goes on."""
        self.hung_until = max(self.hung_until, asyncio.get_running_loop().time() + seconds)
        for key in list(self.tasks):
            self.cloud.stands_still(self, key, seconds)

    async def keep_lease(self) -> None:
        """The lease runs out when it does, whatever the worker waits for.

        Also while it hangs: that its lease is over is the first thing that it finds out when it goes on.
        """
        clock = asyncio.get_running_loop().time
        self.answered = clock()
        while True:
            await asyncio.sleep(max(self.answered + LEASE - clock(), 0.001))
            if clock() - self.answered >= LEASE:
                self.session += 1
                self.drop_tasks()
                self.answered = clock()
                self.changed.set()

    def describe(self) -> dict[str, Any]:
        """The next report."""
        self.seq += 1
        return {
            "Host": self.name, "Endpoint": self.address, "Build": self.type, "Hall": self.zone, "Loaners": self.spot,
            "Stint": self.session, "Tick": self.seq, "Baton": self.token, "WarningS": None,
            "Pieces": list(self.tasks.values()),
        }  # fmt: skip

    def handle(self, request: Request) -> Answer | asyncio.Future[Answer]:
        """What controllers ask it directly."""
        if self.deaf or (self.unordered and request.path == "/commands"):
            return asyncio.get_running_loop().create_future()  # as if it had not arrived
        late = self.orders_late if request.path == "/commands" else 0.0
        return asyncio.ensure_future(self.handle_late(request, late)) if late or self.hung else self.obey(request)

    async def handle_late(self, request: Request, late: float) -> Answer:
        await asyncio.sleep(late)
        await self.while_hung()
        return self.obey(request)

    def obey(self, request: Request) -> Answer:
        status = 200
        if request.path == "/commands":
            orders = msgspec.json.decode(request.body)
            if orders["Baton"] < self.token or orders["Stint"] != self.session:
                status = 409
            else:
                self.hear(orders["Baton"])
                for command in orders["Orders"]:
                    self.execute(command)
        return Answer(status, msgspec.json.encode(self.describe()))

    def hear(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self.changed.set()

    async def report(self, sent: float) -> bool:
        """True if the answer counted."""
        body = msgspec.json.encode(self.describe())
        session = self.session
        client = Client(self.cloud.controllers[self.node])
        self.cloud.may_come_again(self.node, body)
        try:
            if self.node not in self.reaches:
                raise NoAnswer("behind a cut that refuses connections")
            status, answer = await client.request("POST", "/hello", body, timeout=timedelta(seconds=3))
        except NoAnswer:
            status, answer = 0, b"{}"
        finally:
            client.close()
        await self.while_hung()
        clock = asyncio.get_running_loop().time
        held_up = self.answers_late()
        if self.deaf or held_up:  # it gives the answer up if it takes too long
            await asyncio.sleep(min(held_up or GIVES_UP, max(sent + GIVES_UP - clock(), 0)))
        if self.deaf or clock() - sent >= GIVES_UP:
            status, answer = 0, b"{}"
        got = msgspec.json.decode(answer)
        if status == 200 and session == self.session and got.get("Baton", -1) >= self.token:
            self.hear(got["Baton"])
            for command in got["Orders"]:
                self.execute(command)
            return True
        if status == 421 and got.get("Foreman") in self.cloud.controllers and got["Foreman"] != self.node:
            self.node = got["Foreman"]
            # Each step takes some time: two controllers that send it to each other, until their next heartbeat, would
            # keep it busy for good at one moment of simulated time.
            await asyncio.sleep(HOP)
            self.changed.set()
        else:
            self.node = self.nodes[(self.nodes.index(self.node) + 1) % len(self.nodes)]
            await asyncio.sleep(0.2)
        return False

    def execute(self, command: dict[str, Any]) -> None:
        key = (command["Piece"], command["Try"])
        task = self.tasks.get(key)
        if command["Verb"] == "run" and task is None:
            self.run(key)
        elif command["Verb"] == "stop" and task is not None:
            self.end(key, "stopped")
        elif command["Verb"] == "forget" and task is not None and task["Status"] == "ended":
            del self.tasks[key]
        self.changed.set()

    def run(self, key: tuple[str, int]) -> None:
        self.tasks[key] = {"Piece": key[0], "Try": key[1], "Status": "running"}
        if any(name == key[0] and attempt != key[1] and self.on(name, attempt) for name, attempt in self.tasks):
            self.end(key, "busy")
        elif sum(self.cloud.job_of(name)["Cpus"] for name, attempt in self.tasks if self.on(name, attempt)) > CPUS:
            self.end(key, "full")
        else:
            self.cloud.starts(self, key)

    def on(self, name: str, attempt: int) -> bool:
        """Whether this attempt of the task is on this machine."""
        return self.tasks[(name, attempt)]["Status"] != "ended"

    def end(self, key: tuple[str, int], cause: str) -> None:
        task = self.tasks.get(key)
        if task is not None and task["Status"] != "ended":
            task["Status"], task["Cause"] = "ended", cause
            self.cloud.ends(self, key, cause)
            self.changed.set()

    def end_life(self, key: tuple[str, int], life: int, cause: str) -> None:
        """What was planned when the task started, unless the machine has lost all its tasks since."""
        loop = asyncio.get_running_loop()
        if life == self.life and self.hung:
            loop.call_at(self.hung_until + 0.01, self.end_life, key, life, cause)
        elif life == self.life:
            self.end(key, cause)

    def begin_again(self, *, anew: bool) -> None:
        """It has ended and is back at once; ``anew``: its sessions and reports are numbered from 1 on."""
        self.drop_tasks()
        self.token, self.hung_until = 0, 0.0
        self.answered = asyncio.get_running_loop().time()
        if anew:
            self.session, self.seq = 1, 0
        self.changed.set()
