"""The watched view: late and lost reads, undecodable records, and what it remembers of ended jobs."""

import asyncio
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
import pytest

from gingerspar.protocol.messages import Changes, Item, Items, JobStatus, decode, encode, parse_job
from gingerspar.storage.client import Unavailable
from gingerspar.storage.records import ChunkRecord, JobRecord, pack
from gingerspar.storage.view import READ_RETRY_AFTER, Phase, WatchedView
from gingerspar.transport.clock import Clock
from tests.standins.cluster import job


class _Client:
    """Answers each read after the given number of seconds, or with 503 at once where None is given."""

    def __init__(self, *answers: float | None) -> None:
        self.answers = list(answers)
        self.read_count = 0

    async def changes(self, prefix: str, since: int, timeout: timedelta) -> Changes:
        answer = self.answers[self.read_count]
        self.read_count += 1
        if answer is None:
            raise Unavailable("503")
        await asyncio.sleep(answer)
        return Changes(revision=7, events=[])


async def _read(client: _Client) -> tuple[float, float, int]:
    """When the read that brought the view up to date was sent and applied, in seconds, and how many reads were sent."""
    clock = Clock()
    service: Any = client
    view = WatchedView(service, clock, rps=100, nodes=3)
    view.phase = Phase.FOLLOWING
    started_at = clock.now()
    assert await view._read(started_at)
    assert view.revision == 7
    return (view.read_sent - started_at).total_seconds(), (clock.now() - started_at).total_seconds(), client.read_count


def test_late_read_is_sent_again() -> None:
    """inc-8b9d: reads that took over a second made the leader's view too old, and the leader resigned."""
    sent_s, applied_s, read_count = asyncio.run(_read(_Client(30.0, 0.01)))
    assert read_count == 2
    # The time of the second read counts, not that of the first.
    assert sent_s == pytest.approx(READ_RETRY_AFTER.total_seconds(), abs=0.1)
    assert applied_s < 1.0


def test_answer_to_the_first_read_counts_from_its_sending() -> None:
    """The leader's authority is counted from when the read that brought the view up to date was sent."""
    sent_s, _, read_count = asyncio.run(_read(_Client(READ_RETRY_AFTER.total_seconds() + 0.1, 30.0)))
    assert read_count == 2
    assert sent_s == 0.0


def test_fast_read_is_sent_once() -> None:
    assert asyncio.run(_read(_Client(0.01, 0.01)))[2] == 1


def test_undecodable_record_does_not_stop_the_view() -> None:
    """One record of a newer release made each read fail, and every status request for an unknown id got 503."""
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


def test_refused_read_raises_unavailable() -> None:
    with pytest.raises(Unavailable):
        asyncio.run(_read(_Client(None)))


def test_descriptions_of_all_ended_jobs_are_kept() -> None:
    """A task of a cancelled job that a new leader finds counts against its team's limit until the task has ended.

    Only the descriptions of the latest 2,000 ended jobs were kept, and after a start these were the last by job id.
    """
    service: Any = _Client()
    view = WatchedView(service, Clock(), rps=100, nodes=3)
    for number in range(1, 3002):
        spec = parse_job(job(number, Cpus=4.0, Pieces=2))
        view.apply(f"gs/j/wk-{number:06d}", bytes(pack(JobRecord(spec, JobStatus.CANCELLED))), number)
    found = view.final_spec("wk-000001")
    assert found is not None
    assert (found.job, found.team, found.cpus, found.tasks) == ("wk-000001", "red", 4.0, 2)
    assert len({id(final.footprint) for final in view.final.values()}) == 1  # equal jobs share one description


def _page_client(*pages: list[Item]) -> Any:
    """A state service whose keys are read in these pages; its values may take 8 KiB."""
    remaining = list(pages)

    class PageClient:
        value_bytes = 8 * 1024

        async def page(self, prefix: str, since: str | None, limit: int) -> Items:
            return Items(remaining.pop(0), 10, bool(remaining))

    return PageClient()


