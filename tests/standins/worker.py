"""Stand-in for a worker: sends reports, carries out commands, tracks the token and its lease."""

import asyncio
import contextlib
import itertools
import os
import socket
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import msgspec

from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.server import Answer, Request, Server

if TYPE_CHECKING:
    from tests.standins.cloud import Cloud

CPUS_PER_WORKER = 8.0
LEASE_S = 4.0  # a worker without a valid response for this long drops its tasks
REPORT_TIMEOUT_S = 4.0  # a response that arrives later is ignored
REDIRECT_DELAY_S = 0.02  # between a redirect and the report to the controller that it names


# The ports are below the range from which the system takes client ports, since a client could take a port between its
# choice and its use. Each process starts at another port, so that several can run at once.
_ports = itertools.cycle(range(10_000 + os.getpid() % 100 * 220, 32_000))


def free_port() -> int:
    """A loopback port on which nothing listens."""
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise AssertionError("unreachable: the ports are cycled without end")


class Worker:
    """One machine, with the worker that runs on it."""

    def __init__(self, cloud: "Cloud", name: str, type_name: str, zone: str, spot: bool) -> None:
        self.cloud = cloud
        self.name, self.type, self.zone, self.spot = name, type_name, zone, spot
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        # Grows when the worker loses all its tasks; events that were scheduled for those tasks are ignored.
        self.task_generation = 0
        self.nodes = list(cloud.controllers)
        self.node = self.nodes[0]
        self.changed = asyncio.Event()
        self.receives_nothing = False  # its reports arrive, but it receives neither responses nor commands
        self.receives_no_commands = False  # it receives commands only in responses to its reports
        self.reachable_nodes = set(self.nodes)  # connections to other nodes are refused
        self.command_delay_s = 0.0  # seconds between the arrival and the execution of commands sent directly
        self.answer_delay: Callable[[], float] = lambda: 0.0  # seconds by which a response to a report is late
        self.copies: set[asyncio.Task[None]] = set()
        self.process_number = 0  # grows when the worker is restarted
        self.paused_until = 0.0  # the worker does nothing until then
        self.last_answered = 0.0  # when the last report with a valid response was sent
        self.address = f"127.0.0.1:{free_port()}"
        self.server = Server(self.handle)
        self.server.listen(int(self.address.rsplit(":", 1)[1]), "127.0.0.1")
        self.background_tasks = [
            asyncio.ensure_future(self.report_loop()),
            asyncio.ensure_future(self.expire_lease_loop()),
        ]

    def stop(self) -> None:
        for task in [*self.background_tasks, *self.copies]:
            task.cancel()
        self.server.stop()
        self.drop_tasks()

    def drop_tasks(self) -> None:
        for key in list(self.tasks):
            self.end(key, "gone")
        self.tasks.clear()
        self.task_generation += 1

    async def report_loop(self) -> None:
        clock = asyncio.get_running_loop().time
        await asyncio.sleep(0.2)
        while True:
            await self.wait_while_paused()
            sent = clock()
            if await self.report(sent):
                self.last_answered = sent
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), self.cloud.report_seconds)
            self.changed.clear()

    @property
    def paused(self) -> bool:
        return asyncio.get_running_loop().time() < self.paused_until

    async def wait_while_paused(self) -> None:
        while self.paused:
            await asyncio.sleep(self.paused_until - asyncio.get_running_loop().time())

    def pause(self, seconds: float) -> None:
        """Suspends the worker. It handles what arrives meanwhile when it resumes."""
        self.paused_until = max(self.paused_until, asyncio.get_running_loop().time() + seconds)
        for key in list(self.tasks):
            self.cloud.on_worker_pause(self, key, seconds)

    async def expire_lease_loop(self) -> None:
        """Drops all tasks when the lease expires, independently of what the worker waits for.

        The lease also expires during a pause: it is the first thing that the worker notices when it resumes.
        """
        clock = asyncio.get_running_loop().time
        self.last_answered = clock()
        while True:
            await asyncio.sleep(max(self.last_answered + LEASE_S - clock(), 0.001))
            if clock() - self.last_answered >= LEASE_S:
                self.session += 1
                self.drop_tasks()
                self.last_answered = clock()
                self.changed.set()

    def build_report(self) -> dict[str, Any]:
        """Builds the next report and increments the sequence number."""
        self.seq += 1
        return {
            "Host": self.name, "Endpoint": self.address, "Build": self.type, "Hall": self.zone, "Loaners": self.spot,
            "Stint": self.session, "Tick": self.seq, "Baton": self.token, "WarningS": None,
            "Pieces": list(self.tasks.values()),
        }  # fmt: skip

    def handle(self, request: Request) -> Answer | asyncio.Future[Answer]:
        """Handles commands and probes that controllers send directly."""
        if self.receives_nothing or (self.receives_no_commands and request.path == "/commands"):
            return asyncio.get_running_loop().create_future()  # never completes: the request is lost
        delay_s = self.command_delay_s if request.path == "/commands" else 0.0
        if request.path == "/commands":
            for copy_delay_s in self.cloud.command_copy_delays:
                self.schedule_copy(self.receive_command_copy(request, copy_delay_s))
        return (
            asyncio.ensure_future(self.process_request_later(request, delay_s))
            if delay_s or self.paused
            else self.process_request(request)
        )

    async def process_request_later(self, request: Request, delay_s: float) -> Answer:
        await asyncio.sleep(delay_s)
        await self.wait_while_paused()
        return self.process_request(request)

    def process_request(self, request: Request) -> Answer:
        status = 200
        if request.path == "/commands":
            orders = msgspec.json.decode(request.body)
            if orders["Baton"] < self.token or orders["Stint"] != self.session:
                status = 409
            else:
                self.update_token(orders["Baton"])
                for command in orders["Orders"]:
                    self.cloud.direct_verbs[command["Verb"]] += 1
                    self.execute(command)
        return Answer(status, msgspec.json.encode(self.build_report()))

    def update_token(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self.changed.set()

    async def report(self, sent: float) -> bool:
        """Sends a report at time ``sent`` and carries out the commands in the response; true if that was valid."""
        body = msgspec.json.encode(self.build_report())
        session, process_number = self.session, self.process_number
        client = Client(self.cloud.controllers[self.node])
        self.cloud.maybe_duplicate_report(self.node, body)
        try:
            if self.node not in self.reachable_nodes:
                raise NoAnswer("network partition: connection refused")
            status, answer = await client.request("POST", "/hello", body, timeout=timedelta(seconds=3))
        except NoAnswer:
            status, answer = 0, b"{}"
        finally:
            client.close()
        await self.wait_while_paused()
        clock = asyncio.get_running_loop().time
        delay_s = self.answer_delay()
        if self.receives_nothing or delay_s:  # responses later than REPORT_TIMEOUT_S are ignored
            await asyncio.sleep(min(delay_s or REPORT_TIMEOUT_S, max(sent + REPORT_TIMEOUT_S - clock(), 0)))
        if self.receives_nothing or clock() - sent >= REPORT_TIMEOUT_S:
            status, answer = 0, b"{}"
        response = msgspec.json.decode(answer)
        if status == 200 and process_number == self.process_number:
            for copy_delay_s in self.cloud.answer_copy_delays:
                self.schedule_copy(self.receive_answer_copy(response, session, sent, copy_delay_s))
            if self.accept_answer(response, session, sent):
                return True
        if status == 421 and response.get("Foreman") in self.cloud.controllers and response["Foreman"] != self.node:
            self.node = response["Foreman"]
            # Two controllers can redirect the worker to each other until their next heartbeat. Without a delay,
            # it would do this forever at one moment of simulated time.
            await asyncio.sleep(REDIRECT_DELAY_S)
            self.changed.set()
        else:
            self.node = self.nodes[(self.nodes.index(self.node) + 1) % len(self.nodes)]
            await asyncio.sleep(0.2)
        return False

    def accept_answer(self, response: dict[str, Any], session: int, sent: float) -> bool:
        """Carries out the commands of a response to the report sent at that time, unless the worker has to drop it."""
        is_late = asyncio.get_running_loop().time() - sent >= REPORT_TIMEOUT_S
        if is_late or session != self.session or response.get("Baton", -1) < self.token:
            return False
        self.update_token(response["Baton"])
        for command in response["Orders"]:
            self.execute(command)
        return True

    def schedule_copy(self, delivery: Coroutine[Any, Any, None]) -> None:
        copy = asyncio.ensure_future(delivery)
        self.copies.add(copy)
        copy.add_done_callback(self.copies.discard)

    async def receive_answer_copy(self, response: dict[str, Any], session: int, sent: float, delay_s: float) -> None:
        """A copy of a response arrives; one to a report of an earlier process has no connection to arrive on."""
        process_number = self.process_number
        await asyncio.sleep(delay_s)
        await self.wait_while_paused()
        if process_number == self.process_number and self.accept_answer(response, session, sent):
            self.cloud.accepted_copies["answer"] += 1

    async def receive_command_copy(self, request: Request, delay_s: float) -> None:
        """A copy of commands sent directly arrives, also at a later process of the worker."""
        await asyncio.sleep(delay_s)
        await self.wait_while_paused()
        if self.process_request(request).status == 200:
            self.cloud.accepted_copies["command"] += 1

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
        if any(name == key[0] and attempt != key[1] and self.is_active(name, attempt) for name, attempt in self.tasks):
            self.end(key, "busy")
        elif (
            sum(self.cloud.job_of(name)["Cpus"] for name, attempt in self.tasks if self.is_active(name, attempt))
            > CPUS_PER_WORKER
        ):
            self.end(key, "full")
        else:
            self.cloud.on_task_start(self, key)

    def is_active(self, name: str, attempt: int) -> bool:
        """Whether this attempt of the task is on this worker and has not ended."""
        return self.tasks[(name, attempt)]["Status"] != "ended"

    def end(self, key: tuple[str, int], cause: str) -> None:
        task = self.tasks.get(key)
        if task is not None and task["Status"] != "ended":
            task["Status"], task["Cause"] = "ended", cause
            self.cloud.on_task_end(self, key, cause)
            self.changed.set()

    def end_if_current(self, key: tuple[str, int], task_generation: int, cause: str) -> None:
        """Ends a task unless the worker has lost all its tasks since the task started; waits while it is paused."""
        loop = asyncio.get_running_loop()
        if task_generation == self.task_generation and self.paused:
            loop.call_at(self.paused_until + 0.01, self.end_if_current, key, task_generation, cause)
        elif task_generation == self.task_generation:
            self.end(key, cause)

    def restart(self, *, reset_numbers: bool) -> None:
        """Restarts the worker at once, without its tasks; ``reset_numbers``: it counts sessions and reports from 1."""
        self.drop_tasks()
        self.process_number += 1
        self.token, self.paused_until = 0, 0.0
        self.last_answered = asyncio.get_running_loop().time()
        if reset_numbers:
            self.session, self.seq = 1, 0
        self.changed.set()
