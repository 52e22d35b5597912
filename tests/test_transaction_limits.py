"""Limits of the state service for one transaction: building, splitting and rejecting transactions."""

import asyncio
import logging
from collections.abc import Sequence
from datetime import timedelta
from typing import Any

import msgspec
import pytest

from gingerspar.coordination.jobs.record_changes import with_results
from gingerspar.protocol import messages
from gingerspar.protocol.messages import JobStatus, KeyVersion, Put, Transaction, encode
from gingerspar.storage import records
from gingerspar.storage.batches import commit_in_parts
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import OutcomeUnknown, Rejected, StateClient, Unavailable
from gingerspar.storage.records import Claimant, JobRecord
from gingerspar.storage.task_set import TaskSet
from gingerspar.storage.transactions import MAX_BATCH_BYTES, TransactionBuilder, TransactionLimits
from gingerspar.storage.view import WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer, Request, Server
from tests.standins.cluster import job
from tests.standins.worker import free_port


def test_bitmap_moves_to_chunks_if_it_does_not_fit_beside_a_large_description() -> None:
    """The record was too large for a value, so that its results, and all written with them, were refused for ever."""
    value_bytes = 16 * 1024
    description = job(1, Pieces=40_000, Builds=["small", *(f"{number:0120d}" for number in range(90))])
    spec = messages.parse_job(description)
    early = TaskSet(spec.tasks, range(8))
    record = JobRecord(spec, JobStatus.RUNNING, 1, Claimant("n9", 1), finished=early.text())
    client: Any = StateClient("127.0.0.1:1", Clock(), rps=1, write_rps=9, txn_ops=16, value_bytes=value_bytes, nodes=1)
    view = WatchedView(client, Clock(), rps=100, nodes=1)
    view.apply(records.job_key(spec.job), bytes(records.pack(record)), 1)
    for version, task in enumerate((39_999, 20_000), start=2):
        change = with_results(view.jobs[spec.job], {task}, value_bytes, client.transaction([]))
        assert change is not None
        for put in change.writes():
            assert len(bytes(put.value)) <= value_bytes
            view.apply(put.key, bytes(put.value), version)
    assert set(view.jobs[spec.job].finished) == {*range(8), 20_000, 39_999}


# -- the parts ----------------------------------------------------------------------------------------------------


def _put_of(number: int, value_bytes: int) -> Put:
    return Put(f"gs/j/wk-{number:06d}", msgspec.Raw(b'"' + b"x" * (value_bytes - 2) + b'"'))


@pytest.mark.parametrize("value_bytes", [2, 900, 17_000, 30_000])
def test_built_transactions_are_within_the_limits(value_bytes: int) -> None:
    limits = TransactionLimits(changes=16, value_bytes=32_768)
    session = KeyVersion("gs/n/n0", 2**63)
    builder = TransactionBuilder(limits, 16, [session])
    transaction = Transaction([session], [])
    put, condition = _put_of(0, value_bytes), KeyVersion("gs/j/wk-000000", 2**63)
    while builder.add([condition], [put]):
        transaction.conditions.append(condition)
        transaction.writes.append(put)
    size = len(encode(transaction))
    assert limits.violation(transaction, size) is None
    assert size <= MAX_BATCH_BYTES
    # One more change would exceed a limit.
    assert len(transaction.writes) == 16 or size + value_bytes + 100 > MAX_BATCH_BYTES


def test_change_that_is_too_large_is_not_added_to_others_but_taken_alone() -> None:
    limits = TransactionLimits(changes=16, value_bytes=32_768)
    builder = TransactionBuilder(limits, 16)
    assert builder.add([], [_put_of(1, 100)])
    assert not builder.add([], [_put_of(2, 70_000)])
    assert builder.add([], [_put_of(3, 100)])
    assert TransactionBuilder(limits, 16).add([], [_put_of(2, 70_000)])


