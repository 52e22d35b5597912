"""A controller left with its workers alone; machines that hear nothing."""

import asyncio

from gingerspar.coordination.membership.term import LIVENESS_LOST_AFTER
from tests.standins.cloud import wait_until
from tests.standins.cluster import NODE_NAMES, Cluster


def _settled(cluster: Cluster, node: str, sessions: dict[str, int]) -> bool:
    """All workers that had tasks report to the node, and none has lost its lease."""
    workers = {name: cluster.cloud.workers[name] for name in sessions}
    return all(worker.node == node and worker.session == sessions[name] for name, worker in workers.items())


async def running(cluster: Cluster) -> tuple[str, dict[str, int]]:
    """The leader once a job runs, and the sessions of the workers that run it."""
    assert await wait_until(lambda: cluster.submit_job("n0", 1), 10), "no job was accepted"
    assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 3, 15), "the job did not start"
    leader = cluster.leader()
    assert leader is not None
    return leader, {name: worker.session for name, worker in cluster.cloud.workers.items() if worker.tasks}


async def _left_with_its_workers(*, ends: bool) -> None:
    # The leader's authority lasts for 55 s: without being told it would keep its workers for as long.
    cluster = Cluster(run_seconds=60, cancel_s=60)
    cluster.start()
    try:
        leader, sessions = await running(cluster)
        cluster.state.refused_nodes, cluster.isolated = {leader}, {leader}
        if ends:  # and is back at once: it has heard of no term then
            await asyncio.sleep(0.3)
            await cluster.kill(leader)
            cluster.start_node(leader)
        others = [name for name in NODE_NAMES if name != leader]
        assert await wait_until(lambda: cluster.leader() in others, 8), "nobody took the term"
        successor = cluster.leader()
        assert successor is not None
        assert await wait_until(lambda: _settled(cluster, successor, sessions), 8), "workers were kept"

        # Work goes on: a new job starts while the former leader still hears nobody.
        assert await cluster.submit_job(successor, 2)
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 6, 10), "the second job did not start"
        assert (await cluster.request(leader, "GET", "/v1/jobs/wk-000001"))[0] == 503
        cluster.state.refused_nodes, cluster.isolated = set(), set()
        await asyncio.sleep(3)
        assert cluster.leader() == successor, "the term went back"
        assert sessions.items() <= {name: w.session for name, w in cluster.cloud.workers.items()}.items()
        assert len(cluster.cloud.active_tasks()) == 6
        assert not cluster.cloud.violations
    finally:
        await cluster.stop()


def test_a_leader_without_state_service_and_peers_hands_its_workers_on() -> None:
    asyncio.run(asyncio.wait_for(_left_with_its_workers(ends=False), 60))


def test_the_same_with_its_process_ended_and_back_at_once() -> None:
    asyncio.run(asyncio.wait_for(_left_with_its_workers(ends=True), 60))


async def _without_peers_only() -> None:
    cluster = Cluster(run_seconds=60, cancel_s=60)
    cluster.start()
    try:
        leader, sessions = await running(cluster)
        cluster.isolated = {leader}
        await asyncio.sleep(LIVENESS_LOST_AFTER.total_seconds() + 2)
        assert cluster.leader() == leader
        assert _settled(cluster, leader, sessions)
    finally:
        await cluster.stop()


def test_a_leader_that_no_peer_hears_shows_itself_in_the_state_service() -> None:
    asyncio.run(asyncio.wait_for(_without_peers_only(), 60))


async def _deaf() -> None:
    """One of the machines hears nothing any more, while the leader's peers can't hear it either."""
    cluster = Cluster(run_seconds=3, cancel_s=60)
    cluster.start()
    try:
        leader, sessions = await running(cluster)
        deaf = next(iter(sessions))
        cluster.cloud.workers[deaf].receives_nothing = True
        cluster.isolated = {leader}
        assert await wait_until(lambda: deaf not in cluster.cloud.workers, 25), "it was not given back"
        assert cluster.leader() == leader, "its visits moved the term"
        assert await wait_until(lambda: _done(cluster, leader), 15), "its tasks were not placed again"
        assert not cluster.cloud.violations
    finally:
        await cluster.stop()


async def _done(cluster: Cluster, node: str) -> bool:
    status, body = await cluster.request(node, "GET", "/v1/jobs/wk-000001")
    return status == 200 and body["Status"] == "done"


def test_a_machine_that_hears_nothing_is_given_back_and_moves_no_term() -> None:
    asyncio.run(asyncio.wait_for(_deaf(), 60))
