"""After a state outage in which all controllers restart, each of them must soon report the status of every job.

The new processes start with empty memory and read all jobs only after the outage. Until then they must answer with
503: after 404, users would consider the job forgotten.
"""

import asyncio
from datetime import timedelta

import msgspec

from gingerspar.protocol.messages import JobStatus, parse_job
from gingerspar.storage.records import JobRecord, job_key, pack
from gingerspar.transport.client import Client, NoAnswer
from tests.standins.cluster import NODE_NAMES, Cluster, job

JOB_COUNT = 1000
REQUEST_TIMEOUT = timedelta(seconds=2)  # the same as that of users
RECOVERY_S = 3.0  # from the end of the last failure to the first request
MAX_REQUESTS = 3  # to one controller after another; users send 15 before they consider a job forgotten
UNREADABLE_JOB = "wk-000500"


def _store_jobs(cluster: Cluster) -> None:
    """Stores jobs that wait for a machine type that the cloud does not have.

    The record of one of them has a status of a newer release, which this release can't read.
    """
    state = cluster.state
    for number in range(1, JOB_COUNT + 1):
        spec = parse_job(job(number, Builds=["none"]))
        record = msgspec.json.decode(pack(JobRecord(spec, JobStatus.PENDING, submitted=float(number))))
        if spec.job == UNREADABLE_JOB:
            record["status"] = "paused"
        state.revision += 1
        state.keys[job_key(spec.job)] = (record, state.revision, None)


async def _count_requests(cluster: Cluster, number: int) -> int:
    """Queries the job's status, each time from the next controller, until one returns it.

    Returns the number of requests, or ``MAX_REQUESTS + 1`` if none returned the status.
    """
    for attempt in range(MAX_REQUESTS):
        client = Client(cluster.http[NODE_NAMES[(number + attempt) % len(NODE_NAMES)]])
        try:
            status, body = await client.request("GET", f"/v1/jobs/wk-{number:06d}", timeout=REQUEST_TIMEOUT)
        except NoAnswer:
            status, body = 0, b""
        finally:
            client.close()
        assert status in (0, 200, 503), (number, status, body)  # 404 would mean that the job is unknown
        if status == 200:
            return attempt + 1
        await asyncio.sleep(0.5)
    return MAX_REQUESTS + 1


async def _requests_after_outage() -> dict[int, int]:
    """Runs the outage; then 40 users query all jobs, one after another. Returns the number of requests for each job."""
    cluster = Cluster()
    _store_jobs(cluster)
    cluster.start()
    try:
        await asyncio.sleep(2)
        # The state service goes down; meanwhile all controllers restart and have no state in memory.
        cluster.state.down = True
        await asyncio.sleep(0.5)
        for name in NODE_NAMES:
            await cluster.kill(name)
            cluster.start_node(name)
        await asyncio.sleep(2)
        cluster.state.down = False
        await asyncio.sleep(RECOVERY_S)
        requests_by_job: dict[int, int] = {}
        numbers = iter(range(1, JOB_COUNT + 1))

        async def query_next_jobs() -> None:
            for number in numbers:
                requests_by_job[number] = await _count_requests(cluster, number)

        await asyncio.gather(*(query_next_jobs() for _ in range(40)))
        return requests_by_job
    finally:
        await cluster.stop()


def test_every_job_status_is_known_within_seconds_of_the_last_failure() -> None:
    requests_by_job = asyncio.run(asyncio.wait_for(_requests_after_outage(), 100))
    unreadable_requests = requests_by_job.pop(int(UNREADABLE_JOB[3:]))
    assert unreadable_requests > MAX_REQUESTS, "a status was reported for the record that can't be read"
    assert len(requests_by_job) == JOB_COUNT - 1
    assert max(requests_by_job.values()) <= MAX_REQUESTS
