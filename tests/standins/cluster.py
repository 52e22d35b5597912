"""Controllers in one process, with the stand-ins that they use."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from functools import partial
from random import Random
from typing import Any

import msgspec

from gingerspar.controller import Controller
from gingerspar.protocol.settings import OperatorSettings, parse_settings
from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.clock import Clock
from tests.standins.cloud import GANG_PEER_TIMEOUT_S, GANG_WAIT_S, Cloud
from tests.standins.state import StateService
from tests.standins.worker import LEASE_S, free_port

NODE_NAMES = ("n0", "n1", "n2")


class _ErrorLog(logging.Handler):
    """Collects the errors that controllers log with a traceback: faults of the program that it has survived."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.errors: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        if record.exc_info:
            self.errors.append(f"{record.getMessage()}: {record.exc_info[1]!r}")


class Cluster:
    """Three controllers, a state service and a cloud on loopback."""

    def __init__(
        self,
        run_seconds: float = 0.5,
        cancel_s: float = 12.0,
        *,
        clock: Clock | None = None,
        zones: Sequence[str] = ("a",),
        limits: Mapping[str, float] | None = None,
    ) -> None:
        self.cancel_s = cancel_s
        self.clock = clock
        self.zones = zones
        self.idle_return_s, self.session_ttl_s = 1.0, 2.0
        self.write_rps = 100.0
        self.value_kb = 16.0
        self.limits = dict(limits or {"red": 0.0})
        self.expects_errors = False  # errors that controllers survive are no violations
        self._error_log = _ErrorLog()
        self.isolated: set[str] = set()  # nodes that neither receive from nor send to other controllers
        ports = {name: (free_port(), free_port()) for name in NODE_NAMES}
        self.http = {name: f"127.0.0.1:{http}" for name, (http, _) in ports.items()}
        self.peer = {name: f"127.0.0.1:{peer}" for name, (_, peer) in ports.items()}
        self.state = StateService()
        self.state_ports, self.cloud_port = {name: free_port() for name in NODE_NAMES}, free_port()
        self.cloud = Cloud(self.http, run_seconds, 0.3, zones)
        self.cloud.limits = {team: limit for team, limit in self.limits.items() if limit}
        self.cloud.cancel_s = cancel_s
        self.state.machines_with_tasks = lambda: {name for name, worker in self.cloud.workers.items() if worker.tasks}
        self.state.on_term_change = self.cloud.deliver_stored_reports
        self.nodes: dict[str, tuple[Controller, asyncio.Task[None]]] = {}

    @property
    def violations(self) -> list[str]:
        """Violations of the scheduling rules, writes to the state service that must not happen or are too large, and
        errors in controllers.
        """
        errors = [] if self.expects_errors else self._error_log.errors
        return self.cloud.violations + self.state.violations + self.state.rejected + errors

    def settings(self, name: str) -> str:
        seeds = "".join(
            f'[[seeds]]\nhost_name = "{other}"\ndomain = "a"\npeer_addr = "{self.peer[other]}"\n'
            for other in NODE_NAMES
            if other != name
        )
        teams = "".join(
            f'[[facts.teams]]\nname = "{team}"\ncpus_max = {limit}\n' for team, limit in self.limits.items()
        )
        return f"""
host_name = "{name}"
domain = "a"
listen = "{self.http[name]}"
peer_bind = "{self.peer[name]}"
{seeds}
[outside]
cloud = "127.0.0.1:{self.cloud_port}"
state = "127.0.0.1:{self.state_ports[name]}"
[facts]
size = 3
zones = {list(self.zones)}
{teams}
[facts.workers]
report_s = 0.3
lease_s = {LEASE_S}
gang_wait_s = {GANG_WAIT_S}
gang_peer_s = {GANG_PEER_TIMEOUT_S}
cancel_s = {self.cancel_s}
[facts.state]
rps = 200.0
write_rps = {self.write_rps}
value_kb = {self.value_kb}
txn_ops = 16
[facts.cloud]
rps = 50.0
list_lag_s = 0.5
"""

    def start(self) -> None:
        logging.getLogger("gingerspar").addHandler(self._error_log)
        self.state.max_value_bytes = int(self.value_kb * 1024)
        for name, port in self.state_ports.items():
            self.state.listen(port, name)
        self.cloud.server.listen(self.cloud_port, "127.0.0.1")
        for name in NODE_NAMES:
            self.start_node(name)

    def start_node(self, name: str) -> None:
        operator = OperatorSettings(session_ttl_s=self.session_ttl_s, idle_return_s=self.idle_return_s)
        controller = Controller(parse_settings(self.settings(name)), operator, self.clock, Random(name))
        link, is_up = controller._link, controller._link.is_up
        link.is_up = lambda peer: not {name, peer} & self.isolated and is_up(peer)  # type: ignore[method-assign]
        for peer, outgoing in link._outgoing.items():
            outgoing.send = partial(self._send_unless_isolated, {name, peer}, outgoing.send)  # type: ignore[method-assign]
        self.nodes[name] = (controller, asyncio.ensure_future(controller.run()))

    def _send_unless_isolated(self, nodes: set[str], send: Callable[[bytes], bool], frame: bytes) -> bool:
        return True if nodes & self.isolated else send(frame)

    async def kill(self, name: str) -> None:
        """Ends the node at once, without the steps of an orderly shutdown."""
        controller, task = self.nodes.pop(name)
        controller.close()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def restart(self, name: str, down_s: float) -> None:
        """Kills the node and starts it again after ``down_s`` seconds. Does nothing if it is down already."""
        if name in self.nodes:
            await self.kill(name)
            await asyncio.sleep(down_s)
            self.start_node(name)

    def dispatching_nodes(self) -> list[str]:
        """The nodes that may send commands to workers."""
        return [name for name, (node, _) in self.nodes.items() if node._term_manager.is_dispatching()]

    async def stop(self) -> None:
        logging.getLogger("gingerspar").removeHandler(self._error_log)
        for name in list(self.nodes):
            await self.kill(name)
        self.cloud.stop()
        self.state.stop()
        self.cloud.server.stop()
        await asyncio.sleep(0.05)

    async def request(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """The status and the decoded body of a node's response; ``(0, None)`` without one."""
        client = Client(self.http[name])
        data = body if isinstance(body, bytes | None) else msgspec.json.encode(body)
        try:
            status, answer = await client.request(method, path, data, timeout=timedelta(seconds=5))
            return status, msgspec.json.decode(answer)
        except NoAnswer:
            return 0, None
        finally:
            client.close()

    async def submit_job(self, name: str, number: int, **changes: Any) -> bool:
        """Submits a job to a node; true if it was accepted."""
        status, _ = await self.request(name, "POST", "/v1/jobs", job(number, **changes))
        return status in (200, 201)

    def leader(self) -> str | None:
        """The holder of the term, according to the state service."""
        record = self.state.keys.get("gs/term")
        return record[0]["holder"] if record is not None else None


def job(number: int, **changes: Any) -> dict[str, Any]:
    """The specification of a job as a user submits it, with ``changes``."""
    spec = {
        "Ref": f"wk-{number:06d}", "Jobclass": "c", "Crew": "red", "Shape": "batch", "Urgency": "standard",
        "Pieces": 3, "Cpus": 4.0, "Cards": 0.0, "MemoryGb": 4.0, "Bundle": "img", "ImageGb": 0.5, "Builds": None,
        "Hall": None, "SamePlace": False, "Apart": False, "Loaners": True, "GuessS": 1.0, "SaveEveryS": 0.0,
        "SaveTookS": 0.0, "DueS": None,
    }  # fmt: skip
    return {**spec, **changes}
