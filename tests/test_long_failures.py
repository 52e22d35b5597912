"""Long combined failures in simulated time: longer than a lease, ten changes of leader, more work than capacity."""

import asyncio
from random import Random

import pytest

from tests.standins.cloud import wait_until
from tests.standins.cluster import NODE_NAMES, Cluster, job
from tests.standins.simulated_time import SimulatedClock, run_simulated
from tests.standins.users import Users
from tests.standins.worker import LEASE_S
from tests.test_combined_failures import cancel_job, count_tasks, leader_and_others, start_cluster


async def _lose_contact(failure: str) -> None:
    """Two jobs run while workers and controllers lose contact for longer than a lease.

    Either all controllers are down, or the reports of the workers with tasks reach no controller while commands still
    reach these workers; in the second case the leader also restarts. After the failure job 2 is cancelled. At the end
    the tasks of job 1 run and those of job 2 do not.
    """
    cluster = await start_cluster(12, jobs=2, spare=True)
    try:
        busy = [worker for worker in cluster.cloud.workers.values() if worker.tasks]
        if failure == "all controllers down":
            for name in NODE_NAMES:
                await cluster.kill(name)
            await asyncio.sleep(LEASE_S + 3)
            for name in NODE_NAMES:
                cluster.start_node(name)
        else:
            for worker in busy:
                worker.reachable_nodes = set()
            leader, _ = leader_and_others(cluster)
            await cluster.restart(leader, 0.5)
            await asyncio.sleep(3 * LEASE_S)
            for worker in busy:
                worker.reachable_nodes = set(NODE_NAMES)
        assert await wait_until(lambda: cancel_job(cluster, 2), 20)
        assert await wait_until(lambda: count_tasks(cluster, 1) == 3, 30), "the tasks of job 1 do not run"
        await asyncio.sleep(10)
        assert (count_tasks(cluster, 1), count_tasks(cluster, 2)) == (3, 0)
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("failure", ["all controllers down", "worker reports lost"])
def test_no_contact_for_longer_than_a_lease(failure: str) -> None:
    run_simulated(_lose_contact(failure))


async def _change_leader_ten_times(*, outage: bool) -> None:
    """Restarts the leader ten times in two minutes; with ``outage``, the state service is down during three of them.

    At the end both jobs run. Without the outage each task was started only once.
    """
    cluster = await start_cluster(30, jobs=2, spare=True)
    terms: set[int] = set()
    try:
        for change in range(10):
            leader, _ = leader_and_others(cluster)
            cluster.state.down = outage and 3 <= change < 6
            await cluster.restart(leader, 0.4)
            await asyncio.sleep(9)
            terms.add(cluster.state.keys["gs/term"][0]["term"])
        assert len(terms) >= (7 if outage else 10)
        assert await wait_until(lambda: count_tasks(cluster, 1) == count_tasks(cluster, 2) == 3, 30)
        if not outage:
            assert set(cluster.cloud.start_counts.values()) == {1}, "tasks were started again"
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("outage", [False, True], ids=["state service up", "state service outage"])
def test_ten_changes_of_leader_in_two_minutes(outage: bool) -> None:
    run_simulated(_change_leader_ten_times(outage=outage))


async def _partition_zone(*, with_leader: bool) -> None:
    """Partitions zone a, with its workers and one controller, from the rest for three leases.

    The controller in the zone reaches neither the state service nor the other controllers; the workers in the zone
    send their reports only to it and receive no direct commands. Meanwhile jobs 1, 3 and 4 are cancelled, which may run
    in zone a, in zone b and in any zone. After the partition jobs 2 and 5 run, and nothing else.
    """
    cluster = Cluster(3600, 12, clock=SimulatedClock(), zones=("a", "b"))
    cluster.cloud.startup_s, cluster.idle_return_s = 60.0, 600.0
    cluster.start()
    try:
        for number, zone in enumerate(["a", "a", "b", None, "b"], 1):
            assert await wait_until(lambda number=number, zone=zone: cluster.submit_job("n0", number, Hall=zone), 10)
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 15, 30)
        leader, others = leader_and_others(cluster)
        inside = leader if with_leader else others[0]
        outside = [name for name in NODE_NAMES if name != inside]
        cluster.state.refused_nodes, cluster.isolated = {inside}, {inside}
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes = {inside} if worker.zone == "a" else set(outside)
            worker.receives_no_commands = worker.zone == "a"
        await asyncio.sleep(0.5)
        for number in (1, 3, 4):
            assert await wait_until(lambda number=number: cancel_job(cluster, number, outside[-1]), 20)
        await asyncio.sleep(3 * LEASE_S)
        cluster.state.refused_nodes, cluster.isolated = set(), set()
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes, worker.receives_no_commands = set(NODE_NAMES), False
        assert await wait_until(lambda: count_tasks(cluster, 2) == count_tasks(cluster, 5) == 3, 40), (
            "jobs 2 and 5 do not run"
        )
        await asyncio.sleep(10)
        assert len(cluster.cloud.active_tasks()) == 6
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("with_leader", [True, False], ids=["with the leader", "with another controller"])
def test_zone_partitioned_for_longer_than_a_lease(with_leader: bool) -> None:
    run_simulated(_partition_zone(with_leader=with_leader))


