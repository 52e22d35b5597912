"""The roster: which machines may run tasks, stored in the state service.

A machine is written to the roster before it gets its first ``run`` command. Machines of one
offer (machine type, zone and purchase kind) share a key, as many as fit a value, so that a
fleet that boots at once takes a few writes instead of one for each machine.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from datetime import timedelta

from gingerspar.coordination.cluster.machine import Machine
from gingerspar.coordination.cluster.pool import Offer
from gingerspar.coordination.membership.session import Session
from gingerspar.protocol.messages import KeyVersion, Put, Transaction
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseExpired, OutcomeUnknown, StateClient, Unavailable
from gingerspar.storage.records import RosterRecord
from gingerspar.storage.view import WatchedView
from gingerspar.transport.waits import wait_for_event

log = logging.getLogger(__name__)

MAX_REMOVAL_DELAY = timedelta(seconds=3)  # from the removal of a machine to the write that takes it off the roster
MAX_TXN_BYTES = 48 * 1024


def plan_groups(
    groups: dict[str, RosterRecord], new: Iterable[tuple[str, Offer]], gone: set[str], value_bytes: int
) -> dict[str, RosterRecord]:
    """Returns the groups (by key) that change when machines are added and removed, with their new members.

    New machines go into an existing group of their offer that has space, else into a new key.
    ``value_bytes`` is the state service's limit for one value.
    """
    members = {key: [name for name in group.names if name not in gone] for key, group in groups.items()}
    offers = {key: (group.type, group.zone, group.spot) for key, group in groups.items()}
    changed = {key for key, group in groups.items() if len(members[key]) != len(group.names)}
    max_names_bytes = value_bytes - 512
    sizes = {key: sum(len(name) + 3 for name in names) for key, names in members.items()}
    group_number = 0
    for name, offer in new:
        keys_with_space = (
            key for key in members if offers[key] == offer and sizes[key] + len(name) + 3 <= max_names_bytes
        )
        key = next(keys_with_space, "")
        while not key:
            candidate = f"{records.ROSTER}{group_number:04d}"
            group_number += 1
            if candidate not in members:
                key = candidate
                members[key], offers[key], sizes[key] = [], offer, 0
        members[key].append(name)
        sizes[key] += len(name) + 3
        changed.add(key)
    return {key: RosterRecord(*offers[key], tuple(members[key])) for key in sorted(changed)}


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
        on_written: Callable[[], None],
    ) -> None:
        self._term = term
        self._client = client
        self._view = view
        self._session = session
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
            groups, [(m.name, (m.type, m.zone, m.spot)) for m in new.values()], gone, self._client.value_bytes
        )
        puts: list[Put] = []
        size = 0
        for key, record in changed.items():
            put = Put(key, records.pack(record))
            size += len(put.value) + 200
            if puts and (size > MAX_TXN_BYTES or len(puts) >= self._client.max_puts):
                self._wake.set()  # the rest goes with the next transaction
                break
            puts.append(put)
        if puts and not await self._commit(puts, Urgency.CLAIM if new else Urgency.BACKGROUND):
            await asyncio.sleep(0.2)
            self._wake.set()
            return
        written = {name for put in puts for name in changed[put.key].names}
        for name, machine in new.items():
            if name in written:
                del self._new[name]
                machine.mark_rostered()
        still_listed = {name for record, _ in self._view.roster.values() for name in record.names}
        self._gone -= gone - still_listed
        self._on_written()

    async def _commit(self, puts: list[Put], urgency: Urgency) -> bool:
        term = self._view.term
        if term is None:
            return False
        # Conditional on the term, so that only the current leader adds to the roster that it has read.
        # Conditional on each group, so that a write without an answer that is applied late cannot undo
        # a later one.
        conditions = [self._session.condition(), KeyVersion(records.TERM, term[1])]
        known = self._view.roster
        conditions += [KeyVersion(put.key, known[put.key][1] if put.key in known else 0) for put in puts]
        try:
            version = await self._client.commit(Transaction(conditions, [*puts]), urgency)
        except (Conflict, OutcomeUnknown) as error:
            log.debug("roster write failed: %r", error)
            await self._view.barrier(timedelta(seconds=1))
            return False
        except (LeaseExpired, Unavailable) as error:
            log.debug("roster write failed: %r", error)
            return False
        for put in puts:
            self._view.apply(put.key, bytes(put.value), version)
        return True
