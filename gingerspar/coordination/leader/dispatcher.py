"""The term leader's view of the cluster and its decisions, driven by events and without any input or output.

One ``Dispatcher`` exists for each term. Its input is reports, job records and the cloud's
answers; its output is commands, finished tasks and pending requests.
"""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta
from itertools import islice

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
from gingerspar.coordination.membership.term import MAX_CLOCK_DRIFT, settling_time
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
from gingerspar.storage.records import JobRecord
from gingerspar.storage.task_set import TaskSet

log = logging.getLogger(__name__)

# Added to a worker's lease, besides the clock drift, before its machine is declared lost.
LEASE_EXPIRY_MARGIN = timedelta(seconds=0.5)
# Longest delay before tasks of a job that fails on every machine are placed again.
MAX_BACKOFF = timedelta(seconds=40)
# A machine is faulty if this many jobs failed on it without a success in between.
FAULTY_MACHINE_MIN_JOBS = 2
# A machine is faulty if this many tasks of one job that runs well elsewhere failed on it.
FAULTY_MACHINE_MIN_TASKS = 2
# A task runs well if it has run for twice as long as a failed task of its job, plus this margin.
HEALTHY_RUN_MARGIN = timedelta(seconds=5)
# Other tasks of the job with which a failed one is compared. Those that were placed first come first, so that few
# suffice; a comparison with all of them, for each failure, would take quadratic time.
MAX_COMPARED_TASKS = 100
# A job is faulty if it failed on this many machines and succeeded on none.
FAULTY_JOB_MIN_MACHINES = 3
# Workers drop an answer that arrives later than 4 s after they have sent the report, by their clock. Until then a copy
# of the answer may start its tasks once more, unless the worker still knows their attempts.
ANSWER_VALID_FOR = timedelta(seconds=4) * (1 + 4 * MAX_CLOCK_DRIFT)
# An answer has to stay below 64 KiB; the longest command takes about 75 bytes.
MAX_COMMANDS_PER_ANSWER = 800


class StaleReport(Exception):
    """The report is older than what is known, or its session or machine is no longer valid."""


class NewerToken(Exception):
    """The worker has seen a higher token than this term's, so this node no longer commands."""


