"""The watched view while the state service answers some requests late or never."""

import asyncio
from datetime import timedelta
from typing import Any

import pytest

from gingerspar.protocol.messages import Changes, JobStatus, parse_job
from gingerspar.storage.client import Unavailable
from gingerspar.storage.records import JobRecord, pack
from gingerspar.storage.view import READ_RETRY_AFTER, Phase, WatchedView
from gingerspar.transport.clock import Clock
from tests.standins.cluster import job


class _Client:
    """Answers each read as told: after so many seconds, or 503 at once."""

    def __init__(self, *answers: float | None) -> None:
        self.answers = list(answers)
        self.asked = 0

    async def changes(self, prefix: str, since: int, timeout: timedelta) -> Changes:
        answer = self.answers[self.asked]
        self.asked += 1
        if answer is None:
            raise Unavailable("503")
        await asyncio.sleep(answer)
        return Changes(revision=7, events=[])


async def _read(client: _Client) -> tuple[float, float, int]:
    """When the read that counted was sent and when it was there, in seconds, and how many were sent."""
    clock = Clock()
    service: Any = client
    view = WatchedView(service, clock, rps=100, nodes=3)
    view.phase = Phase.FOLLOWING
    begun = clock.now()
    assert await view._read(begun)
    assert view.revision == 7
    return (view.read_sent - begun).total_seconds(), (clock.now() - begun).total_seconds(), client.asked


def test_a_late_read_is_sent_again() -> None:
    """inc-8b9d: reads that took over a second made the leader's view too old, and it gave up its term."""
    sent, there, asked = asyncio.run(_read(_Client(30.0, 0.01)))
    assert asked == 2
    assert sent == pytest.approx(READ_RETRY_AFTER.total_seconds(), abs=0.1)  # not the time of the first one
    assert there < 1.0


def test_the_first_read_counts_from_when_it_was_sent() -> None:
    """Authority is counted from the sending of the read that brought the view up to date."""
    sent, _, asked = asyncio.run(_read(_Client(READ_RETRY_AFTER.total_seconds() + 0.1, 30.0)))
    assert asked == 2
    assert sent == 0.0


def test_a_quick_read_is_sent_once() -> None:
    assert asyncio.run(_read(_Client(0.01, 0.01)))[2] == 1


def test_a_record_that_can_not_be_read_keeps_no_other_from_being_followed() -> None:
    """One record of a newer release made each read fail: every poll for an unknown id was 503."""
    service: Any = _Client()
    view = WatchedView(service, Clock(), rps=100, nodes=3)
    changed: list[str] = []
    view.on_job.append(changed.append)
    first, other = (JobRecord(parse_job(job(number)), JobStatus.PENDING) for number in (1, 2))
    newer = bytes(pack(first)).replace(b'"pending"', b'"paused"')
    for version, (number, value) in enumerate([(1, bytes(pack(first))), (1, newer), (2, bytes(pack(other)))], 1):
        view.apply(f"gs/j/wk-{number:06d}", value, version)
    assert (set(view.jobs), view.unreadable) == ({"wk-000002"}, {"wk-000001"})
    assert changed == ["wk-000001", "wk-000001", "wk-000002"]
    view.apply("gs/j/wk-000001", bytes(pack(first)), 4)
    assert (set(view.jobs), view.unreadable) == ({"wk-000001", "wk-000002"}, set())


def test_a_refusal_is_no_answer() -> None:
    with pytest.raises(Unavailable):
        asyncio.run(_read(_Client(None)))


def test_what_a_job_that_is_over_takes_is_known_however_many_are_over() -> None:
    """A cancelled job's task that a new leader finds counts against its team's limit until it has ended.

    Of the 2,000 latest alone the description was kept, and after a start they were the last ones by their ids.
    """
    service: Any = _Client()
    view = WatchedView(service, Clock(), rps=100, nodes=3)
    for number in range(1, 3002):
        spec = parse_job(job(number, Cpus=4.0, Pieces=2))
        view.apply(f"gs/j/wk-{number:06d}", bytes(pack(JobRecord(spec, JobStatus.CANCELLED))), number)
    found = view.final_spec("wk-000001")
    assert found is not None
    assert (found.job, found.team, found.cpus, found.tasks) == ("wk-000001", "red", 4.0, 2)
    assert len({id(final.footprint) for final in view.final.values()}) == 1  # and costs no more memory than one
