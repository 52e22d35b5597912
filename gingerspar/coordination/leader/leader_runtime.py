"""Runs the dispatcher while this node leads: workers' reports, commands, the fleet and notifications."""

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
from gingerspar.coordination.jobs.job_api import error_answer
from gingerspar.coordination.leader.dispatcher import Dispatcher, NewerToken, StaleReport
from gingerspar.coordination.leader.fleet_runtime import FleetRuntime
from gingerspar.coordination.leader.load_monitor import DECIDING_SHARE, LoadMonitor
from gingerspar.coordination.machines.cloud import CloudClient
from gingerspar.coordination.machines.roster import Roster
from gingerspar.coordination.membership.session import Session
from gingerspar.protocol import messages, names
from gingerspar.protocol.messages import (
    DirectCommands,
    JobStatus,
    MachineType,
    Malformed,
    Priority,
    Report,
    ReportAnswer,
    Shape,
)
from gingerspar.protocol.settings import OperatorSettings, WorkerFacts
from gingerspar.storage.client import StateClient
from gingerspar.storage.view import WatchedView
from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.clock import Clock
from gingerspar.transport.error_counts import ErrorCounts
from gingerspar.transport.process_memory import format_memory, resident_mb
from gingerspar.transport.server import Answer
from gingerspar.transport.waits import wait_for_event

log = logging.getLogger(__name__)

FINISH_RETRY_INTERVAL = timedelta(seconds=3)
FINISH_BATCH_INTERVAL = timedelta(milliseconds=100)  # finished tasks are reported to claimants in batches
RECLAIM_RETRY_INTERVAL = timedelta(seconds=1)
TICK_INTERVAL = timedelta(milliseconds=250)
MIN_PASS_PAUSE = timedelta(milliseconds=40)  # between placement passes, so that events close together share one pass
# With a large fleet the pause is this for each ready machine, if that is longer: more events arrive.
PASS_PAUSE_PER_MACHINE = timedelta(milliseconds=0.2)
# Between rounds of notifications of a new term. The first round also waits for it if any machine has reported: most
# machines report by themselves within this time.
NOTIFY_INTERVAL = timedelta(seconds=4)
# From the start of the term to the first round if no machine has reported by then: another leader is keeping all of
# them. Workers that give up a partitioned leader report within about 2 s after its successor has raised the term: with
# 1.5 s, 364 machines were notified needlessly (inc-0dbb).
NOTIFY_DELAY = timedelta(seconds=2.2)
NOTIFY_ROUNDS = 3
MAX_CONCURRENT_NOTIFICATIONS = 16
MAX_CONCURRENT_DIRECT_STOPS = 100  # each takes a socket; the answers to reports carry the stops as well
NOTIFY_CONNECT_TIMEOUT = timedelta(seconds=0.7)
SUMMARY_INTERVAL = timedelta(seconds=5)
MAX_SAMPLED_MACHINES = 6  # machines whose addresses are sent to peers
# The latest ended jobs that count towards the service levels of their classes when a term starts.
MAX_COUNTED_ENDED_JOBS = 2000
# Workers stop waiting for an answer after 4 s, and late timers need some of that.
MAX_HOLD = timedelta(seconds=2.7)
HOLD_OVERLOADED = timedelta(seconds=2.2)  # leaves more time for late timers while this node is overloaded
HOLD_IDLE = timedelta(seconds=2)  # for machines without tasks
HOLD_CHECK_INTERVAL = timedelta(milliseconds=100)  # held answers are also checked after each placement pass
HOLD_AWAITED = timedelta(milliseconds=200)  # other work or a user waits for the worker's next report
ROUTINE_REPORT_RATE = 375  # reports a second from all machines whose reports nothing waits for, together


@dataclass(slots=True, eq=False)
class HeldAnswer:
    """An answer to a report, held until ``due`` at the latest."""

    machine: Machine
    report: Report
    due: timedelta
    answer: asyncio.Future[Answer]


