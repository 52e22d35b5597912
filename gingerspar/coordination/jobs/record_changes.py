"""The next versions of a job record: claimed, released, cancelled, with results."""

import msgspec

from gingerspar.protocol.messages import JobStatus, KeyVersion, Put, Shape
from gingerspar.storage import records
from gingerspar.storage.records import JobRecord
from gingerspar.storage.task_set import TaskSet
from gingerspar.storage.transactions import TransactionBuilder
from gingerspar.storage.view import Versioned


class RecordChange(msgspec.Struct):
    """A new version of a job record that is to be written."""

    job: str
    base_version: int  # the version that it replaces
    record: JobRecord
    chunks: list[Put] = []  # chunks of finished tasks to write with it

    def condition(self) -> KeyVersion:
        return KeyVersion(records.job_key(self.job), self.base_version)

    def writes(self) -> list[Put]:
        """The chunks, then the record, which counts only together with them."""
        return [*self.chunks, Put(records.job_key(self.job), records.pack(self.record))]


def _stored(entry: Versioned) -> JobRecord:
    """The record as it is stored: with the bitmap, unless that is stored in chunks."""
    if entry.record.spilled:
        return entry.record
    return msgspec.structs.replace(entry.record, finished=entry.finished.text())


def claimed(entry: Versioned, claimant: records.Claimant, term: int) -> JobRecord:
    """The record with a new claim: pending becomes running, and the attempt goes up by one."""
    record = _stored(entry)
    return msgspec.structs.replace(
        record,
        status=JobStatus.RUNNING,
        attempt=record.attempt + 1,
        claimant=claimant,
        first_term=record.first_term or term,
        claim_term=term,
    )


def released(entry: Versioned) -> JobRecord:
    """The record without its claim: running becomes pending, and the attempt is unchanged."""
    return msgspec.structs.replace(_stored(entry), status=JobStatus.PENDING, claimant=None)


def cancelled(entry: Versioned) -> JobRecord:
    """The final record of a cancelled job, without claimant and finished tasks."""
    return msgspec.structs.replace(entry.record, status=JobStatus.CANCELLED, claimant=None, finished="", spilled=False)


def with_results(
    entry: Versioned, tasks: set[int], value_bytes: int, transaction: TransactionBuilder
) -> RecordChange | None:
    """The record with newly finished tasks, or None if it shows all of them already.

    The job becomes done only once all its tasks are finished; a service never does. ``transaction`` is an empty one;
    of a bitmap in chunks, as many chunks are changed as fit into it, and the other tasks remain to be recorded.
    """
    record = entry.record
    finished = entry.finished.copy()
    new_tasks = [number for number in tasks if finished.add(number)]
    if not new_tasks:
        return None
    change = RecordChange(record.spec.job, entry.version, record)
    if finished.full and record.spec.shape is not Shape.SERVICE:
        change.record = msgspec.structs.replace(
            record, status=JobStatus.DONE, claimant=None, finished="", spilled=False
        )
    elif record.spilled or records.must_spill(record.spec, value_bytes):
        change.record = msgspec.structs.replace(record, finished="", spilled=True)
        chunk_bits = 8 * records.chunk_bytes(value_bytes)
        if not record.spilled and entry.finished:
            # Earlier results are in the record itself: they have to move to the chunks in the same transaction.
            change.chunks = _chunks(finished, {number // chunk_bits for number in finished}, record, value_bytes)
        else:
            chunks = _chunks(finished, {number // chunk_bits for number in new_tasks}, record, value_bytes)
            change.chunks = _fitting(chunks, change, transaction)
    else:
        change.record = msgspec.structs.replace(record, finished=finished.text())
    return change


def _chunks(finished: TaskSet, numbers: set[int], record: JobRecord, value_bytes: int) -> list[Put]:
    """The chunks of the job's bitmap with these numbers, in ascending order."""
    chunk_bytes = records.chunk_bytes(value_bytes)
    return [
        Put(
            records.finished_key(record.spec.job, number),
            records.pack(records.ChunkRecord(finished.text(number * chunk_bytes, chunk_bytes))),
        )
        for number in sorted(numbers)
    ]


def _fitting(chunks: list[Put], change: RecordChange, transaction: TransactionBuilder) -> list[Put]:
    """The first of the chunks, as many as fit into the transaction beside the record; at least one."""
    transaction.add([change.condition()], change.writes())
    fitting: list[Put] = []
    for chunk in chunks:
        if not transaction.add([], [chunk]) and fitting:
            break
        fitting.append(chunk)
    return fitting
