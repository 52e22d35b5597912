"""Returns lapsed claimants' records to pending, a capped number a sweep."""

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

INTERVAL = timedelta(seconds=0.5)
FRESH = timedelta(seconds=1)


def lapsed(view: WatchedView, most: int) -> list[RecordChange]:
    """Running records whose claimant's session is over; the attempt stays as it is."""
    found = [
        entry
        for entry in view.jobs.values()
        if entry.record.status is JobStatus.RUNNING
        and entry.record.claimant is not None
        and not view.session_alive(entry.record.claimant)
    ]
    # The most urgent ones first: they are claimed again in that order too.
    found.sort(key=lambda entry: entry.record.order)
    return [RecordChange(entry.record.spec.job, entry.version, released(entry)) for entry in found[:most]]


class Reconciler:
    """Sweeps while this node is the dispatcher."""

    def __init__(
        self, client: StateClient, view: WatchedView, session: Session, active: Callable[[], bool], batch: int
    ) -> None:
        self._client = client
        self._view = view
        self._session = session
        self._active = active
        self._batch = min(batch, client.most_puts)

    async def run(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL.total_seconds())
            if not self._active() or self._session.claimant is None or self._view.age() > FRESH:
                continue
            batch = lapsed(self._view, self._batch)
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
            log.debug("sweep: %r", error)
            return
        for put in puts:
            self._view.apply(put.key, bytes(put.value), version)
        log.info("sweep returned %d records of lapsed claimants to pending", len(batch))
