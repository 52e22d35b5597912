"""Returns claimed records to pending once their claimant's session has ended, a limited number in each sweep."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from gingerspar.coordination.jobs.claims import RecordChange, released
from gingerspar.coordination.membership.session import Session
from gingerspar.protocol.messages import JobStatus, KeyVersion, Put, Transaction
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseExpired, OutcomeUnknown, StateClient, Unavailable
from gingerspar.storage.view import WatchedView

log = logging.getLogger(__name__)

SWEEP_INTERVAL = timedelta(seconds=0.5)
MAX_VIEW_AGE = timedelta(seconds=1)  # no sweep on an older view


def lapsed_claims(view: WatchedView, limit: int) -> list[RecordChange]:
    """Releases of at most ``limit`` running records whose claimant's session has ended; the attempt is unchanged."""
    entries = [
        entry
        for entry in view.jobs.values()
        if entry.record.status is JobStatus.RUNNING
        and entry.record.claimant is not None
        and not view.session_alive(entry.record.claimant)
    ]
    # The most urgent records come first, because they are claimed again in the same order.
    entries.sort(key=lambda entry: entry.record.order)
    return [RecordChange(entry.record.spec.job, entry.version, released(entry)) for entry in entries[:limit]]


class Reconciler:
    """Releases lapsed claims while this node is the leader."""

    def __init__(
        self, client: StateClient, view: WatchedView, session: Session, active: Callable[[], bool], batch: int
    ) -> None:
        self._client = client
        self._view = view
        self._session = session
        self._active = active
        self._batch = min(batch, client.max_puts)

    async def run(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            if not self._active() or self._session.claimant is None or self._view.age() > MAX_VIEW_AGE:
                continue
            batch = lapsed_claims(self._view, self._batch)
            if batch:
                await self._sweep(batch)

    async def _sweep(self, batch: list[RecordChange]) -> None:
        conditions = [
            self._session.condition(),
            *(KeyVersion(records.job_key(change.job), change.base_version) for change in batch),
        ]
        puts = [Put(records.job_key(change.job), records.pack(change.record)) for change in batch]
        try:
            version = await self._client.commit(Transaction(conditions, [*puts]), Urgency.BACKGROUND)
        except (Conflict, LeaseExpired, Unavailable, OutcomeUnknown) as error:
            log.debug("sweep failed: %r", error)
            return
        for put in puts:
            self._view.apply(put.key, bytes(put.value), version)
        log.info("sweep returned %d records of lapsed claimants to pending", len(batch))