class Dispatcher:
    """Keeps the cluster state of one term and decides what is sent to the machines."""

    def __init__(
        self,
        term: int,
        raised_at: timedelta,
        workers: WorkerFacts,
        teams: Iterable[TeamFacts],
        *,
        objectives: Iterable[Objective] = (),
        utc_now: Callable[[], datetime] | None = None,
        roster: Iterable[tuple[str, str, str, bool]] = (),
        nodes: int = 1,
        max_tasks_on_machines: int | None = None,
    ) -> None:
        self.term = term
        self._nodes = nodes
        self.raised_at = raised_at
        self.cluster_state = ClusterState(term, teams, objectives, max_tasks_on_machines)
        self._utc_now = utc_now
        self.pool = self.cluster_state.pool
        self.runs = self.cluster_state.runs
        self.backlog = self.cluster_state.backlog
        self.workers = workers
        self._lease_timeout = workers.lease * (1 + 4 * MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN
        self._settled_at = raised_at + settling_time(workers)
        self._placer = Placer(self.cluster_state)
        self._machines_with_notice: dict[str, Machine] = {}  # machines that the cloud will take away
        self.pending_direct_stops: dict[str, Machine] = {}  # with stops that have not been sent directly yet
        self.needs_placement = True
        self._wake: Callable[[Machine], None] = lambda machine: None
        self.final_spec: Callable[[str], JobSpec | None] = lambda job: None
        self.is_ended: Callable[[str], bool] = lambda job: False  # done or cancelled, according to the records
        self.on_unrecorded: Callable[[], None] = lambda: None
        self.cluster_state.notify_machine = self._command_pending
        for name, type_name, zone, spot in roster:
            self.cluster_state.add_machine(
                name, type_name, zone, spot, raised_at, MachineState.UNSETTLED, rostered=True
            )

    def set_command_callback(self, wake: Callable[[Machine], None]) -> None:
        """Sets the callback that receives each machine for which a command is waiting."""
        self._wake = wake

    def _command_pending(self, machine: Machine) -> None:
        self.pending_direct_stops[machine.name] = machine
        self._wake(machine)

    @property
    def machines(self) -> dict[str, Machine]:
        return self.pool.machines

    @property
    def ready_count(self) -> int:
        """The number of machines that are ready for tasks."""
        return len(self.pool.states[MachineState.READY])

    # -- input: machine types and records -------------------------------------

    def set_types(self, types: Iterable[MachineType]) -> None:
        self.cluster_state.set_types(types)
        self.needs_placement = True

    def set_record(
        self, job: str, record: JobRecord | None, finished: TaskSet | None, now: timedelta, *, done: bool = False
    ) -> None:
        """Applies a new version of a job's record; None means that the job has ended, ``done`` or cancelled."""
        run = self.runs.get(job)
        self.needs_placement = True
        if record is None or finished is None:
            if run is not None and not run.ended:
                self.cluster_state.service_levels.job_ended(run.spec.jobclass, done)
            if run is not None:
                self.cluster_state.end_run(run, now)
            return
        if run is None or run.ended:
            new_run = self._new_run(record, finished, now)
            if run is not None:
                new_run.placements, new_run.running, new_run.max_used_attempt = (
                    run.placements,
                    run.running,
                    run.max_used_attempt,
                )
                for number in run.placements:
                    new_run.open.discard(number)
            run = self.runs[job] = new_run
        run.record = record
        if record.claim_term < self.term:
            # The job was claimed under an earlier leader, which may have started this attempt.
            run.max_used_attempt = max(run.max_used_attempt, record.attempt)
        for number in finished.difference(run.finished):
            run.finished.add(number)
            run.open.discard(number)
        run.unrecorded = {number for number in run.unrecorded if number not in finished}
        if not run.unrecorded:
            self.cluster_state.unrecorded.pop(job, None)
        self.backlog.update(run, now, rescan=True)

    def _new_run(self, record: JobRecord, finished: TaskSet, now: timedelta) -> JobRun:
        run = JobRun(record.spec, record, finished.copy(), submitted=now)
        if self._utc_now is not None:
            age = self._utc_now().timestamp() - record.submitted
            run.submitted = now - timedelta(seconds=max(age, 0.0))
        run.has_started = len(finished) > 0
        self.cluster_state.largest_jobs.add(run.spec)
        run.order = self.cluster_state.order_key(run, now)
        self.cluster_state.estimates.add_job(run.spec)
        if run.spec.gpus:
            self.cluster_state.accelerator_specs[run.spec.jobclass] = run.spec
        return run

    # -- reports --------------------------------------------------------------

    def handle_report(self, report: Report, now: timedelta) -> Machine:
        """Applies a report and returns its machine.

        Raises ``StaleReport`` or ``NewerToken`` if the report must not be answered, and ``Malformed``, before
        anything has changed, if its task list can't be read.
        """
        if report.token > self.term:
            raise NewerToken
        machine = self.machines.get(report.machine)
        encoded_tasks = bytes(report.tasks)
        listed_tasks = report.task_list() if machine is None or encoded_tasks != machine.last_task_list else None
        if machine is None:
            if report.token >= self.term:
                # The worker has seen this term's token, so this leader knew the machine and has returned it to the
                # cloud since: the report is a delayed copy. Accepting it would make the tasks that it lists count
                # as running there for the length of a lease.
                raise StaleReport
            # The machine was not expected, but it is not on the roster either: no earlier leader can have used it.
            machine = self.cluster_state.add_machine(
                report.machine, report.type, report.zone, report.spot, now, MachineState.BOOTING
            )
        if machine.state in (MachineState.RETURNING, MachineState.GONE):
            raise StaleReport
        if report.session < machine.min_session or (report.session, report.seq) <= (machine.session, machine.seq):
            raise StaleReport
        if report.token < self.term and report.session == machine.token_session:
            # A worker process never forgets a token, so the worker was restarted, and its new process numbers its
            # reports from the start again. Delayed reports of the previous process can't be told apart from those of
            # the new one, so the lease has to run out first.
            raise StaleReport
        answer_received = self._received_last_answer(machine, report, now)
        machine.session, machine.seq = report.session, report.seq
        machine.address = report.address
        if report.token < self.term:
            # The worker may still accept an earlier leader's answer, so only its next report shows what is on it.
            # A worker that receives nothing, or whose reports are delayed copies, would remain in this state for
            # good, as would all tasks that may run on it. It is therefore sent the token for TOKEN_RETRY_LIMIT
            # only; after that its lease has to run out.
            if machine.token_sent_at is None:
                machine.token_sent_at = now
            elif now - machine.token_sent_at > TOKEN_RETRY_LIMIT:
                raise StaleReport
            machine.last_answered_at = now
            if machine.state is MachineState.BOOTING and machine.rostered and report.task_list():
                machine.move(MachineState.UNSETTLED)
            return machine
        machine.token_sent_at = None
        machine.token_session = report.session
        machine.last_answered_at = now
        if machine.state in (MachineState.BOOTING, MachineState.UNSETTLED, MachineState.LOST):
            log.info("machine %s %s -> ready", machine.name, machine.state.value)
            machine.move(MachineState.READY)
            machine.idle_since = None
            self.needs_placement = True
        if listed_tasks is not None:
            self._apply_task_list(machine, report, listed_tasks, now)
            machine.last_task_list = encoded_tasks
            self.needs_placement = True
        if answer_received is not None:
            self._record_answer_delivery(machine, answer_received, now)
        if report.notice_s is not None:
            machine.removal_at = now + timedelta(seconds=report.notice_s)
            self._machines_with_notice[machine.name] = machine
            if machine.state is MachineState.READY:
                self.drain_machine(machine, "spot notice")
        if not machine.live and machine.idle_since is None:
            machine.idle_since = now
        return machine

    def record_direct_notification(self, machine: Machine, report: Report) -> None:
        """Records the status report of a machine that has not reported by itself and is now sent the token directly.

        From then on its reports carry the token. A delayed report must not pass for the first one after a loss or
        a restart: its session may have ended when the machine was declared lost, or its worker may have ended and
        numbers its reports anew (traces/notified_directly). The report that is under way now may be one or two numbers
        older.
        """
        reported = (report.session, max(report.seq - 2, 0))
        if machine.state is MachineState.UNSETTLED and reported > (machine.session, machine.seq):
            machine.session, machine.seq = reported

    def _received_last_answer(self, machine: Machine, report: Report, now: timedelta) -> bool | None:
        """Whether the worker has received the answer to its previous report; None if there was no answer."""
        if machine.last_answered_at is None:
            return None
        if machine.token_sent_at is not None or report.token < self.term:
            return report.token >= self.term  # it was sent the token; the report shows whether it arrived
        # A new session counts as a full round of the controllers: the worker's lease has run out, unless it was
        # restarted just now.
        seq_increase = self._nodes if report.session > machine.session else report.seq - machine.seq
        answer_sent_at = machine.answer_sent_at or machine.last_answered_at
        return not tried_other_controllers(
            now - machine.last_answered_at, now - answer_sent_at, seq_increase, self._nodes, self.workers.report
        )

    def _record_answer_delivery(self, machine: Machine, answer_received: bool, now: timedelta) -> None:
        machine.record_delivery(answer_received)
        if answer_received:
            return
        for placement in list(machine.live.values()):
            if placement.state is TaskState.PLANNED:
                self.cluster_state.task_gone(placement, now)  # its `run` command would not arrive either
        if machine.delivery.state is DeliveryState.FAILED and machine.state is MachineState.READY:
            self.drain_machine(machine, "it receives no answers")

    def _apply_task_list(
        self, machine: Machine, report: Report, listed_tasks: list[TaskReport], now: timedelta
    ) -> None:
        # Task names are parsed only for tasks that are unknown or have exited: most listed tasks run on unchanged.
        reported = {(task.task, task.attempt): task for task in listed_tasks}
        for placement in list(machine.live.values()):
            name_and_attempt = (placement.name, placement.attempt)
            reported_task = reported.get(name_and_attempt)
            if reported_task is not None:
                if reported_task.status is not TaskStatus.EXITED:
                    del reported[name_and_attempt]  # the remaining entries are processed below
                if reported_task.status is not TaskStatus.RUNNING or placement.state is not TaskState.RUNNING:
                    self._update_task(placement, reported_task, now)
            elif placement.state is TaskState.SENT:
                if (report.session, report.seq) > placement.sent_in_answer_to:
                    # The answer that carried `run` was dropped: the worker has sent a later report
                    # since, and answers to earlier reports no longer have any effect.
                    if placement.stop_grace is not None:
                        self.cluster_state.task_gone(placement, now)
                    elif placement.live:
                        self.cluster_state.move_task(placement, TaskState.PLANNED, now)
            elif placement.state is not TaskState.PLANNED:
                self.cluster_state.task_gone(placement, now)
        ended, machine.ended_placements = machine.ended_placements, {}
        machine.exited_placements = {}
        unknown_tasks: list[tuple[tuple[str, int, int], TaskReport]] = []
        for name_and_attempt, task in reported.items():
            exited = task.status is TaskStatus.EXITED
            if exited and name_and_attempt in ended:
                # Machines with short tasks list eight exited tasks for each new one (vatuloa-grep-fleet loss).
                machine.ended_placements[name_and_attempt] = ended[name_and_attempt]
                machine.exited_placements[ended[name_and_attempt]] = task.cause
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
                    machine.ended_placements[name_and_attempt] = key
            if key not in machine.live:
                unknown_tasks.append((key, task))
        for key, task in unknown_tasks:
            self._adopt_task(machine, key, task, now)

    def _update_task(self, placement: Placement, task: TaskReport, now: timedelta) -> None:
        if task.status is TaskStatus.EXITED:
            self._task_exited(placement, task, now)
            return
        state = TASK_STATE_BY_STATUS[task.status]
        if placement.state is state or not placement.live:
            return
        self.cluster_state.move_task(placement, state, now)
        if state in (TaskState.RUNNING, TaskState.WAITING):
            placement.machine.remember_image(placement.spec.image, placement.spec.image_gb)

    def _adopt_task(self, machine: Machine, key: tuple[str, int, int], task: TaskReport, now: timedelta) -> None:
        """Takes over a task that an earlier leader started."""
        job, number, attempt = key
        run = self.runs.get(job)
        if task.status is TaskStatus.EXITED:
            if task.cause is Cause.DONE and run is not None:
                self._task_done(run, number, now)
            return
        if run is None:
            # The job has ended or is unknown. The task is stopped, and until it has ended
            # it counts against its team's limit like any other.
            run = self.runs.setdefault(job, run_of_ended_job(self.final_spec(job) or unknown_job_spec(job)))
        placement = Placement(run.spec, number, attempt, machine, TASK_STATE_BY_STATUS[task.status], now)
        if task.status is TaskStatus.RUNNING:
            placement.running_since = now
        self.cluster_state.add_placement(run, placement)
        run.max_used_attempt = max(run.max_used_attempt, attempt)
        is_duplicate = len(run.placements[number]) > 1
        if run.ended or is_duplicate or number in run.finished or number >= run.spec.tasks:
            log.info("stopping %s attempt %d found on %s", placement.name, attempt, machine.name)
            self.cluster_state.stop_task(placement, NO_GRACE_PERIOD, now)
            return
        log.debug("adopted %s attempt %d on %s", placement.name, attempt, machine.name)
        if run.is_gang:
            run.set_gang_state(GangState.PLACED)
        self.backlog.update(run, now)

    def _task_exited(self, placement: Placement, task: TaskReport, now: timedelta) -> None:
        if not placement.live:
            return  # its gang was stopped while this report was processed
        cause = task.cause
        machine = placement.machine
        placement.cause = cause
        run = self.cluster_state.task_exited(placement, now)
        if cause is Cause.DONE:
            if placement.running_since is not None:
                self.cluster_state.estimates.add_run_time(placement.spec, now - placement.running_since)
            machine.remember_image(placement.spec.image, placement.spec.image_gb)
            machine.failures_by_job.clear()
            failed_machines = [self.machines[name] for name in run.failures if name in self.machines]
            run.failures.clear()
            run.backoff = FIRST_BACKOFF
            run.has_succeeded = True
            for other in failed_machines:
                self._drain_if_faulty(other, now)  # this success shows that the job is not at fault
            self._task_done(run, placement.number, now)
            return
        cause_name = cause.value if cause is not None else "no cause"
        log.debug("%s attempt %d on %s ended: %s", placement.name, placement.attempt, machine.name, cause_name)
        if cause is Cause.ERROR:
            self._task_failed(run, placement, now)
        elif cause in (Cause.FULL, Cause.BUSY, Cause.UNKNOWN):
            run.not_before = now + FIRST_BACKOFF
        self.cluster_state.gang_task_lost(run, now)

    def _task_done(self, run: JobRun, number: int, now: timedelta) -> None:
        if self.cluster_state.task_done(run, number):
            self.on_unrecorded()
        self.backlog.update(run, now)

    def _task_failed(self, run: JobRun, placement: Placement, now: timedelta) -> None:
        """Counts a failure against the machine, or against the job if it fails wherever it runs.

        Many tasks of a faulty job fail at once on the first machine that they are placed on. When two of these
        were enough to return the machine to the cloud, 33 healthy machines were returned with all that ran on
        them (kerlann-fonts-ops operations).
        """
        machine, job = placement.machine, run.spec.job
        machine.failures_by_job[job] = machine.failures_by_job.get(job, 0) + 1
        run.failures[machine.name] = run.failures.get(machine.name, 0) + 1
        if self._runs_elsewhere(run, placement, now):
            run.has_succeeded = True
        if len(run.failures) >= FAULTY_JOB_MIN_MACHINES and not run.has_succeeded:
            run.not_before = now + run.backoff
            run.backoff = min(run.backoff * 2, MAX_BACKOFF)
            for other in self.pool:
                other.failures_by_job.pop(job, None)
            return
        run.not_before = now + timedelta(seconds=0.2)
        self._drain_if_faulty(machine, now)

    @staticmethod
    def _runs_elsewhere(run: JobRun, failed: Placement, now: timedelta) -> bool:
        """Whether a task of the job has run on another machine for far longer than this one took to fail."""
        time_to_failure = now - (failed.running_since or failed.state_since)
        running_elsewhere = (
            other.running_since
            for placements in run.placements.values()
            for other in placements
            if other.running_since is not None and other.machine is not failed.machine
        )
        return any(
            now - running_since > 2 * time_to_failure + HEALTHY_RUN_MARGIN
            for running_since in islice(running_elsewhere, MAX_COMPARED_TASKS)
        )

    def _drain_if_faulty(self, machine: Machine, now: timedelta) -> None:
        """Drains a machine on which several jobs fail, or one job that runs well elsewhere."""
        if machine.state is not MachineState.READY:
            return
        runs = [(self.runs.get(job), count) for job, count in machine.failures_by_job.items()]
        if len(runs) < FAULTY_MACHINE_MIN_JOBS and not any(
            run is not None and run.has_succeeded and count >= FAULTY_MACHINE_MIN_TASKS for run, count in runs
        ):
            return
        self.drain_machine(machine, "tasks keep failing on it")
        for placement in list(machine.live.values()):
            self.cluster_state.stop_task(placement, NO_GRACE_PERIOD, now)

    def drain_machine(self, machine: Machine, reason: str) -> None:
        """Takes the machine out of use for new tasks; ``reason`` is logged and kept with it."""
        log.info("draining machine %s: %s", machine.name, reason)
        machine.leave_reason = reason
        machine.move(MachineState.LEAVING)
        self.needs_placement = True

    # -- commands -------------------------------------------------------------

    def has_commands(self, machine: Machine) -> bool:
        """Whether a `run`, or a stop that no answer has carried yet, waits for the machine's next answer."""
        if not machine.settled:
            return False
        return any(
            placement.state is TaskState.PLANNED or (placement.stop_grace is not None and not placement.stop_sent)
            for placement in machine.live.values()
        )

    def direct_stops(self, machine: Machine) -> list[Command]:
        """Returns the stops to send at once, without waiting for the machine's next report.

        Only stops are sent this way. Executed late, a stop at worst ends a task that is started again, while
        a late `run` could start a task that runs elsewhere or is cancelled. The answers to reports repeat
        each stop until its task has ended.
        """
        commands: list[Command] = []
        for placement in machine.live.values():
            if placement.stop_grace is None or placement.direct_stop_grace == placement.stop_grace:
                continue
            if placement.state not in (TaskState.PLANNED, TaskState.SENT):
                placement.direct_stop_grace = placement.stop_grace
                commands.append(_stop_command(placement))
        return commands

    def take_commands(self, machine: Machine, report: Report, now: timedelta) -> list[Command]:
        """Returns the commands for the answer to this report; `run` is sent in no other way.

        Any answer with the token renews the worker's lease. Each answer therefore carries, ahead of everything
        else, the stops of all reported tasks whose jobs have ended (docs/design.md, "Cancelled work and leases").
        """
        if report.token < self.term:
            return self._stops_for_ended_jobs(report)
        if not machine.settled:
            return []
        machine.answer_sent_at = now
        stopping = [p for p in machine.live.values() if p.stop_grace is not None and p.state is not TaskState.PLANNED]
        stopping_ended_jobs = [placement for placement in stopping if self.runs[placement.job].ended]
        commands = [self._stop_with_answer(placement) for placement in stopping_ended_jobs[:MAX_COMMANDS_PER_ANSWER]]
        machine.forget_runs_sent_before(now - ANSWER_VALID_FOR)
        for (job, number, attempt), cause in machine.exited_placements.items():
            run = self.runs.get(job)
            keep = cause is Cause.DONE and run is not None and not run.ended and number in run.unrecorded
            if (job, number, attempt) in machine.run_sent_at:
                continue  # a copy of the answer that carried `run` would start the forgotten attempt again
            if not keep and len(commands) < MAX_COMMANDS_PER_ANSWER:
                commands.append(Command(Verb.FORGET, f"{job}/{number}", attempt))
        for placement in list(machine.live.values()):
            if len(commands) >= MAX_COMMANDS_PER_ANSWER:
                break
            if placement.state is TaskState.PLANNED:
                self.cluster_state.move_task(placement, TaskState.SENT, now)
                placement.sent_in_answer_to = (report.session, report.seq)
                machine.run_sent_at[(placement.job, placement.number, placement.attempt)] = now
                machine.last_task_list = None  # the next report shows whether it arrived
                log.debug("run %s attempt %d on %s", placement.name, placement.attempt, machine.name)
                commands.append(Command(Verb.RUN, placement.name, placement.attempt))
            elif placement.stop_grace is not None and placement not in stopping_ended_jobs:
                commands.append(self._stop_with_answer(placement))
        return commands

    @staticmethod
    def _stop_with_answer(placement: Placement) -> Command:
        placement.stop_sent = True
        return _stop_command(placement)

    def _stops_for_ended_jobs(self, report: Report) -> list[Command]:
        """Returns stops for the reported tasks of ended jobs, for a worker that has yet to show the token.

        Its task list may still change, but an ended job stays ended.
        """
        commands: list[Command] = []
        for task in report.task_list():
            if task.status is TaskStatus.EXITED or len(commands) >= MAX_COMMANDS_PER_ANSWER:
                continue
            try:
                job, _ = task.task_id()
            except ValueError:
                continue
            if self.is_ended(job):
                commands.append(Command(Verb.STOP, task.task, task.attempt, NO_GRACE_PERIOD.total_seconds()))
        return commands

    # -- periodic work --------------------------------------------------------

    def place_tasks(self, now: timedelta) -> None:
        """Places open tasks; ``needs_placement`` stays set when some have yet to be evaluated."""
        self.needs_placement = False
        if not self._placer.place(now):
            self.needs_placement = True

    def tick(self, now: timedelta, state_read_sent: timedelta) -> None:
        """Handles expired leases, spot notices that come due and gangs that were found incomplete after a term change.

        ``state_read_sent`` is when the last successful read of the state service was sent. A machine's silence for
        the length of its lease proves that the lease has run out only if no other leader has renewed it. A leader
        without the state service continues for ``authority_duration``, while a successor may have contact with the
        state service and with all machines that it has lost. A leader that was partitioned together with one zone
        declared the machines of the other zone lost and started their tasks again, while these ran on under its
        successor. A read that was sent after the end of the lease and still shows this term proves that there was no
        successor before.
        """
        for machine in self.pool.in_states(MachineState.READY, MachineState.LEAVING):
            if (
                machine.last_answered_at is not None
                and state_read_sent - machine.last_answered_at > self._lease_timeout
            ):
                self.machine_lost(machine, "no report within its lease", now)
        unsettled = self.pool.in_states(MachineState.UNSETTLED)
        for machine in unsettled:
            lease_end = (
                machine.last_answered_at + self._lease_timeout
                if machine.last_answered_at is not None
                else self._settled_at
            )
            if state_read_sent > max(lease_end, self._settled_at):
                self.machine_lost(machine, "no report since the term started", now)
        for machine in self.pool.in_states(MachineState.BOOTING):
            if (
                machine.last_answered_at is not None
                and state_read_sent - machine.last_answered_at > self._lease_timeout
            ):
                # The machine receives nothing, or it no longer exists: then its reports are delayed copies from
                # before it was returned to the cloud.
                self.machine_lost(machine, "its reports do not show the answers sent to it", now)
        if not unsettled:
            self._stop_incomplete_gangs(now)
        self._stop_before_removal(now)

    def _stop_incomplete_gangs(self, now: timedelta) -> None:
        """Stops gangs of an earlier term if not all their tasks were found, or not all in the same attempt."""
        for run in list(self.runs.values()):
            if run.is_gang and not run.ended and run.gang_state is GangState.PLACED and not run.finished.full:
                attempts = {placement.attempt for placement in run.live}
                if len(run.placements) < run.spec.tasks or len(attempts) > 1:
                    self.cluster_state.gang_task_lost(run, now)

    def _stop_before_removal(self, now: timedelta) -> None:
        """Stops services and saves tasks with checkpoints on machines that the cloud is about to take away."""
        for name, machine in list(self._machines_with_notice.items()):
            if machine.state is not MachineState.LEAVING or machine.removal_at is None:
                del self._machines_with_notice[name]
                continue
            time_left = machine.removal_at - now
            for placement in list(machine.live.values()):
                spec = placement.spec
                if placement.stop_grace is None and spec.shape is Shape.SERVICE:
                    self.cluster_state.stop_task(placement, spec.save_time, now)  # a replica gains nothing by staying
                if placement.stop_grace is not None or not spec.checkpoint_s:
                    continue
                # Late enough for the task to make progress, early enough for the command to arrive and the save to end.
                if time_left <= spec.save_time + self.workers.report * 1.5 + timedelta(seconds=1):
                    grace = spec.save_time + timedelta(seconds=1)
                    run = self.runs[placement.job]
                    if run.is_gang:
                        self.cluster_state.stop_run(run, grace, now)
                    else:
                        self.cluster_state.stop_task(placement, grace, now)

    def machine_lost(self, machine: Machine, reason: str, now: timedelta) -> None:
        """Marks a machine as lost: its worker's lease has run out or the machine has failed, so nothing runs there."""
        log.info("machine %s lost: %s", machine.name, reason)
        machine.move(MachineState.LOST)
        machine.min_session = machine.session + 1
        machine.token_sent_at = None
        machine.exited_placements, machine.ended_placements = {}, {}
        machine.run_sent_at.clear()
        machine.last_task_list = None
        self.cluster_state.clear_machine(machine, now)
        self.needs_placement = True

    def machine_returned(self, machine: Machine, now: timedelta) -> None:
        """Removes a machine whose return the cloud has confirmed with 200: it is gone with all that was on it."""
        self.cluster_state.remove_machine(machine, now)
        self.pending_direct_stops.pop(machine.name, None)
        self._machines_with_notice.pop(machine.name, None)
        self.needs_placement = True

    # -- for display ----------------------------------------------------------

    def summary(self) -> str:
        """Returns one line on jobs, waiting tasks, the teams' usage and the machines."""
        claimed = [run for run in self.runs.values() if run.record.status is JobStatus.RUNNING and not run.ended]
        machine_counts = Counter(
            (machine.type, machine.zone, machine.spot, machine.state.value) for machine in self.pool
        )
        idle_counts = Counter(
            (machine.type, machine.zone, machine.spot)
            for machine in self.pool.in_states(MachineState.READY)
            if not machine.live
        )
        machines = " ".join(
            f"{_format_offer(offer)}:{state}={count}" for (*offer, state), count in sorted(machine_counts.items())
        )
        idle_machines = " ".join(f"{_format_offer(offer)}={count}" for offer, count in sorted(idle_counts.items()))
        teams = " ".join(f"{name}={usage.cpus:g}/{usage.gpus:g}" for name, usage in self.cluster_state.usage.items())
        waiting_counts = Counter[str]()
        for run in self.backlog:
            waiting_counts[f"{run.spec.jobclass}:{run.spec.shape.value}"] += len(run.open)
        waiting_tasks = " ".join(f"{name}={count}" for name, count in sorted(waiting_counts.items()))
        return (
            f"jobs={len(self.runs)} claimed={len(claimed)} waiting={len(self.backlog.waiting)} "
            f"tasks: {waiting_tasks} teams: {teams} machines: {machines} idle: {idle_machines}"
        )

    def unreported_machines(self) -> list[Machine]:
        """Returns the machines that may run tasks of an earlier leader and have not reported in this term."""
        return [machine for machine in self.pool.in_states(MachineState.UNSETTLED) if machine.last_answered_at is None]

    def running_counts(self) -> dict[str, int]:
        """Returns the number of running or saving tasks of each job that has any."""
        return {job: run.running for job, run in self.runs.items() if run.running and not run.ended}

    def running_count(self, job: str) -> int:
        run = self.runs.get(job)
        return run.running if run is not None and not run.ended else 0


def _stop_command(placement: Placement) -> Command:
    assert placement.stop_grace is not None
    return Command(Verb.STOP, placement.name, placement.attempt, placement.stop_grace.total_seconds())


def _format_offer(offer: Iterable[object]) -> str:
    type_name, zone, spot = offer
    return f"{type_name}/{zone}/{'spot' if spot else 'ordinary'}"
