"""The term holder's dealings with the cloud while it may be cut off."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from gingerspar.coordination.books.ledger import MachineState
from gingerspar.coordination.holder.command import CommandPost
from gingerspar.coordination.holder.dispatcher import Dispatcher
from gingerspar.protocol.settings import OperatorSettings, WorkerFacts
from gingerspar.transport.clock import Clock


class _Cloud:
    def __init__(self) -> None:
        self.returned: list[str] = []
        self.rented = 0

    async def give_back(self, machines: list[str]) -> None:
        self.returned += machines

    async def rent(self, request: Any) -> list[str]:
        self.rented += 1
        return ["n-2"]


async def _orders(age: list[timedelta]) -> _Cloud:
    """Asks for a return and a rental while the last read of the state is ``age`` old."""
    cloud = _Cloud()
    workers = WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43)
    dispatcher = Dispatcher(1, timedelta(0), workers, [])
    machine = dispatcher.book.add_machine("n-1", "big", "a", False, timedelta(0), MachineState.LOST)
    machine.move(MachineState.RETURNING)
    view: Any = SimpleNamespace(on_job=[], roster={}, age=lambda: age[0], final_spec=lambda job: None)
    rest: Any = SimpleNamespace()
    facts: Any = SimpleNamespace()
    post = CommandPost(
        "n1", dispatcher, rest, view, rest, cloud, Clock(), facts, OperatorSettings(),  # type: ignore[arg-type]
        lambda: True, lambda node, jobs: None, lambda node, job, attempt: None,
    )  # fmt: skip
    returning = asyncio.ensure_future(post._give_back([machine]))
    await post._rent(("big", "a", False), 1)
    await asyncio.sleep(0.05)
    assert returning.done() == bool(cloud.returned)
    returning.cancel()
    return cloud


def test_a_holder_that_may_be_cut_off_orders_nothing() -> None:
    """Found by bench/days/sick-and-cut: returns held by a cut took all machines minutes later."""
    cloud = asyncio.run(_orders([timedelta(seconds=5)]))
    assert (cloud.returned, cloud.rented) == ([], 0)


def test_a_holder_with_fresh_state_orders() -> None:
    cloud = asyncio.run(_orders([timedelta(seconds=0.1)]))
    assert (cloud.returned, cloud.rented) == (["n-1"], 1)
