"""Network partitions of the leader from the state service or its peers, and of a machine that receives nothing.

A leader that reaches only its workers must hand them over to a successor at once, without waiting until its authority
ends. A leader must stay the leader if only its peers can't reach it, also while a machine receives nothing.
"""

import asyncio

from gingerspar.coordination.membership.term import LIVENESS_LOST_AFTER
from tests.standins.cloud import wait_until
from tests.standins.cluster import NODE_NAMES, Cluster


def _all_report_to(cluster: Cluster, node: str, sessions: dict[str, int]) -> bool:
    """Whether all workers in ``sessions`` report to the node and none of their leases has expired since."""
    workers = {name: cluster.cloud.workers[name] for name in sessions}
    return all(worker.node == node and worker.session == sessions[name] for name, worker in workers.items())


async def start_job(cluster: Cluster) -> tuple[str, dict[str, int]]:
    """Submits a job and waits until it runs; returns the leader and the sessions of the workers that run it."""
    assert await wait_until(lambda: cluster.submit_job("n0", 1), 10), "no job was accepted"
    assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 3, 15), "the job did not start"
    leader = cluster.leader()
    assert leader is not None
    return leader, {name: worker.session for name, worker in cluster.cloud.workers.items() if worker.tasks}


async def _leader_reaches_only_workers(*, restarts: bool) -> None:
    """The state service refuses the leader and its connections to peers fail; ``restarts``: it also restarts at once.

    Another controller must raise the term and get all workers before a lease expires. A new job must start there while
    the former leader is still partitioned, and the term must stay there when the partition has ended.
    """
    # The leader's authority lasts for 55 s. Unless it learns of the new term, it keeps its workers for that time.
    cluster = Cluster(run_seconds=60, cancel_s=60)
    cluster.start()
    try:
        leader, sessions = await start_job(cluster)
        cluster.state.refused_nodes, cluster.isolated = {leader}, {leader}
        if restarts:  # the new process does not know of any term
            await asyncio.sleep(0.3)
            await cluster.kill(leader)
            cluster.start_node(leader)
        others = [name for name in NODE_NAMES if name != leader]
        assert await wait_until(lambda: cluster.leader() in others, 8), "no other controller raised the term"
        successor = cluster.leader()
        assert successor is not None
        assert await wait_until(lambda: _all_report_to(cluster, successor, sessions), 8), (
            "workers still report to the former leader"
        )

        # A new job starts while the former leader is still partitioned.
        assert await cluster.submit_job(successor, 2)
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 6, 10), "the second job did not start"
        assert (await cluster.request(leader, "GET", "/v1/jobs/wk-000001"))[0] == 503
        cluster.state.refused_nodes, cluster.isolated = set(), set()
        await asyncio.sleep(3)
        assert cluster.leader() == successor, "the term moved again when the partition ended"
        assert sessions.items() <= {name: w.session for name, w in cluster.cloud.workers.items()}.items()
        assert len(cluster.cloud.active_tasks()) == 6
        assert not cluster.cloud.violations
    finally:
        await cluster.stop()


def test_leader_without_state_service_and_peers_loses_workers_to_successor() -> None:
    asyncio.run(asyncio.wait_for(_leader_reaches_only_workers(restarts=False), 60))


def test_restarted_leader_without_state_service_and_peers_loses_workers_to_successor() -> None:
    asyncio.run(asyncio.wait_for(_leader_reaches_only_workers(restarts=True), 60))


async def _leader_without_peers() -> None:
    """Only the leader's connections to peers fail, for 2 s longer than peers wait for its liveness marks.

    The leader writes liveness marks to the state service, so the term must not move.
    """
    cluster = Cluster(run_seconds=60, cancel_s=60)
    cluster.start()
    try:
        leader, sessions = await start_job(cluster)
        cluster.isolated = {leader}
        await asyncio.sleep(LIVENESS_LOST_AFTER.total_seconds() + 2)
        assert cluster.leader() == leader
        assert _all_report_to(cluster, leader, sessions)
    finally:
        await cluster.stop()


def test_leader_without_peers_stays_leader_by_liveness_marks() -> None:
    asyncio.run(asyncio.wait_for(_leader_without_peers(), 60))


async def _machine_receives_nothing() -> None:
    """A machine with tasks receives nothing any more (one-way network failure) while the leader has no peers.

    The machine's reports to other controllers must not move the term. The leader must return the machine to the cloud
    and place its tasks on other machines.
    """
    cluster = Cluster(run_seconds=3, cancel_s=60)
    cluster.start()
    try:
        leader, sessions = await start_job(cluster)
        machine = next(iter(sessions))
        cluster.cloud.workers[machine].receives_nothing = True
        cluster.isolated = {leader}
        assert await wait_until(lambda: machine not in cluster.cloud.workers, 25), (
            "the machine was not returned to the cloud"
        )
        assert cluster.leader() == leader, "the machine's reports moved the term"
        assert await wait_until(lambda: _is_job_done(cluster, leader), 15), "the machine's tasks were not placed again"
        assert not cluster.cloud.violations
    finally:
        await cluster.stop()


async def _is_job_done(cluster: Cluster, node: str) -> bool:
    status, body = await cluster.request(node, "GET", "/v1/jobs/wk-000001")
    return status == 200 and body["Status"] == "done"


def test_machine_that_receives_nothing_is_returned_and_does_not_move_the_term() -> None:
    asyncio.run(asyncio.wait_for(_machine_receives_nothing(), 60))
