"""Controllers that end and are back within a fraction of a second, in the middle of an election."""

import asyncio
from collections.abc import Callable

import pytest

from gingerspar.transport.server import Answer
from tests.standins.cloud import wait_until
from tests.standins.cluster import NODE_NAMES, Cluster
from tests.standins.state import answer
from tests.test_isolated_leader import running

BACK = 0.3  # seconds


def _term(cluster: Cluster) -> int:
    return int(cluster.state.keys["gs/term"][0]["term"])


def _commanded(cluster: Cluster) -> bool:
    """Exactly one controller commands, and it is the leader on record."""
    return cluster.dispatching_nodes() == [cluster.leader()]


async def _the_one_that_raises_ends(*, late: bool, others: int, rounds: int) -> None:
    """The leader ends; each of the next ``rounds`` to raise the term does so in the middle of it.

    ``late``: its raise is carried out only once its next process is up; else at once, and the answer is lost.
    ``others``: so many more controllers end with it.
    """
    cluster = Cluster(run_seconds=60)
    cluster.start()
    ended: list[asyncio.Task[None]] = []
    try:
        leader, sessions = await running(cluster)
        before = _term(cluster)

        async def end(node: str, carry_out: Callable[[], Answer]) -> Answer:
            if len(ended) >= rounds:
                cluster.state.on_term_write = None
                return carry_out()
            if not late:
                carry_out()
            with_it = [name for name in NODE_NAMES if name != node][:others]
            ended.append(asyncio.ensure_future(_end(node, with_it, carry_out)))
            await asyncio.sleep(5)
            return answer(503, {})

        async def _end(node: str, with_it: list[str], carry_out: Callable[[], Answer]) -> None:
            await asyncio.gather(*(cluster.restart(name, BACK) for name in (node, *with_it)))
            if late:
                carry_out()

        cluster.state.on_term_write = end
        await cluster.restart(leader, BACK)
        assert await wait_until(lambda: len(ended) == rounds, 8), "nobody tried to raise the term"
        await asyncio.gather(*ended)
        assert await wait_until(lambda: _commanded(cluster), 5), "nobody commands"
        await asyncio.sleep(2)
        assert _commanded(cluster)
        assert _term(cluster) - before <= 1 + rounds
        # What ran runs on: nobody was without a commander for a lease, nothing was started twice.
        assert len(cluster.cloud.active_tasks()) == 3
        assert sessions.items() <= {name: worker.session for name, worker in cluster.cloud.workers.items()}.items()
        assert not cluster.cloud.violations
    finally:
        await cluster.stop()


CASES = {
    "its answer is lost": {"late": False, "others": 0, "rounds": 1},
    "it is applied late": {"late": True, "others": 0, "rounds": 1},
    "one more ends with it": {"late": False, "others": 1, "rounds": 1},
    "all end with it, and it is applied late": {"late": True, "others": 2, "rounds": 1},
}


@pytest.mark.parametrize("case", CASES)
def test_the_one_that_raises_the_term_ends_in_the_middle_of_it(case: str) -> None:
    asyncio.run(asyncio.wait_for(_the_one_that_raises_ends(**CASES[case]), 60))  # type: ignore[arg-type]
