"""The placement pass: assigns open tasks to machines, by priority, then earliest due time."""

import logging
from collections.abc import Callable, Iterable
from datetime import timedelta

from gingerspar.coordination.cluster.cluster_state import ClusterState
from gingerspar.coordination.cluster.job_runs import ConstraintKey, GangState, JobRun, MinDemand
from gingerspar.coordination.cluster.machine import Machine, fits
from gingerspar.coordination.cluster.pool import ROUNDING_TOLERANCE, Offer, allows
from gingerspar.coordination.cluster.service_level import TOP_RANK
from gingerspar.coordination.placement import scoring
from gingerspar.coordination.placement.gang_reservation import GangReservations
from gingerspar.coordination.placement.team_limits import TeamLimitReservations
from gingerspar.protocol.messages import JobSpec, Priority
from gingerspar.storage.records import Order

log = logging.getLogger(__name__)

# Machine checks in one call of `Placer.place`. The next call continues the pass; in between, the leader handles
# reports and reads.
MAX_MACHINE_CHECKS = 6000
# The largest free amounts of this many gained machines are recomputed in the time of one machine check.
REFRESHED_MACHINES_PER_CHECK = 16
# Tasks placed in one call of `Placer.place`, except that a gang is placed whole; the next call continues the pass.
MAX_PLACED_TASKS = 1000
# All waiting runs are checked against all machines at this interval. It bounds the delay after changes that no machine
# announces.
RESCAN_INTERVAL = timedelta(seconds=2)

FitKey = tuple[object, ...]


def _fit_key(spec: JobSpec) -> FitKey:
    """Tasks of jobs with equal keys fit on the same machines."""
    return (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)


class GainedMachines:
    """Machines that have gained free capacity since the last pass, grouped by offer (type, zone, spot or ordinary).

    The largest free amounts among the machines of each offer are kept, so that a run that fits on none of
    the machines is ruled out with one check per offer.
    """

    def __init__(self, machines: Iterable[Machine]) -> None:
        self.names: set[str] = set()
        self._by_offer: dict[Offer, list[Machine]] = {}
        self._max_free: dict[Offer, tuple[float, float, float]] = {}
        for machine in machines:
            self.names.add(machine.name)
            self._by_offer.setdefault((machine.type, machine.zone, machine.spot), []).append(machine)

    @property
    def offer_count(self) -> int:
        return len(self._by_offer)

    def refresh_max_free(self) -> None:
        """Recomputes the largest free amounts; required after machines may have lost free capacity."""
        for offer in self._by_offer:
            self._refresh_offer(offer)

    def _refresh_offer(self, offer: Offer) -> None:
        amounts = [machine.free() for machine in self._by_offer[offer]]
        self._max_free[offer] = (
            max(amount[0] for amount in amounts),
            max(amount[1] for amount in amounts),
            max(amount[2] for amount in amounts),
        )

    def usable(self, spec: JobSpec) -> list[Machine]:
        """Machines with free capacity for at least one task of the job."""
        found: list[Machine] = []
        for offer, max_free in self._max_free.items():
            if fits(spec, *max_free) and allows(spec, *offer):
                found += [machine for machine in self._by_offer[offer] if machine.tasks_that_fit(spec) > 0]
        return found

    def may_fit(self, min_demand: MinDemand) -> bool:
        """Whether a run may fit here, given the minimum demand over a group of runs; constraints are not checked."""
        return any(
            cpus + ROUNDING_TOLERANCE >= min_demand.cpus
            and gpus + ROUNDING_TOLERANCE >= min_demand.gpus
            and memory + ROUNDING_TOLERANCE >= min_demand.memory_gb
            for cpus, gpus, memory in self._max_free.values()
        )


