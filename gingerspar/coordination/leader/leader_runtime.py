"""The term leader at work: carries the dispatcher's decisions in and out."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from heapq import heappop, heappush, nlargest
from itertools import count
from operator import attrgetter
from typing import Any

from gingerspar.coordination.cluster.machine import Machine, MachineState, Placement
from gingerspar.coordination.cluster.pool import Offer
from gingerspar.coordination.jobs.job_api import error_answer
from gingerspar.coordination.leader.dispatcher import Dispatcher, NewerToken, StaleReport
from gingerspar.coordination.leader.load_monitor import DECIDING_SHARE, PLANNING_SHARE, LoadMonitor
from gingerspar.coordination.machines import fleet
from gingerspar.coordination.machines.cloud import CloudClient, CloudError, NoCapacity, NotPermitted
from gingerspar.coordination.machines.roster import Roster
from gingerspar.coordination.membership.session import Session
from gingerspar.protocol import messages, names
from gingerspar.protocol.messages import (
    DirectCommands,
    JobStatus,
    MachineStatus,
    MachineType,
    Malformed,
    Priority,
    RentRequest,
    Report,
    ReportAnswer,
    Shape,
)
from gingerspar.protocol.settings import Facts, OperatorSettings, WorkerFacts
from gingerspar.storage.client import StateClient
from gingerspar.storage.view import WatchedView
from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer
from gingerspar.transport.waits import wait_for_event

log = logging.getLogger(__name__)

SAY_AGAIN = timedelta(seconds=3)
SAY_PAUSE = timedelta(milliseconds=100)  # finishes are told together
RECLAIM_AGAIN = timedelta(seconds=1)
FLEET_INTERVAL = timedelta(seconds=1)
FLEET_EACH = timedelta(milliseconds=1.5)  # ... for each machine, if that is longer: a plan goes through all that waits
ORDER_FRESH = timedelta(seconds=1)
TICK = timedelta(milliseconds=250)
PASS_PAUSE = timedelta(milliseconds=40)  # between two placing passes: what comes together is looked at together
PASS_PAUSE_EACH = timedelta(milliseconds=0.2)  # ... with a large fleet so much for each machine, as more comes
TELL_AFTER = timedelta(seconds=4)  # most machines come by themselves within it
TELL_NOBODY = timedelta(seconds=2.2)  # ... and where none has after so long, another keeps them all. Those that give
# a cut-off leader up come within some 2 s of its successor's raise: at 1.5 s, 364 were told in vain (inc-0dbb).
TELL_ROUNDS = 3
TELL_AT_ONCE = 16
TELL_PATIENCE = timedelta(seconds=0.7)
SUMMARY = timedelta(seconds=5)
SAMPLE = 6  # machines that peers are told of
COUNTED_OVER = 2000  # of the jobs that are over, the latest: how far their classes are served in a new term
RETIRED_FOR = timedelta(minutes=2)  # far longer than the machine list lags
HOLD_MOST = timedelta(seconds=2.7)  # workers give an answer up after 4 s, and late timers need some of that
HOLD_STRAINED = timedelta(seconds=2.2)  # ... and more of it while they are late
HOLD_IDLE = timedelta(seconds=2)
HOLD_STEP = timedelta(milliseconds=100)  # they are looked at so often, and after each pass
HOLD_BUSY = timedelta(milliseconds=200)  # somebody waits for the worker's news
NEWS_RATE = 375  # reports a second that machines may send whose news nobody waits for, all together


@dataclass(slots=True, eq=False)
class HeldAnswer:
    """An answer that is kept back, at most until ``due``."""

    machine: Machine
    report: Report
    due: timedelta
    answer: asyncio.Future[Answer]


def _hold_for(machine: Machine, ready: int, overloaded: bool) -> timedelta:
    """How long an answer that carries nothing may be kept back.

    A worker has one report under way. A machine full of short tasks reported twice a
    second, some hundred of them a thousand times. News of routine tasks can wait, the
    longer the more machines are ``ready``, so that the reports of a fleet grow more slowly
    than the fleet; so can that an image has come. Not so what urgent work waits for: room,
    and gangs that gather or end.
    """
    if not machine.live:
        return HOLD_IDLE
    if machine.reserved.cpus > 0 or any(map(_waited_for, machine.live.values())):
        return HOLD_BUSY
    return HOLD_STRAINED if overloaded else min(max(timedelta(seconds=ready / NEWS_RATE), HOLD_BUSY), HOLD_MOST)


def longest_hold(workers: WorkerFacts) -> timedelta:
    """How long an answer may be kept back at the most, whatever for.

    A worker's lease counts from the sending of the last report that was answered, so the next one has to be sent,
    held and answered within it, and one of them may be lost on the way. With a lease of 4 s and answers held for
    2 s, idle machines lost their leases all the time.
    """
    spare = workers.lease - workers.report * 1.25 - timedelta(seconds=1)
    return max(min(spare / 4, HOLD_MOST), timedelta(0))


def _waited_for(placement: Placement) -> bool:
    """Whether something is held up until this task's next change is known here."""
    spec = placement.spec
    return placement.stop_grace is not None or spec.priority.rank <= Priority.HIGH.rank or spec.shape is not Shape.ARRAY


