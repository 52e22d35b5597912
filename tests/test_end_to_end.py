"""One day in the life of a small cluster, over real HTTP on loopback."""

import asyncio
from typing import Any

from tests.standins.cloud import wait_until
from tests.standins.cluster import Cluster, job


async def _status(cluster: Cluster, node: str, number: int) -> Any:
    status, body = await cluster.request(node, "GET", f"/v1/jobs/wk-{number:06d}")
    return body["Status"] if status == 200 else status


async def _day() -> None:
    cluster = Cluster()
    cluster.start()
    try:
        assert await wait_until(lambda: cluster.submit_job("n0", 1), 10), "no job was accepted"

        # What can't be taken.
        assert (await cluster.request("n1", "POST", "/v1/jobs", b"{"))[0] == 400
        assert (await cluster.request("n1", "POST", "/v1/jobs", b"[]"))[0] == 400
        assert (await cluster.request("n1", "POST", "/v1/jobs", job(2, Pieces=0)))[0] == 400
        assert (await cluster.request("n1", "POST", "/v1/jobs", job(2, Crew="nobody")))[0] == 422
        assert (await cluster.request("n1", "POST", "/v1/jobs", job(2, Cpus=99.0)))[0] == 422
        assert await _status(cluster, "n1", 2) == 404
        # A known id wins over what is wrong with the repeat.
        assert (await cluster.request("n2", "POST", "/v1/jobs", job(1, Crew="nobody")))[0] == 200

        async def first_done() -> bool:
            return await _status(cluster, "n1", 1) == "done"

        assert await wait_until(first_done, 15), "the first job did not end"
        status, body = await cluster.request("n2", "POST", "/v1/jobs", job(1))
        assert (status, body["Status"]) == (200, "done")

        # A service runs until it is cancelled, and the answer is the same everywhere.
        assert (await cluster.request("n0", "POST", "/v1/jobs", job(3, Shape="daemon", GuessS=0.0)))[0] == 201
        cluster.cloud.run_seconds = 60
        assert await wait_until(lambda: "wk-000003/0" in cluster.cloud.active_tasks(), 10), "the service did not start"
        status, body = await cluster.request("n1", "POST", "/v1/jobs/wk-000003/abort", b"")
        assert (status, body["Status"]) == (200, "aborted")
        assert await _status(cluster, "n2", 3) == "aborted"
        assert await wait_until(lambda: not cluster.cloud.active_tasks(), 5), "cancelled tasks stayed"

        # The leader goes away while a job runs: the job is adopted, not run twice.
        cluster.cloud.run_seconds = 3
        leader = cluster.leader()
        assert leader is not None
        others = [name for name in cluster.nodes if name != leader]
        assert (await cluster.request(others[0], "POST", "/v1/jobs", job(4)))[0] == 201
        assert await wait_until(lambda: "wk-000004/0" in cluster.cloud.active_tasks(), 10), "the job did not start"
        await cluster.kill(leader)

        async def fourth_done() -> bool:
            return await _status(cluster, others[1], 4) == "done"

        assert await wait_until(fourth_done, 25), "the job did not survive its leader"
        assert cluster.leader() != leader

        # An outage of the state service: no guess, and all goes on afterwards.
        cluster.state.down = True
        await asyncio.sleep(3)
        assert (await cluster.request(others[0], "POST", "/v1/jobs", job(5)))[0] == 503
        assert await _status(cluster, others[0], 99) == 503
        assert await _status(cluster, others[0], 4) == "done"
        cluster.state.down = False
        cluster.cloud.run_seconds = 0.5

        async def fifth_done() -> bool:
            if await _status(cluster, others[1], 5) in (404, 503):
                await cluster.request(others[1], "POST", "/v1/jobs", job(5))
            return await _status(cluster, others[1], 5) == "done"

        assert await wait_until(fifth_done, 20), "nothing ran after the outage"
        assert not cluster.cloud.violations
        assert await wait_until(lambda: not cluster.cloud.workers, 30), "machines were not given back"
    finally:
        await cluster.stop()


def test_a_small_cluster() -> None:
    asyncio.run(asyncio.wait_for(_day(), 120))
