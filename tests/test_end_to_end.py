"""The job API, a change of the leader and a state outage in a small cluster, over real HTTP on loopback."""

import asyncio
from typing import Any

from tests.standins.cloud import wait_until
from tests.standins.cluster import Cluster, job


async def _status(cluster: Cluster, node: str, number: int) -> Any:
    """The job's status according to the node; the HTTP status if the request failed."""
    status, body = await cluster.request(node, "GET", f"/v1/jobs/wk-{number:06d}")
    return body["Status"] if status == 200 else status


async def _run_small_cluster() -> None:
    """Runs these steps one after another.

    1. Invalid submissions are rejected; a job is done and submitted again.
    2. A service job is started and cancelled.
    3. The leader is killed while a job runs.
    4. The state service is down for 3 s, then a new job runs.
    5. All machines are returned to the cloud.
    """
    cluster = Cluster()
    cluster.start()
    try:
        assert await wait_until(lambda: cluster.submit_job("n0", 1), 10), "no job was accepted"

        # Invalid submissions: malformed (400) or impossible to run (422).
        assert (await cluster.request("n1", "POST", "/v1/jobs", b"{"))[0] == 400
        assert (await cluster.request("n1", "POST", "/v1/jobs", b"[]"))[0] == 400
        assert (await cluster.request("n1", "POST", "/v1/jobs", job(2, Pieces=0)))[0] == 400
        assert (await cluster.request("n1", "POST", "/v1/jobs", job(2, Crew="nobody")))[0] == 422
        assert (await cluster.request("n1", "POST", "/v1/jobs", job(2, Cpus=99.0)))[0] == 422
        assert await _status(cluster, "n1", 2) == 404
        # A submission with a known id is answered with the known job, even if it is invalid.
        assert (await cluster.request("n2", "POST", "/v1/jobs", job(1, Crew="nobody")))[0] == 200

        async def first_job_done() -> bool:
            return await _status(cluster, "n1", 1) == "done"

        assert await wait_until(first_job_done, 15), "the first job did not end"
        status, body = await cluster.request("n2", "POST", "/v1/jobs", job(1))
        assert (status, body["Status"]) == (200, "done")

        # A service job runs until it is cancelled, and all controllers report the same status.
        assert (await cluster.request("n0", "POST", "/v1/jobs", job(3, Shape="daemon", GuessS=0.0)))[0] == 201
        cluster.cloud.run_seconds = 60
        assert await wait_until(lambda: "wk-000003/0" in cluster.cloud.active_tasks(), 10), "the service did not start"
        status, body = await cluster.request("n1", "POST", "/v1/jobs/wk-000003/abort", b"")
        assert (status, body["Status"]) == (200, "aborted")
        assert await _status(cluster, "n2", 3) == "aborted"
        assert await wait_until(lambda: not cluster.cloud.active_tasks(), 5), "cancelled tasks still run"

        # The leader is killed while a job runs: the next leader adopts its tasks, which do not run twice.
        cluster.cloud.run_seconds = 3
        leader = cluster.leader()
        assert leader is not None
        others = [name for name in cluster.nodes if name != leader]
        assert (await cluster.request(others[0], "POST", "/v1/jobs", job(4)))[0] == 201
        assert await wait_until(lambda: "wk-000004/0" in cluster.cloud.active_tasks(), 10), "the job did not start"
        await cluster.kill(leader)

        async def fourth_job_done() -> bool:
            return await _status(cluster, others[1], 4) == "done"

        assert await wait_until(fourth_job_done, 25), "the job did not survive its leader"
        assert cluster.leader() != leader

        # State outage: a status that can't be known is answered with 503, and jobs run again afterwards.
        cluster.state.down = True
        await asyncio.sleep(3)
        assert (await cluster.request(others[0], "POST", "/v1/jobs", job(5)))[0] == 503
        assert await _status(cluster, others[0], 99) == 503
        assert await _status(cluster, others[0], 4) == "done"
        cluster.state.down = False
        cluster.cloud.run_seconds = 0.5

        async def fifth_job_done() -> bool:
            if await _status(cluster, others[1], 5) in (404, 503):
                await cluster.request(others[1], "POST", "/v1/jobs", job(5))
            return await _status(cluster, others[1], 5) == "done"

        assert await wait_until(fifth_job_done, 20), "no job ran after the outage"
        assert not cluster.cloud.violations
        assert await wait_until(lambda: not cluster.cloud.workers, 30), "machines were not returned to the cloud"
    finally:
        await cluster.stop()


def test_a_small_cluster() -> None:
    asyncio.run(asyncio.wait_for(_run_small_cluster(), 120))