class LeaderRuntime:
    """Lives for one term on the node that holds it."""

    def __init__(
        self,
        node: str,
        dispatcher: Dispatcher,
        client: StateClient,
        view: WatchedView,
        session: Session,
        cloud: CloudClient,
        clock: Clock,
        facts: Facts,
        settings: OperatorSettings,
        authority: Callable[[], bool],
        tell_finished: Callable[[str, dict[str, list[int]]], None],
        ask_reclaim: Callable[[str, str, int], None],
        steer: Callable[[], Answer],
        superseded: Callable[[], None],
        load_monitor: LoadMonitor,
        rng: random.Random,
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
        self._steer = steer
        self._superseded = superseded
        self._load_monitor = load_monitor
        self._longest_hold = longest_hold(dispatcher.workers)
        self._holds: dict[str, HeldAnswer] = {}  # by machine
        self._due: list[tuple[timedelta, int, HeldAnswer]] = []  # a heap of the same and of some that have left
        self._order = count()
        self._woken: dict[str, None] = {}  # machines that commands wait for, in order
        self._work = asyncio.Event()
        self._refusals = fleet.Refusals()
        self._idle_history = fleet.IdleHistory()
        self._rentals = 0
        self._random = rng
        self._said = clock.now()
        self._renting: set[Offer] = set()
        self._retired: dict[str, timedelta] = {}  # given back: lists may show them for a while
        self._tasks: list[asyncio.Task[None]] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._roster = Roster(dispatcher.term, client, view, session, self._work.set)
        dispatcher.on_wake(self._wake_machine)
        dispatcher.on_unrecorded = self._work.set
        dispatcher.final_spec = view.final_spec
        dispatcher.is_ended = view.final.__contains__
        view.on_job.append(self._record_changed)

    # -- life -----------------------------------------------------------------

    def start(self, types: list[MachineType]) -> None:
        self.dispatcher.set_types(types)
        for final in nlargest(COUNTED_OVER, self._view.final.values(), key=attrgetter("version")):
            self.dispatcher.cluster_state.service_levels.job_ended(
                final.footprint.jobclass, final.status is JobStatus.DONE
            )
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
            for loop in (self._decide(), self._run_fleet(), self._run_list(), self._roster.run(), self._tell())
        ]

    def stop(self) -> None:
        log.info("term %d ends here", self.dispatcher.term)
        self._view.on_job.remove(self._record_changed)
        for task in [*self._tasks, *self._calls]:
            task.cancel()
        for hold in list(self._holds.values()):
            self._release(hold)

    # -- events ---------------------------------------------------------------

    def _record_changed(self, job: str) -> None:
        entry = self._view.jobs.get(job)
        now = self._clock.now()
        if job in self._view.unreadable:
            return  # what runs of it runs on
        if entry is None:
            done = self._view.status_of(job) is JobStatus.DONE
            self.dispatcher.set_record(job, None, None, now, done=done)
        else:
            self.dispatcher.set_record(job, entry.record, entry.finished, now)
        self._work.set()

    @property
    def _ready(self) -> int:
        return len(self.dispatcher.pool.states[MachineState.READY])

    def sample_addresses(self) -> list[str]:
        """Addresses of a few machines that report here, for whoever has to know whether it reaches them."""
        ready = list(self.dispatcher.pool.states[MachineState.READY].values())
        return [machine.address for machine in self._random.sample(ready, min(SAMPLE, len(ready))) if machine.address]

    def set_types(self, types: list[MachineType]) -> None:
        self.dispatcher.set_types(types)
        self._work.set()

    def _wake_machine(self, machine: Machine) -> None:
        self._woken[machine.name] = None

    # -- reports --------------------------------------------------------------

    def handle_report(self, report: Report) -> Answer | Awaitable[Answer]:
        """What a worker is answered, at once or after a short while in which more may be decided for it."""
        try:
            machine = self.dispatcher.handle_report(report, self._clock.now())
        except StaleReport:
            return Answer(503, b'{"error":"late"}')
        except Malformed as error:
            return error_answer(400, str(error))
        except NewerToken:
            self._superseded()
            return self._steer()
        if self.dispatcher.needs_placement:
            self._work.set()
        if report.token >= self.dispatcher.term and machine.settled:
            if not machine.rostered:
                self._roster.add_machine(machine)
            if self.dispatcher.needs_placement or not self.dispatcher.has_commands(machine):
                return self._hold(machine, report)
        return self._answer(machine, report)

    def _answer(self, machine: Machine, report: Report) -> Answer:
        if not self._authority():
            # Commands are taken only now, so none is lost with this answer. Where a peer commands, the
            # worker goes there at once, not a second later to whichever node comes next.
            return self._steer()
        commands = self.dispatcher.take_commands(machine, report, self._clock.now())
        return Answer(200, messages.encode(ReportAnswer(self.dispatcher.term, commands)))

    def _hold(self, machine: Machine, report: Report) -> asyncio.Future[Answer]:
        """Keeps the answer back a little, so that what is decided meanwhile goes at once.

        It has neither a task nor a timer of its own: with a thousand machines these were a
        good part of what a report cost. The deciding loop lets go what is due.
        """
        span = min(_hold_for(machine, self._ready, self._load_monitor.overloaded), self._longest_hold)
        due = self._clock.now() + span
        hold = HeldAnswer(machine, report, due, asyncio.get_running_loop().create_future())
        self._holds[machine.name] = hold
        heappush(self._due, (due, next(self._order), hold))
        if self.dispatcher.has_commands(machine):
            self._woken[machine.name] = None  # it leaves after the pass that is due
        return hold.answer

    def _release(self, hold: HeldAnswer) -> None:
        machine, report = hold.machine, hold.report
        if self._holds.get(machine.name) is hold:
            del self._holds[machine.name]
        if hold.answer.done():
            return
        if not machine.settled or (machine.session, machine.seq) != (report.session, report.seq):
            # Newer news have come, or what this report showed does not hold any more: no lease is renewed for it.
            hold.answer.set_result(Answer(503, b'{"error":"late"}'))
            return
        try:
            hold.answer.set_result(self._answer(machine, report))
        except Exception as error:
            hold.answer.set_exception(error)

    def _release_holds(self) -> None:
        """Lets go the answers that commands wait for, and those whose time is over."""
        woken, self._woken = self._woken, {}
        for name in woken:
            hold = self._holds.get(name)
            if hold is not None:
                self._release(hold)
        now = self._clock.now()
        while self._due and self._due[0][0] <= now:
            self._release(heappop(self._due)[2])

    # -- decisions ------------------------------------------------------------

    async def _decide(self) -> None:
        summed = ticked = self._clock.now()
        while True:
            await wait_for_event(self._work, HOLD_STEP if self._holds else TICK)
            self._work.clear()
            now = self._clock.now()
            try:
                if now - ticked >= TICK:
                    ticked = now
                    self.dispatcher.tick(now, self._view.read_sent)
                if self.dispatcher.cluster_state.types:
                    self.dispatcher.place_tasks(now)
                self._stop_directly()
                self._say(now)
                if log.isEnabledFor(logging.DEBUG) and now - summed >= SUMMARY:
                    summed = now
                    log.debug("%s", self.dispatcher.summary())
            except Exception:
                log.exception("deciding failed")
            self._release_holds()
            if self.dispatcher.needs_placement:
                self._work.set()  # the pass was stopped to let others have their turn
            # A pass that took long is followed by a longer pause: reports and reads come first.
            least = max(PASS_PAUSE, self._ready * PASS_PAUSE_EACH)
            pause = self._load_monitor.pause_after(self._clock.now() - now, DECIDING_SHARE, least)
            await asyncio.sleep(pause.total_seconds())

    def _stop_directly(self) -> None:
        stopping = self.dispatcher.pending_direct_stops
        for name, machine in list(stopping.items()):
            if not (machine.settled and machine.address) or name in self._holds:
                del stopping[name]  # an answer that is held back takes them along at once
                continue
            if not self._authority():
                return
            del stopping[name]
            commands = self.dispatcher.direct_stops(machine)
            if commands:
                body = messages.encode(DirectCommands(self.dispatcher.term, machine.session, commands))
                self._spawn(self._send_directly(machine.address, body))

    async def _send_directly(self, address: str, body: bytes) -> None:
        client = Client(address, connect_timeout=timedelta(seconds=1))
        try:
            await client.request(
                "POST", names.PATH_COMMANDS, body, timeout=timedelta(seconds=2), permit=self._authority
            )
        except (NoAnswer, ValueError) as error:
            log.debug("direct stop: %s", error)
        finally:
            client.close()

    # -- the token ------------------------------------------------------------

    async def _tell(self) -> None:
        """Tells machines of the new token that have not come by themselves.

        An older leader without the state service and all other controllers goes on answering its
        workers, and hears of its successor from nobody but them (docs/design.md, "Left with its workers alone").
        """
        await asyncio.sleep(TELL_NOBODY.total_seconds())
        if self._ready:
            await asyncio.sleep(TELL_AFTER.total_seconds())
        for _ in range(TELL_ROUNDS):
            waiting = [machine for machine in self.dispatcher.unreported_machines() if machine.address]
            if waiting:
                log.info("telling %d machines of term %d", len(waiting), self.dispatcher.term)
            for begin in range(0, len(waiting), TELL_AT_ONCE):
                await asyncio.gather(*map(self._tell_one, waiting[begin : begin + TELL_AT_ONCE]))
            await asyncio.sleep(TELL_AFTER.total_seconds())

    async def _tell_one(self, machine: Machine) -> None:
        try:
            client = Client(machine.address, connect_timeout=TELL_PATIENCE)
        except ValueError:
            return  # that is no address; the others are told all the same
        try:
            async with asyncio.timeout(2 * TELL_PATIENCE.total_seconds()):
                _, body = await client.request("GET", names.PATH_STATUS)
                report = messages.decode(Report, body)
                self.dispatcher.notified_directly(machine, report)
                orders = messages.encode(DirectCommands(self.dispatcher.term, report.session, []))
                await client.request("POST", names.PATH_COMMANDS, orders, permit=self._authority)
        except (NoAnswer, Malformed, TimeoutError) as error:
            log.debug("machine %s was not told: %s", machine.name, error)
        finally:
            client.close()

    def _say(self, now: timedelta) -> None:
        """Tells claimants of finishes, and asks for attempts, until their records show it."""
        if now - self._said >= SAY_PAUSE:
            self._said = now
            finishes: dict[str, dict[str, list[int]]] = {}
            for job, run in self.dispatcher.cluster_state.unrecorded.items():
                claimant = run.record.claimant
                if claimant is not None and (run.notified_at is None or now - run.notified_at >= SAY_AGAIN):
                    run.notified_at = now
                    finishes.setdefault(claimant.node, {})[job] = sorted(run.unrecorded)
            for node, jobs in finishes.items():
                self._tell_finished(node, jobs)
        for job, run in self.dispatcher.backlog.awaiting_attempt.items():
            claimant = run.record.claimant
            if claimant is not None and (
                run.reclaim_requested_at is None or now - run.reclaim_requested_at >= RECLAIM_AGAIN
            ):
                run.reclaim_requested_at = now
                self._ask_reclaim(claimant.node, job, run.record.attempt)

    # -- fleet ----------------------------------------------------------------

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _may_order(self) -> bool:
        """Whether the cloud may be asked to rent or to take back.

        A request can be held by a cut and carried out minutes later, when another node
        commands. A leader cut off from everything saw all machines fall silent, asked the
        cloud again and again to take them back, and when the cut ended all of them went,
        with the work that its successor had kept running. So nothing is ordered unless
        the state service was read just now, which far outpaces the silence of a lease.
        """
        return self._authority() and self._view.age() <= ORDER_FRESH

    async def _run_fleet(self) -> None:
        pause = FLEET_INTERVAL
        while True:
            await asyncio.sleep(pause.total_seconds())
            now = self._clock.now()
            if not self._may_order() or not self.dispatcher.cluster_state.types:
                continue
            try:
                for offer, count in fleet.plan_rentals(self.dispatcher.cluster_state, self._refusals, now).items():
                    if offer not in self._renting:
                        self._renting.add(offer)
                        self._spawn(self._rent(offer, min(count, fleet.MOST_RENTED_AT_ONCE)))
                back = fleet.plan_returns(
                    self.dispatcher.cluster_state, self._idle_history, now, self._settings.idle_return
                )[:100]
                if back:
                    for machine in back:
                        machine.move(MachineState.RETURNING)
                    self._spawn(self._give_back(back))
            except Exception:
                log.exception("fleet planning failed")
            least = max(FLEET_INTERVAL, self._ready * FLEET_EACH)
            pause = self._load_monitor.pause_after(self._clock.now() - now, PLANNING_SHARE, least)

    async def _rent(self, offer: Offer, count: int) -> None:
        self._rentals += 1
        type_name, zone, spot = offer
        # Term and counter: no name is ever used again, whichever node asks.
        request = RentRequest(f"t{self.dispatcher.term}-{self._rentals}", type_name, zone, spot, count)
        try:
            for _ in range(3):
                if not self._may_order():
                    return
                try:
                    hosts = await self._cloud.rent(request, self._may_order)
                    break
                except CloudError as error:
                    log.info("rental %s: %s", request.request, error)
                    await asyncio.sleep(1)
            else:
                return  # what it rented all the same shows in the list
            now = self._clock.now()
            log.info("rented %d of %d %s in %s, spot=%s: %s", len(hosts), count, type_name, zone, spot, " ".join(hosts))
            for name in hosts:
                if name not in self.dispatcher.machines:
                    self.dispatcher.cluster_state.add_machine(name, type_name, zone, spot, now, MachineState.BOOTING)
            if len(hosts) < count:
                self._refusals.refused(offer, now)
            else:
                self._refusals.granted(offer)
        except NotPermitted:
            log.info("rental %s not sent: the state service was not read just now", request.request)
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
                await self._cloud.return_machines(hosts, self._may_order)
                break
            except NotPermitted:
                continue
            except (CloudError, NoCapacity) as error:
                log.info("return: %s", error)
                await asyncio.sleep(1)
        now = self._clock.now()
        for machine in machines:
            self._retired[machine.name] = now
            self.dispatcher.machine_returned(machine, now)
        self._work.set()
        self._roster.remove(hosts)

    async def _run_list(self) -> None:
        """Looks for machines nobody expects, and for those that have failed."""
        pause = max(self._facts.cloud.list_lag.total_seconds(), 2.0)
        while True:
            try:
                listed = await self._cloud.machines()
            except (CloudError, NoCapacity) as error:
                log.debug("list: %s", error)
                await asyncio.sleep(1)
                continue
            now = self._clock.now()
            self._retired = {name: since for name, since in self._retired.items() if now - since < RETIRED_FOR}
            for entry in listed:
                machine = self.dispatcher.machines.get(entry.machine)
                if machine is None:
                    if entry.machine not in self._retired:
                        machine = self.dispatcher.cluster_state.add_machine(
                            entry.machine, entry.type, entry.zone, entry.spot, now, MachineState.BOOTING
                        )
                    elif entry.status is not MachineStatus.FAILED:
                        continue
                if machine is not None and not machine.address:
                    machine.address = entry.address
                # Lists are late and go back in time. What has reported in this term is judged by its lease, which
                # is over long before the cloud lists a machine as failed (30 s).
                unheard = (MachineState.BOOTING, MachineState.UNSETTLED)
                failed = entry.status is MachineStatus.FAILED
                if machine is not None and failed and machine.state in unheard and machine.answered is None:
                    self.dispatcher.machine_lost(machine, "the cloud lists it as failed", now)
            self._work.set()
            await asyncio.sleep(pause)
