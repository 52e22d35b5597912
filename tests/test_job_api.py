"""The front door's limits, without a network."""

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
    client: Any = SimpleNamespace(write_rate=write_rate, max_puts=8)
    view = WatchedView(client, clock, rps=100, nodes=3)
    view.phase, view.read_sent = Phase.FOLLOWING, clock.now()
    claims: Any = SimpleNamespace()
    job_api = JobApi(client, view, claims, clock, {"red": TeamFacts("red")})
    machine_type = MachineType(name="big", zones=("z",), cpus=96, gpus=8, memory_gb=384, price=1.0)
    job_api.machine_types = lambda: {machine_type.name: machine_type}
    return job_api


async def _crowd(write_rate: float, users: int) -> list[tuple[int, str | None]]:
    """What each of the users has been answered a moment after all have come at once."""
    job_api = _job_api(write_rate)
    waiting = [asyncio.ensure_future(job_api.submit(msgspec.json.encode(job(n)))) for n in range(users)]
    await asyncio.sleep(0.05)
    answers = [task.result() for task in waiting if task.done()]
    for task in waiting:
        task.cancel()
    return [(answer.status, answer.headers.get("Retry-After")) for answer in answers]


def test_who_can_not_be_served_in_time_is_told_at_once() -> None:
    """Submissions queued behind more writes than their users would wait for."""
    room = int(2.0 * WRITE_TIMEOUT.total_seconds()) + 1
    answers = asyncio.run(_crowd(2.0, room + 3))
    assert answers == [(429, "1")] * 3


def test_the_queue_has_an_end() -> None:
    answers = asyncio.run(_crowd(1000.0, MAX_QUEUED_SUBMISSIONS + 2))
    assert [status for status, _ in answers] == [429, 429]


async def _while_the_state_service_is_gone(path: str) -> tuple[int, str | None, bool]:
    job_api = _job_api(25.0)
    job_api._view.read_sent -= STATE_UNAVAILABLE_AFTER * 2
    loop = asyncio.get_running_loop()
    begun = loop.time()
    if path == "submit":
        answer = await job_api.submit(msgspec.json.encode(job(1)))
    else:
        answer = await resolve_answer(job_api.status("wk-000001") if path == "ask" else job_api.cancel("wk-000001"))
    return answer.status, answer.headers.get("Retry-After"), loop.time() - begun < 0.5


@pytest.mark.parametrize("path", ["submit", "ask", "cancel"])
def test_without_the_state_service_nobody_is_kept_waiting(path: str) -> None:
    """Nor is an unknown job called unknown: the answer says when to come back."""
    assert asyncio.run(_while_the_state_service_is_gone(path)) == (503, "1", True)


async def _polls() -> list[tuple[int, int] | None]:
    """Status and read by which they were answered: before the first read is sent, while it is under way, then no more.

    The reads are the test's own: what was asked before one was sent may be answered by it.
    """
    job_api = _job_api(25.0)
    view = job_api._view
    expiring = asyncio.ensure_future(job_api.run_status_requests())
    asked: list[Answer | asyncio.Future[Answer]] = [job_api.status("wk-000001"), job_api.status("wk-000002")]
    served, view._barriers, view._shared_barrier = view._barriers, [], None  # the first read is sent
    asked.append(job_api.status("wk-000001"))
    by: list[tuple[int, int] | None] = [None] * 3
    for read in (1, 2):
        for future in served:
            future.set_result(None)
        await asyncio.sleep(0)
        for place, answer in enumerate(asked):
            if by[place] is None and isinstance(answer, asyncio.Future) and answer.done():
                by[place] = (answer.result().status, read)
        if read == 1:
            await asyncio.sleep(READ_TIMEOUT.total_seconds() + 0.5)  # the second one never comes
            served = []
    expiring.cancel()
    return by


def test_polls_share_the_next_read_and_end_in_time() -> None:
    """404 only by a read sent after the question; without one 503 before its user gives up."""
    assert asyncio.run(_polls()) == [(404, 1), (404, 1), (503, 2)]
