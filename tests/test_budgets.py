"""The write budget: by urgency, within the rate, and shared by demand."""

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


async def _taken_after_the_burst_shrank() -> bool:
    clock = Clock()
    budget = Budget(clock, 100, 16)
    await budget.acquire(16, Urgency.CLAIM)
    waiting = asyncio.ensure_future(budget.acquire(16, Urgency.CLAIM))
    await asyncio.sleep(0)
    budget.set_rate(50, 4)
    await asyncio.wait_for(waiting, 2)
    return waiting.done()


def test_a_smaller_burst_does_not_block_what_waits_already() -> None:
    """kerlann-fonts-grown steady: a roster write waited for ever, and nothing ran."""
    assert asyncio.run(_taken_after_the_burst_shrank())


async def _urgent_first() -> list[str]:
    order: list[str] = []
    budget = Budget(Clock(), 200, 4)

    async def take(name: str, urgency: Urgency) -> None:
        await budget.acquire(4, urgency)
        order.append(name)

    await budget.acquire(4, Urgency.RESULT)
    await asyncio.gather(
        take("sweep", Urgency.BACKGROUND), take("result", Urgency.RESULT), take("cancel", Urgency.USER)
    )
    return order


def test_the_most_urgent_goes_first() -> None:
    assert asyncio.run(_urgent_first()) == ["cancel", "result", "sweep"]


class _Clock(Clock):
    """Moved by hand."""

    at = timedelta(0)

    def now(self) -> timedelta:
        return self.at


async def _ahead() -> list[bool]:
    """Who need not wait at 10 units a second: results use all that is saved up, then users come, then results again."""
    clock = _Clock()
    budget = Budget(clock, 10, 10)
    asked = [Urgency.RESULT] * 10 + [Urgency.USER] * 6
    takes = [asyncio.ensure_future(budget.acquire(1, urgency)) for urgency in asked]
    await asyncio.sleep(0)
    at_once = [take.done() for take in takes]
    clock.at += timedelta(seconds=0.5)  # what users had ahead is paid back first
    late = asyncio.ensure_future(budget.acquire(1, Urgency.RESULT))
    await asyncio.sleep(0.3)
    at_once += [takes[-1].done(), late.done()]
    for take in (*takes, late):
        take.cancel()
    return at_once


def test_a_user_does_not_wait_for_what_results_have_taken() -> None:
    assert asyncio.run(_ahead()) == [True] * 10 + [True] * 5 + [False] + [True, False]


def test_the_write_limit_is_split_by_demand() -> None:
    busy, idle = _client(Clock()), _client(Clock())
    idle.share_writes([20.0, 0.0, 0.0, 0.0])
    assert idle.max_puts <= 3
    busy._writes._demand = 20.0
    busy.share_writes([0.0, 0.0, 0.0, 0.0])
    assert busy.max_puts >= 12


def test_what_nodes_without_the_state_service_cannot_use_goes_to_the_others() -> None:
    """kerlann-fonts-fleet loss: one node of five had the state service and a fifth of its limits."""

    def rates(state_age: float) -> tuple[float, float]:
        controller = Controller(parse_settings(Cluster().settings("n0")), OperatorSettings())
        for peer in ("n1", "n2"):
            controller._receive(peers.pack(peers.Heartbeat(peer, 1, False, state_age, 0, writes=30.0)))
        controller._share_writes()
        return round(controller._client.write_rate), round(controller._client._requests.rate)

    # The stand-in's limits are 100 changes and 200 requests a second, 45% of these for other than the view's reads.
    assert rates(state_age=0.1) == (17, 30)
    assert rates(state_age=9.0) == (95, 90)
