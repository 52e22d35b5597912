"""What the term leader learns and says: pure of input and output, driven by events.

One ``Dispatcher`` lives as long as its term. Reports, records and the cloud's
answers go in; commands, finishes and wishes come out.
"""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

from gingerspar.coordination.cluster.cluster_state import NO_GRACE_PERIOD, ClusterState
from gingerspar.coordination.cluster.delivery import TOKEN_RETRY_LIMIT, DeliveryState, tried_other_controllers
from gingerspar.coordination.cluster.job_runs import (
    FIRST_BACKOFF,
    GangState,
    JobRun,
    run_of_ended_job,
    unknown_job_spec,
)
from gingerspar.coordination.cluster.machine import TASK_STATE_BY_STATUS, Machine, MachineState, Placement, TaskState
from gingerspar.coordination.membership.term import DRIFT, settling_time
from gingerspar.coordination.placement.placer import Placer
from gingerspar.protocol.messages import (
    Cause,
    Command,
    JobSpec,
    JobStatus,
    MachineType,
    Report,
    Shape,
    TaskReport,
    TaskStatus,
    Verb,
)
from gingerspar.protocol.settings import Objective, TeamFacts, WorkerFacts
from gingerspar.storage.records import JobRecord, TaskSet

log = logging.getLogger(__name__)

LEASE_MARGIN = timedelta(seconds=0.5)
MOST_BACKOFF = timedelta(seconds=40)
SICK_JOBS = 2  # that failed on a machine without a success in between: then it is to blame
SICK_TASKS = 2  # ... or so many tasks of one job that runs well elsewhere
WELL_FOR = timedelta(seconds=5)
SAME_FAULT = 3  # machines on which a job fails that ran well on none: then the job is to blame
MOST_COMMANDS = 800  # in one answer, which has to stay below 64 KiB; the longest takes 75 bytes or so


class StaleReport(Exception):
    """The report is older than what is known, or of a session that is over."""


class NewerToken(Exception):
    """The worker has seen a higher token: this node no longer commands."""


