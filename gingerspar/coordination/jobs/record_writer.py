"""Writes new versions of job records, several in each transaction.

All claims, releases and results go through one ``RecordWriter``. It keeps each transaction within the limits of the
state service, and skips for a while the jobs whose records the service rejects, so that they hold up no other job.
"""

import asyncio
import logging
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from gingerspar.coordination.jobs.record_changes import RecordChange
from gingerspar.coordination.membership.session import Session
from gingerspar.protocol.messages import KeyVersion, Transaction
from gingerspar.storage import records
from gingerspar.storage.batches import commit_in_parts
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseExpired, OutcomeUnknown, Rejected, StateClient, Unavailable
from gingerspar.storage.transactions import TransactionBuilder
from gingerspar.storage.view import WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.retry_pauses import RetryPauses

log = logging.getLogger(__name__)

FIRST_REJECTION_PAUSE = timedelta(seconds=5)
MAX_REJECTION_PAUSE = timedelta(minutes=2)


class WriteStatus(Enum):
    """Outcome of a write."""

    WRITTEN = "written"  # all changes, except those that the service rejects even alone
    CONFLICT = "conflict"  # a condition did not hold: the session, the term or a record has changed
    SESSION_ENDED = "session ended"
    FAILED = "failed"  # no answer, or the service can't execute the request now


@dataclass(slots=True)
class WriteResult:
    """Outcome of a write, and the changes that are known to be written, each with its version."""

    status: WriteStatus
    written: list[tuple[RecordChange, int]] = field(default_factory=list)


class RecordWriter:
    """Writes changes of job records for one node; each write is conditional on the node's session."""

    def __init__(self, client: StateClient, view: WatchedView, session: Session, clock: Clock) -> None:
        self._client = client
        self._view = view
        self._session = session
        self._clock = clock
        self._rejections = RetryPauses(FIRST_REJECTION_PAUSE, MAX_REJECTION_PAUSE)

    def new_transaction(self) -> TransactionBuilder:
        """An empty transaction with room for the conditions that every write may have: the session and the term."""
        term = self._view.term
        conditions = [self._session.condition()]
        if term is not None:
            conditions.append(KeyVersion(records.TERM, term[1]))
        return self._client.transaction(conditions)

    def is_paused(self, job: str) -> bool:
        """Whether the service has lately rejected the job's record: it is not to be written now."""
        return self._rejections.is_paused(job, self._clock.now())

    def select(self, candidates: Iterable[RecordChange], max_changes: int | None = None) -> list[RecordChange]:
        """The first candidates that fit into one transaction, ``max_changes`` at most, without paused jobs."""
        selected: list[RecordChange] = []
        transaction = self.new_transaction()
        for change in candidates:
            if self.is_paused(change.job):
                continue
            if not transaction.add([change.condition()], change.writes()):
                break
            selected.append(change)
            if len(selected) == max_changes:
                break
        return selected

    async def write(
        self, changes: Sequence[RecordChange], urgency: Urgency, conditions: Sequence[KeyVersion] = ()
    ) -> WriteResult:
        """Commits the changes and applies them to the local view at once.

        They are written in one transaction, or in several if the service rejects that. After a conflict or a failure
        this waits until the view has been read again.
        """
        result = WriteResult(WriteStatus.WRITTEN)

        async def commit(part: Sequence[RecordChange]) -> None:
            puts = [put for change in part for put in change.writes()]
            record_conditions = [change.condition() for change in part]
            version = await self._client.commit(
                Transaction([self._session.condition(), *conditions, *record_conditions], [*puts]), urgency
            )
            for put in puts:
                self._view.apply(put.key, bytes(put.value), version)
            for change in part:
                self._rejections.clear(change.job)
                result.written.append((change, version))

        try:
            await commit_in_parts(changes, commit, self._pause)
        except Conflict as conflict:
            log.debug("records not written, conflict: %s", conflict)
            result.status = WriteStatus.CONFLICT
            await self._view.barrier(timedelta(seconds=1))
        except LeaseExpired:
            result.status = WriteStatus.SESSION_ENDED
        except (Unavailable, OutcomeUnknown) as error:
            log.debug("records not written: %s", error)
            result.status = WriteStatus.FAILED
            await asyncio.sleep(0.1)
            await self._view.barrier(timedelta(seconds=1))
        return result

    def _pause(self, change: RecordChange, error: Rejected) -> None:
        pause = self._rejections.add_failure(change.job, self._clock.now())
        log.error(
            "record of %s can't be written, %d times in a row, %d of all jobs; skipped for %d s: %s",
            change.job, self._rejections.failures_of(change.job), self._rejections.failure_count,
            pause.total_seconds(), error,
        )  # fmt: skip