class Placer:
    """Places the runs of the backlog in order; a pass that takes too long is continued by the next call.

    A run that was checked against all machines without success is checked again only against machines that have
    gained free capacity since, and against all machines every ``RESCAN_INTERVAL``.
    """

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state
        self._gang_reservations = GangReservations(cluster_state)
        self._limit_reservations = TeamLimitReservations(cluster_state, self._gang_reservations)
        self._gained = GainedMachines([])  # machines that the current pass checks runs against
        self._resume_after: Order | None = None  # order key of the last run that an unfinished pass has checked
        self._last_rescan = timedelta(0)
        self._placeable_tasks = 0  # how many more tasks the current call may place
        self._machines_by_key: dict[FitKey, list[Machine]] = {}  # machines with free capacity for a task
        # Demands that fit on none of the gained machines, by constraints and whether accelerators had to be spared.
        self._failed_demands: dict[tuple[ConstraintKey, bool], list[MinDemand]] = {}

    def place(self, now: timedelta) -> bool:
        """Runs one slice of a placement pass; returns True once every change has been handled."""
        cluster_state, pool, backlog = self._cluster_state, self._cluster_state.pool, self._cluster_state.backlog
        backlog.resume_delayed(now)
        if now - self._last_rescan >= RESCAN_INTERVAL:
            self._last_rescan = now
            cluster_state.update_service_levels(now)
            self._reorder_backlog(now)
            cluster_state.update_first_overdue_gang(now)
            self._gang_reservations.release_unusable()
            backlog.rescan_all()
        if self._resume_after is None:
            self._gained = GainedMachines(pool.pop_gained())
        gained = self._gained
        if not gained.names and not backlog.unscanned:
            return True
        self._machines_by_key, self._failed_demands = {}, {}
        self._limit_reservations.start_pass()
        max_machines_checked = pool.machines_checked + MAX_MACHINE_CHECKS
        self._placeable_tasks = MAX_PLACED_TASKS
        cluster_state.count_ended_tasks()
        gained.refresh_max_free()
        candidate_keys = self._candidate_keys(gained)
        reserving_jobs = {job for name in gained.names for job in cluster_state.jobs_with_reservations.get(name, ())}
        for order in self._orders_to_check(gained, candidate_keys, reserving_jobs, now):
            run = backlog.waiting.get(order)
            if run is None or self._limit_reservations.is_blocked(run):
                continue  # placed or stopped meanwhile, or blocked by its team's limit
            unscanned = order in backlog.unscanned
            if not unscanned and self._resume_after is not None and order <= self._resume_after:
                continue
            if not cluster_state.blocked_by_unsettled(run) and not cluster_state.job_failures.is_paused(
                run.spec.job, now
            ):
                open_before = len(run.open)
                if unscanned:
                    self._try_place_run(run, None, now)
                elif run.is_gang or (run.constraint_key in candidate_keys and not self._fails_on_gained(run)):
                    self._try_place_run(run, gained, now)
                self._placeable_tasks -= max(open_before - len(run.open), 0)
                if len(run.open) != open_before:
                    gained.refresh_max_free()
                    pool.machines_checked += len(gained.names) // REFRESHED_MACHINES_PER_CHECK
                    candidate_keys = self._candidate_keys(gained)
            if pool.machines_checked >= max_machines_checked or self._placeable_tasks <= 0:
                self._resume_after = order if gained.names else None
                return False
        self._resume_after, self._gained = None, GainedMachines([])
        return not pool.has_gained

    def _reorder_backlog(self, now: timedelta) -> None:
        cluster_state, backlog = self._cluster_state, self._cluster_state.backlog
        for run in backlog:
            try:
                cluster_state.log_if_not_started(run, now)
                backlog.reorder(run, cluster_state.order_key(run, now))
            except Exception:
                cluster_state.job_failures.add(run.spec.job, "ordering", now)

    def _candidate_keys(self, gained: GainedMachines) -> set[ConstraintKey]:
        """Constraint keys with at least one waiting run that may fit on the gained machines."""
        return {
            constraint_key
            for constraint_key, min_demand in self._cluster_state.backlog.min_demands()
            if gained.may_fit(min_demand)
        }

    def _orders_to_check(
        self, gained: GainedMachines, candidate_keys: set[ConstraintKey], reserving_jobs: set[str], now: timedelta
    ) -> list[Order]:
        """Order keys of the runs to check: unscanned runs, and runs that may fit on the gained machines.

        Gangs are checked as well if they have reservations on gained machines or are due for a reservation attempt.
        """
        backlog = self._cluster_state.backlog
        if not gained.names:
            return list(backlog.unscanned)
        return [
            order
            for order, run in backlog.waiting.items()
            if order in backlog.unscanned
            or run.constraint_key in candidate_keys
            or (run.is_gang and (run.spec.job in reserving_jobs or self._gang_reservations.check_due(run, now)))
        ]

    def _try_place_run(self, run: JobRun, gained: GainedMachines | None, now: timedelta) -> None:
        """Like ``_place_run``, but an error concerns this run alone, which is skipped for a while."""
        try:
            self._place_run(run, gained, now)
        except Exception:
            cluster_state = self._cluster_state
            cluster_state.job_failures.add(run.spec.job, "placement", now)
            if run.is_gang and run.placements:
                cluster_state.gang_task_lost(run, now)  # only a part of its tasks has been placed
            cluster_state.backlog.update(run, now)

    def _place_run(self, run: JobRun, gained: GainedMachines | None, now: timedelta) -> None:
        """Places as many tasks as possible, on the gained machines only, or on any machine if ``gained`` is None."""
        task_headroom = self._cluster_state.task_headroom(run.spec)
        if task_headroom < (run.spec.tasks if run.is_gang else 1):
            return  # its scan state stays: the run waits for tasks of any job to end
        headroom = min(self._cluster_state.team_headroom(run.spec), task_headroom)
        if headroom < (run.spec.tasks if run.is_gang else 1):
            self._limit_reservations.record_refusal(run)
            if run.is_gang:
                self._limit_reservations.reserve(run, now)
            return  # its scan state stays: the run waits for its team's limit, not for machines
        if run.is_gang:
            reservation_gained = gained is not None and any(machine.name in gained.names for machine in run.reserved)
            if (
                gained is None
                or reservation_gained
                or self._gang_reservations.check_due(run, now)
                or self._usable(run, gained)
            ):
                self._place_gang(run, now)
                self._cluster_state.backlog.mark_scanned(run)
        else:
            machines = self._with_free_capacity(run) if gained is None else self._usable(run, gained)
            start_overdue = run.order[0] == TOP_RANK and self._cluster_state.is_start_overdue(run, now)
            if start_overdue and gained is None:
                machines = self._machines_for_overdue_start(run, machines, now)
            if machines and not start_overdue and self._must_spare_accelerators(run.spec):
                machines = self._filter_sparing_accelerators(run.spec, machines)
            if not machines and gained is not None and not run.failures:
                spec = run.spec
                self._failed_demands.setdefault((run.constraint_key, self._must_spare_accelerators(spec)), []).append(
                    MinDemand(spec.cpus, spec.gpus, spec.memory_gb)
                )
            if machines:
                max_tasks = 1 if start_overdue else min(headroom, self._placeable_tasks)
                open_before = len(run.open)
                self._place_tasks(run, machines, max_tasks, now, start_overdue=start_overdue)
                if run.open and open_before - len(run.open) >= self._placeable_tasks:
                    # The next call goes on with this run, and compares it with all machines.
                    self._cluster_state.backlog.update(run, now, rescan=True)
                    return
            if not run.open or self._cluster_state.team_headroom(run.spec) > 0:
                # Otherwise the run waits for its team's limit, not for machines.
                self._cluster_state.backlog.mark_scanned(run)

    def _fails_on_gained(self, run: JobRun) -> bool:
        """Whether a task with no larger demand has already failed to fit on the gained machines in this pass.

        Free capacity only shrinks within a pass. Without this check, fifty jobs in each pass scanned the processors
        that are reserved for free accelerators, without success (vatuloa-grep-fleet loss).
        """
        spec = run.spec
        return any(
            spec.cpus >= min_demand.cpus and spec.gpus >= min_demand.gpus and spec.memory_gb >= min_demand.memory_gb
            for min_demand in self._failed_demands.get((run.constraint_key, self._must_spare_accelerators(spec)), ())
        )

    def _must_spare_accelerators(self, spec: JobSpec) -> bool:
        """Whether the job must not use processors that free accelerators need.

        True for routine jobs without accelerators that may use machines without accelerators as well.
        """
        if spec.gpus or spec.priority.rank <= Priority.HIGH.rank or not self._cluster_state.accelerator_specs:
            return False
        return any(not option.machine_type.gpus for option in self._cluster_state.machine_options(spec))

    # -- machines for a run ---------------------------------------------------

    def _usable(self, run: JobRun, gained: GainedMachines) -> list[Machine]:
        self._cluster_state.pool.machines_checked += gained.offer_count
        return self._without_failures(run, gained.usable(run.spec))

    def _with_free_capacity(self, run: JobRun) -> list[Machine]:
        """All machines with free capacity for a task of the run.

        Cached by task requirements: free capacity only shrinks within a pass.
        """
        key = _fit_key(run.spec)
        cached = self._machines_by_key.get(key)
        if cached is None:
            found = self._cluster_state.pool.with_free_capacity(run.spec)
        else:
            self._cluster_state.pool.machines_checked += len(cached)
            found = [machine for machine in cached if machine.tasks_that_fit(run.spec) > 0]
        self._machines_by_key[key] = found
        return self._without_failures(run, found)

    def _without_failures(self, run: JobRun, machines: list[Machine]) -> list[Machine]:
        """Excludes machines where the job has failed while it ran well elsewhere, unless no other machine is left."""
        if not run.failures:
            return machines
        return [machine for machine in machines if machine.name not in run.failures] or machines

    # -- gangs ----------------------------------------------------------------

    def _place_gang(self, run: JobRun, now: timedelta) -> None:
        if not self._gang_reservations.cannot_fit(run, now):
            with self._cluster_state.pool.ignore_transient_gains(run.reserved):
                self._try_place_gang(run, now)

    def _try_place_gang(self, run: JobRun, now: timedelta) -> None:
        """Places the gang if it fits now, otherwise reserves capacity for it.

        Its reservation is released first and in most cases made again.
        """
        spec, cluster_state = run.spec, self._cluster_state
        reserved = list(run.reserved)
        cluster_state.release_reservation(run)
        machines = self._with_free_capacity(run)
        if reserved:
            names = {machine.name for machine in machines}
            machines = machines + [m for m in reserved if m.name not in names and self._can_take_task(m, spec)]
        scorer = scoring.Scorer(spec, cluster_state.types, now)
        found = scoring.choose_machines(spec, machines, spec.tasks, scorer)
        prolongs = self._prolongs_expensive_use(spec, now)
        if found is not None and any(map(prolongs, set(found))):
            cheap = [machine for machine in machines if not prolongs(machine)]
            cheaper = scoring.choose_machines(spec, cheap, spec.tasks, scorer)
            if cheaper is not None:
                found = cheaper
            elif cluster_state.can_wait(run, now) and self._gang_reservations.reserve_on(
                run, lambda machine: not prolongs(machine), now
            ):
                return
        if found is None:
            self._gang_reservations.reserve(run, now)
            return
        run.reserved_since = run.limit_reserved_since = None
        if run.record.attempt <= run.max_used_attempt:
            counts: dict[Machine, int] = {}
            for machine in found:
                counts[machine] = counts.get(machine, 0) + 1
            # The gang waits for a new attempt number; until it is recorded, the capacity stays reserved.
            cluster_state.reserve(run, counts, now)
            return
        log.debug("gang %s placed", spec.job)
        # An overdue gang is protected; otherwise more urgent work would preempt it at once.
        start_overdue = cluster_state.is_start_overdue(run, now)
        for number, machine in enumerate(found):
            cluster_state.plan_task(run, number, machine, now, protected=start_overdue)
        run.set_gang_state(GangState.PLACED)
        cluster_state.backlog.update(run, now)

    def _can_take_task(self, machine: Machine, spec: JobSpec) -> bool:
        return self._cluster_state.pool.takes_tasks(machine) and machine.tasks_that_fit(spec) > 0

    # -- arrays and services --------------------------------------------------

    def _machines_for_overdue_start(self, run: JobRun, machines: list[Machine], now: timedelta) -> list[Machine]:
        """Machines for the first task of a job whose start is overdue; reserves a slot if there are none.

        On a full fleet gangs reserve every slot that becomes free, and a task that needs most of a machine finds no
        free capacity while small tasks take it. The task therefore reserves a slot on the machine that is expected
        to have one first. Gangs' reservations on that machine are released once that frees enough capacity.
        """
        spec, cluster_state = run.spec, self._cluster_state
        reserved = [machine for machine in run.reserved if cluster_state.pool.takes_tasks(machine)]
        cluster_state.release_reservation(run)
        machines = machines or [machine for machine in reserved if self._can_take_task(machine, spec)]
        if machines:
            return machines
        overdue_gang = cluster_state.first_overdue_gang(now)
        excluded = overdue_gang.reserved if overdue_gang is not None else {}
        reserved = [
            machine for machine in reserved if machine not in excluded
        ] or cluster_state.pool.earliest_available(spec, excluded, now)
        if not reserved:
            return []
        if fits(spec, *reserved[0].unused()):
            for job in list(cluster_state.jobs_with_reservations.get(reserved[0].name, ())):
                cluster_state.release_reservation(cluster_state.runs[job])
            if self._can_take_task(reserved[0], spec):
                return reserved
        cluster_state.reserve(run, {reserved[0]: 1}, now)
        return []

    def _place_tasks(
        self, run: JobRun, machines: list[Machine], headroom: int, now: timedelta, *, start_overdue: bool = False
    ) -> None:
        """Places open tasks on the machines, up to ``headroom`` tasks.

        ``start_overdue``: places the first task of an overdue job, ahead of all others and protected from preemption.
        """
        spec, cluster_state = run.spec, self._cluster_state
        must_spare = self._must_spare_accelerators(spec) and not start_overdue
        if not start_overdue and spec.priority.rank > Priority.HIGH.rank and cluster_state.can_wait(run, now):
            prolongs = self._prolongs_expensive_use(spec, now)
            machines = [machine for machine in machines if not prolongs(machine)]
        zone_headroom = scoring.zone_headroom(spec, run.live) if spec.one_zone or spec.spread else None
        if len(run.open) < sum(machine.tasks_that_fit(spec) for machine in machines):
            machines = scoring.ranked(machines, scoring.Scorer(spec, cluster_state.types, now))
        attempt, remaining = run.record.attempt, headroom
        if run.is_suspect:
            # One task shows whether the job fails again; the others take up no capacity.
            remaining = min(remaining, 1 - len(run.placements))
        has_top_rank = run.order[0] == TOP_RANK
        for machine in machines:
            capacity = machine.tasks_that_fit(spec)
            protected = start_overdue or (has_top_rank and cluster_state.service_levels.is_contended(run, machine))
            if protected:
                # The rest is left to more urgent work.
                capacity = min(
                    capacity, cluster_state.service_levels.remaining_tasks(run, for_first_task=start_overdue)
                )
            for number in run.open.first(capacity + len(machine.exited_placements)):
                if remaining <= 0 or capacity <= 0 or (zone_headroom is not None and zone_headroom[machine.zone] <= 0):
                    break
                if machine.exited_placements and (spec.job, number, attempt) in machine.exited_placements:
                    continue  # the machine still lists this attempt as exited and would ignore a `run` for it
                if (
                    must_spare
                    and machine.machine_type is not None
                    and machine.machine_type.gpus
                    and not self._leaves_accelerators_usable(spec, machine)
                ):
                    break
                cluster_state.plan_task(run, number, machine, now, protected=protected)
                remaining -= 1
                capacity -= 1
                if zone_headroom is not None:
                    zone_headroom.take(machine.zone)
            if remaining <= 0 or not run.open:
                break
        if start_overdue and run.placements:
            # On whichever machine the task was placed; otherwise the reservation would stay until the job has ended.
            cluster_state.release_reservation(run)
            cluster_state.backlog.reorder(run, cluster_state.order_key(run, now))
        cluster_state.backlog.update(run, now, rescan=start_overdue and bool(run.placements))

    def _prolongs_expensive_use(self, spec: JobSpec, now: timedelta) -> Callable[[Machine], bool]:
        """Returns a predicate: whether a task of the job would prolong the use of an expensive machine."""
        expected_end = now + self._cluster_state.estimates.run_time(spec)

        def prolongs(machine: Machine) -> bool:
            machine_type = machine.machine_type
            if machine_type is None or not self._cluster_state.is_expensive(machine_type, machine.spot, spec):
                return False
            return expected_end > scoring.busy_until(machine, now)

        return prolongs

    def _filter_sparing_accelerators(self, spec: JobSpec, machines: list[Machine]) -> list[Machine]:
        """Excludes machines where a task would take processors that free accelerators need."""
        return [machine for machine in machines if self._leaves_accelerators_usable(spec, machine)]

    def _leaves_accelerators_usable(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether the task fits beside the tasks that could still use the machine's free accelerators."""
        machine_type = machine.machine_type
        if machine_type is None or machine.tasks_that_fit(spec) <= 0:
            return False
        if not machine_type.gpus or spec.gpus:
            return True
        cpus, _, memory = machine.free()
        for other in self._cluster_state.accelerator_specs.values():
            count = machine.tasks_that_fit(other)
            if spec.cpus + other.cpus * count > cpus + 1e-9:
                return False
            if spec.memory_gb + other.memory_gb * count > memory + 1e-9:
                return False
        return True
