"""Two troubles at once, by simulated time: the rules hold where they meet."""

import asyncio

import pytest

from gingerspar.coordination.membership.term import authority_span
from gingerspar.protocol.settings import WorkerFacts
from tests.standins.cloud import settle
from tests.standins.cluster import NAMES, Cluster
from tests.standins.simulated import SimulatedClock, play
from tests.standins.worker import LEASE


def job_name(number: int) -> str:
    return f"wk-{number:06d}"


async def started(cancel_s: float, jobs: int, run_seconds: float = 3600) -> Cluster:
    """A cluster by simulated time on which so many jobs of three tasks run."""
    cluster = Cluster(run_seconds, cancel_s, clock=SimulatedClock())
    cluster.start()
    for number in range(1, jobs + 1):
        assert await settle(lambda number=number: cluster.accepts("n0", number), 10), "a job was not accepted"
    assert await settle(lambda: len(cluster.cloud.tasks()) == 3 * jobs, 30), "the jobs did not start"
    return cluster


def on_machines(cluster: Cluster, number: int) -> int:
    return sum(task.startswith(job_name(number)) for task in cluster.cloud.tasks())


def holder_and_others(cluster: Cluster) -> tuple[str, list[str]]:
    holder = cluster.holder()
    assert holder is not None
    return holder, [name for name in NAMES if name != holder]


# -- the state service refuses the leader alone, another controller cancels, then nobody has the state service -------


async def _cancelled_behind_its_back(cancel_s: float, *, links: bool, direct: bool) -> None:
    cluster = await started(cancel_s, jobs=3)
    clock = asyncio.get_running_loop().time
    span = authority_span(WorkerFacts(report_s=0.3, lease_s=LEASE, cancel_s=cancel_s)).total_seconds()
    try:
        for number in (1, 2):  # twice in a row, the second time perhaps with another leader
            holder, others = holder_and_others(cluster)
            for worker in cluster.cloud.workers.values():
                worker.unordered = not direct
            cluster.state.refused = {holder}
            cluster.apart = set() if links else set(NAMES)
            await asyncio.sleep(0.4)
            status, body = await cluster.ask(others[0], "POST", f"/v1/jobs/{job_name(number)}/abort", b"")
            confirmed = clock()
            assert (status, body["Status"]) == (200, "aborted")
            cluster.state.down = True

            # What is not cancelled runs on for as long as it may.
            await asyncio.sleep(max(span - 0.5, 0))
            assert on_machines(cluster, 3) == 3
            if links:  # its peers tell the leader at once
                assert span < 1 or cluster.cloud.gone[job_name(number)] - confirmed < 1
            await asyncio.sleep(confirmed + 1.5 * cancel_s + LEASE - clock())
            assert on_machines(cluster, number) == 0
            assert cluster.cloud.gone[job_name(number)] - confirmed < cancel_s

            cluster.state.down, cluster.state.refused, cluster.apart = False, set(), set()
            assert await settle(lambda: on_machines(cluster, 3) == 3, 30), "the other work did not go on"
            await asyncio.sleep(5)
        assert on_machines(cluster, 1) == on_machines(cluster, 2) == 0
        assert not cluster.cloud.broken
    finally:
        await cluster.stop()


@pytest.mark.parametrize("direct", [True, False], ids=["direct stops arrive", "direct stops are lost"])
@pytest.mark.parametrize("links", [True, False], ids=["links up", "links refused"])
@pytest.mark.parametrize("cancel_s", [5.0, 6.5, 12.0])
def test_cancelled_while_the_leader_is_refused_then_an_outage(cancel_s: float, links: bool, direct: bool) -> None:
    play(_cancelled_behind_its_back(cancel_s, links=links, direct=direct))


def test_the_same_where_the_leader_goes_on_for_far_longer_than_a_lease() -> None:
    play(_cancelled_behind_its_back(60.0, links=False, direct=False))


# -- a zone is lost, and the leader with it -----------------------------------------------------------------------


async def _leader_lost_with_a_zone() -> None:
    # The leader is cut off from everything but one machine, which has room for what runs on the other; its
    # authority lasts for far longer than a lease.
    cluster = await started(60, jobs=1)
    try:
        holder, others = holder_and_others(cluster)
        inside, outside = sorted(
            (worker for worker in cluster.cloud.workers.values() if worker.tasks), key=lambda w: len(w.tasks)
        )
        cluster.state.refused, cluster.apart = {holder}, {holder}
        inside.reaches, outside.reaches = {holder}, set(others)
        assert await settle(lambda: cluster.holder() in others, 20), "nobody took the term"
        assert await settle(lambda: outside.node == cluster.holder(), 10), "its workers did not find it"
        await asyncio.sleep(3 * LEASE)  # silent to the leader in the zone for longer than a lease
        assert not cluster.cloud.broken
        assert outside.session == 1

        cluster.state.refused, cluster.apart = set(), set()
        inside.reaches, outside.reaches = set(NAMES), set(NAMES)
        await asyncio.sleep(30)
        assert len(cluster.cloud.tasks()) == 3
        assert not cluster.cloud.broken
    finally:
        await cluster.stop()


def test_a_leader_lost_with_a_zone_starts_nothing_that_runs_under_its_successor() -> None:
    """bench/days/zone-lost-vatuloa: 557 tasks ran in two places at once."""
    play(_leader_lost_with_a_zone())