async def _commit_in_parts(bad: set[int]) -> tuple[list[list[int]], list[int]]:
    """The parts of 0 to 7 that are committed if those with a bad number are rejected, and the rejected numbers."""
    committed: list[list[int]] = []
    rejected: list[int] = []

    async def commit(part: Sequence[int]) -> None:
        if bad & set(part):
            raise Rejected("bad")
        committed.append(list(part))

    await commit_in_parts(range(8), commit, lambda item, error: rejected.append(item))
    return committed, rejected


def test_parts_without_the_rejected_items_are_committed() -> None:
    assert asyncio.run(_commit_in_parts(set())) == ([[0, 1, 2, 3, 4, 5, 6, 7]], [])
    assert asyncio.run(_commit_in_parts({2})) == ([[0, 1], [3], [4, 5, 6, 7]], [2])
    assert asyncio.run(_commit_in_parts(set(range(8)))) == ([], list(range(8)))


# -- what the client logs -----------------------------------------------------------------------------------------


async def _commit_twice(answer: Answer, expected: type[Exception], value_bytes: int = 20) -> int:
    """Commits to a service that gives this answer; returns the number of rejections that the client has counted."""

    async def handle(request: Request) -> Answer:
        return answer

    server, port = Server(handle), free_port()
    server.listen(port, "127.0.0.1")
    client = StateClient(f"127.0.0.1:{port}", Clock(), rps=100, write_rps=25, txn_ops=16, value_bytes=8192, nodes=1)
    put = _put_of(1, value_bytes)
    try:
        for _ in range(2):
            with pytest.raises(expected):
                await client.commit(Transaction([KeyVersion(put.key, 1)], [put]), Urgency.USER)
    finally:
        server.stop()
    return client.rejected_count


@pytest.mark.parametrize(
    ("value_bytes", "reason"), [(20, "larger than 64 KiB"), (9000, "not sent: gs/j/wk-000001: a value of 9000 bytes")]
)
def test_rejected_transaction_is_logged_with_its_reason_and_count(
    value_bytes: int, reason: str, caplog: pytest.LogCaptureFixture
) -> None:
    """A sweep that was refused for good was logged at debug level only, with neither its size nor its records."""
    with caplog.at_level(logging.ERROR):
        answer = Answer(400, b'{"error":"transaction larger than 64 KiB"}')
        assert asyncio.run(_commit_twice(answer, Rejected, value_bytes)) == 2
    assert "2 since the start" in caplog.text
    assert reason in caplog.text
    assert "gs/j/wk-000001" in caplog.text


@pytest.mark.parametrize(("status", "expected"), [(503, Unavailable), (429, Unavailable), (500, OutcomeUnknown)])
def test_error_that_passes_is_not_counted_as_rejected(status: int, expected: type[Exception]) -> None:
    """A 500 counted as "not executed", although it may come after the transaction was executed."""
    assert asyncio.run(_commit_twice(Answer(status, b"{}"), expected)) == 0


async def _read_changes_with_status(status: int) -> None:
    async def handle(request: Request) -> Answer:
        return Answer(status, b"{}")

    server, port = Server(handle), free_port()
    server.listen(port, "127.0.0.1")
    client = StateClient(f"127.0.0.1:{port}", Clock(), rps=100, write_rps=25, txn_ops=16, value_bytes=8192, nodes=1)
    try:
        for _ in range(5):
            with pytest.raises(Unavailable):
                await client.changes("gs/", 1, timedelta(seconds=1))
    finally:
        server.stop()


def test_read_that_is_refused_for_good_is_logged_and_counted(caplog: pytest.LogCaptureFixture) -> None:
    """It was logged at debug level only, like a read during an outage."""
    asyncio.run(_read_changes_with_status(503))
    assert not caplog.records
    asyncio.run(_read_changes_with_status(400))
    logged = [record.getMessage() for record in caplog.records]
    assert logged == [f"reading changes, answered with 400, failed, {count} times so far" for count in (1, 2, 4)]