def _hold_duration(machine: Machine, ready: int, overloaded: bool) -> timedelta:
    """Returns how long an answer without commands may be held.

    A worker has one report in flight, so holding its answer delays its next report. A
    machine full of short tasks reported twice a second, and some hundred such machines a
    thousand times. Reports on routine tasks can wait, and so can reports that an image has
    been fetched. The more machines are ``ready``, the longer they wait, so that the report
    rate grows more slowly than the fleet. Reports that urgent work waits for can't wait: freed
    capacity, and gangs whose tasks wait for each other or end.
    """
    if not machine.live:
        return HOLD_IDLE
    if machine.reserved.cpus > 0 or any(map(_is_awaited, machine.live.values())):
        return HOLD_AWAITED
    return (
        HOLD_OVERLOADED
        if overloaded
        else min(max(timedelta(seconds=ready / ROUTINE_REPORT_RATE), HOLD_AWAITED), MAX_HOLD)
    )


def max_hold_duration(workers: WorkerFacts) -> timedelta:
    """Returns the maximum time for which any answer may be held.

    A worker's lease counts from the sending of the last report that was answered, so the next report has to be sent,
    held and answered within the lease, even if one report or answer is lost. With a lease of 4 s and answers held
    for 2 s, idle machines lost their leases all the time.
    """
    spare = workers.lease - workers.report * 1.25 - timedelta(seconds=1)
    return max(min(spare / 4, MAX_HOLD), timedelta(0))


def _is_awaited(placement: Placement) -> bool:
    """Whether other work or a user waits for the next change of this task."""
    spec = placement.spec
    return placement.stop_grace is not None or spec.priority.rank <= Priority.HIGH.rank or spec.shape is not Shape.ARRAY


