"""Further meetings, by simulated time: limits of teams, what is answered at all nodes, hung machines, lost answers."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from gingerspar.protocol.messages import JobStatus, parse_job
from gingerspar.storage import records
from tests.standins.cloud import ARRAY, settle
from tests.standins.cluster import Cluster, job
from tests.standins.simulated import SimulatedClock, play
from tests.standins.worker import Worker
from tests.test_meetings import _cancelled, job_name, leader_and_others, on_machines, started

# -- every team is at its limit, jobs are cancelled whose machines don't stop them, the leader changes ------------


def _over_before(cluster: Cluster, jobs: int) -> None:
    """The state service has so many jobs that were cancelled, with ids that come after all others."""
    cluster.state.revision += 1
    for number in range(500_000, 500_000 + jobs):
        record = records.JobRecord(parse_job(job(number)), JobStatus.CANCELLED)
        value = msgspec.json.decode(records.pack(record))
        cluster.state.keys[records.job_key(job_name(number))] = (value, cluster.state.revision, None)


def _as_it_comes_to(worker: Worker, node: str, then: Callable[[Worker], None]) -> None:
    """Something befalls the worker just as its first report to that node leaves."""
    report = worker.report

    async def first_report(sent: float) -> bool:
        if worker.node == node:
            worker.report = report  # type: ignore[method-assign]
            then(worker)
        return await report(sent)

    worker.report = first_report  # type: ignore[method-assign]


def _with_tasks_of(cluster: Cluster, number: int) -> list[Worker]:
    return [
        worker for worker in cluster.cloud.workers.values()
        if any(piece.startswith(job_name(number)) for piece, _ in worker.tasks)
    ]  # fmt: skip


async def _at_the_limit() -> None:
    """The machines are told of the new leader directly, so that what they are answered first is no longer a stop.

    That leader is a new process, which has read of the cancellation together with all other jobs that are over.
    """
    cluster = Cluster(3600, 14, clock=SimulatedClock(), zones=("a", "b"), limits={"red": 24.0, "blue": 0.0})
    cluster.cloud.startup_s, cluster.idle_return_s = 60.0, 600.0  # so machines are kept
    cluster.cloud.jobs[job_name(9)] = {**ARRAY, "Crew": "blue"}
    _over_before(cluster, 2100)
    cluster.start()

    async def submit(number: int, node: str = "n0", **changes: Any) -> bool:
        status, _ = await cluster.ask(node, "POST", "/v1/jobs", job(number, **changes))
        return status in (200, 201)

    try:
        for number in (1, 2):
            assert await settle(lambda number=number: submit(number, Hall="a"), 10)
        assert await settle(lambda: submit(9, Hall="b", Crew="blue"), 10)  # leaves room in zone b
        assert await settle(lambda: len(cluster.cloud.tasks()) == 9, 30), "the limit is not used up"
        assert await settle(lambda: _cancelled(cluster, 9), 10)
        await asyncio.sleep(2)
        leader, others = leader_and_others(cluster)
        cluster.state.refused, cluster.apart = {leader}, {leader}
        assert await settle(lambda: _cancelled(cluster, 1, others[0]), 5)
        for name in others:
            await cluster.restart(name, 0.1)
        assert await settle(lambda: cluster.leader() in others, 10), "nobody took the term"
        successor, _ = leader_and_others(cluster)
        cancelled = _with_tasks_of(cluster, 1)
        assert cancelled
        for worker in cancelled:
            _as_it_comes_to(worker, successor, lambda worker: worker.hang(3.0))
        assert await settle(lambda: submit(3, successor, Hall="b"), 10)
        await asyncio.sleep(8)
        cluster.state.refused, cluster.apart = set(), set()
        await asyncio.sleep(20)
        assert on_machines(cluster, 1) == 0
        assert len(cluster.cloud.tasks()) == 6, "the next job did not start"
        assert not cluster.broken
    finally:
        await cluster.stop()


def test_a_team_at_its_limit_while_machines_with_cancelled_tasks_hang() -> None:
    """What a cancelled job takes counts until it has ended, however many jobs are over and in whatever order."""
    play(_at_the_limit())


# -- a cancellation's answer is lost, or it is confirmed by another controller, while the leader is refused --------


async def _confirmed_elsewhere(*, ends: bool) -> None:
    """The transaction is carried out at once and its answer lost; whoever confirms it tells the leader."""
    cluster = await started(60, jobs=1)
    clock = asyncio.get_running_loop().time
    try:
        leader, others = leader_and_others(cluster)
        cluster.state.refused = {leader}
        for worker in cluster.cloud.workers.values():
            worker.reaches = {leader}
        cluster.state.unanswered = lambda writes: any(write["Data"].get("status") == "aborted" for write in writes)
        asking = asyncio.ensure_future(cluster.ask(others[0], "POST", f"/v1/jobs/{job_name(1)}/abort", b""))
        await asyncio.sleep(0.2)
        cluster.state.unanswered = lambda writes: False
        assert cluster.state.keys["gs/j/wk-000001"][0]["status"] == "aborted"
        if ends:  # who has written it ends before its answer; nobody takes the term, as the leader still commands
            await cluster.kill(others[0])
            asking.cancel()
            status, body = await cluster.ask(others[1], "POST", f"/v1/jobs/{job_name(1)}/abort", b"")
        else:
            status, body = await asking
        assert (status, body["Status"]) == (200, "aborted")
        confirmed = clock()
        assert await settle(lambda: on_machines(cluster, 1) == 0, 30)
        assert clock() - confirmed < 0.5, "the leader was not told"
        assert not cluster.broken
    finally:
        await cluster.stop()


@pytest.mark.parametrize("ends", [False, True], ids=["the answer is lost", "its writer ends"])
def test_whoever_confirms_a_cancellation_tells_the_leader(ends: bool) -> None:
    play(_confirmed_elsewhere(ends=ends))
