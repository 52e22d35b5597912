"""Processes that end and are back within a fraction of a second, while what they had asked is still under way."""

import asyncio
from types import SimpleNamespace
from typing import Any

from gingerspar.coordination.jobs.relay import Relays
from gingerspar.protocol import peers
from gingerspar.transport.server import Answer


class _Link:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, peer: str, message: bytes) -> bool:
        self.sent.append(peers.unpack(message))
        return True


async def _two_lives() -> Answer:
    """Both ask the same peer; the answer to the first one's question comes to the second."""
    link: Any = _Link()
    no_serve: Any = SimpleNamespace()
    former = asyncio.ensure_future(Relays("n1", link, no_serve).ask("n2", "GET", "/v1/jobs/wk-000001", b""))
    await asyncio.sleep(0)
    former.cancel()
    present = Relays("n1", link, no_serve)
    asked = asyncio.ensure_future(present.ask("n2", "GET", "/v1/jobs/wk-000002", b""))
    await asyncio.sleep(0)
    first, second = link.sent
    present.answered(peers.Relayed("n2", first.number, 200, "of wk-000001"))
    await asyncio.sleep(0)
    assert not asked.done()
    present.answered(peers.Relayed("n2", second.number, 200, "of wk-000002"))
    return await asked


def test_a_peers_answer_to_the_former_process_is_given_to_nobody() -> None:
    assert asyncio.run(_two_lives()).body == b"of wk-000002"
