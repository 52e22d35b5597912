"""The term holder at work: carries the dispatcher's decisions in and out."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from tornado.httputil import HTTPServerRequest

from gingerspar.coordination import fleet
from gingerspar.coordination.cloud import Cloud, CloudTrouble, NoCapacity
from gingerspar.coordination.dispatcher import Dispatcher, Outdated, Stale
from gingerspar.coordination.ledger import Machine, MachineState
from gingerspar.coordination.session import Session
from gingerspar.protocol import messages, names
from gingerspar.protocol.messages import (
    Delete,
    DirectCommands,
    KeyVersion,
    MachineStatus,
    MachineType,
    Put,
    RentRequest,
    Report,
    ReportAnswer,
    Transaction,
)
from gingerspar.protocol.settings import Facts, OperatorSettings
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseGone, StateClient, Unavailable, Unknown
from gingerspar.storage.view import WatchedView
from gingerspar.transport.client import Client, Unanswered
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer

log = logging.getLogger(__name__)

SAY_AGAIN = timedelta(seconds=1)
RECLAIM_AGAIN = timedelta(seconds=1)
FLEET_INTERVAL = timedelta(seconds=1)
ORDER_FRESH = timedelta(seconds=1)
TICK = timedelta(milliseconds=250)
SUMMARY = timedelta(seconds=5)
HOLD_IDLE = timedelta(seconds=2)  # workers give an answer up after 4 s
HOLD_BUSY = timedelta(milliseconds=200)  # a worker with tasks has news of its own to tell


class CommandPost:
    """Lives for one term on the node that holds it."""

    def __init__(
        self,
        node: str,
        dispatcher: Dispatcher,
        client: StateClient,
        view: WatchedView,
        session: Session,
        cloud: Cloud,
        clock: Clock,
        facts: Facts,
        settings: OperatorSettings,
        authority: Callable[[], bool],
        tell_finished: Callable[[str, str, list[int]], None],
        ask_reclaim: Callable[[str, str, int], None],
    ) -> None:
        self.dispatcher = dispatcher
        self._node = node
        self._client = client
        self._view = view
        self._session = session
        self._cloud = cloud
        self._clock = clock
        self._facts = facts
        self._settings = settings
        self._authority = authority
        self._tell_finished = tell_finished
        self._ask_reclaim = ask_reclaim
        self._holds: dict[str, asyncio.Event] = {}
        self._work = asyncio.Event()
        self._refusals = fleet.Refusals()
        self._rentals = 0
        self._renting: set[fleet.Offer] = set()
        self._retired: dict[str, timedelta] = {}  # given back: lists may show them for a while
        self._roster_wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._calls: set[asyncio.Task[None]] = set()
        dispatcher.wake = self._wake_machine
        dispatcher.finish_wanted = self._work.set
        dispatcher.final_spec = view.final_spec
        view.on_job.append(self._record_changed)

    # -- life -----------------------------------------------------------------

    def start(self, types: list[MachineType]) -> None:
        self.dispatcher.set_types(types)
        for job in self._view.jobs:
            self._record_changed(job)
        log.info(
            "term %d begins: %d jobs, %d machines on the roster",
            self.dispatcher.term,
            len(self._view.jobs),
            len(self.dispatcher.machines),
        )
        self._tasks = [
            asyncio.ensure_future(loop)
            for loop in (self._decide(), self._run_fleet(), self._run_list(), self._roster())
        ]

    def stop(self) -> None:
        log.info("term %d ends here", self.dispatcher.term)
        self._view.on_job.remove(self._record_changed)
        for task in [*self._tasks, *self._calls]:
            task.cancel()
        for event in self._holds.values():
            event.set()

    # -- events ---------------------------------------------------------------

    def _record_changed(self, job: str) -> None:
        entry = self._view.jobs.get(job)
        now = self._clock.now()
        if entry is None:
            self.dispatcher.set_record(job, None, None, now)
        else:
            self.dispatcher.set_record(job, entry.record, entry.finished, now)
        self._work.set()

    def set_types(self, types: list[MachineType]) -> None:
        self.dispatcher.set_types(types)
        self._work.set()

    def _wake_machine(self, machine: Machine) -> None:
        event = self._holds.get(machine.name)
        if event is not None:
            event.set()

    # -- reports --------------------------------------------------------------

    async def report(self, request: HTTPServerRequest, report: Report) -> Answer:
        try:
            machine = self.dispatcher.report(report, self._clock.now())
        except Stale:
            return Answer(503, b'{"error":"late"}')
        except Outdated:
            return Answer(503, b'{"error":"not entitled"}')
        if not machine.rostered:
            self._roster_wake.set()
        self._work.set()
        settled = report.token >= self.dispatcher.term
        if settled and machine.state in (MachineState.READY, MachineState.LEAVING):
            await self._hold(machine)
            if (machine.session, machine.seq) != (report.session, report.seq):
                return Answer(503, b'{"error":"late"}')
        if not self._authority():
            # Commands are taken only now, so none is lost with this answer.
            return Answer(503, b'{"error":"not entitled"}')
        now = self._clock.now()
        commands = self.dispatcher.commands(machine, report, now)
        return Answer(200, messages.encode(ReportAnswer(self.dispatcher.term, commands)))

    async def _hold(self, machine: Machine) -> None:
        """Keeps the answer back a little, so that what is decided meanwhile goes at once."""
        if self.dispatcher.dirty:
            await asyncio.sleep(0.01)
        event = asyncio.Event()
        self._holds[machine.name] = event
        if not self.dispatcher.has_commands(machine) and not machine.exited:
            hold = HOLD_BUSY if machine.live else HOLD_IDLE
            try:
                await asyncio.wait_for(event.wait(), hold.total_seconds())
                await asyncio.sleep(0.005)
            except TimeoutError:
                pass
        if self._holds.get(machine.name) is event:
            del self._holds[machine.name]

    # -- decisions ------------------------------------------------------------

    async def _decide(self) -> None:
        said = self._clock.now()
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._work.wait(), TICK.total_seconds())
            self._work.clear()
            now = self._clock.now()
            try:
                self.dispatcher.tick(now)
                if self.dispatcher.types:
                    self.dispatcher.place(now)
                self._stop_directly(now)
                self._say(now)
                if log.isEnabledFor(logging.DEBUG) and now - said >= SUMMARY:
                    said = now
                    log.debug("%s", self.dispatcher.summary(now))
            except Exception:
                log.exception("deciding failed")
            await asyncio.sleep(0.015)

    def _stop_directly(self, now: timedelta) -> None:
        for machine in self.dispatcher.machines.values():
            known = machine.state in (MachineState.READY, MachineState.LEAVING) and machine.address
            if not known or machine.name in self._holds:
                continue  # an answer that is held back takes them along at once
            commands = self.dispatcher.direct_stops(machine, now)
            if commands and self._authority():
                body = messages.encode(DirectCommands(self.dispatcher.term, machine.session, commands))
                self._spawn(self._send_directly(machine.address, body))

    async def _send_directly(self, address: str, body: bytes) -> None:
        client = Client(address, connect_timeout=timedelta(seconds=1))
        try:
            await client.request("POST", names.PATH_COMMANDS, body, timeout=timedelta(seconds=2))
        except (Unanswered, ValueError) as error:
            log.debug("direct stop: %s", error)
        finally:
            client.close()

    def _say(self, now: timedelta) -> None:
        """Tells claimants of finishes, and asks for attempts, until their records show it."""
        for job, run in self.dispatcher.runs.items():
            claimant = run.record.claimant
            if run.over or claimant is None:
                continue
            if run.unsaved and (run.told is None or now - run.told >= SAY_AGAIN):
                run.told = now
                self._tell_finished(claimant.node, job, sorted(run.unsaved))
            if self.dispatcher.needs_attempt(run):
                if run.reclaim_asked is None or now - run.reclaim_asked >= RECLAIM_AGAIN:
                    run.reclaim_asked = now
                    self._ask_reclaim(claimant.node, job, run.record.attempt)
            else:
                run.reclaim_asked = None

    # -- roster ---------------------------------------------------------------

    async def _roster(self) -> None:
        """Writes machines to the roster before their first `run`."""
        while True:
            await self._roster_wake.wait()
            self._roster_wake.clear()
            term = self._view.term
            new = [
                machine
                for machine in self.dispatcher.machines.values()
                # Only machines that have reported: one that still boots would be unsettled in a new term.
                if not machine.rostered and machine.state in (MachineState.READY, MachineState.LEAVING)
            ][: self._client.most_puts]
            if not new or term is None or term[0].term != self.dispatcher.term:
                continue
            puts = [
                Put(
                    records.roster_key(machine.name),
                    records.pack(records.RosterRecord(machine.type, machine.zone, machine.spot)),
                )
                for machine in new
            ]
            # Conditional on the term: a later holder reads a roster that only it adds to.
            transaction = Transaction([self._session.condition(), KeyVersion(records.TERM, term[1])], [*puts])
            try:
                version = await self._client.commit(transaction, Urgency.CLAIM)
            except (Conflict, LeaseGone, Unavailable, Unknown) as error:
                log.debug("roster: %r", error)
                await asyncio.sleep(0.3)
                self._roster_wake.set()
                continue
            for put, machine in zip(puts, new, strict=True):
                self._view.apply(put.key, bytes(put.value), version)
                machine.rostered = True
            self.dispatcher.dirty = True
            self._work.set()
            self._roster_wake.set()

    async def _strike(self, machines: list[str]) -> None:
        """Takes machines that are certainly gone off the roster."""
        listed = [name for name in machines if name in self._view.roster]
        for start in range(0, len(listed), self._client.most_puts):
            keys = [records.roster_key(name) for name in listed[start : start + self._client.most_puts]]
            try:
                version = await self._client.commit(
                    Transaction([self._session.condition()], [Delete(key) for key in keys]), Urgency.BACKGROUND
                )
            except (Conflict, LeaseGone, Unavailable, Unknown) as error:
                log.debug("roster: %r", error)
                continue  # it stays on the roster; the next holder returns it again
            for key in keys:
                self._view.apply(key, None, version)

    # -- fleet ----------------------------------------------------------------

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _may_order(self) -> bool:
        """Whether the cloud may be asked to rent or to take back.

        A request can be held by a cut and carried out minutes later, when another node
        commands. A holder cut off from everything saw all machines fall silent, asked the
        cloud again and again to take them back, and when the cut ended all of them went,
        with the work that its successor had kept running. So nothing is ordered unless
        the state service was read just now, which far outpaces the silence of a lease.
        """
        return self._authority() and self._view.age() <= ORDER_FRESH

    async def _run_fleet(self) -> None:
        while True:
            await asyncio.sleep(FLEET_INTERVAL.total_seconds())
            now = self._clock.now()
            if not self._may_order() or not self.dispatcher.types:
                continue
            try:
                for offer, count in fleet.wanted(self.dispatcher, self._refusals, now).items():
                    if offer not in self._renting:
                        self._renting.add(offer)
                        self._spawn(self._rent(offer, min(count, fleet.MOST_RENTED_AT_ONCE)))
                back = fleet.idle(self.dispatcher, now, self._settings.idle_return)[:100]
                if back:
                    for machine in back:
                        machine.move(MachineState.RETURNING)
                    self._spawn(self._give_back(back))
            except Exception:
                log.exception("fleet planning failed")

    async def _rent(self, offer: fleet.Offer, count: int) -> None:
        self._rentals += 1
        type_name, zone, spot = offer
        # Term and counter: no name is ever used again, whichever node asks.
        request = RentRequest(f"t{self.dispatcher.term}-{self._rentals}", type_name, zone, spot, count)
        try:
            for _ in range(3):
                if not self._may_order():
                    return
                try:
                    hosts = await self._cloud.rent(request)
                    break
                except CloudTrouble as error:
                    log.info("rental %s: %s", request.request, error)
                    await asyncio.sleep(1)
            else:
                return  # what it rented all the same shows in the list
            now = self._clock.now()
            log.info("rented %d of %d %s in %s, spot=%s: %s", len(hosts), count, type_name, zone, spot, " ".join(hosts))
            for name in hosts:
                if name not in self.dispatcher.machines:
                    self.dispatcher.add_machine(name, type_name, zone, spot, now, MachineState.BOOTING)
            if len(hosts) < count:
                self._refusals.refused(offer, now)
            else:
                self._refusals.granted(offer)
        except NoCapacity:
            log.info("no capacity: %s in %s, spot=%s", type_name, zone, spot)
            self._refusals.refused(offer, self._clock.now())
        finally:
            self._renting.discard(offer)

    async def _give_back(self, machines: list[Machine]) -> None:
        hosts = [machine.name for machine in machines]
        log.info("returning %s", " ".join(hosts))
        while True:
            if not self._may_order():
                await asyncio.sleep(0.5)
                continue
            try:
                await self._cloud.give_back(hosts)
                break
            except (CloudTrouble, NoCapacity) as error:
                log.info("return: %s", error)
                await asyncio.sleep(1)
        now = self._clock.now()
        for machine in machines:
            self._retired[machine.name] = now
            self.dispatcher.returned(machine, now)
        self._work.set()
        await self._strike(hosts)

    async def _run_list(self) -> None:
        """Looks for machines nobody expects, and for those that have failed."""
        pause = max(self._facts.cloud.list_lag.total_seconds(), 2.0)
        while True:
            try:
                listed = await self._cloud.machines()
            except (CloudTrouble, NoCapacity) as error:
                log.debug("list: %s", error)
                await asyncio.sleep(1)
                continue
            now = self._clock.now()
            for entry in listed:
                machine = self.dispatcher.machines.get(entry.machine)
                if machine is None:
                    if entry.machine not in self._retired:
                        machine = self.dispatcher.add_machine(
                            entry.machine, entry.type, entry.zone, entry.spot, now, MachineState.BOOTING
                        )
                    elif entry.status is not MachineStatus.FAILED:
                        continue
                failed = entry.status is MachineStatus.FAILED
                over = (MachineState.LOST, MachineState.RETURNING, MachineState.GONE)
                if machine is not None and failed and machine.state not in over:
                    self.dispatcher.lost(machine, "the cloud lists it as failed", now)
            self._work.set()
            await asyncio.sleep(pause)