class Dispatcher:
    """Holds the books of one term."""

    def __init__(
        self,
        term: int,
        raised_at: timedelta,
        workers: WorkerFacts,
        teams: Iterable[TeamFacts],
        *,
        objectives: Iterable[Objective] = (),
        today: Callable[[], datetime] | None = None,
        roster: Iterable[tuple[str, str, str, bool]] = (),
        nodes: int = 1,
    ) -> None:
        self.term = term
        self._nodes = nodes
        self.raised_at = raised_at
        self.cluster_state = ClusterState(term, teams, objectives)
        self._today = today
        self.pool = self.cluster_state.pool
        self.runs = self.cluster_state.runs
        self.backlog = self.cluster_state.backlog
        self.workers = workers
        self._lease = workers.lease * (1 + 4 * DRIFT) + LEASE_MARGIN
        self._settled_by = raised_at + settling_time(workers)
        self._placer = Placer(self.cluster_state)
        self._to_drain: dict[str, Machine] = {}  # the cloud takes them away
        self.pending_direct_stops: dict[str, Machine] = {}  # with stops that have not been told directly yet
        self.needs_placement = True
        self._wake: Callable[[Machine], None] = lambda machine: None
        self.final_spec: Callable[[str], JobSpec | None] = lambda job: None
        self.is_ended: Callable[[str], bool] = lambda job: False  # done or cancelled, by the records
        self.on_unrecorded: Callable[[], None] = lambda: None
        self.cluster_state.notify_machine = self._wanted_on
        for name, type_name, zone, spot in roster:
            self.cluster_state.add_machine(
                name, type_name, zone, spot, raised_at, MachineState.UNSETTLED, rostered=True
            )

    def on_wake(self, wake: Callable[[Machine], None]) -> None:
        """``wake`` is called for each machine that a command waits for."""
        self._wake = wake

    def _wanted_on(self, machine: Machine) -> None:
        self.pending_direct_stops[machine.name] = machine
        self._wake(machine)

    @property
    def machines(self) -> dict[str, Machine]:
        return self.pool.machines

    # -- what comes in: machine types and records -----------------------------

    def set_types(self, types: Iterable[MachineType]) -> None:
        self.cluster_state.set_types(types)
        self.needs_placement = True

    def set_record(
        self, job: str, record: JobRecord | None, finished: TaskSet | None, now: timedelta, *, done: bool = False
    ) -> None:
        """A new version of a record; None: the job is over, ``done`` or cancelled."""
        run = self.runs.get(job)
        self.needs_placement = True
        if record is None or finished is None:
            if run is not None and not run.ended:
                self.cluster_state.service_levels.job_ended(run.spec.jobclass, done)
            if run is not None:
                self.cluster_state.end_run(run, now)
            return
        if run is None or run.ended:
            found = self._begin(record, finished, now)
            if run is not None:
                found.places, found.running, found.max_used_attempt = run.places, run.running, run.max_used_attempt
                found.open -= set(run.places)
            run = self.runs[job] = found
        run.record = record
        if record.claim_term < self.term:
            # Claimed under an older leader, who may have started this attempt.
            run.max_used_attempt = max(run.max_used_attempt, record.attempt)
        for number in finished.difference(run.recorded):
            run.finished.add(number)
            run.recorded.add(number)
            run.unrecorded.discard(number)
            run.open.discard(number)
        if not run.unrecorded:
            self.cluster_state.unrecorded.pop(job, None)
        self.backlog.update(run, now, fresh=True)

    def _begin(self, record: JobRecord, finished: TaskSet, now: timedelta) -> JobRun:
        run = JobRun(record.spec, record, finished.copy(), finished.copy(), submitted=now)
        if self._today is not None:
            age = self._today().timestamp() - record.submitted
            run.submitted = now - timedelta(seconds=max(age, 0.0))
        run.open.update(finished.missing())
        run.has_started = len(finished) > 0
        self.cluster_state.largest_jobs.add(run.spec)
        run.order = self.cluster_state.order_key(run, now)
        self.cluster_state.estimates.job(run.spec)
        if run.spec.gpus:
            self.cluster_state.accelerator_specs[run.spec.jobclass] = run.spec
        return run

    # -- reports --------------------------------------------------------------

    def handle_report(self, report: Report, now: timedelta) -> Machine:
        """Takes a report in; raises ``StaleReport`` or ``NewerToken`` if it must not be answered.

        ``Malformed``, before anything has changed, if its task list can't be read.
        """
        if report.token > self.term:
            raise NewerToken
        machine = self.machines.get(report.machine)
        tasks = bytes(report.tasks)
        listed = report.task_list() if machine is None or tasks != machine.tasks_seen else None
        if machine is None:
            if report.token >= self.term:
                # It has heard of this term, so this leader knew it, and has given it back since: a copy.
                # The task that it shows would be taken to run there for the length of a lease.
                raise StaleReport
            # Unexpected, yet not on the roster: no older leader can have used it.
            machine = self.cluster_state.add_machine(
                report.machine, report.type, report.zone, report.spot, now, MachineState.BOOTING
            )
        if machine.state in (MachineState.RETURNING, MachineState.GONE):
            raise StaleReport
        if report.session < machine.min_session or (report.session, report.seq) <= (machine.session, machine.seq):
            raise StaleReport
        if report.token < self.term and report.session == machine.token_session:
            # A worker forgets no token: it has ended, is back, and numbers its reports anew. What its former life
            # sent and is still under way can't be told from what it says itself, so its lease is waited for.
            raise StaleReport
        heard = self._heard(machine, report, now)
        machine.session, machine.seq = report.session, report.seq
        machine.address = report.address
        if report.token < self.term:
            # It may yet take an older leader's answer; its next report tells what is on it. One that
            # doesn't hear, or whose reports are late copies, would stay so for good, and all that may
            # run on it with it: it is told for a while only, and then its lease is waited for.
            if machine.token_sent_at is None:
                machine.token_sent_at = now
            elif now - machine.token_sent_at > TOKEN_RETRY_LIMIT:
                raise StaleReport
            machine.answered = now
            if machine.state is MachineState.BOOTING and machine.rostered and report.task_list():
                machine.move(MachineState.UNSETTLED)
            return machine
        machine.token_sent_at = None
        machine.token_session = report.session
        machine.answered = now
        if machine.state in (MachineState.BOOTING, MachineState.UNSETTLED, MachineState.LOST):
            log.info("machine %s %s -> ready", machine.name, machine.state.value)
            machine.move(MachineState.READY)
            machine.idle_since = None
            self.needs_placement = True
        if listed is not None:
            self._take_tasks(machine, report, listed, now)
            machine.tasks_seen = tasks
            self.needs_placement = True
        if heard is not None:
            self._judge(machine, heard, now)
        if report.notice_s is not None:
            machine.notice = now + timedelta(seconds=report.notice_s)
            self._to_drain[machine.name] = machine
            if machine.state is MachineState.READY:
                self.drain_machine(machine, "spot notice")
        if not machine.live and machine.idle_since is None:
            machine.idle_since = now
        return machine

    def notified_directly(self, machine: Machine, report: Report) -> None:
        """A machine that has not come by itself has shown this report, and is now told of the token directly.

        From then on its reports show the token. One that arrives late must not pass for the first word of the
        machine's next life: of a session that is over once the machine was taken for lost, or of a worker that
        has ended and numbers its reports anew (traces/told_directly). The report that is under way now may be
        one or two numbers older.
        """
        shown = (report.session, max(report.seq - 2, 0))
        if machine.state is MachineState.UNSETTLED and shown > (machine.session, machine.seq):
            machine.session, machine.seq = shown

    def _heard(self, machine: Machine, report: Report, now: timedelta) -> bool | None:
        """Whether the worker has heard the answer to its report before; None: there was none to hear."""
        if machine.answered is None:
            return None
        if machine.token_sent_at is not None or report.token < self.term:
            return report.token >= self.term  # it was told of the term, and shows that or not
        # A new session: its lease has run out, unless it was restarted just now.
        ticks = self._nodes if report.session > machine.session else report.seq - machine.seq
        return not tried_other_controllers(now - machine.answered, ticks, self._nodes, self.workers.report)

    def _judge(self, machine: Machine, heard: bool, now: timedelta) -> None:
        machine.record_delivery(heard)
        if heard:
            return
        for placement in list(machine.live.values()):
            if placement.state is TaskState.PLANNED:
                self.cluster_state.task_gone(placement, now)  # its `run` would be lost as well
        if machine.delivery.state is DeliveryState.FAILED and machine.state is MachineState.READY:
            self.drain_machine(machine, "it hears no answer")

    def _take_tasks(self, machine: Machine, report: Report, listed: list[TaskReport], now: timedelta) -> None:
        # Names are taken apart only for what is not known yet or has ended: most of what a
        # report lists runs on as before.
        reported = {(task.task, task.attempt): task for task in listed}
        for placement in list(machine.live.values()):
            name = (placement.name, placement.attempt)
            seen = reported.get(name)
            if seen is not None:
                if seen.status is not TaskStatus.EXITED:
                    del reported[name]  # what is left is gone through below
                if seen.status is not TaskStatus.RUNNING or placement.state is not TaskState.RUNNING:
                    self._update(placement, seen, now)
            elif placement.state is TaskState.SENT:
                if (report.session, report.seq) > placement.answered:
                    # The answer that carried `run` was dropped: a later report was sent
                    # since, and answers to earlier ones have no effect any more.
                    if placement.stop_grace is not None:
                        self.cluster_state.task_gone(placement, now)
                    elif placement.live:
                        self.cluster_state.move_task(placement, TaskState.PLANNED, now)
            elif placement.state is not TaskState.PLANNED:
                self.cluster_state.task_gone(placement, now)
        ended, machine.ended_placements = machine.ended_placements, {}
        machine.exited_placements = {}
        strangers: list[tuple[tuple[str, int, int], TaskReport]] = []
        for name, task in reported.items():
            exited = task.status is TaskStatus.EXITED
            if exited and name in ended:
                # Machines with short tasks list eight finishes for each that is new (vatuloa-grep-fleet loss).
                machine.ended_placements[name] = ended[name]
                machine.exited_placements[ended[name]] = task.cause
                continue
            try:
                job, number = task.task_id()
            except ValueError:
                continue
            key = (job, number, task.attempt)
            if exited:
                machine.exited_placements[key] = task.cause
                run = self.runs.get(job)
                if run is not None and not run.ended:
                    machine.ended_placements[name] = key
            if key not in machine.live:
                strangers.append((key, task))
        for key, task in strangers:
            self._adopt(machine, key, task, now)

    def _update(self, placement: Placement, task: TaskReport, now: timedelta) -> None:
        if task.status is TaskStatus.EXITED:
            self._exited(placement, task, now)
            return
        state = TASK_STATE_BY_STATUS[task.status]
        if placement.state is state or not placement.live:
            return
        self.cluster_state.move_task(placement, state, now)
        if state in (TaskState.RUNNING, TaskState.WAITING):
            placement.machine.remember_image(placement.spec.image, placement.spec.image_gb)

    def _adopt(self, machine: Machine, key: tuple[str, int, int], task: TaskReport, now: timedelta) -> None:
        """A task that this leader didn't start: an older one did."""
        job, number, attempt = key
        run = self.runs.get(job)
        if task.status is TaskStatus.EXITED:
            if task.cause is Cause.DONE and run is not None:
                self._done(run, number, now)
            return
        if run is None:
            # A job that is over, or that nobody knows. The task is stopped, and until it has
            # ended it counts against its team's limit like any other.
            run = self.runs.setdefault(job, run_of_ended_job(self.final_spec(job) or unknown_job_spec(job)))
        placement = Placement(run.spec, number, attempt, machine, TASK_STATE_BY_STATUS[task.status], now)
        if task.status is TaskStatus.RUNNING:
            placement.running_since = now
        self.cluster_state.add_placement(run, placement)
        run.max_used_attempt = max(run.max_used_attempt, attempt)
        doubled = len(run.places[number]) > 1
        if run.ended or doubled or number in run.finished or number >= run.spec.tasks:
            log.info("stopping %s attempt %d found on %s", placement.name, attempt, machine.name)
            self.cluster_state.stop_task(placement, NO_GRACE_PERIOD, now)
            return
        log.debug("adopted %s attempt %d on %s", placement.name, attempt, machine.name)
        if run.is_gang:
            run.set_gang_state(GangState.PLACED)
        self.backlog.update(run, now)

    def _exited(self, placement: Placement, task: TaskReport, now: timedelta) -> None:
        if not placement.live:
            return  # its gang was taken apart while this report was gone through
        cause = task.cause
        machine = placement.machine
        placement.cause = cause
        run = self.cluster_state.task_exited(placement, now)
        if cause is Cause.DONE:
            if placement.running_since is not None:
                self.cluster_state.estimates.task(placement.spec, now - placement.running_since)
            machine.remember_image(placement.spec.image, placement.spec.image_gb)
            machine.errors.clear()
            failed_on = [self.machines[name] for name in run.failures if name in self.machines]
            run.failures.clear()
            run.backoff = FIRST_BACKOFF
            run.has_succeeded = True
            for other in failed_on:
                self._blame(other, now)  # it was not the job, as is known now
            self._done(run, placement.number, now)
            return
        name = cause.value if cause is not None else "no cause"
        log.debug("%s attempt %d on %s ended: %s", placement.name, placement.attempt, machine.name, name)
        if cause is Cause.ERROR:
            self._failed(run, placement, now)
        elif cause in (Cause.FULL, Cause.BUSY, Cause.UNKNOWN):
            run.not_before = now + FIRST_BACKOFF
        self.cluster_state.gang_task_lost(run, now)

    def _done(self, run: JobRun, number: int, now: timedelta) -> None:
        if self.cluster_state.task_done(run, number):
            self.on_unrecorded()
        self.backlog.update(run, now)

    def _failed(self, run: JobRun, placement: Placement, now: timedelta) -> None:
        """Blames the machine, or the job where it fails wherever it runs.

        A job with a mistake fails many tasks at once on the machine that it came to first. Two of them were
        enough to give the machine back: on kerlann-fonts-ops operations 33 machines went that had nothing, with
        all that ran on them.
        """
        machine, job = placement.machine, run.spec.job
        machine.errors[job] = machine.errors.get(job, 0) + 1
        run.failures[machine.name] = run.failures.get(machine.name, 0) + 1
        if self._runs_elsewhere(run, placement, now):
            run.has_succeeded = True
        if len(run.failures) >= SAME_FAULT and not run.has_succeeded:
            run.not_before = now + run.backoff
            run.backoff = min(run.backoff * 2, MOST_BACKOFF)
            for other in self.pool:
                other.errors.pop(job, None)
            return
        run.not_before = now + timedelta(seconds=0.2)
        self._blame(machine, now)

    @staticmethod
    def _runs_elsewhere(run: JobRun, failed: Placement, now: timedelta) -> bool:
        """Whether another machine runs a task of the job for far longer than it took this one to fail."""
        took = now - (failed.running_since or failed.since)
        return any(
            other.running_since is not None and now - other.running_since > 2 * took + WELL_FOR
            for other in run.live
            if other.machine is not failed.machine
        )

    def _blame(self, machine: Machine, now: timedelta) -> None:
        """Gives a machine up that fails what runs well elsewhere, or several jobs."""
        if machine.state is not MachineState.READY:
            return
        runs = [(self.runs.get(job), count) for job, count in machine.errors.items()]
        if len(runs) < SICK_JOBS and not any(
            run is not None and run.has_succeeded and count >= SICK_TASKS for run, count in runs
        ):
            return
        self.drain_machine(machine, "fails its tasks")
        for placement in list(machine.live.values()):
            self.cluster_state.stop_task(placement, NO_GRACE_PERIOD, now)

    def drain_machine(self, machine: Machine, why: str) -> None:
        log.info("machine %s leaves: %s", machine.name, why)
        machine.leave_reason = why
        machine.move(MachineState.LEAVING)
        self.needs_placement = True

    # -- commands -------------------------------------------------------------

    def has_commands(self, machine: Machine) -> bool:
        if not machine.settled:
            return False
        return any(
            placement.state is TaskState.PLANNED or (placement.stop_grace is not None and not placement.stop_sent)
            for placement in machine.live.values()
        )

    def direct_stops(self, machine: Machine) -> list[Command]:
        """Stops that need not wait for the machine's next report.

        Only stops: executed late, one ends at worst a task that is started again, while a
        late `run` could start one that runs elsewhere or is cancelled. They go again with
        the answers to reports until the task has ended.
        """
        found: list[Command] = []
        for placement in machine.live.values():
            if placement.stop_grace is None or placement.direct_stop_grace == placement.stop_grace:
                continue
            if placement.state not in (TaskState.PLANNED, TaskState.SENT):
                placement.direct_stop_grace = placement.stop_grace
                found.append(_stop(placement))
        return found

    def take_commands(self, machine: Machine, report: Report, now: timedelta) -> list[Command]:
        """What the answer to this report carries; `run` goes nowhere else.

        Any answer with the token renews the worker's lease, so each carries the stops of all that the report
        lists of jobs that are over, ahead of everything else (docs/design.md, "Cancelled work and leases").
        """
        if report.token < self.term:
            return self._stops_of_what_is_over(report)
        if not machine.settled:
            return []
        stopping = [p for p in machine.live.values() if p.stop_grace is not None and p.state is not TaskState.PLANNED]
        over = [placement for placement in stopping if self.runs[placement.job].ended]
        found = [self._answer_stop(placement) for placement in over[:MOST_COMMANDS]]
        for (job, number, attempt), cause in machine.exited_placements.items():
            run = self.runs.get(job)
            keep = cause is Cause.DONE and run is not None and not run.ended and number in run.unrecorded
            if not keep and len(found) < MOST_COMMANDS:
                found.append(Command(Verb.FORGET, f"{job}/{number}", attempt))
        for placement in list(machine.live.values()):
            if len(found) >= MOST_COMMANDS:
                break
            if placement.state is TaskState.PLANNED:
                self.cluster_state.move_task(placement, TaskState.SENT, now)
                placement.answered = (report.session, report.seq)
                machine.tasks_seen = None  # the next report tells whether it arrived
                log.debug("run %s attempt %d on %s", placement.name, placement.attempt, machine.name)
                found.append(Command(Verb.RUN, placement.name, placement.attempt))
            elif placement.stop_grace is not None and placement not in over:
                found.append(self._answer_stop(placement))
        return found

    @staticmethod
    def _answer_stop(placement: Placement) -> Command:
        placement.stop_sent = True
        return _stop(placement)

    def _stops_of_what_is_over(self, report: Report) -> list[Command]:
        """For a worker that is told of the token: what it lists may yet change, but not that its job is over."""
        found: list[Command] = []
        for task in report.task_list():
            if task.status is TaskStatus.EXITED or len(found) >= MOST_COMMANDS:
                continue
            try:
                job, _ = task.task_id()
            except ValueError:
                continue
            if self.is_ended(job):
                found.append(Command(Verb.STOP, task.task, task.attempt, NO_GRACE_PERIOD.total_seconds()))
        return found

    # -- time -----------------------------------------------------------------

    def place_tasks(self, now: timedelta) -> None:
        """Gives places to open tasks; ``needs_placement`` stays set when some are still to be looked at."""
        self.needs_placement = False
        if not self._placer.place(now):
            self.needs_placement = True

    def tick(self, now: timedelta, read: timedelta) -> None:
        """Leases that ran out, notices that come due, gangs that came back incomplete.

        ``read``: when the last good read of the state service was sent. That a machine has been silent for its
        lease proves that the lease is over only if nobody else has renewed it. A leader without the state service
        goes on for L while a successor may have all that it has lost: cut off together with one zone, it took the
        machines of the other for lost and started their tasks again, while they ran on under its successor.
        A read sent after the lease's end that shows this term still shows that there was no successor before.
        """
        for machine in self.pool.in_states(MachineState.READY, MachineState.LEAVING):
            if machine.answered is not None and read - machine.answered > self._lease:
                self.machine_lost(machine, "silent for its lease", now)
        unsettled = self.pool.in_states(MachineState.UNSETTLED)
        for machine in unsettled:
            heard = machine.answered + self._lease if machine.answered is not None else self._settled_by
            if read > max(heard, self._settled_by):
                self.machine_lost(machine, "silent since the term began", now)
        for machine in self.pool.in_states(MachineState.BOOTING):
            if machine.answered is not None and read - machine.answered > self._lease:
                # Deaf, or never there: late copies of what a machine said that was given back.
                self.machine_lost(machine, "it was answered and doesn't show it", now)
        if not unsettled:
            self._mend_gangs(now)
        self._drain(now)

    def _mend_gangs(self, now: timedelta) -> None:
        """Gangs of an older term of which not all tasks were found are stopped."""
        for run in list(self.runs.values()):
            if run.is_gang and not run.ended and run.gang_state is GangState.PLACED and not run.finished.full:
                attempts = {placement.attempt for placement in run.live}
                if len(run.places) < run.spec.tasks or len(attempts) > 1:
                    self.cluster_state.gang_task_lost(run, now)

    def _drain(self, now: timedelta) -> None:
        """Saves what can be saved on machines that the cloud takes away."""
        for name, machine in list(self._to_drain.items()):
            if machine.state is not MachineState.LEAVING or machine.notice is None:
                del self._to_drain[name]
                continue
            left = machine.notice - now
            for placement in list(machine.live.values()):
                spec = placement.spec
                if placement.stop_grace is None and spec.shape is Shape.SERVICE:
                    self.cluster_state.stop_task(placement, spec.save_time, now)  # a replica gains nothing by staying
                if placement.stop_grace is not None or not spec.checkpoint_s:
                    continue
                # Late enough to get on, early enough for the command to arrive and the save to end.
                if left <= spec.save_time + self.workers.report * 1.5 + timedelta(seconds=1):
                    grace = spec.save_time + timedelta(seconds=1)
                    run = self.runs[placement.job]
                    if run.is_gang:
                        self.cluster_state.stop_run(run, grace, now)
                    else:
                        self.cluster_state.stop_task(placement, grace, now)

    def machine_lost(self, machine: Machine, why: str, now: timedelta) -> None:
        """Nothing runs there any more: its worker's lease is over, or the machine is."""
        log.info("machine %s lost: %s", machine.name, why)
        machine.move(MachineState.LOST)
        machine.min_session = machine.session + 1
        machine.token_sent_at = None
        machine.exited_placements, machine.ended_placements = {}, {}
        machine.tasks_seen = None
        self.cluster_state.clear_machine(machine, now)
        self.needs_placement = True

    def machine_returned(self, machine: Machine, now: timedelta) -> None:
        """The cloud said 200: the machine and all on it are gone."""
        self.cluster_state.remove_machine(machine, now)
        self.pending_direct_stops.pop(machine.name, None)
        self._to_drain.pop(machine.name, None)
        self.needs_placement = True

    # -- for display ----------------------------------------------------------

    def summary(self) -> str:
        """One line on what is up, in use and waiting."""
        claimed = [run for run in self.runs.values() if run.record.status is JobStatus.RUNNING and not run.ended]
        up = Counter((machine.type, machine.zone, machine.spot, machine.state.value) for machine in self.pool)
        idle = Counter(
            (machine.type, machine.zone, machine.spot)
            for machine in self.pool.in_states(MachineState.READY)
            if not machine.live
        )
        machines = " ".join(f"{_place(offer)}:{state}={count}" for (*offer, state), count in sorted(up.items()))
        idling = " ".join(f"{_place(offer)}={count}" for offer, count in sorted(idle.items()))
        teams = " ".join(f"{name}={used.cpus:g}/{used.gpus:g}" for name, used in self.cluster_state.usage.items())
        waiting = Counter[str]()
        for run in self.backlog:
            waiting[f"{run.spec.jobclass}:{run.spec.shape.value}"] += len(run.open)
        waits = " ".join(f"{name}={count}" for name, count in sorted(waiting.items()))
        return (
            f"jobs={len(self.runs)} claimed={len(claimed)} waiting={len(self.backlog.waiting)} "
            f"tasks: {waits} teams: {teams} machines: {machines} idle: {idling}"
        )

    def unreported_machines(self) -> list[Machine]:
        """Machines that may run what an older leader started and have not been heard in this term."""
        return [machine for machine in self.pool.in_states(MachineState.UNSETTLED) if machine.answered is None]

    def running_counts(self) -> dict[str, int]:
        return {job: run.running for job, run in self.runs.items() if run.running and not run.ended}

    def running_count(self, job: str) -> int:
        run = self.runs.get(job)
        return run.running if run is not None and not run.ended else 0


def _stop(placement: Placement) -> Command:
    assert placement.stop_grace is not None
    return Command(Verb.STOP, placement.name, placement.attempt, placement.stop_grace.total_seconds())


def _place(offer: Iterable[object]) -> str:
    kind, zone, spot = offer
    return f"{kind}/{zone}/{'spot' if spot else 'ordinary'}"
