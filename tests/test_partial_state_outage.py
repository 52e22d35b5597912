"""Two small troubles at once must not become an outage that the controllers make."""

import asyncio

from tests.standins.cloud import wait_until
from tests.standins.cluster import NODE_NAMES, Cluster


async def _four_refused_then_outage() -> None:
    cluster = Cluster(run_seconds=60)
    cluster.start()
    try:
        assert await wait_until(lambda: cluster.submit_job("n0", 1), 10), "no job was accepted"
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 3, 15), "the job did not start"
        leader = cluster.leader()
        assert leader is not None
        sessions = {name: worker.session for name, worker in cluster.cloud.workers.items() if worker.tasks}

        # All but one controller lose the state service; a second later it is gone for that one too.
        last = next(name for name in NODE_NAMES if name != leader)
        cluster.state.refused_nodes = set(NODE_NAMES) - {last}
        await asyncio.sleep(1)
        cluster.state.down = True
        await asyncio.sleep(5.5)  # longer than a lease; the leader's authority lasts for 7 s
        assert cluster.leader() == leader
        cluster.state.down = False
        assert await wait_until(lambda: cluster.leader() == last, 10), "nobody took the term"

        # The successor finds all of it running, and its workers have never been without a commander.
        await asyncio.sleep(3)
        assert len(cluster.cloud.active_tasks()) == 3
        assert sessions == {name: cluster.cloud.workers[name].session for name in sessions}
        assert all(cluster.cloud.workers[name].node == last for name in sessions)
        cluster.state.refused_nodes = set()
        assert not cluster.cloud.violations
    finally:
        await cluster.stop()


def test_all_but_one_lose_the_state_service_and_then_it_is_out() -> None:
    """kerlann-fonts-fleet loss: the leader gave up for a peer that had lost the service as well."""
    asyncio.run(asyncio.wait_for(_four_refused_then_outage(), 60))
