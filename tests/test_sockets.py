"""A process without free sockets: it goes on, its own connections work, and its clients are served in turn."""

import asyncio
import resource
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import pytest

from gingerspar.transport.client import Client, NoAnswer, RequestNotSent
from gingerspar.transport.clock import Clock
from gingerspar.transport.peerlink import RECONNECT_INTERVAL, PeerLink
from gingerspar.transport.server import Answer, Request, Server
from tests.standins.worker import free_port


@contextmanager
def _no_free_sockets() -> Iterator[None]:
    """While the context is open, this process can open no further sockets or files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def _request_without_sockets() -> None:
    with _no_free_sockets(), pytest.raises(RequestNotSent):
        await Client("127.0.0.1:9").request("GET", "/up")


def test_request_without_a_free_socket_is_not_sent() -> None:
    """The error was none that callers expect, and ended their loops and the controller (review/2)."""
    asyncio.run(_request_without_sockets())


async def _open_connections_after_refused_permits() -> int:
    server, port = Server(lambda request: Answer(200, b"{}")), free_port()
    server.listen(port, "127.0.0.1")
    client = Client(f"127.0.0.1:{port}", max_idle=2)
    requests = [client.request("GET", "/up", permit=lambda: False) for _ in range(6)]
    results = await asyncio.gather(*requests, return_exceptions=True)
    assert all(isinstance(result, RequestNotSent) for result in results)
    await asyncio.sleep(0.05)
    connections = len(server._connections)
    client.close()
    server.stop()
    await asyncio.sleep(0.01)
    return connections


def test_connections_of_refused_requests_are_bounded() -> None:
    """They were kept without a bound, for as long as the process ran."""
    assert asyncio.run(_open_connections_after_refused_permits()) == 2


async def _connect_link_after_shortage() -> list[bytes]:
    """What a peer receives if there is no free socket when the link is first opened, and later there is."""
    ports = [free_port(), free_port()]
    received: list[bytes] = []
    peer = PeerLink({}, received.append, Clock())
    link = PeerLink({"peer": f"127.0.0.1:{ports[0]}"}, lambda message: None, Clock())
    tasks = peer.start(ports[0], "127.0.0.1") + link.start(ports[1], "127.0.0.1")
    try:
        with _no_free_sockets():
            await asyncio.sleep(0.05)
            assert not any(task.done() for task in tasks), "the link has ended"
            assert not link.send("peer", b"lost")
        await asyncio.sleep(1.5 * RECONNECT_INTERVAL.total_seconds())
        assert link.send("peer", b"sent")
        await asyncio.sleep(0.05)
        return received
    finally:
        link.stop()
        peer.stop()
        for task in tasks:
            task.cancel()


def test_peer_link_is_opened_once_there_is_a_free_socket() -> None:
    """A controller that opened a peer link without a free socket ended by itself (review/2)."""
    assert asyncio.run(_connect_link_after_shortage()) == [b"sent"]


class _CrowdedServer:
    """A server of a process with twenty sockets, which answers requests for /slow only when told to."""

    SOCKETS = 20

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.address = f"127.0.0.1:{free_port()}"
        self.server = Server(self._handle, self.SOCKETS, essential_paths={"/hello"})
        self.server.listen(int(self.address.rpartition(":")[2]), "127.0.0.1")
        self.clients: list[Client] = []

    async def _handle(self, request: Request) -> Answer:
        if request.path == "/slow":
            await self.release.wait()
        return Answer(200, b"{}")

    def client(self) -> Client:
        self.clients.append(Client(self.address))
        return self.clients[-1]

    @property
    def connections(self) -> int:
        return len(self.server._connections)

    async def close(self) -> None:
        for client in self.clients:
            client.close()
        self.server.stop()
        await asyncio.sleep(0.01)


async def _answered(client: Client, path: str = "/up") -> bool:
    try:
        return (await client.request("GET", path, timeout=timedelta(seconds=1)))[0] == 200
    except NoAnswer:
        return False


async def _serve_more_clients_than_sockets() -> None:
    crowded = _CrowdedServer()
    try:
        workers = [crowded.client() for _ in range(4)]
        users = [crowded.client() for _ in range(8)]
        for client, path in [*((worker, "/hello") for worker in workers), *((user, "/up") for user in users)]:
            assert await _answered(client, path)
        for _ in range(60):
            assert await _answered(crowded.client()), "a new client was not served"
            assert crowded.connections < crowded.SOCKETS, "no socket is left for the server's own connections"
        assert crowded.server.replaced_count > 0
        # The first clients are still connected, those of workers in any case: no new connection is made for them.
        replaced_before = crowded.server.replaced_count
        assert [await _answered(worker, "/hello") for worker in workers] == [True] * 4
        assert [await _answered(user) for user in users] == [True] * 8
        assert crowded.server.replaced_count == replaced_before
        # A client whose connection was closed is served on a new one.
        assert not await _answered(crowded.clients[-2])
        assert await _answered(crowded.clients[-2])
        assert crowded.server.replaced_count == replaced_before + 1
    finally:
        await crowded.close()


def test_more_clients_than_sockets_are_served_in_turn() -> None:
    """Users of a controller that had ended took all sockets of the others, which then could do nothing (review/2)."""
    asyncio.run(_serve_more_clients_than_sockets())


async def _refuse_while_all_are_busy() -> None:
    crowded = _CrowdedServer()
    try:
        busy = [asyncio.ensure_future(_answered(crowded.client(), "/slow")) for _ in range(25)]
        await asyncio.sleep(0.2)
        refused = [task for task in busy if task.done()]
        assert refused
        assert not any([await task for task in refused])
        crowded.release.set()
        # A request under way is never given up for a new connection.
        assert all([await task for task in busy if task not in refused])
        assert await _answered(crowded.client())
    finally:
        await crowded.close()


def test_new_connections_are_refused_while_all_requests_are_under_way(caplog: pytest.LogCaptureFixture) -> None:
    asyncio.run(_refuse_while_all_are_busy())
    assert "no sockets left for accepted connections" in caplog.text


async def _count_closed_connections() -> int:
    crowded = _CrowdedServer()
    try:
        for _ in range(10):
            client = crowded.client()
            assert await _answered(client)
            client.close()
        await asyncio.sleep(0.05)
        return crowded.connections
    finally:
        await crowded.close()


def test_connections_that_clients_close_do_not_count() -> None:
    """They counted until their idle timeout, so that idle connections of others were closed early."""
    assert asyncio.run(_count_closed_connections()) == 0


def test_without_a_limit_no_connection_is_replaced() -> None:
    async def serve() -> int:
        server, port = Server(lambda request: Answer(200, b"{}")), free_port()
        server.listen(port, "127.0.0.1")
        clients = [Client(f"127.0.0.1:{port}") for _ in range(30)]
        assert all([await _answered(client) for client in clients])
        for client in clients:
            client.close()
        server.stop()
        await asyncio.sleep(0.01)
        return server.replaced_count + server.refused_count

    assert asyncio.run(serve()) == 0