def test_chunks_of_ended_jobs_are_not_kept() -> None:
    """Bitmaps of ended large arrays stay in the service; at each start, all of them were in memory at once."""
    spec = parse_job(job(1, Pieces=100_000))
    chunk = Item("gs/f/wk-000001/0000", msgspec.Raw(pack(ChunkRecord("/w=="))), 5)
    late_chunk = Item("gs/f/wk-000001/0001", msgspec.Raw(pack(ChunkRecord("/w=="))), 6)
    unfinished_chunk = Item("gs/f/wk-000002/0000", msgspec.Raw(pack(ChunkRecord("AQ=="))), 5)
    ended = Item("gs/j/wk-000001", pack(JobRecord(spec, JobStatus.CANCELLED)), 7)
    unfinished_spec = parse_job(job(2, Pieces=100_000))
    unfinished = Item("gs/j/wk-000002", pack(JobRecord(unfinished_spec, JobStatus.RUNNING, spilled=True)), 5)
    view = WatchedView(_page_client([chunk, unfinished_chunk], [ended, unfinished]), Clock(), rps=100, nodes=3)
    asyncio.run(view._load())
    assert set(view._chunks) == {"wk-000002"}
    assert list(view.jobs["wk-000002"].finished) == [0]
    view.apply(late_chunk.key, bytes(late_chunk.value), late_chunk.version)
    assert set(view._chunks) == {"wk-000002"}


def test_load_keeps_no_pages_of_ended_jobs() -> None:
    """A page stayed in memory for each unfinished job on it: 27 MB with 100,000 ended jobs and 100 unfinished ones."""
    pages, page_bytes = 30, [0]
    types = [f"{number:0100d}" for number in range(20)]  # what stays of an ended job is small beside its record

    class PageClient:
        value_bytes = 8 * 1024
        read_count = 0

        async def page(self, prefix: str, since: str | None, limit: int) -> Items:
            first = self.read_count * 200
            self.read_count += 1
            statuses = [JobStatus.PENDING, *[JobStatus.DONE] * 199]
            items = [
                Item(f"gs/j/wk-{number:06d}", pack(JobRecord(parse_job(job(number, Builds=types)), status)), 1)
                for number, status in enumerate(statuses, first)
            ]
            body = encode(Items(items, 1, self.read_count < pages))
            page_bytes[0] = len(body)
            return decode(Items, body)

    client: Any = PageClient()
    view = WatchedView(client, Clock(), rps=100, nodes=3)
    held_bytes = []
    view.on_job.append(lambda changed: held_bytes.append(tracemalloc.get_traced_memory()[0]))
    tracemalloc.start()
    try:
        asyncio.run(view._load())
    finally:
        tracemalloc.stop()
    assert len(view.jobs) == pages
    assert max(held_bytes) - held_bytes[0] < pages * page_bytes[0] / 2


def test_load_goes_on_with_the_page_that_was_refused() -> None:
    """Each refused page began the load anew: after a crash of all controllers none finished loading (review/4)."""
    requested: list[str | None] = []

    class RefusingClient:
        value_bytes = 8 * 1024

        async def page(self, prefix: str, since: str | None, limit: int) -> Items:
            requested.append(since)
            if len(requested) % 2:  # every other request is refused
                raise Unavailable("429")
            number = len(requested) // 2
            record = JobRecord(parse_job(job(number)), JobStatus.PENDING)
            return Items([Item(f"gs/j/wk-{number:06d}", pack(record), number)], 10 + number, more=number < 5)

    client: Any = RefusingClient()
    view = WatchedView(client, Clock(), rps=100, nodes=3)
    for _ in range(5):
        with pytest.raises(Unavailable):
            asyncio.run(view._load())
    asyncio.run(view._load())
    assert len(requested) == 10
    assert set(view.jobs) == {f"wk-{number:06d}" for number in range(1, 6)}
    assert (view.phase, view.revision) == (Phase.FOLLOWING, 11)  # changes are read from the first page's revision on


