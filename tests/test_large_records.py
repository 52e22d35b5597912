"""Records of large jobs beside others: no write is refused for good, and none holds up other jobs."""

import asyncio
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import pytest

from gingerspar.protocol import messages
from gingerspar.protocol.messages import JobStatus
from gingerspar.storage import records
from gingerspar.storage.records import Claimant, JobRecord, NodeRecord
from gingerspar.storage.task_set import TaskSet
from tests.standins.cloud import wait_until
from tests.standins.cluster import Cluster, job
from tests.standins.simulated_time import SimulatedClock, run_simulated

LARGE = 100_000  # tasks of the largest jobs; their bitmap takes 16,668 bytes as base64
LARGE_RECORD_BYTES = 18_000  # their record with the bitmap in it
ENDED_SESSION = Claimant("n9", 1)  # of a controller that has ended
LONG_TASK_S = 120.0
SESSION_S = 10.0


def _put_large_array(
    cluster: Cluster, number: int, open_tasks: Iterable[int], claimant: Claimant = ENDED_SESSION
) -> str:
    """Puts the record of a large array that is claimed; returns the job's id."""
    finished = TaskSet(LARGE, set(range(LARGE)) - set(open_tasks))
    spec = messages.parse_job(job(number, Pieces=LARGE))
    record = JobRecord(spec, JobStatus.RUNNING, 1, claimant, first_term=1, claim_term=1)
    value_bytes = int(cluster.value_kb * 1024)
    if value_bytes < LARGE_RECORD_BYTES:
        record = msgspec.structs.replace(record, spilled=True)
        chunk_bytes = records.chunk_bytes(value_bytes)
        for chunk in range(-(-LARGE // (8 * chunk_bytes))):
            bits = finished.text(chunk * chunk_bytes, chunk_bytes)
            _put(cluster, records.finished_key(spec.job, chunk), records.ChunkRecord(bits))
    else:
        record = msgspec.structs.replace(record, finished=finished.text())
    _put(cluster, records.job_key(spec.job), record)
    return spec.job


def _put_session(cluster: Cluster, node: str) -> Claimant:
    """Puts an open session of the node's previous process, which the node resumes when it starts."""
    lease = cluster.state.next_lease
    cluster.state.next_lease += 1
    cluster.state.leases[lease] = (SESSION_S, cluster.state.now() + SESSION_S)
    _put(cluster, records.node_key(node), NodeRecord(0.0, lease))
    return Claimant(node, cluster.state.revision)


def _put(cluster: Cluster, key: str, record: msgspec.Struct) -> None:
    value = msgspec.json.decode(records.pack(record))
    assert cluster.state.commit({"Writes": [{"Put": key, "Data": value}]}).status == 200


async def _status(cluster: Cluster, name: str) -> Any:
    """Status and number of finished tasks of a job, or the HTTP status of an error."""
    status, body = await cluster.request("n1", "GET", f"/v1/jobs/{name}")
    return (body["Status"], body["done"]) if status == 200 else status


async def _all_have_status(cluster: Cluster, jobs: Sequence[str], expected: Any) -> bool:
    return all([await _status(cluster, name) == expected for name in jobs])


# -- batches of large records -------------------------------------------------------------------------------------


async def _run_lapsed_arrays() -> None:
    """Runs the last tasks of six large arrays whose claimant has ended, and an ordinary job."""
    cluster = Cluster(clock=SimulatedClock())
    cluster.value_kb = 32.0
    arrays = [_put_large_array(cluster, number, [LARGE - 1]) for number in range(1, 7)]
    cluster.start()
    try:
        assert await wait_until(lambda: cluster.submit_job("n0", 99), 10)
        assert await wait_until(lambda: _all_have_status(cluster, ["wk-000099"], ("done", 3)), 30)
        assert await wait_until(lambda: _all_have_status(cluster, arrays, ("done", LARGE)), 60), "claims not released"
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_lapsed_claims_of_large_arrays_are_released() -> None:
    """Their records were released in one transaction of over 64 KiB, which was refused for ever (review/1)."""
    run_simulated(_run_lapsed_arrays())


async def _record_results_of_large_arrays(value_kb: float, open_tasks: Sequence[int]) -> None:
    """Runs the last tasks of six large arrays that one controller has claimed.

    The last of ``open_tasks`` of each array runs long: until then, the results of the others are recorded.
    """
    cluster = Cluster(clock=SimulatedClock())
    cluster.value_kb = value_kb
    claimant = _put_session(cluster, "n0")
    arrays = [_put_large_array(cluster, number, open_tasks, claimant) for number in range(1, 7)]
    for name in arrays:
        cluster.cloud.run_seconds_by_task[f"{name}/{open_tasks[-1]}"] = LONG_TASK_S
    cluster.start()
    try:
        recorded = ("running", LARGE - 1)
        assert await wait_until(lambda: _all_have_status(cluster, arrays, recorded), 60), "results not recorded"
        assert await wait_until(lambda: _all_have_status(cluster, arrays, ("done", LARGE)), LONG_TASK_S + 30)
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize(
    ("value_kb", "open_tasks"),
    [(32.0, [99_997, 99_998, 99_999]), (8.0, [0, 50_000, 99_998, 99_999])],
    ids=["bitmaps in records", "bitmaps in chunks"],
)
def test_results_of_large_arrays_are_recorded(value_kb: float, open_tasks: list[int]) -> None:
    """Their records were written in one transaction of over 64 KiB, which was refused for ever (review/1)."""
    run_simulated(_record_results_of_large_arrays(value_kb, open_tasks))


# -- one record that the service rejects --------------------------------------------------------------------------


async def _run_beside_rejected_record() -> None:
    """Runs arrays whose claimant has ended while the service rejects every write of the second one's record.

    A job submitted together with another one that is rejected is accepted. Once nothing is rejected any more, the
    array is done as well.
    """
    cluster = Cluster(clock=SimulatedClock())
    cluster.value_kb = 32.0
    arrays = [_put_large_array(cluster, number, [7]) for number in range(1, 6)]
    rejected_keys = {records.job_key(arrays[1]), records.job_key("wk-000098")}
    cluster.state.rejects_key = rejected_keys.__contains__
    cluster.start()
    try:
        others = [*arrays[:1], *arrays[2:]]
        assert await wait_until(lambda: _all_have_status(cluster, others, ("done", LARGE)), 60), "other jobs held up"
        answers = await asyncio.gather(*(cluster.submit_job("n0", number) for number in (97, 98, 99)))
        assert answers == [True, False, True]
        assert await wait_until(lambda: _all_have_status(cluster, ["wk-000097", "wk-000099"], ("done", 3)), 30)
        assert await _status(cluster, arrays[1]) == ("pending", LARGE - 1)
        assert len(cluster.state.rejected) < 40, "the rejected record is written again and again"
        rejected_keys.clear()
        assert await wait_until(lambda: _all_have_status(cluster, arrays, ("done", LARGE)), 150)
    finally:
        await cluster.stop()


def test_record_that_the_service_rejects_holds_up_no_other_job() -> None:
    """The rejected record was first in each batch, so no lapsed claim was released again (review/1)."""
    run_simulated(_run_beside_rejected_record())


# -- large descriptions -------------------------------------------------------------------------------------------


async def _submit_large_description() -> None:
    """Submits a job whose description exceeds a value, together with two ordinary ones, and again with a known id."""
    cluster = Cluster(clock=SimulatedClock())
    cluster.start()
    try:
        assert await wait_until(lambda: cluster.submit_job("n0", 1), 10)
        large = {"Builds": ["small", "x" * cluster.state.max_value_bytes]}
        requests = [cluster.request("n0", "POST", "/v1/jobs", job(n, **(large if n == 3 else {}))) for n in (2, 3, 4)]
        assert [status for status, _ in await asyncio.gather(*requests)] == [201, 400, 201]
        status, _ = await cluster.request("n0", "POST", "/v1/jobs", job(1, **large))
        assert status == 200, "an accepted job is not rejected later, whatever is submitted under its id"
        assert not cluster.state.rejected
    finally:
        await cluster.stop()


def test_description_that_can_not_be_stored_is_refused_at_once_and_alone() -> None:
    """The transaction was refused for ever, and with it every submission that was to be committed with it."""
    run_simulated(_submit_large_description())
