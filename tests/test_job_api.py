"""Limits and time-outs of the job API, without a network."""

import asyncio
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from gingerspar.coordination.jobs.job_api import (
    MAX_QUEUED_SUBMISSIONS,
    READ_TIMEOUT,
    STATE_UNAVAILABLE_AFTER,
    WRITE_TIMEOUT,
    JobApi,
)
from gingerspar.protocol.messages import MachineType
from gingerspar.protocol.settings import TeamFacts
from gingerspar.storage.view import Phase, WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer, resolve_answer
from tests.standins.cluster import job


def _job_api(write_rate: float) -> JobApi:
    clock = Clock()
    client: Any = SimpleNamespace(write_rate=write_rate, value_bytes=8192)
    view = WatchedView(client, clock, rps=100, nodes=3)
    view.phase, view.read_sent = Phase.FOLLOWING, clock.now()
    claims: Any = SimpleNamespace()
    job_api = JobApi(client, view, claims, clock, {"red": TeamFacts("red")})
    machine_type = MachineType(name="big", zones=("z",), cpus=96, gpus=8, memory_gb=384, price=1.0)
    job_api.machine_types = lambda: {machine_type.name: machine_type}
    return job_api


async def _submit_all(write_rate: float, users: int) -> list[tuple[int, str | None]]:
    """Status and Retry-After of the submissions that were answered within 0.05 s, when all arrived at once."""
    job_api = _job_api(write_rate)
    waiting = [asyncio.ensure_future(job_api.submit(msgspec.json.encode(job(n)))) for n in range(users)]
    await asyncio.sleep(0.05)
    answers = [task.result() for task in waiting if task.done()]
    for task in waiting:
        task.cancel()
    return [(answer.status, answer.headers.get("Retry-After")) for answer in answers]


def test_submissions_that_cannot_be_committed_in_time_get_429_at_once() -> None:
    """Submissions were queued behind more writes than could be made before their users gave up."""
    accepted = int(2.0 * WRITE_TIMEOUT.total_seconds()) + 1
    answers = asyncio.run(_submit_all(2.0, accepted + 3))
    assert answers == [(429, "1")] * 3


def test_submission_queue_is_bounded() -> None:
    answers = asyncio.run(_submit_all(1000.0, MAX_QUEUED_SUBMISSIONS + 2))
    assert [status for status, _ in answers] == [429, 429]


async def _request_without_state_service(path: str) -> tuple[int, str | None, bool]:
    job_api = _job_api(25.0)
    job_api._view.read_sent -= STATE_UNAVAILABLE_AFTER * 2
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    if path == "submit":
        answer = await job_api.submit(msgspec.json.encode(job(1)))
    else:
        answer = await resolve_answer(job_api.status("wk-000001") if path == "status" else job_api.cancel("wk-000001"))
    return answer.status, answer.headers.get("Retry-After"), loop.time() - started_at < 0.5


@pytest.mark.parametrize("path", ["submit", "status", "cancel"])
def test_requests_without_the_state_service_get_503_at_once(path: str) -> None:
    """The answer is 503 with a Retry-After time, also for an unknown job id: 404 would not be confirmed."""
    assert asyncio.run(_request_without_state_service(path)) == (503, "1", True)


async def _status_requests_over_reads() -> list[tuple[int, int] | None]:
    """Status of each answer and which read it followed, or None for a request without an answer.

    Two requests arrive before the first read is sent, the third while that read is in progress; no second read
    follows. The test completes the reads itself: a read may answer only requests that arrived before it was sent.
    """
    job_api = _job_api(25.0)
    view = job_api._view
    expiry = asyncio.ensure_future(job_api.run_status_requests())
    answers: list[Answer | asyncio.Future[Answer]] = [job_api.status("wk-000001"), job_api.status("wk-000002")]
    barriers, view._barriers, view._shared_barrier = view._barriers, [], None  # the first read is sent
    answers.append(job_api.status("wk-000001"))
    outcomes: list[tuple[int, int] | None] = [None] * 3
    for read in (1, 2):
        for future in barriers:
            future.set_result(None)
        await asyncio.sleep(0)
        for index, answer in enumerate(answers):
            if outcomes[index] is None and isinstance(answer, asyncio.Future) and answer.done():
                outcomes[index] = (answer.result().status, read)
        if read == 1:
            await asyncio.sleep(READ_TIMEOUT.total_seconds() + 0.5)  # no second read follows
            barriers = []
    expiry.cancel()
    return outcomes


def test_status_requests_share_the_next_read_and_time_out() -> None:
    """404 is given only after a read that was sent after the request; without one, 503 before the user gives up."""
    assert asyncio.run(_status_requests_over_reads()) == [(404, 1), (404, 1), (503, 2)]
