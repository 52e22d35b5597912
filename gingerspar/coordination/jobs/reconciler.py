"""Returns claimed records to pending once their claimant's session has ended, a limited number in each sweep."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from gingerspar.coordination.jobs.record_changes import RecordChange, released
from gingerspar.coordination.jobs.record_writer import RecordWriter
from gingerspar.coordination.membership.session import Session
from gingerspar.protocol.messages import JobStatus
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.view import WatchedView

log = logging.getLogger(__name__)

SWEEP_INTERVAL = timedelta(seconds=0.5)
MAX_VIEW_AGE = timedelta(seconds=1)  # no sweep on an older view


def lapsed_claims(view: WatchedView) -> list[RecordChange]:
    """Releases of running records whose claimant's session has ended; the attempt is unchanged."""
    entries = [
        entry
        for entry in view.jobs.values()
        if entry.record.status is JobStatus.RUNNING
        and entry.record.claimant is not None
        and not view.session_alive(entry.record.claimant)
    ]
    # The most urgent records come first, because they are claimed again in the same order.
    entries.sort(key=lambda entry: entry.record.order)
    return [RecordChange(entry.record.spec.job, entry.version, released(entry)) for entry in entries]


class Reconciler:
    """Releases lapsed claims while this node is the leader, at most ``max_changes`` in each sweep."""

    def __init__(
        self,
        view: WatchedView,
        session: Session,
        writer: RecordWriter,
        active: Callable[[], bool],
        max_changes: int,
    ) -> None:
        self._view = view
        self._session = session
        self._writer = writer
        self._active = active
        self._max_changes = max_changes

    async def run(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            if self._active() and self._session.claimant is not None and self._view.age() <= MAX_VIEW_AGE:
                await self._sweep()

    async def _sweep(self) -> None:
        batch = self._writer.select(lapsed_claims(self._view), self._max_changes)
        if not batch:
            return
        result = await self._writer.write(batch, Urgency.BACKGROUND)
        if result.written:
            log.info("sweep returned %d records of lapsed claimants to pending", len(result.written))
