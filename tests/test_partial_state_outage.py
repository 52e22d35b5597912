"""The state service refuses all controllers but one, then it goes down for that controller, too.

Together the two failures must not cause an outage of the controllers: the leader stays until a controller that can
read the state service again takes over, and no worker's lease expires.
"""

import asyncio

from tests.standins.cloud import wait_until
from tests.standins.cluster import NODE_NAMES, Cluster


async def _all_but_one_refused_then_outage() -> None:
    cluster = Cluster(run_seconds=60)
    cluster.start()
    try:
        assert await wait_until(lambda: cluster.submit_job("n0", 1), 10), "no job was accepted"
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 3, 15), "the job did not start"
        leader = cluster.leader()
        assert leader is not None
        sessions = {name: worker.session for name, worker in cluster.cloud.workers.items() if worker.tasks}

        # The state service refuses all controllers but one; a second later it is down for that controller, too.
        remaining = next(name for name in NODE_NAMES if name != leader)
        cluster.state.refused_nodes = set(NODE_NAMES) - {remaining}
        await asyncio.sleep(1)
        cluster.state.down = True
        await asyncio.sleep(5.5)  # longer than a lease (4 s), but shorter than the leader's authority (7 s)
        assert cluster.leader() == leader
        cluster.state.down = False
        assert await wait_until(lambda: cluster.leader() == remaining, 10), "the remaining controller did not take over"

        # All tasks still run under the successor, and no worker's lease has expired.
        await asyncio.sleep(3)
        assert len(cluster.cloud.active_tasks()) == 3
        assert sessions == {name: cluster.cloud.workers[name].session for name in sessions}
        assert all(cluster.cloud.workers[name].node == remaining for name in sessions)
        cluster.state.refused_nodes = set()
        assert not cluster.cloud.violations
    finally:
        await cluster.stop()


def test_state_service_refuses_all_but_one_controller_then_goes_down() -> None:
    """kerlann-fonts-fleet loss: the leader resigned in favour of a peer that had lost the state service as well."""
    asyncio.run(asyncio.wait_for(_all_but_one_refused_then_outage(), 60))
