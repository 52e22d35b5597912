"""The leader's state of the cluster: machines, job runs and the resources that each team uses.

Every change of placements goes through this module, so that the totals and indexes
that placement relies on are updated with each change.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from gingerspar.coordination.cluster.estimates import Estimates
from gingerspar.coordination.cluster.expected_releases import ExpectedReleases
from gingerspar.coordination.cluster.job_failures import JobFailures
from gingerspar.coordination.cluster.job_order import JobOrder
from gingerspar.coordination.cluster.job_runs import Backlog, GangState, JobRun
from gingerspar.coordination.cluster.machine import (
    ZERO_DURATION,
    Machine,
    MachineState,
    Placement,
    TaskState,
    Usage,
    cost_per_task,
    task_capacity,
)
from gingerspar.coordination.cluster.pool import Offer, Pool, allows
from gingerspar.coordination.cluster.service_level import TOP_RANK, ServiceLevels
from gingerspar.coordination.cluster.start_deadline import (
    RUNNING_TASKS_KNOWN_AFTER,
    START_PRIORITY_AFTER,
    START_TARGET,
    LargestJobs,
)
from gingerspar.coordination.cluster.task_limit import TaskLimit
from gingerspar.protocol.messages import JobSpec, MachineType, Priority
from gingerspar.protocol.settings import Objective, TeamFacts
from gingerspar.storage.records import Order

log = logging.getLogger(__name__)

NO_GRACE_PERIOD = timedelta(0)
# How long an urgent job waits for less urgent work to make capacity free, before it uses expensive machines.
URGENT_CHEAP_WAIT_LIMIT = timedelta(seconds=5)
# The same for a less urgent job that has neither a deadline nor an objective for its completion.
ROUTINE_CHEAP_WAIT_LIMIT = timedelta(seconds=20)
RUN_TIME_MARGIN = 1.3  # factor on estimated run times: estimates are often wrong by half
SLACK_SHARE_FOR_WAITING = 0.5  # not all of it: a job is done only when its slowest task is
START_OVERHEAD = timedelta(seconds=5)  # claim, reports and other steps before a task runs; image fetch excluded
EXPENSIVE_PRICE_RATIO = 1.5  # types above this multiple of the lowest price per task of ordinary ones are expensive
MIN_START_DELAY = timedelta(seconds=2)  # from the placement of a task until it runs
LATE_ORDER_OFFSET_S = 1e7  # seconds, more than any deadline lies ahead: late jobs come after all that may be in time
NO_DEADLINE_OFFSET_S = 1e12  # seconds, later than all deadlines
NO_USAGE = Usage()
ROUNDING_TOLERANCE = 1e-6  # tolerance for totals that are updated by additions and subtractions
MAX_CACHED_TASK_KINDS = 2000  # kinds of task whose prices and machine options are cached
_RUNNING_STATES = (TaskState.RUNNING, TaskState.SAVING)  # shown to users as running


@dataclass(slots=True, frozen=True)
class MachineOption:
    """An offer (machine type, zone and purchase kind) that a job may use."""

    offer: Offer
    machine_type: MachineType
    tasks_per_machine: int  # tasks of the job that fit on an empty machine, at least one
    cost: float  # per task and hour, on a machine filled with tasks of the job
    expensive: bool  # costs far more per task than another ordinary machine type


class ClusterState:
    """The machines, job runs and resource usage of one term."""

    def __init__(
        self,
        term: int,
        teams: Iterable[TeamFacts],
        objectives: Iterable[Objective] = (),
        max_tasks_on_machines: int | None = None,
    ) -> None:
        self.term = term
        self._task_limit = TaskLimit(max_tasks_on_machines)
        objectives = list(objectives)
        self._job_order = JobOrder(objectives)
        # By class: shortest and longest completion objective.
        self._finish_target_range: dict[str, tuple[timedelta, timedelta]] = {}
        # By class: multiple of its deadline within which a late job still counts.
        self._deadline_factor: dict[str, float] = {}
        self._start_targets: dict[str, list[timedelta]] = {}  # by class, from submission to start
        self._finish_targets: dict[str, list[timedelta]] = {}  # by class, from submission to completion
        for objective in objectives:
            if objective.kind == "finished" and objective.jobclass and objective.within_s:
                target = timedelta(seconds=objective.within_s)
                self._finish_targets.setdefault(objective.jobclass, []).append(target)
                shortest, longest = self._finish_target_range.get(objective.jobclass, (target, target))
                self._finish_target_range[objective.jobclass] = (min(shortest, target), max(longest, target))
            elif objective.kind == "wait" and objective.jobclass and objective.within_s:
                target = timedelta(seconds=objective.within_s)
                self._start_targets.setdefault(objective.jobclass, []).append(target)
            elif objective.kind == "deadline" and objective.jobclass and objective.times:
                factor = max(objective.times, self._deadline_factor.get(objective.jobclass, 1.0))
                self._deadline_factor[objective.jobclass] = factor
        self.teams = {team.name: team for team in teams}
        self.estimates = Estimates()
        self.types: dict[str, MachineType] = {}
        self.pool = Pool()
        self.runs: dict[str, JobRun] = {}
        self.backlog = Backlog()
        self.job_failures = JobFailures()
        self.service_levels = ServiceLevels()
        self.largest_jobs = LargestJobs()
        self._first_overdue_gang: JobRun | None = None
        self.usage: dict[str, Usage] = {team: Usage() for team in self.teams}
        self.unrecorded: dict[str, JobRun] = {}  # by job: runs with finished tasks that its record does not show yet
        self.expected_releases = ExpectedReleases()
        self.jobs_with_reservations: dict[str, set[str]] = {}  # by machine: jobs that have reserved capacity there
        self.accelerator_specs: dict[str, JobSpec] = {}  # by class: latest job that uses accelerators
        self.notify_machine: Callable[[Machine], None] = lambda machine: None
        # By kind of task: price per hour on an ordinary (not spot) machine.
        self._lowest_task_cost: dict[tuple[object, ...], float] = {}
        self._machine_options: dict[tuple[object, ...], list[MachineOption]] = {}
        self._slowest_fetch_gb_per_s = 1.0  # over all machine types

    # -- machines -------------------------------------------------------------

    def add_machine(
        self,
        name: str,
        type_name: str,
        zone: str,
        spot: bool,
        now: timedelta,
        state: MachineState,
        *,
        rostered: bool = False,
    ) -> Machine:
        machine_type = self.types.get(type_name)
        machine = Machine(name, type_name, zone, spot, state, now, machine_type=machine_type, rostered=rostered)
        self.pool.add(machine)
        return machine

    def set_types(self, types: Iterable[MachineType]) -> None:
        self.types = {machine_type.name: machine_type for machine_type in types}
        self._lowest_task_cost = {}
        self._machine_options = {}
        self._slowest_fetch_gb_per_s = max(
            min((machine_type.fetch_gb_per_s for machine_type in self.types.values()), default=1.0), 1e-3
        )
        for machine in self.pool:
            machine.set_machine_type(self.types.get(machine.type))

    def remove_machine(self, machine: Machine, now: timedelta) -> None:
        """Removes a machine; it is certain that it is gone, and all tasks on it."""
        self.clear_machine(machine, now)
        machine.move(MachineState.GONE)
        self.pool.remove(machine)

    def clear_machine(self, machine: Machine, now: timedelta) -> None:
        """Records that all tasks on the machine are gone."""
        for placement in list(machine.live.values()):
            self.task_gone(placement, now)

    # -- tasks ----------------------------------------------------------------

    def move_task(self, placement: Placement, state: TaskState, now: timedelta) -> None:
        """Changes a task's state and the job's count of running tasks."""
        was_running = placement.state in _RUNNING_STATES
        had_started = placement.running_since is not None
        placement.move(state, now)
        if not had_started and placement.running_since is not None:
            self.expected_releases.task_started(placement)
        run = self.runs.get(placement.job)
        if run is not None:
            run.running += (placement.state in _RUNNING_STATES) - was_running
            run.has_started = run.has_started or placement.running_since is not None

    def plan_task(self, run: JobRun, number: int, machine: Machine, now: timedelta, *, protected: bool = False) -> None:
        """Places a task on a machine; its `run` command is yet to be sent."""
        placement = Placement(
            run.spec, number, run.record.attempt, machine, TaskState.PLANNED, now, protected=protected
        )
        run.max_used_attempt = max(run.max_used_attempt, run.record.attempt)
        self.add_placement(run, placement)
        self.notify_machine(machine)

    def add_placement(self, run: JobRun, placement: Placement) -> None:
        """Adds a placement; the caller updates the run in the backlog after the last one."""
        placement.machine.add_placement(placement)
        run.placements.setdefault(placement.number, []).append(placement)
        self._task_limit.live_tasks += 1
        run.open.discard(placement.number)
        run.running += placement.state in _RUNNING_STATES
        run.has_started = run.has_started or placement.running_since is not None
        if placement.running_since is not None:
            self.expected_releases.task_started(placement)
        self.usage.setdefault(placement.spec.team, Usage()).add(placement.spec)
        self.service_levels.task_placed(placement)

    def _remove_placement(self, placement: Placement) -> JobRun:
        """Removes a placement that has ended, and opens its task again if that is not finished."""
        if placement.running_since is not None:
            self.expected_releases.task_removed(placement)
        self._task_limit.live_tasks -= 1
        run = self.runs[placement.job]
        placements = run.placements[placement.number]
        placements.remove(placement)
        if not placements:
            del run.placements[placement.number]
            if not run.ended and placement.number not in run.finished and placement.number < run.spec.tasks:
                run.open.add(placement.number)
        self.usage[placement.spec.team].add(placement.spec, -1)
        self.service_levels.task_ended(placement)
        if run.ended and not run.placements:
            self.runs.pop(placement.job, None)
        return run

    def task_exited(self, placement: Placement, now: timedelta) -> JobRun:
        """Records that a task has exited; the caller updates the run in the backlog."""
        self.move_task(placement, TaskState.EXITED, now)
        return self._remove_placement(placement)

    def task_gone(self, placement: Placement, now: timedelta) -> None:
        """Records that a task is no longer on its machine, without having exited there."""
        if not placement.live:
            return  # removed with its gang while the caller iterated over the machine's tasks
        log.debug("%s attempt %d on %s is gone", placement.name, placement.attempt, placement.machine.name)
        self.move_task(placement, TaskState.GONE, now)
        self.gang_task_lost(self._remove_placement(placement), now)

    def gang_task_lost(self, run: JobRun, now: timedelta) -> None:
        """Handles the loss of a task: a gang that has lost a task is stopped whole."""
        if run.is_gang and not run.ended:
            if run.placements and run.gang_state is not GangState.STOPPING:
                # Once only: a visit to all other tasks for each one that ends would take quadratic time, and the tasks
                # that have not been sent yet, which are gone at once, would call this function within itself.
                run.set_gang_state(GangState.STOPPING)
                for placement in run.live:
                    if placement.stop_grace is None:
                        self.stop_task(placement, NO_GRACE_PERIOD, now)
            if not run.placements:
                run.set_gang_state(GangState.IDLE)
        self.backlog.update(run, now)

    def stop_task(self, placement: Placement, grace: timedelta, now: timedelta) -> None:
        """Requests the stop of a task; a planned task has not been sent to its machine and is gone at once."""
        if placement.state is TaskState.PLANNED:
            self.task_gone(placement, now)
            return
        if placement.stop_grace is None or grace < placement.stop_grace:
            placement.stop_grace = grace
            placement.stop_sent = False
            placement.machine.cached_forecast = None
            self.notify_machine(placement.machine)

    def stop_run(self, run: JobRun, grace: timedelta, now: timedelta) -> None:
        """Stops all tasks of a job with a grace period; those of a gang have to be notified together."""
        if run.is_gang:
            run.set_gang_state(GangState.STOPPING)
        for placement in run.live:
            self.stop_task(placement, grace, now)

    def end_run(self, run: JobRun, now: timedelta) -> None:
        """Ends a run whose record says done or cancelled."""
        run.ended = True
        run.open.clear()
        run.unrecorded.clear()
        self.unrecorded.pop(run.spec.job, None)
        self.release_reservation(run)
        self.backlog.update(run, now)
        for placement in run.live:
            self.stop_task(placement, NO_GRACE_PERIOD, now)
        if not run.placements:
            self.runs.pop(run.spec.job, None)

    def task_done(self, run: JobRun, number: int) -> bool:
        """Records that a task has completed; returns whether that was not known before."""
        run.has_started = True  # an earlier leader may have started it
        if run.ended or number in run.finished:
            return False
        # The tasks of a gang complete together: if one is done, all are.
        numbers = range(run.spec.tasks) if run.is_gang else (number,)
        is_new = False
        for task_number in numbers:
            if run.finished.add(task_number):
                is_new = True
                run.unrecorded.add(task_number)
                run.open.discard(task_number)
        if is_new:
            run.notified_at = None
            self.unrecorded[run.spec.job] = run
        return is_new

    # -- slack and order ------------------------------------------------------

    def can_wait(self, run: JobRun, now: timedelta, boot_time: timedelta = ZERO_DURATION) -> bool:
        """Returns whether expensive machines, available after ``boot_time``, would not help the job.

        True if the job will probably be in time even when it starts somewhat later, or will be too
        late in any case, by its own deadline or by the completion objective of its class. A job with
        neither waits for ``ROUTINE_CHEAP_WAIT_LIMIT``. An urgent job (priority HIGH or above) waits only for
        ``URGENT_CHEAP_WAIT_LIMIT``, in which less urgent work could have made capacity free.
        """
        spec = run.spec
        waited = now - run.waiting_since if run.waiting_since is not None else ZERO_DURATION
        if spec.priority.rank <= Priority.HIGH.rank:
            return waited < URGENT_CHEAP_WAIT_LIMIT
        target, latest = self._finish_targets_of(spec)
        if target is None or latest is None:
            return waited < ROUTINE_CHEAP_WAIT_LIMIT
        starts_at = now + boot_time + timedelta(seconds=spec.image_gb / self._slowest_fetch_gb_per_s) + START_OVERHEAD
        run_time = self.estimates.run_time(spec)
        if starts_at + run_time > run.submitted + latest:
            return True
        return starts_at + run_time * RUN_TIME_MARGIN < run.submitted + target

    def slack(self, run: JobRun, now: timedelta) -> timedelta:
        """Returns how long the tasks of a job may wait before they start.

        Zero if the job is urgent (priority HIGH or above), or has neither a deadline nor a completion objective.
        """
        target, _ = self._finish_targets_of(run.spec)
        if target is None or run.spec.priority.rank <= Priority.HIGH.rank:
            return ZERO_DURATION
        remaining = run.submitted + target - now - START_OVERHEAD - self.estimates.run_time(run.spec) * RUN_TIME_MARGIN
        return max(remaining * SLACK_SHARE_FOR_WAITING, ZERO_DURATION)

    def update_service_levels(self, now: timedelta) -> None:
        self.service_levels.update(self.runs.values(), self.pool, self.backlog, now)

    def order_key(self, run: JobRun, now: timedelta) -> Order:
        """Returns the key by which the backlog sorts the job.

        It sorts before all priorities if its start is overdue, or if its class lags behind its service level
        and has not used up its share; otherwise as ``_base_order_key`` says.
        """
        if self.is_start_overdue(run, now):
            return (TOP_RANK, 0.0, run.record.submitted, run.spec.job)
        order = self._base_order_key(run, now)
        return (
            (TOP_RANK, *order[1:])
            if self.service_levels.has_priority(run) and self.service_levels.remaining_tasks(run)
            else order
        )

    def is_start_overdue(self, run: JobRun, now: timedelta) -> bool:
        """Returns whether the job has to start now: a gang with all tasks, any other job with one task."""
        if run.has_started or run.placements or run.ended or now - run.submitted < START_PRIORITY_AFTER or run.failures:
            return False
        return (
            self.largest_jobs.contains(run.spec)
            if run.is_gang
            else self.service_levels.remaining_tasks(run, for_first_task=True) > 0
        )

    def log_if_not_started(self, run: JobRun, now: timedelta) -> None:
        """Logs an error, once for each job, if the job has not started within ``START_TARGET``."""
        if run.has_started or run.logged_not_started or run.failures or now - run.submitted < START_TARGET:
            return
        if run.waiting_since is None or now - run.waiting_since < RUNNING_TASKS_KNOWN_AFTER:
            return  # in a new term the job may run on a machine that has not reported yet
        run.logged_not_started = True
        size = "among the largest" if self.largest_jobs.contains(run.spec) else "not among the largest"
        log.error(
            "%s of %s has not begun after %d s: %d tasks, %s",
            run.spec.job, run.spec.jobclass, START_TARGET.total_seconds(), run.spec.tasks, size,
        )  # fmt: skip

    def first_overdue_gang(self, now: timedelta) -> JobRun | None:
        """Returns the gang whose start has been overdue for longest, None if there is none.

        Only this gang keeps its reservation until it starts, one gang at a time.
        """
        gang = self._first_overdue_gang
        return gang if gang is not None and gang.is_waiting and self.is_start_overdue(gang, now) else None

    def update_first_overdue_gang(self, now: timedelta) -> None:
        """Finds the gang whose start has been overdue for longest; to be called periodically.

        A scan of all overdue jobs on each query took a twentieth of a placement pass.
        """
        self._first_overdue_gang = None
        run: JobRun
        for order_key, run in self.backlog.waiting.items():
            if order_key[0] != TOP_RANK:
                return
            if run.is_gang and self.is_start_overdue(run, now):
                self._first_overdue_gang = run
                return

    def _base_order_key(self, run: JobRun, now: timedelta) -> Order:
        """Returns the order by priority, then by the earliest due time.

        A job that will miss its deadline comes after those that may be in time, and a job that will
        finish too late to count comes after both. A job without a deadline comes after those with one.
        It is due when the next start objective of its class has to be met, or when it has to start to meet
        a completion objective of its class. When the first of these times has passed, it is due at the next one.
        """
        rank, due, submitted, job = run.record.order
        if run.spec.due_s is not None:
            run.lateness = max(run.lateness, self.lateness(run, now))
            return (rank, due + run.lateness * LATE_ORDER_OFFSET_S, submitted, job)
        start_targets = self._start_targets.get(run.spec.jobclass, [])
        finish_targets = self._finish_targets.get(run.spec.jobclass, [])
        if finish_targets:
            run_time = self.estimates.run_time(run.spec)
            start_targets = start_targets + [target - run_time for target in finish_targets]
        waited = now - run.submitted + MIN_START_DELAY
        next_target = min((target for target in start_targets if target > waited), default=None)
        if next_target is None:
            return self._job_order.key(run.record, run.spec.tasks - len(run.finished))
        return (rank, NO_DEADLINE_OFFSET_S + submitted + next_target.total_seconds(), submitted, job)

    def lateness(self, run: JobRun, now: timedelta) -> int:
        """Returns 0 for a job that may meet its deadline or has none, 1 if it will be late, 2 if too late to count."""
        if run.spec.due_s is None:
            return 0
        target, latest = self._finish_targets_of(run.spec)
        finished_at = now + START_OVERHEAD + self.estimates.run_time(run.spec) - run.submitted
        if target is None or latest is None or finished_at <= target:
            return 0
        return 1 if finished_at <= latest else 2

    def _finish_targets_of(self, spec: JobSpec) -> tuple[timedelta | None, timedelta | None]:
        """Returns the times after submission by which a job should be done, and by which at the very latest."""
        if spec.due_s is not None:
            deadline = timedelta(seconds=spec.due_s)
            return deadline, deadline * self._deadline_factor.get(spec.jobclass, 1.0)
        return self._finish_target_range.get(spec.jobclass, (None, None))

    def is_expensive(self, machine_type: MachineType, spot: bool, spec: JobSpec) -> bool:
        """Returns whether a machine costs far more per task than another ordinary type; spot machines never do.

        "Far more" is a price ratio above ``EXPENSIVE_PRICE_RATIO``. Only types count that the job may use in its zone:
        a late job waited for good for cheaper machines that its zone does not have (review/8).
        """
        if spot:
            return False
        key = (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone)
        if key not in self._lowest_task_cost:
            if len(self._lowest_task_cost) >= MAX_CACHED_TASK_KINDS:
                self._lowest_task_cost.clear()
            costs = [
                cost_per_task(other, False, spec)
                for other in self.types.values()
                if (spec.types is None or other.name in spec.types) and (spec.zone is None or spec.zone in other.zones)
            ]
            self._lowest_task_cost[key] = min(costs, default=0.0)
        return cost_per_task(machine_type, False, spec) > EXPENSIVE_PRICE_RATIO * self._lowest_task_cost[key]

    def machine_options(self, spec: JobSpec) -> list[MachineOption]:
        """Returns the offers in the catalog that the job may use and whose machines can hold its tasks."""
        key = (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)
        options = self._machine_options.get(key)
        if options is None:
            if len(self._machine_options) >= MAX_CACHED_TASK_KINDS:
                self._machine_options.clear()
            options = self._machine_options[key] = []
            for machine_type in self.types.values():
                tasks_per_machine = task_capacity(machine_type, spec)
                for zone in machine_type.zones if tasks_per_machine else ():
                    for spot in (True, False) if spec.spot and machine_type.spot_price is not None else (False,):
                        if allows(spec, machine_type.name, zone, spot):
                            cost, expensive = (
                                cost_per_task(machine_type, spot, spec),
                                self.is_expensive(machine_type, spot, spec),
                            )
                            options.append(
                                MachineOption(
                                    (machine_type.name, zone, spot), machine_type, tasks_per_machine, cost, expensive
                                )
                            )
        return options

    # -- reservations and limits ----------------------------------------------

    def reserve(self, run: JobRun, task_counts: dict[Machine, int], now: timedelta) -> None:
        """Reserves capacity for tasks of a job, mostly a gang, until it starts; ``task_counts`` by machine."""
        for machine, count in task_counts.items():
            machine.reserve(run.spec, count)
            self.jobs_with_reservations.setdefault(machine.name, set()).add(run.spec.job)
        run.reserved = task_counts
        if run.reserved_since is None:
            run.reserved_since = now

    def release_reservation(self, run: JobRun) -> None:
        """Releases all capacity that is reserved for the job."""
        reserved, run.reserved = run.reserved, {}
        for machine, count in reserved.items():
            machine.reserve(run.spec, -count)
            jobs = self.jobs_with_reservations[machine.name]
            jobs.discard(run.spec.job)
            if not jobs:
                del self.jobs_with_reservations[machine.name]

    def blocked_by_unsettled(self, run: JobRun) -> bool:
        """Returns whether an open task of the job may be running on a machine that has not reported yet."""
        if run.record.first_term >= self.term:
            return False
        return any(allows(run.spec, *offer) for offer in self.pool.unsettled.offers)

    def team_headroom(self, spec: JobSpec, pending_usage: Usage = NO_USAGE) -> int:
        """Returns how many more tasks of the job the team's limit allows.

        Unsettled machines count as fully used by the team. ``pending_usage`` is what other jobs of the
        team are about to use.
        """
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        used = self.usage[spec.team]
        unsettled = self.pool.unsettled
        headroom = 1_000_000
        if team.cpus_max and spec.cpus:
            cpus = used.cpus + pending_usage.cpus + unsettled.cpus + unsettled.unknown_types * team.cpus_max
            headroom = int((team.cpus_max - cpus) / spec.cpus + 1e-9)
        if team.gpus_max and spec.gpus:
            gpus = used.gpus + pending_usage.gpus + unsettled.gpus + unsettled.unknown_types * team.gpus_max
            headroom = min(headroom, int((team.gpus_max - gpus) / spec.gpus + 1e-9))
        return max(headroom, 0)

    def count_ended_tasks(self) -> None:
        """Counts the ended tasks that machines still list; to be called before ``task_headroom`` is used."""
        self._task_limit.ended_tasks = sum(len(machine.exited_placements) for machine in self.pool)

    def task_headroom(self, spec: JobSpec) -> int:
        """Returns how many more tasks of the job this process can keep track of on machines."""
        return self._task_limit.headroom(spec.priority)

    def team_shortfall(self, spec: JobSpec) -> tuple[float, float]:
        """Returns the processors and accelerators that the team's limit lacks to run all tasks of a job at once."""
        team = self.teams[spec.team]
        used = self.usage[spec.team]
        cpus = used.cpus + spec.tasks * spec.cpus - team.cpus_max if team.cpus_max and spec.cpus else 0.0
        gpus = used.gpus + spec.tasks * spec.gpus - team.gpus_max if team.gpus_max and spec.gpus else 0.0
        return cpus - ROUNDING_TOLERANCE, gpus - ROUNDING_TOLERANCE
