"""The write budget: order by urgency, limits of rate and burst, and division between nodes by demand."""

import asyncio
from datetime import timedelta

from gingerspar.controller import Controller
from gingerspar.protocol import peers
from gingerspar.protocol.settings import OperatorSettings, parse_settings
from gingerspar.storage.budgets import Budget, Urgency
from gingerspar.storage.client import StateClient
from gingerspar.transport.clock import Clock
from tests.standins.cluster import Cluster


def _client(clock: Clock) -> StateClient:
    return StateClient("127.0.0.1:1", clock, rps=100, write_rps=25, txn_ops=16, value_bytes=8192, nodes=5)


async def _acquires_after_burst_reduction() -> bool:
    clock = Clock()
    budget = Budget(clock, 100, 16)
    await budget.acquire(16, Urgency.CLAIM)
    waiting = asyncio.ensure_future(budget.acquire(16, Urgency.CLAIM))
    await asyncio.sleep(0)
    budget.set_rate(50, 4)
    await asyncio.wait_for(waiting, 2)
    return waiting.done()


def test_reduced_burst_does_not_block_earlier_waiters() -> None:
    """kerlann-fonts-grown steady: a roster write larger than the new burst waited forever, and no task ran."""
    assert asyncio.run(_acquires_after_burst_reduction())


async def _grant_order() -> list[str]:
    order: list[str] = []
    budget = Budget(Clock(), 200, 4)

    async def acquire(name: str, urgency: Urgency) -> None:
        await budget.acquire(4, urgency)
        order.append(name)

    await budget.acquire(4, Urgency.RESULT)
    await asyncio.gather(
        acquire("sweep", Urgency.BACKGROUND), acquire("result", Urgency.RESULT), acquire("cancel", Urgency.USER)
    )
    return order


def test_waiters_are_served_by_urgency() -> None:
    assert asyncio.run(_grant_order()) == ["cancel", "result", "sweep"]


class _Clock(Clock):
    """A clock that only the test moves."""

    at = timedelta(0)

    def now(self) -> timedelta:
        return self.at


async def _granted_at_once() -> list[bool]:
    """Which requests are granted without waiting, at 10 units per second.

    Results use up the burst, then users' requests arrive, and after 0.5 s another result.
    """
    clock = _Clock()
    budget = Budget(clock, 10, 10)
    urgencies = [Urgency.RESULT] * 10 + [Urgency.USER] * 6
    requests = [asyncio.ensure_future(budget.acquire(1, urgency)) for urgency in urgencies]
    await asyncio.sleep(0)
    granted = [request.done() for request in requests]
    clock.at += timedelta(seconds=0.5)  # refills what users' requests have overdrawn, before results are granted
    late_result = asyncio.ensure_future(budget.acquire(1, Urgency.RESULT))
    await asyncio.sleep(0.3)
    granted += [requests[-1].done(), late_result.done()]
    for request in (*requests, late_result):
        request.cancel()
    return granted


def test_users_may_overdraw_a_budget_used_up_by_results() -> None:
    assert asyncio.run(_granted_at_once()) == [True] * 10 + [True] * 5 + [False] + [True, False]


def test_write_limit_is_divided_by_demand() -> None:
    busy, idle = _client(Clock()), _client(Clock())
    idle.share_writes([20.0, 0.0, 0.0, 0.0])
    assert idle.max_puts <= 3
    busy._writes._demand = 20.0
    busy.share_writes([0.0, 0.0, 0.0, 0.0])
    assert busy.max_puts >= 12


def test_limits_of_nodes_without_the_state_service_go_to_the_others() -> None:
    """kerlann-fonts-fleet loss: one node of five had the state service, but only a fifth of its limits."""

    def rates(state_age: float) -> tuple[float, float]:
        controller = Controller(parse_settings(Cluster().settings("n0")), OperatorSettings())
        for peer in ("n1", "n2"):
            controller._receive(peers.pack(peers.Heartbeat(peer, 1, False, state_age, 0, writes=30.0)))
        controller._share_writes()
        return round(controller._client.write_rate), round(controller._client._requests.rate)

    # The stand-in allows 100 changes and 200 requests per second; 45% of the requests are not for the view's reads.
    assert rates(state_age=0.1) == (17, 30)
    assert rates(state_age=9.0) == (95, 90)


def test_nodes_that_load_all_keys_share_the_request_limit() -> None:
    """After a crash of all controllers each took the others for nodes without the service (review/4)."""
    controller = Controller(parse_settings(Cluster().settings("n0")), OperatorSettings())
    never_read = min(controller._view.age().total_seconds(), peers.NEVER_READ_S)  # as in the heartbeat of such a node
    for peer in ("n1", "n2"):
        controller._receive(peers.pack(peers.Heartbeat(peer, 1, False, never_read, 0, writes=0.0)))
    controller._share_writes()
    assert round(controller._client._requests.rate) == 30