def test_undecodable_bitmap_makes_only_its_job_unreadable() -> None:
    """Each read failed at such a record, so that no later change was applied."""
    service: Any = _Client()
    view = WatchedView(service, Clock(), rps=100, nodes=3)
    bad, other = (JobRecord(parse_job(job(number)), JobStatus.PENDING) for number in (1, 2))
    view.apply("gs/j/wk-000001", bytes(pack(msgspec.structs.replace(bad, finished="A"))), 1)
    view.apply("gs/j/wk-000002", bytes(pack(other)), 2)
    assert (set(view.jobs), view.unreadable) == ({"wk-000002"}, {"wk-000001"})


def test_failing_listener_stops_neither_other_listeners_nor_later_changes(caplog: pytest.LogCaptureFixture) -> None:
    """An error in the evaluation of one job's record ended the loop that follows the changes, and the controller."""
    service: Any = _Client()
    view = WatchedView(service, Clock(), rps=100, nodes=3)
    changed: list[str] = []

    def fail(job_id: str) -> None:
        if job_id == "wk-000001":
            raise ZeroDivisionError("a fault in the evaluation of one job")

    view.on_job += [fail, changed.append]
    for number in (1, 2):
        record = JobRecord(parse_job(job(number)), JobStatus.PENDING)
        view.apply(f"gs/j/wk-{number:06d}", bytes(pack(record)), number)
    assert changed == ["wk-000001", "wk-000002"]
    assert "1 times since the start: record of wk-000001" in caplog.text


class _PagedClient(_Client):
    """Holds records of jobs, two on each page; ``on_page`` is called before each page is returned."""

    value_bytes = 8192

    def __init__(self, statuses: list[JobStatus]) -> None:
        super().__init__()
        self.items = [
            Item(f"gs/j/wk-{number:06d}", pack(JobRecord(parse_job(job(number)), status)), number + 1)
            for number, status in enumerate(statuses)
        ]
        self.on_page: Callable[[], None] = lambda: None

    async def page(self, prefix: str, since: str | None, limit: int) -> Items:
        self.on_page()
        rest = [item for item in self.items if since is None or item.key > since]
        return Items(rest[:2], len(self.items), len(rest) > 2)


def test_records_of_ended_jobs_are_not_kept_until_all_keys_are_loaded() -> None:
    """All records were held encoded until the last page: half of the memory that a controller used after its start."""
    client = _PagedClient([JobStatus.DONE, JobStatus.PENDING, JobStatus.CANCELLED, JobStatus.RUNNING, JobStatus.DONE])
    service: Any = client
    view = WatchedView(service, Clock(), rps=100, nodes=3)
    seen: list[tuple[list[str], list[str]]] = []
    client.on_page = lambda: seen.append((sorted(view.final), sorted(view.jobs)))
    asyncio.run(view._load())
    assert seen == [
        ([], []),
        (["wk-000000"], []),
        (["wk-000000", "wk-000002"], []),  # unfinished jobs are applied together, after the last page
    ]
    assert sorted(view.final) == ["wk-000000", "wk-000002", "wk-000004"]
    assert (sorted(view.jobs), view.revision, view.phase) == (["wk-000001", "wk-000003"], 5, Phase.FOLLOWING)


def test_job_that_ends_before_the_keys_are_loaded_again_is_ended_once() -> None:
    client = _PagedClient([JobStatus.RUNNING, JobStatus.RUNNING])
    service: Any = client
    view = WatchedView(service, Clock(), rps=100, nodes=3)
    changed: list[str] = []
    view.on_job.append(changed.append)
    asyncio.run(view._load())
    client.items = _PagedClient([JobStatus.DONE, JobStatus.RUNNING]).items
    client.items[0].version = 9
    asyncio.run(view._load())
    assert (sorted(view.final), sorted(view.jobs)) == (["wk-000000"], ["wk-000001"])
    assert changed == ["wk-000000", "wk-000001", "wk-000000"]