async def _fail_machines_of_zone_bound_jobs() -> None:
    """Arrays and gangs that may run only in one zone, or only within a single zone, lose machines again and again.

    Every 4 s, six times, each machine with tasks fails with a probability of 30 %, and the leader restarts with a
    probability of 40 %. All jobs end as done.
    """
    cluster = Cluster(8.0, 12, clock=SimulatedClock(), zones=("a", "b", "c"), limits={"red": 60.0})
    users = Users(cluster, Random(3))
    random = Random(8)
    cluster.start()
    try:
        for number in range(1, 10):
            spec = job(
                number,
                Pieces=random.randint(2, 5),
                Shape="gang" if number % 3 == 0 else "batch",
                Hall=random.choice(["a", "b", None]),
                SamePlace=number % 2 == 0,
                Loaners=number % 4 != 0,
                GuessS=8.0,
            )
            users.specs[spec["Ref"]] = cluster.cloud.jobs[spec["Ref"]] = spec
            users.lifecycles.append(asyncio.ensure_future(users.run_lifecycle(spec, number * 0.5, None)))
        for _ in range(6):
            await asyncio.sleep(4)
            for worker in list(cluster.cloud.workers.values()):
                if worker.tasks and random.random() < 0.3:
                    cluster.cloud.fail_worker(worker.name)
            if random.random() < 0.4:
                leader, _ = leader_and_others(cluster)
                await cluster.restart(leader, 0.3)
        await asyncio.wait_for(asyncio.gather(*users.lifecycles), 200)
        assert set(users.final_status.values()) == {"done"}
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_jobs_bound_to_one_zone_lose_machines() -> None:
    run_simulated(_fail_machines_of_zone_bound_jobs())


async def _submit_more_work_than_capacity() -> None:
    """Submits urgent and standard jobs, three times what the teams' limits allow at once, over slow links.

    40 jobs are submitted within 20 s, requests to the state service take up to 0.25 s longer, and the leader restarts
    every 8 s, three times. All jobs end as done.
    """
    cluster = Cluster(4.0, 12, clock=SimulatedClock(), limits={"red": 32.0, "blue": 24.0})
    users = Users(cluster, Random(6))
    random = Random(9)
    cluster.state.response_delay = lambda: random.uniform(0, 0.25)
    cluster.start()
    try:
        for number in range(1, 41):
            spec = job(
                number,
                Crew="red" if number % 3 else "blue",
                Urgency="urgent" if number % 2 else "standard",
                Pieces=random.randint(1, 6),
                GuessS=random.uniform(2, 6),
            )
            users.specs[spec["Ref"]] = cluster.cloud.jobs[spec["Ref"]] = spec
            users.lifecycles.append(asyncio.ensure_future(users.run_lifecycle(spec, random.uniform(0, 20), None)))
        for _ in range(3):
            await asyncio.sleep(8)
            leader, _ = leader_and_others(cluster)
            await cluster.restart(leader, 0.3)
        users.failures_ended_at = users.now()
        watch = asyncio.ensure_future(users.watch_waiting())
        await asyncio.wait_for(asyncio.gather(*users.lifecycles), 240)
        watch.cancel()
        assert list(users.final_status.values()) == ["done"] * 40
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_more_work_than_capacity_with_slow_state_service() -> None:
    run_simulated(_submit_more_work_than_capacity())
