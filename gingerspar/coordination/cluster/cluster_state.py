"""The leader's books: machines, runs and what each team uses, kept in step.

Everything that changes what is where goes through here, so that the sums and the
indexes that placing relies on follow each change at once.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from gingerspar.coordination.cluster.estimates import Estimates
from gingerspar.coordination.cluster.expected_releases import ExpectedReleases
from gingerspar.coordination.cluster.job_order import JobOrder
from gingerspar.coordination.cluster.job_runs import Backlog, GangState, JobRun
from gingerspar.coordination.cluster.machine import (
    NOTHING,
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
from gingerspar.protocol.messages import JobSpec, MachineType, Priority
from gingerspar.protocol.settings import Objective, TeamFacts
from gingerspar.storage.records import Order

log = logging.getLogger(__name__)

NO_GRACE_PERIOD = timedelta(0)
URGENT_WAIT = timedelta(seconds=5)
ROUTINE_WAIT = timedelta(seconds=20)  # of work that nobody asks anything of
OVERRUN = 1.3  # estimates are often wrong by half
SPENT_ON_WAITING = 0.5  # of the time to spare: a job is done with its slowest task
START_UP = timedelta(seconds=5)  # claim, reports and what else comes before a task runs
EXPENSIVE_PRICE_RATIO = 1.5
LEAST_START = timedelta(seconds=2)  # from a place to a running task, at the least
MUCH_LATER = 1e7  # seconds, more than any deadline is ahead
UNDUE = 1e12  # seconds, later than all deadlines
NOTHING_USED = Usage()
ROUNDING = 1e-6  # of sums that are added to and taken from
MOST_KINDS = 2000  # of task, whose prices are remembered
_COUNTED = (TaskState.RUNNING, TaskState.SAVING)  # shown to users as running


@dataclass(slots=True, frozen=True)
class MachineOption:
    """A sort of machine that a job may use."""

    offer: Offer
    kind: MachineType
    tasks_per_machine: int  # tasks of the job that an empty one takes, at least one
    cost: float  # of one place an hour, when it is full of them
    expensive: bool  # its places cost far more than those of another ordinary type


class ClusterState:
    """One term's machines, runs and use."""

    def __init__(self, term: int, teams: Iterable[TeamFacts], objectives: Iterable[Objective] = ()) -> None:
        self.term = term
        objectives = list(objectives)
        self._job_order = JobOrder(objectives)
        self._finish_within: dict[str, tuple[timedelta, timedelta]] = {}  # by class: first and last aim
        self._late_at: dict[str, float] = {}  # by class: times its deadline
        self._start_within: dict[str, list[timedelta]] = {}  # by class
        self._done_within: dict[str, list[timedelta]] = {}  # by class
        for objective in objectives:
            if objective.kind == "finished" and objective.jobclass and objective.within_s:
                within = timedelta(seconds=objective.within_s)
                self._done_within.setdefault(objective.jobclass, []).append(within)
                first, last = self._finish_within.get(objective.jobclass, (within, within))
                self._finish_within[objective.jobclass] = (min(first, within), max(last, within))
            elif objective.kind == "wait" and objective.jobclass and objective.within_s:
                within = timedelta(seconds=objective.within_s)
                self._start_within.setdefault(objective.jobclass, []).append(within)
            elif objective.kind == "deadline" and objective.jobclass and objective.times:
                times = max(objective.times, self._late_at.get(objective.jobclass, 1.0))
                self._late_at[objective.jobclass] = times
        self.teams = {team.name: team for team in teams}
        self.estimates = Estimates()
        self.types: dict[str, MachineType] = {}
        self.pool = Pool()
        self.runs: dict[str, JobRun] = {}
        self.backlog = Backlog()
        self.service_levels = ServiceLevels()
        self.largest_jobs = LargestJobs()
        self._first_overdue_gang: JobRun | None = None
        self.usage: dict[str, Usage] = {team: Usage() for team in self.teams}
        self.unrecorded: dict[str, JobRun] = {}  # runs with finishes that the record doesn't show yet
        self.expected_releases = ExpectedReleases()
        self.jobs_with_reservations: dict[str, set[str]] = {}  # by machine: jobs that keep room there
        self.accelerator_specs: dict[str, JobSpec] = {}  # by class: what uses accelerators here
        self.notify_machine: Callable[[Machine], None] = lambda machine: None
        self._cheapest: dict[tuple[object, ...], float] = {}  # ordinary place, by kind of task
        self._machine_options: dict[tuple[object, ...], list[MachineOption]] = {}
        self._slowest_fetch = 1.0  # of all types, GB a second

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
        kind = self.types.get(type_name)
        machine = Machine(name, type_name, zone, spot, state, now, kind=kind, rostered=rostered)
        self.pool.add(machine)
        return machine

    def set_types(self, types: Iterable[MachineType]) -> None:
        self.types = {kind.name: kind for kind in types}
        self._cheapest = {}
        self._machine_options = {}
        self._slowest_fetch = max(min((kind.fetch_gb_per_s for kind in self.types.values()), default=1.0), 1e-3)
        for machine in self.pool:
            machine.set_kind(self.types.get(machine.type))

    def remove_machine(self, machine: Machine, now: timedelta) -> None:
        """The machine and all on it are gone for certain."""
        self.clear_machine(machine, now)
        machine.move(MachineState.GONE)
        self.pool.remove(machine)

    def clear_machine(self, machine: Machine, now: timedelta) -> None:
        for placement in list(machine.live.values()):
            self.task_gone(placement, now)

    # -- tasks ----------------------------------------------------------------

    def move_task(self, placement: Placement, state: TaskState, now: timedelta) -> None:
        """A task's state changes; the job's count of running tasks follows."""
        before = placement.state in _COUNTED
        ran = placement.running_since is not None
        placement.move(state, now)
        if not ran and placement.running_since is not None:
            self.expected_releases.task_started(placement)
        run = self.runs.get(placement.job)
        if run is not None:
            run.running += (placement.state in _COUNTED) - before
            run.has_started = run.has_started or placement.running_since is not None

    def plan_task(self, run: JobRun, number: int, machine: Machine, now: timedelta, *, protected: bool = False) -> None:
        placement = Placement(
            run.spec, number, run.record.attempt, machine, TaskState.PLANNED, now, protected=protected
        )
        run.max_used_attempt = max(run.max_used_attempt, run.record.attempt)
        self.add_placement(run, placement)
        self.notify_machine(machine)

    def add_placement(self, run: JobRun, placement: Placement) -> None:
        """A task takes its place; whoever adds the last one refiles the run."""
        placement.machine.add_placement(placement)
        run.places.setdefault(placement.number, []).append(placement)
        run.open.discard(placement.number)
        run.running += placement.state in _COUNTED
        run.has_started = run.has_started or placement.running_since is not None
        if placement.running_since is not None:
            self.expected_releases.task_started(placement)
        self.usage.setdefault(placement.spec.team, Usage()).add(placement.spec)
        self.service_levels.task_placed(placement)

    def _leave(self, placement: Placement) -> JobRun:
        """Takes an ended placement off the books."""
        if placement.running_since is not None:
            self.expected_releases.task_left(placement)
        run = self.runs[placement.job]
        places = run.places[placement.number]
        places.remove(placement)
        if not places:
            del run.places[placement.number]
            if not run.ended and placement.number not in run.finished and placement.number < run.spec.tasks:
                run.open.add(placement.number)
        self.usage[placement.spec.team].add(placement.spec, -1)
        self.service_levels.task_ended(placement)
        if run.ended and not run.places:
            self.runs.pop(placement.job, None)
        return run

    def task_exited(self, placement: Placement, now: timedelta) -> JobRun:
        self.move_task(placement, TaskState.EXITED, now)
        return self._leave(placement)

    def task_gone(self, placement: Placement, now: timedelta) -> None:
        """The task is on its machine no more, without having ended there."""
        if not placement.live:
            return  # its gang was taken apart while its machine's tasks were gone through
        log.debug("%s attempt %d on %s is gone", placement.name, placement.attempt, placement.machine.name)
        self.move_task(placement, TaskState.GONE, now)
        self.gang_task_lost(self._leave(placement), now)

    def gang_task_lost(self, run: JobRun, now: timedelta) -> None:
        """After a task of a run has gone: a gang that lost one is stopped whole."""
        if run.is_gang and not run.ended:
            if run.places:
                run.set_gang_state(GangState.STOPPING)
                for placement in run.live:
                    if placement.stop_grace is None:
                        self.stop_task(placement, NO_GRACE_PERIOD, now)
            if not run.places:
                run.set_gang_state(GangState.IDLE)
        self.backlog.update(run, now)

    def stop_task(self, placement: Placement, grace: timedelta, now: timedelta) -> None:
        """Wants a task ended; a planned one never reached its machine."""
        if placement.state is TaskState.PLANNED:
            self.task_gone(placement, now)
            return
        if placement.stop_grace is None or grace < placement.stop_grace:
            placement.stop_grace = grace
            placement.stop_sent = False
            placement.machine.cached_forecast = None
            self.notify_machine(placement.machine)

    def stop_run(self, run: JobRun, grace: timedelta, now: timedelta) -> None:
        """Stops all tasks of a job in an orderly way; a gang's must be told together."""
        if run.is_gang:
            run.set_gang_state(GangState.STOPPING)
        for placement in run.live:
            self.stop_task(placement, grace, now)

    def end_run(self, run: JobRun, now: timedelta) -> None:
        """The record says done or cancelled."""
        run.ended = True
        run.open.clear()
        run.unrecorded.clear()
        self.unrecorded.pop(run.spec.job, None)
        self.release_reservation(run)
        self.backlog.update(run, now)
        for placement in run.live:
            self.stop_task(placement, NO_GRACE_PERIOD, now)
        if not run.places:
            self.runs.pop(run.spec.job, None)

    def task_done(self, run: JobRun, number: int) -> bool:
        """A task has completed; true if that is news."""
        run.has_started = True  # an older leader may have started it
        # The tasks of a gang complete together: if one is done, all are.
        numbers = range(run.spec.tasks) if run.is_gang else (number,)
        news = False
        for each in numbers:
            if not run.ended and run.finished.add(each):
                news = True
                run.unrecorded.add(each)
                run.open.discard(each)
        if news:
            run.notified_at = None
            self.unrecorded[run.spec.job] = run
        return news

    # -- time to spare --------------------------------------------------------

    def can_wait(self, run: JobRun, now: timedelta, boot: timedelta = NOTHING) -> bool:
        """Whether dearer places, to be had after ``boot``, would do nothing for the job.

        It will probably be in time even if it starts somewhat later, or it is too late in
        any case; by its own deadline, or by what the operators ask of its class. Work
        without either waits a little; urgent work only until what is less urgent could
        have made room.
        """
        spec = run.spec
        waited = now - run.waiting_since if run.waiting_since is not None else NOTHING
        if spec.priority.rank <= Priority.HIGH.rank:
            return waited < URGENT_WAIT
        within, latest = self._asked(spec)
        if within is None or latest is None:
            return waited < ROUTINE_WAIT
        starts = now + boot + timedelta(seconds=spec.image_gb / self._slowest_fetch) + START_UP
        span = self.estimates.run_time(spec)
        if starts + span > run.submitted + latest:
            return True
        return starts + span * OVERRUN < run.submitted + within

    def slack(self, run: JobRun, now: timedelta) -> timedelta:
        """How much later than now the tasks of a job may well start; nothing if nobody says when it should be done."""
        within, _ = self._asked(run.spec)
        if within is None or run.spec.priority.rank <= Priority.HIGH.rank:
            return NOTHING
        left = run.submitted + within - now - START_UP - self.estimates.run_time(run.spec) * OVERRUN
        return max(left * SPENT_ON_WAITING, NOTHING)

    def update_service_levels(self, now: timedelta) -> None:
        self.service_levels.update(self.runs.values(), self.pool, self.backlog, now)

    def order_key(self, run: JobRun, now: timedelta) -> Order:
        """As ``_order``, but first of all where it is late to begin, or its class lags and its share is not used up."""
        if self.is_start_overdue(run, now):
            return (TOP_RANK, 0.0, run.record.submitted, run.spec.job)
        order = self._order(run, now)
        return (
            (TOP_RANK, *order[1:])
            if self.service_levels.has_priority(run) and self.service_levels.remaining_tasks(run)
            else order
        )

    def is_start_overdue(self, run: JobRun, now: timedelta) -> bool:
        """Whether the job has to begin now, with one task, or if it is a gang with all."""
        if run.has_started or run.places or run.ended or now - run.submitted < START_PRIORITY_AFTER or run.failures:
            return False
        return (
            self.largest_jobs.contains(run.spec)
            if run.is_gang
            else self.service_levels.remaining_tasks(run, to_begin=True) > 0
        )

    def log_if_not_started(self, run: JobRun, now: timedelta) -> None:
        """Once for each job that the four minutes have passed for."""
        if run.has_started or run.logged_not_started or run.failures or now - run.submitted < START_TARGET:
            return
        if run.waiting_since is None or now - run.waiting_since < RUNNING_TASKS_KNOWN_AFTER:
            return  # in a new term it may run on a machine that has not reported yet
        run.logged_not_started = True
        size = "among the largest" if self.largest_jobs.contains(run.spec) else "not among the largest"
        log.error(
            "%s of %s has not begun after %d s: %d tasks, %s",
            run.spec.job, run.spec.jobclass, START_TARGET.total_seconds(), run.spec.tasks, size,
        )  # fmt: skip

    def first_overdue_gang(self, now: timedelta) -> JobRun | None:
        """The gang that has been late to begin for longest: one at a time keeps its room until it starts."""
        gang = self._first_overdue_gang
        return gang if gang is not None and gang.is_waiting and self.is_start_overdue(gang, now) else None

    def update_first_overdue_gang(self, now: timedelta) -> None:
        """To be called now and then: going through all that is late for each question cost a twentieth of a pass."""
        self._first_overdue_gang = None
        run: JobRun
        for order, run in self.backlog.waiting.items():
            if order[0] != TOP_RANK:
                return
            if run.is_gang and self.is_start_overdue(run, now):
                self._first_overdue_gang = run
                return

    def _order(self, run: JobRun, now: timedelta) -> Order:
        """Priority, then earliest due.

        Work that can't be in time any more comes after what can. A job without a deadline
        comes after those with one, and is due when the operators next ask its class to have
        started, or when it has to start so as to be done when they ask for it: when the
        first such time has passed, it is due at the next one.
        """
        rank, due, submitted, job = run.record.order
        if run.spec.due_s is not None:
            run.lateness = max(run.lateness, self.lateness(run, now))
            return (rank, due + run.lateness * MUCH_LATER, submitted, job)
        starts = self._start_within.get(run.spec.jobclass, [])
        ends = self._done_within.get(run.spec.jobclass, [])
        if ends:
            span = self.estimates.run_time(run.spec)
            starts = starts + [within - span for within in ends]
        waited = now - run.submitted + LEAST_START
        within = min((within for within in starts if within > waited), default=None)
        if within is None:
            return self._job_order.key(run.record, run.spec.tasks - len(run.finished))
        return (rank, UNDUE + submitted + within.total_seconds(), submitted, job)

    def lateness(self, run: JobRun, now: timedelta) -> int:
        """0: a job with a deadline may be in time; 1: it will be late; 2: later than still counts."""
        if run.spec.due_s is None:
            return 0
        within, latest = self._asked(run.spec)
        done = now + START_UP + self.estimates.run_time(run.spec) - run.submitted
        if within is None or latest is None or done <= within:
            return 0
        return 1 if done <= latest else 2

    def _asked(self, spec: JobSpec) -> tuple[timedelta | None, timedelta | None]:
        """When a job should be done, and when at the very latest."""
        if spec.due_s is not None:
            within = timedelta(seconds=spec.due_s)
            return within, within * self._late_at.get(spec.jobclass, 1.0)
        return self._finish_within.get(spec.jobclass, (None, None))

    def is_expensive(self, kind: MachineType, spot: bool, spec: JobSpec) -> bool:
        """An ordinary machine whose places cost far more than those of another ordinary type."""
        if spot:
            return False
        key = (spec.cpus, spec.gpus, spec.memory_gb, spec.types)
        if key not in self._cheapest:
            if len(self._cheapest) >= MOST_KINDS:
                self._cheapest.clear()
            costs = [
                cost_per_task(other, False, spec)
                for other in self.types.values()
                if spec.types is None or other.name in spec.types
            ]
            self._cheapest[key] = min(costs, default=0.0)
        return cost_per_task(kind, False, spec) > EXPENSIVE_PRICE_RATIO * self._cheapest[key]

    def machine_options(self, spec: JobSpec) -> list[MachineOption]:
        """The sorts of machine that take tasks of the job, by the catalog."""
        key = (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)
        found = self._machine_options.get(key)
        if found is None:
            if len(self._machine_options) >= MOST_KINDS:
                self._machine_options.clear()
            found = self._machine_options[key] = []
            for kind in self.types.values():
                full = task_capacity(kind, spec)
                for zone in kind.zones if full else ():
                    for spot in (True, False) if spec.spot and kind.spot_price is not None else (False,):
                        if allows(spec, kind.name, zone, spot):
                            cost, dear = cost_per_task(kind, spot, spec), self.is_expensive(kind, spot, spec)
                            found.append(MachineOption((kind.name, zone, spot), kind, full, cost, dear))
        return found

    # -- room -----------------------------------------------------------------

    def reserve(self, run: JobRun, room: dict[Machine, int], now: timedelta) -> None:
        """Keeps room for a gang until it starts."""
        for machine, count in room.items():
            machine.reserve(run.spec, count)
            self.jobs_with_reservations.setdefault(machine.name, set()).add(run.spec.job)
        run.reserved = room
        if run.reserved_since is None:
            run.reserved_since = now

    def release_reservation(self, run: JobRun) -> None:
        booked, run.reserved = run.reserved, {}
        for machine, count in booked.items():
            machine.reserve(run.spec, -count)
            jobs = self.jobs_with_reservations[machine.name]
            jobs.discard(run.spec.job)
            if not jobs:
                del self.jobs_with_reservations[machine.name]

    def blocked_by_unsettled(self, run: JobRun) -> bool:
        """True while one of its open tasks may run on a machine that has not reported yet."""
        if run.record.first_term >= self.term:
            return False
        return any(allows(run.spec, *offer) for offer in self.pool.unsettled.offers)

    def team_headroom(self, spec: JobSpec, promised: Usage = NOTHING_USED) -> int:
        """Tasks that the team's limit still takes; unsettled machines count as full of them.

        ``promised``: what others of the team are about to take.
        """
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        used = self.usage[spec.team]
        unsettled = self.pool.unsettled
        room = 1_000_000
        if team.cpus_max and spec.cpus:
            cpus = used.cpus + promised.cpus + unsettled.cpus + unsettled.unknown * team.cpus_max
            room = int((team.cpus_max - cpus) / spec.cpus + 1e-9)
        if team.gpus_max and spec.gpus:
            gpus = used.gpus + promised.gpus + unsettled.gpus + unsettled.unknown * team.gpus_max
            room = min(room, int((team.gpus_max - gpus) / spec.gpus + 1e-9))
        return max(room, 0)

    def team_shortfall(self, spec: JobSpec) -> tuple[float, float]:
        """Processors and accelerators that the limit leaves too little for all tasks of a job at once."""
        team = self.teams[spec.team]
        used = self.usage[spec.team]
        cpus = used.cpus + spec.tasks * spec.cpus - team.cpus_max if team.cpus_max and spec.cpus else 0.0
        gpus = used.gpus + spec.tasks * spec.gpus - team.gpus_max if team.gpus_max and spec.gpus else 0.0
        return cpus - ROUNDING, gpus - ROUNDING
