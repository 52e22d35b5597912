"""How a worker's report is answered while there is no leader."""

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


async def _answer_to_report() -> tuple[bool, Answer]:
    """Whether the report was answered before a leader was known, and the answer given once n1 leads."""
    controller = Controller(parse_settings(Cluster().settings("n0")), OperatorSettings())
    request = Request("POST", names.PATH_REPORT, "", msgspec.json.encode(REPORT))
    waiting = asyncio.ensure_future(controller._handle(request))  # type: ignore[arg-type]
    await asyncio.sleep(0.1)
    controller._receive(peers.pack(peers.Heartbeat("n2", 3, False, 0.1, 0)))  # n2 does not command either
    await asyncio.sleep(0.1)
    answered_early = waiting.done()
    controller._receive(peers.pack(peers.Heartbeat("n1", 4, True, 0.1, 0)))
    return answered_early, await asyncio.wait_for(waiting, 0.5)


def test_report_waits_for_a_leader_and_is_redirected_to_it() -> None:
    """Combination 118: workers redirected from node to node lost 4 s of 18 on a node that had just been partitioned."""
    answered_early, answer = asyncio.run(_answer_to_report())
    assert not answered_early
    assert (answer.status, msgspec.json.decode(answer.body)) == (421, {"Foreman": "n1"})
