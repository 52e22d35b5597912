"""Processes that end and are back within a fraction of a second, while what they had asked is still under way."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest
from tornado import iostream

from gingerspar.coordination.jobs.claims import RecordChange, released
from gingerspar.coordination.jobs.relay import RequestRelay
from gingerspar.protocol import peers
from gingerspar.storage.budgets import Urgency
from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer, Server
from tests.standins.cluster import free_port
from tests.test_claims import World


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
    former = asyncio.ensure_future(RequestRelay("n1", link, no_serve).forward("n2", "GET", "/v1/jobs/wk-000001", b""))
    await asyncio.sleep(0)
    former.cancel()
    present = RequestRelay("n1", link, no_serve)
    asked = asyncio.ensure_future(present.forward("n2", "GET", "/v1/jobs/wk-000002", b""))
    await asyncio.sleep(0)
    first, second = link.sent
    present.handle_answer(peers.Relayed("n2", first.number, 200, "of wk-000001"))
    await asyncio.sleep(0)
    assert not asked.done()
    present.handle_answer(peers.Relayed("n2", second.number, 200, "of wk-000002"))
    return await asked


def test_a_peers_answer_to_the_former_process_is_given_to_nobody() -> None:
    assert asyncio.run(_two_lives()).body == b"of wk-000002"


class _Clock(Clock):
    """Moved by hand."""

    at = timedelta(0)

    def now(self) -> timedelta:
        return self.at


async def _answered(client: Client) -> bool:
    """On the connection that it has kept; a new one is not opened."""
    try:
        return (await client.request("GET", "/up"))[0] == 200
    except NoAnswer:
        return False


async def _left_behind(sockets: float) -> list[bool]:
    """Four workers ask once and go silent; 20 s later one more comes. Whose connections are still good?"""
    clock, port = _Clock(), free_port()
    server = Server(lambda request: Answer(200, b"{}"), sockets, clock)
    server.listen(port, "127.0.0.1")
    clients = [Client(f"127.0.0.1:{port}") for _ in range(5)]
    try:
        for client in clients[:4]:
            await client.request("GET", "/up")
        clock.at += timedelta(seconds=20)
        await clients[4].request("GET", "/up")
        return [await _answered(client) for client in clients]
    finally:
        for client in clients:
            client.close()
        server.stop()
        await asyncio.sleep(0)


def test_connections_left_behind_go_once_sockets_are_short() -> None:
    assert asyncio.run(_left_behind(1000)) == [True] * 5
    assert asyncio.run(_left_behind(4)) == [False, False, True, True, True]


async def _given_up_while_connecting(streams: list[iostream.IOStream]) -> None:
    asking = asyncio.ensure_future(Client("127.0.0.1:9").request("GET", "/status"))
    await asyncio.sleep(0.01)
    assert [stream.closed() for stream in streams] == [False]
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)


def test_a_connection_given_up_while_it_is_made_leaves_no_socket(monkeypatch: pytest.MonkeyPatch) -> None:
    """one-has-every-link-kerlann: a controller that asked machines behind a cut had 65 connections, the others 22."""
    streams: list[iostream.IOStream] = []

    def silent(stream: iostream.IOStream, address: object) -> asyncio.Future[None]:
        streams.append(stream)
        return asyncio.get_running_loop().create_future()

    monkeypatch.setattr(iostream.IOStream, "connect", silent)
    asyncio.run(_given_up_while_connecting(streams))
    assert [stream.closed() for stream in streams] == [True]


class _Lives(World):
    """A's process ends and goes on in the same session, as ``Session._resume`` has it; what it had sent comes late."""

    def __init__(self) -> None:
        super().__init__()
        self.former, self.a = self.a, self._claims("A")

    def late(self, change: RecordChange, *, claim: bool = False) -> bool:
        return asyncio.run(self.former._write([change], Urgency.CLAIM, hand_over=claim))

    def to_claim(self) -> RecordChange:
        return self.former._next_claims(timedelta(0))[0]

    def seen(self) -> tuple[str, int]:
        self.read(self.a._view)
        return self.record["status"], self.record.get("attempt", 0)


def test_a_late_claim_of_the_former_process_is_the_present_ones() -> None:
    lives = _Lives()
    assert lives.late(lives.to_claim(), claim=True)
    assert lives.seen() == ("running", 1)
    assert not lives.claim(lives.b)
    assert lives.write(lives.a, lives.result(lives.a, {0, 1}))
    assert lives.seen() == ("done", 1)


def test_a_late_claim_fails_once_the_present_process_has_claimed() -> None:
    lives = _Lives()
    change = lives.to_claim()
    assert lives.claim(lives.a)
    assert not lives.late(change, claim=True)
    assert lives.seen() == ("running", 1)


def test_a_late_result_neither_undoes_a_newer_one_nor_is_it_lost() -> None:
    lives = _Lives()
    assert lives.claim(lives.a)
    lives.read(lives.former._view)
    change = lives.result(lives.former, {0})
    assert lives.write(lives.a, lives.result(lives.a, {1}))
    assert not lives.late(change)
    assert lives.seen() == ("running", 1)
    # The leader tells of a finish until the record shows it.
    assert lives.write(lives.a, lives.result(lives.a, {0}))
    assert lives.seen() == ("done", 1)


def test_a_late_release_costs_a_new_claim_and_nothing_else() -> None:
    lives = _Lives()
    assert lives.claim(lives.a)
    lives.read(lives.former._view)
    entry = lives.former._view.jobs["wk-000001"]
    assert lives.late(RecordChange("wk-000001", entry.version, released(entry)))
    assert lives.seen() == ("pending", 1)
    lives.a.add_accepted("wk-000001")
    assert lives.claim(lives.a)
    assert lives.seen() == ("running", 2)