class LeaderRuntime:
    """Runs the dispatcher for one term, on the node that holds the term.

    ``handle_report`` serves the workers. Background tasks place work, rent and return machines, poll the cloud's
    machine list, keep the roster and notify machines of the term. ``stop`` ends them and answers all held reports.
    """

    def __init__(
        self,
        node: str,
        dispatcher: Dispatcher,
        client: StateClient,
        view: WatchedView,
        session: Session,
        cloud: CloudClient,
        clock: Clock,
        list_lag: timedelta,
        settings: OperatorSettings,
        authority: Callable[[], bool],
        notify_finished: Callable[[str, dict[str, list[int]]], None],
        request_reclaim: Callable[[str, str, int], None],
        redirect: Callable[[], Answer],
        on_newer_token: Callable[[], None],
        load_monitor: LoadMonitor,
        rng: random.Random,
    ) -> None:
        self.dispatcher = dispatcher
        self._node = node
        self._view = view
        self._clock = clock
        self._authority = authority
        self._notify_finished = notify_finished
        self._request_reclaim = request_reclaim
        self._redirect = redirect
        self._on_newer_token = on_newer_token
        self._load_monitor = load_monitor
        self._max_hold = max_hold_duration(dispatcher.workers)
        self._holds: dict[str, HeldAnswer] = {}  # by machine
        self._due_holds: list[tuple[timedelta, int, HeldAnswer]] = []  # heap; also has answers already released
        self._hold_numbers = count()
        self._woken: dict[str, None] = {}  # machines with pending commands, in order
        self._work = asyncio.Event()
        self._random = rng
        self._claimants_notified_at = clock.now()
        self._tasks: list[asyncio.Task[None]] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._direct_stop_slots = asyncio.Semaphore(MAX_CONCURRENT_DIRECT_STOPS)
        self._failures = ErrorCounts(log)
        self._unapplied_records: set[str] = set()  # jobs whose records could not be applied
        self._last_tick = self._last_summary = clock.now()
        self._roster = Roster(dispatcher.term, client, view, session, clock, self._work.set)
        self.fleet = FleetRuntime(
            dispatcher,
            cloud,
            view,
            clock,
            load_monitor,
            self._failures,
            authority=authority,
            on_returned=self._machines_returned,
            on_listed=self._work.set,
            max_idle=settings.idle_return,
            list_lag=list_lag,
        )
        dispatcher.set_command_callback(self._wake_machine)
        dispatcher.on_unrecorded = self._work.set
        dispatcher.final_spec = view.final_spec
        dispatcher.is_ended = view.final.__contains__
        view.on_job.append(self._record_changed)

    # -- lifecycle ------------------------------------------------------------

    def start(self, types: list[MachineType]) -> None:
        """Loads the job records and starts the background tasks."""
        began = self._clock.now()
        self.dispatcher.set_types(types)
        for final in nlargest(MAX_COUNTED_ENDED_JOBS, self._view.final.values(), key=attrgetter("version")):
            self.dispatcher.cluster_state.service_levels.job_ended(
                final.footprint.jobclass, final.status is JobStatus.DONE
            )
        for job in self._view.jobs:
            self._record_changed(job)
        log.info(
            "term %d started: %d jobs, %d machines on the roster; took %.0f ms, memory %s",
            self.dispatcher.term,
            len(self._view.jobs),
            len(self.dispatcher.machines),
            (self._clock.now() - began).total_seconds() * 1000,
            format_memory(resident_mb()),
        )
        self._tasks = [
            asyncio.ensure_future(self._failures.supervise(name, loop))
            for name, loop in (
                ("decision loop", self._decide),
                ("fleet loop", self.fleet.run),
                ("machine list loop", self.fleet.poll_machine_list),
                ("roster loop", self._roster.run),
                ("notification of machines", self._notify_unreported),
            )
        ]

    def stop(self) -> None:
        """Cancels the background tasks and answers all held reports."""
        log.info("term %d ended on this node", self.dispatcher.term)
        self._view.on_job.remove(self._record_changed)
        for task in [*self._tasks, *self._calls]:
            task.cancel()
        self.fleet.stop()
        for hold in list(self._holds.values()):
            self._release(hold)

    # -- events ---------------------------------------------------------------

    def _record_changed(self, job: str) -> None:
        """Applies the job's record; if that fails, it is tried again with each tick."""
        self._unapplied_records.discard(job)
        try:
            self._apply_record(job)
        except Exception:
            self._unapplied_records.add(job)
            self._failures.add(f"applying the record of {job}")
        self._work.set()

    def _apply_record(self, job: str) -> None:
        entry = self._view.jobs.get(job)
        now = self._clock.now()
        if job in self._view.unreadable:
            return  # its running tasks continue
        if entry is None:
            done = self._view.status_of(job) is JobStatus.DONE
            self.dispatcher.set_record(job, None, None, now, done=done)
        else:
            self.dispatcher.set_record(job, entry.record, entry.finished, now)

    def sample_addresses(self) -> list[str]:
        """Returns addresses of a few random ready machines, for nodes that probe whether they reach workers."""
        ready = list(self.dispatcher.pool.states[MachineState.READY].values())
        return [
            machine.address
            for machine in self._random.sample(ready, min(MAX_SAMPLED_MACHINES, len(ready)))
            if machine.address
        ]

    def set_types(self, types: list[MachineType]) -> None:
        self.dispatcher.set_types(types)
        self._work.set()

    def _machines_returned(self, machine_names: list[str]) -> None:
        self._work.set()
        self._roster.remove(machine_names)

    def _wake_machine(self, machine: Machine) -> None:
        self._woken[machine.name] = None

    # -- reports --------------------------------------------------------------

    def handle_report(self, report: Report) -> Answer | Awaitable[Answer]:
        """Answers a worker's report, at once or after a short hold during which more commands may be added."""
        try:
            machine = self.dispatcher.handle_report(report, self._clock.now())
        except StaleReport:
            return Answer(503, b'{"error":"late"}')
        except Malformed as error:
            return error_answer(400, str(error))
        except NewerToken:
            self._on_newer_token()
            return self._redirect()
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
            # Commands are taken only below, so none is lost with this answer. If a peer leads, the worker goes
            # there at once instead of trying the next node in its list a second later.
            return self._redirect()
        commands = self.dispatcher.take_commands(machine, report, self._clock.now())
        return Answer(200, messages.encode(ReportAnswer(self.dispatcher.term, commands)))

    def _hold(self, machine: Machine, report: Report) -> asyncio.Future[Answer]:
        """Holds the answer for a short time, so that commands decided meanwhile are sent at once.

        A held answer has neither a task nor a timer of its own: with a thousand machines these
        were a good part of the cost of a report. The decision loop releases answers that are due.
        """
        duration = min(
            _hold_duration(machine, self.dispatcher.ready_count, self._load_monitor.overloaded), self._max_hold
        )
        due = self._clock.now() + duration
        hold = HeldAnswer(machine, report, due, asyncio.get_running_loop().create_future())
        self._holds[machine.name] = hold
        heappush(self._due_holds, (due, next(self._hold_numbers), hold))
        if self.dispatcher.has_commands(machine):
            self._woken[machine.name] = None  # released after the next placement pass
        return hold.answer

    def _release(self, hold: HeldAnswer) -> None:
        machine, report = hold.machine, hold.report
        if self._holds.get(machine.name) is hold:
            del self._holds[machine.name]
        if hold.answer.done():
            return
        if not machine.settled or (machine.session, machine.seq) != (report.session, report.seq):
            # A newer report has arrived, or this one no longer shows the machine's state: it must not renew the lease.
            hold.answer.set_result(Answer(503, b'{"error":"late"}'))
            return
        try:
            hold.answer.set_result(self._answer(machine, report))
        except Exception as error:
            hold.answer.set_exception(error)

    def _release_holds(self) -> None:
        """Releases answers for machines with pending commands, and answers that are due."""
        woken, self._woken = self._woken, {}
        for name in woken:
            hold = self._holds.get(name)
            if hold is not None:
                self._release(hold)
        now = self._clock.now()
        while self._due_holds and self._due_holds[0][0] <= now:
            self._release(heappop(self._due_holds)[2])

    # -- decisions ------------------------------------------------------------

    async def _decide(self) -> None:
        self._last_tick = self._last_summary = self._clock.now()
        while True:
            await wait_for_event(self._work, HOLD_CHECK_INTERVAL if self._holds else TICK_INTERVAL)
            self._work.clear()
            now = self._clock.now()
            self._failures.run("tick", self._tick, now)
            self._failures.run("placement", self._place_tasks, now)
            self._failures.run("sending of direct stops", self._send_direct_stops)
            self._failures.run("notification of claimants", self._notify_claimants, now)
            self._failures.run("summary", self._log_summary, now)
            self._failures.run("release of held answers", self._release_holds)
            if self.dispatcher.needs_placement:
                self._work.set()  # the pass stopped early to let other tasks of the event loop run
            # A long pass is followed by a longer pause: reports and state reads have priority.
            min_pause = max(MIN_PASS_PAUSE, self.dispatcher.ready_count * PASS_PAUSE_PER_MACHINE)
            pause = self._load_monitor.pause_for_share(self._clock.now() - now, DECIDING_SHARE, min_pause)
            await asyncio.sleep(pause.total_seconds())

    def _tick(self, now: timedelta) -> None:
        if now - self._last_tick < TICK_INTERVAL:
            return
        self._last_tick = now
        for job in list(self._unapplied_records):
            self._record_changed(job)
        self.dispatcher.tick(now, self._view.read_sent)

    def _place_tasks(self, now: timedelta) -> None:
        if self.dispatcher.cluster_state.types:
            self.dispatcher.place_tasks(now)

    def _log_summary(self, now: timedelta) -> None:
        if log.isEnabledFor(logging.DEBUG) and now - self._last_summary >= SUMMARY_INTERVAL:
            self._last_summary = now
            log.debug("%s", self.dispatcher.summary())

    def _send_direct_stops(self) -> None:
        stopping = self.dispatcher.pending_direct_stops
        for name, machine in list(stopping.items()):
            if not (machine.settled and machine.address) or name in self._holds:
                del stopping[name]  # a held answer will carry the stops at once
                continue
            if not self._authority():
                return
            del stopping[name]
            commands = self.dispatcher.direct_stops(machine)
            if commands:
                body = messages.encode(DirectCommands(self.dispatcher.term, machine.session, commands))
                self._spawn(self._send_direct_stop(machine.address, body))

    async def _send_direct_stop(self, address: str, body: bytes) -> None:
        async with self._direct_stop_slots:
            client = Client(address, connect_timeout=timedelta(seconds=1))
            try:
                await client.request(
                    "POST", names.PATH_COMMANDS, body, timeout=timedelta(seconds=2), permit=self._authority
                )
            except (NoAnswer, ValueError) as error:
                log.debug("direct stop failed: %s", error)
            finally:
                client.close()

    # -- notifications --------------------------------------------------------

    async def _notify_unreported(self) -> None:
        """Notifies machines that have not reported in this term of its token.

        An earlier leader that has lost the state service and all other controllers continues to answer its workers.
        It learns of its successor only from them (docs/design.md, "Left with its workers alone").
        """
        await asyncio.sleep(NOTIFY_DELAY.total_seconds())
        if self.dispatcher.ready_count:
            await asyncio.sleep(NOTIFY_INTERVAL.total_seconds())
        for _ in range(NOTIFY_ROUNDS):
            waiting = [machine for machine in self.dispatcher.unreported_machines() if machine.address]
            if waiting:
                log.info("notifying %d machines of term %d", len(waiting), self.dispatcher.term)
            for start in range(0, len(waiting), MAX_CONCURRENT_NOTIFICATIONS):
                await asyncio.gather(*map(self._notify_machine, waiting[start : start + MAX_CONCURRENT_NOTIFICATIONS]))
            await asyncio.sleep(NOTIFY_INTERVAL.total_seconds())

    async def _notify_machine(self, machine: Machine) -> None:
        try:
            client = Client(machine.address, connect_timeout=NOTIFY_CONNECT_TIMEOUT)
        except ValueError:
            return  # invalid address; the other machines are still notified
        try:
            async with asyncio.timeout(2 * NOTIFY_CONNECT_TIMEOUT.total_seconds()):
                _, body = await client.request("GET", names.PATH_STATUS)
                report = messages.decode(Report, body)
                self.dispatcher.record_direct_notification(machine, report)
                empty_commands = messages.encode(DirectCommands(self.dispatcher.term, report.session, []))
                await client.request("POST", names.PATH_COMMANDS, empty_commands, permit=self._authority)
        except (NoAnswer, Malformed, TimeoutError) as error:
            log.debug("machine %s was not notified of the term: %s", machine.name, error)
        finally:
            client.close()

    def _notify_claimants(self, now: timedelta) -> None:
        """Reports finished tasks to claimants and requests new attempts from them, until the job records show both."""
        if now - self._claimants_notified_at >= FINISH_BATCH_INTERVAL:
            self._claimants_notified_at = now
            finishes: dict[str, dict[str, list[int]]] = {}
            for job, run in self.dispatcher.cluster_state.unrecorded.items():
                claimant = run.record.claimant
                if claimant is not None and (run.notified_at is None or now - run.notified_at >= FINISH_RETRY_INTERVAL):
                    run.notified_at = now
                    finishes.setdefault(claimant.node, {})[job] = sorted(run.unrecorded)
            for node, jobs in finishes.items():
                self._notify_finished(node, jobs)
        for job, run in self.dispatcher.backlog.awaiting_attempt.items():
            claimant = run.record.claimant
            if claimant is not None and (
                run.reclaim_requested_at is None or now - run.reclaim_requested_at >= RECLAIM_RETRY_INTERVAL
            ):
                run.reclaim_requested_at = now
                self._request_reclaim(claimant.node, job, run.record.attempt)

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
