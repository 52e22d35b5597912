"""Requests and writes of a previous process that are still in transit, and connections and sockets left open.

The platform restarts an ended process within a fraction of a second.
"""

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest
from tornado import iostream

from gingerspar.coordination.jobs.record_changes import RecordChange, released
from gingerspar.coordination.jobs.relay import RequestRelay
from gingerspar.protocol import peers
from gingerspar.storage.budgets import Urgency
from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer, Server
from tests.standins.cluster import free_port
from tests.test_claims import World


class _Link:
    """Records the messages that are sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, peer: str, message: bytes) -> bool:
        self.sent.append(peers.unpack(message))
        return True


async def _answer_after_restart() -> Answer:
    """The previous and the present process forward to the same peer; both answers reach the present process."""
    link: Any = _Link()
    unused_handler: Any = SimpleNamespace()
    previous_request = asyncio.ensure_future(
        RequestRelay("n1", link, unused_handler).forward("n2", "GET", "/v1/jobs/wk-000001", b"")
    )
    await asyncio.sleep(0)
    previous_request.cancel()
    relay = RequestRelay("n1", link, unused_handler)
    request = asyncio.ensure_future(relay.forward("n2", "GET", "/v1/jobs/wk-000002", b""))
    await asyncio.sleep(0)
    first, second = link.sent
    relay.handle_answer(peers.Relayed("n2", first.number, 200, "of wk-000001"))
    await asyncio.sleep(0)
    assert not request.done()
    relay.handle_answer(peers.Relayed("n2", second.number, 200, "of wk-000002"))
    return await request


def test_peer_answer_to_the_previous_process_is_ignored() -> None:
    assert asyncio.run(_answer_after_restart()).body == b"of wk-000002"


class _Clock(Clock):
    """A clock that only the test moves."""

    at = timedelta(0)

    def now(self) -> timedelta:
        return self.at


async def _still_connected(client: Client) -> bool:
    """Whether a request is answered on the client's open connection; no new connection is opened."""
    try:
        return (await client.request("GET", "/up"))[0] == 200
    except NoAnswer:
        return False


async def _connections_after_silence(max_sockets: float) -> list[bool]:
    """Four clients send one request each, and 20 s later a fifth one: whose connections are still open."""
    clock, port = _Clock(), free_port()
    server = Server(lambda request: Answer(200, b"{}"), max_sockets, clock)
    server.listen(port, "127.0.0.1")
    clients = [Client(f"127.0.0.1:{port}") for _ in range(5)]
    try:
        for client in clients[:4]:
            await client.request("GET", "/up")
        clock.at += timedelta(seconds=20)
        await clients[4].request("GET", "/up")
        return [await _still_connected(client) for client in clients]
    finally:
        for client in clients:
            client.close()
        server.stop()
        await asyncio.sleep(0)


def test_idle_connections_are_closed_once_sockets_are_short() -> None:
    assert asyncio.run(_connections_after_silence(1000)) == [True] * 5
    assert asyncio.run(_connections_after_silence(4)) == [False, False, True, True, True]


async def _cancel_while_connecting(streams: list[iostream.IOStream]) -> None:
    request = asyncio.ensure_future(Client("127.0.0.1:9").request("GET", "/status"))
    await asyncio.sleep(0.01)
    assert [stream.closed() for stream in streams] == [False]
    request.cancel()
    await asyncio.gather(request, return_exceptions=True)


def test_request_cancelled_while_connecting_closes_its_socket(monkeypatch: pytest.MonkeyPatch) -> None:
    """one-has-every-link-kerlann: a controller that probed partitioned machines had 65 connections, the others 22."""
    streams: list[iostream.IOStream] = []

    def connect_without_answer(stream: iostream.IOStream, address: object) -> asyncio.Future[None]:
        streams.append(stream)
        return asyncio.get_running_loop().create_future()

    monkeypatch.setattr(iostream.IOStream, "connect", connect_without_answer)
    asyncio.run(_cancel_while_connecting(streams))
    assert [stream.closed() for stream in streams] == [True]


class _RestartedWorld(World):
    """A's process was restarted and resumed its session (``Session._resume``); its previous writes are late."""

    def __init__(self) -> None:
        super().__init__()
        self.previous, self.a = self.a, self._claim_manager("A")

    def write_late(self, change: RecordChange, *, claim: bool = False) -> bool:
        return asyncio.run(self.previous._write([change], Urgency.CLAIM, hand_over=claim))

    def next_claim(self) -> RecordChange:
        return self.previous._next_claims(timedelta(0))[0]

    def recorded(self) -> tuple[str, int]:
        self.read(self.a._view)
        return self.record["status"], self.record.get("attempt", 0)


def test_late_claim_of_the_previous_process_belongs_to_the_present_one() -> None:
    world = _RestartedWorld()
    assert world.write_late(world.next_claim(), claim=True)
    assert world.recorded() == ("running", 1)
    assert not world.claim(world.b)
    assert world.write(world.a, world.result(world.a, {0, 1}))
    assert world.recorded() == ("done", 1)


def test_late_claim_fails_once_the_present_process_has_claimed() -> None:
    world = _RestartedWorld()
    change = world.next_claim()
    assert world.claim(world.a)
    assert not world.write_late(change, claim=True)
    assert world.recorded() == ("running", 1)


def test_late_result_neither_undoes_a_newer_one_nor_is_lost() -> None:
    world = _RestartedWorld()
    assert world.claim(world.a)
    world.read(world.previous._view)
    change = world.result(world.previous, {0})
    assert world.write(world.a, world.result(world.a, {1}))
    assert not world.write_late(change)
    assert world.recorded() == ("running", 1)
    # The leader reports a finished task until the record shows it.
    assert world.write(world.a, world.result(world.a, {0}))
    assert world.recorded() == ("done", 1)


def test_late_release_only_requires_a_new_claim() -> None:
    world = _RestartedWorld()
    assert world.claim(world.a)
    world.read(world.previous._view)
    entry = world.previous._view.jobs["wk-000001"]
    assert world.write_late(RecordChange("wk-000001", entry.version, released(entry)))
    assert world.recorded() == ("pending", 1)
    world.a.add_accepted("wk-000001")
    assert world.claim(world.a)
    assert world.recorded() == ("running", 2)
