"""The roster: which machines may run tasks, stored in the state service.

A machine is written to the roster before it gets its first ``run`` command. Machines of one
offer (machine type, zone and purchase kind) share a key, as many as fit a value, so that a
fleet that boots at once takes a few writes instead of one for each machine.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

from gingerspar.coordination.cluster.machine import Machine
from gingerspar.coordination.cluster.pool import Offer
from gingerspar.coordination.membership.session import Session
from gingerspar.protocol.messages import KeyVersion, Put, Transaction, encode
from gingerspar.storage import records
from gingerspar.storage.batches import commit_in_parts
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseExpired, OutcomeUnknown, Rejected, StateClient, Unavailable
from gingerspar.storage.records import RosterRecord
from gingerspar.storage.view import WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.retry_pauses import RetryPauses
from gingerspar.transport.waits import wait_for_event

log = logging.getLogger(__name__)

MAX_REMOVAL_DELAY = timedelta(seconds=3)  # from the removal of a machine to the write that takes it off the roster
FIRST_REJECTION_PAUSE = timedelta(seconds=5)  # of a group that the state service has rejected
MAX_REJECTION_PAUSE = timedelta(minutes=1)


def plan_groups(
    groups: dict[str, RosterRecord],
    new: Iterable[tuple[str, Offer]],
    gone: set[str],
    value_bytes: int,
    closed: Callable[[str], bool] = lambda key: False,
) -> dict[str, RosterRecord]:
    """Returns the groups (by key) that change when machines are added and removed, with their new members.

    New machines go into an existing group of their offer that has space and is not ``closed``, else into a new key.
    ``value_bytes`` is the state service's limit for one value.
    """
    members = {key: [name for name in group.names if name not in gone] for key, group in groups.items()}
    offers = {key: (group.type, group.zone, group.spot) for key, group in groups.items()}
    changed = {key for key, group in groups.items() if len(members[key]) != len(group.names)}
    max_names_bytes = value_bytes - 512
    sizes = {key: sum(map(_name_bytes, names)) for key, names in members.items()}
    group_number = 0
    for name, offer in new:
        keys_with_space = (
            key
            for key in members
            if offers[key] == offer and sizes[key] + _name_bytes(name) <= max_names_bytes and not closed(key)
        )
        key = next(keys_with_space, "")
        while not key:
            candidate = f"{records.ROSTER}{group_number:04d}"
            group_number += 1
            if candidate not in members and not closed(candidate):
                key = candidate
                members[key], offers[key], sizes[key] = [], offer, 0
        members[key].append(name)
        sizes[key] += _name_bytes(name)
        changed.add(key)
    return {key: RosterRecord(*offers[key], tuple(members[key])) for key in sorted(changed)}


def _name_bytes(name: str) -> int:
    """The bytes that a name takes in an encoded group, with a comma."""
    return len(encode(name)) + 1


class Roster:
    """Writes the roster for one term.

    ``on_written`` is called after each successful round of writes.
    """

    def __init__(
        self,
        term: int,
        client: StateClient,
        view: WatchedView,
        session: Session,
        clock: Clock,
        on_written: Callable[[], None],
    ) -> None:
        self._term = term
        self._client = client
        self._view = view
        self._session = session
        self._clock = clock
        self._rejections = RetryPauses(FIRST_REJECTION_PAUSE, MAX_REJECTION_PAUSE)  # by key
        self._on_written = on_written
        self._new: dict[str, Machine] = {}
        self._gone: set[str] = set()
        self._wake = asyncio.Event()

    def add_machine(self, machine: Machine) -> None:
        """Adds a machine that is up. Tasks may be sent to it once the roster is written."""
        if not machine.rostered and machine.name not in self._new:
            self._new[machine.name] = machine
            self._wake.set()

    def remove(self, names: Iterable[str]) -> None:
        """Removes machines that certainly no longer run, with the next write or after ``MAX_REMOVAL_DELAY``."""
        self._gone.update(names)

    async def run(self) -> None:
        while True:
            if await wait_for_event(self._wake, MAX_REMOVAL_DELAY):
                await asyncio.sleep(0.03)  # machines that boot at the same time share a write
            self._wake.clear()
            if self._new or self._gone:
                await self._write()

    async def _write(self) -> None:
        term = self._view.term
        if term is None or term[0].term != self._term:
            return
        listed = {name for record, _ in self._view.roster.values() for name in record.names}
        for name, machine in list(self._new.items()):
            if not machine.settled:
                del self._new[name]  # the machine is gone; if it returns, it reports and is added again
            elif name in listed:
                del self._new[name]  # an earlier write without an answer was applied
                machine.mark_rostered()
        new = dict(self._new)
        gone = set(self._gone)
        groups = {key: record for key, (record, _) in self._view.roster.items()}
        changed = plan_groups(
            groups,
            [(m.name, (m.type, m.zone, m.spot)) for m in new.values()],
            gone,
            self._client.value_bytes,
            lambda key: self._rejections.is_paused(key, self._clock.now()),
        )
        written_keys = await self._write_groups(changed, Urgency.CLAIM if new else Urgency.BACKGROUND)
        if written_keys is None:
            await asyncio.sleep(0.2)
            self._wake.set()
            return
        written = {name for key in written_keys for name in changed[key].names}
        for name, machine in new.items():
            if name in written:
                del self._new[name]
                machine.mark_rostered()
        still_listed = {name for record, _ in self._view.roster.values() for name in record.names}
        self._gone -= gone - still_listed
        self._on_written()

    async def _write_groups(self, changed: dict[str, RosterRecord], urgency: Urgency) -> set[str] | None:
        """Writes as many of the changed groups as fit into one transaction; the rest goes with the next round.

        Returns the keys of the groups that are written, without those that the service rejects; None if the write
        has failed and is to be repeated.
        """
        term = self._view.term
        if term is None:
            return None
        # Conditional on the term, so that only the current leader adds to the roster that it has read.
        common_conditions = [self._session.condition(), KeyVersion(records.TERM, term[1])]
        puts: list[Put] = []
        transaction = self._client.transaction(common_conditions)
        for key, record in changed.items():
            if self._rejections.is_paused(key, self._clock.now()):
                continue
            put = Put(key, records.pack(record))
            if not transaction.add([self._group_condition(key)], [put]):
                self._wake.set()
                break
            puts.append(put)
        written: set[str] = set()

        async def commit(part: Sequence[Put]) -> None:
            conditions = [*common_conditions, *(self._group_condition(put.key) for put in part)]
            version = await self._client.commit(Transaction(conditions, [*part]), urgency)
            for put in part:
                self._rejections.clear(put.key)
                self._view.apply(put.key, bytes(put.value), version)
                written.add(put.key)

        try:
            if puts:
                await commit_in_parts(puts, commit, self._pause_group)
        except (Conflict, OutcomeUnknown) as error:
            log.debug("roster write failed: %r", error)
            await self._view.barrier(timedelta(seconds=1))
            return None
        except (LeaseExpired, Unavailable) as error:
            log.debug("roster write failed: %r", error)
            return None
        return written

    def _group_condition(self, key: str) -> KeyVersion:
        """Makes a write that is applied late fail, so that it can't undo a later one."""
        known = self._view.roster.get(key)
        return KeyVersion(key, known[1] if known is not None else 0)

    def _pause_group(self, put: Put, error: Rejected) -> None:
        pause = self._rejections.add_failure(put.key, self._clock.now())
        log.error(
            "roster group %s can't be written, %d times in a row; its new machines get no tasks; skipped for %d s: %s",
            put.key, self._rejections.failures_of(put.key), pause.total_seconds(), error,
        )  # fmt: skip
