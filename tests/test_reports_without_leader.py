"""What a worker is told while nobody commands."""

import asyncio

import msgspec

from gingerspar.controller import Controller
from gingerspar.protocol import names, peers
from gingerspar.protocol.settings import OperatorSettings, parse_settings
from gingerspar.transport.server import Answer, Request
from tests.standins.cluster import Cluster

REPORT = {
    "Host": "m1", "Endpoint": "10.0.0.9:1", "Build": "small", "Hall": "a", "Loaners": False, "Stint": 1, "Tick": 7,
    "Baton": 3, "WarningS": None, "Pieces": [],
}  # fmt: skip


async def _told() -> tuple[bool, Answer]:
    controller = Controller(parse_settings(Cluster().settings("n0")), OperatorSettings())
    request = Request("POST", names.PATH_REPORT, "", msgspec.json.encode(REPORT))
    waiting = asyncio.ensure_future(controller._handle(request))  # type: ignore[arg-type]
    await asyncio.sleep(0.1)
    controller._receive(peers.pack(peers.Heartbeat("n2", 3, False, 0.1, 0)))  # it doesn't command either
    await asyncio.sleep(0.1)
    early = waiting.done()
    controller._receive(peers.pack(peers.Heartbeat("n1", 4, True, 0.1, 0)))
    return early, await asyncio.wait_for(waiting, 0.5)


def test_a_worker_waits_until_somebody_commands_and_is_sent_there() -> None:
    """Combination 118: sent round, workers ran into the node that had just been cut off, for 4 s of 18."""
    early, answer = asyncio.run(_told())
    assert not early
    assert (answer.status, msgspec.json.decode(answer.body)) == (421, {"Foreman": "n1"})
