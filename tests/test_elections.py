"""Controllers restart within a fraction of a second while they raise the term.

The result of the transaction is then unknown to the new process. There must be one leader within seconds,
before the workers' leases expire.
"""

import asyncio
from collections.abc import Callable

import pytest

from gingerspar.transport.server import Answer
from tests.standins.cloud import wait_until
from tests.standins.cluster import NODE_NAMES, Cluster
from tests.standins.state import answer
from tests.test_isolated_leader import start_job

RESTART_S = 0.3  # between the end of a process and the start of the next one


def _term(cluster: Cluster) -> int:
    return int(cluster.state.keys["gs/term"][0]["term"])


def _has_one_dispatching_leader(cluster: Cluster) -> bool:
    """Whether exactly one controller may send commands, the leader according to the state service."""
    return cluster.dispatching_nodes() == [cluster.leader()]


async def _restart_while_raising_the_term(*, late: bool, other_restarts: int, interrupted_attempts: int) -> None:
    """The leader restarts; so does the controller that then raises the term, during its transaction.

    - ``late``: the transaction is carried out once the controller's next process has started; otherwise it is carried
      out at once, but its response is lost.
    - ``other_restarts``: number of other controllers that restart at the same time.
    - ``interrupted_attempts``: number of attempts to raise the term that are interrupted in this way.

    All tasks must run on, no worker's lease may expire, and the term may grow by at most 1 for the leader's restart
    and 1 for each interrupted attempt.
    """
    cluster = Cluster(run_seconds=60)
    cluster.start()
    restarts: list[asyncio.Task[None]] = []
    try:
        leader, sessions = await start_job(cluster)
        term_before = _term(cluster)

        async def interrupt(node: str, commit: Callable[[], Answer]) -> Answer:
            if len(restarts) >= interrupted_attempts:
                cluster.state.on_term_write = None
                return commit()
            if not late:
                commit()
            restarted_with_it = [name for name in NODE_NAMES if name != node][:other_restarts]
            restarts.append(asyncio.ensure_future(restart_during_transaction(node, restarted_with_it, commit)))
            await asyncio.sleep(5)
            return answer(503, {})

        async def restart_during_transaction(
            node: str, restarted_with_it: list[str], commit: Callable[[], Answer]
        ) -> None:
            await asyncio.gather(*(cluster.restart(name, RESTART_S) for name in (node, *restarted_with_it)))
            if late:
                commit()

        cluster.state.on_term_write = interrupt
        await cluster.restart(leader, RESTART_S)
        assert await wait_until(lambda: len(restarts) == interrupted_attempts, 8), (
            "no controller tried to raise the term"
        )
        await asyncio.gather(*restarts)
        assert await wait_until(lambda: _has_one_dispatching_leader(cluster), 5), (
            "there is no single leader that sends commands"
        )
        await asyncio.sleep(2)
        assert _has_one_dispatching_leader(cluster)
        assert _term(cluster) - term_before <= 1 + interrupted_attempts
        # All tasks still run, no worker's lease has expired and no task was started twice.
        assert len(cluster.cloud.active_tasks()) == 3
        assert sessions.items() <= {name: worker.session for name, worker in cluster.cloud.workers.items()}.items()
        assert not cluster.cloud.violations
    finally:
        await cluster.stop()


CASES = {
    "response is lost": {"late": False, "other_restarts": 0, "interrupted_attempts": 1},
    "transaction is late": {"late": True, "other_restarts": 0, "interrupted_attempts": 1},
    "another controller restarts too": {"late": False, "other_restarts": 1, "interrupted_attempts": 1},
    "all controllers restart and transaction is late": {"late": True, "other_restarts": 2, "interrupted_attempts": 1},
}


@pytest.mark.parametrize("case", CASES)
def test_controller_restarts_while_it_raises_the_term(case: str) -> None:
    asyncio.run(asyncio.wait_for(_restart_while_raising_the_term(**CASES[case]), 60))  # type: ignore[arg-type]
