"""The placing pass: gives places to open tasks, by priority, then earliest due."""

import logging
from collections.abc import Callable, Iterable
from datetime import timedelta

from gingerspar.coordination.cluster.cluster_state import ClusterState
from gingerspar.coordination.cluster.job_runs import ConstraintKey, GangState, JobRun, MinDemand
from gingerspar.coordination.cluster.machine import Machine, fits
from gingerspar.coordination.cluster.pool import ROUNDING, Offer, allows
from gingerspar.coordination.cluster.service_level import TOP_RANK
from gingerspar.coordination.placement import scoring
from gingerspar.coordination.placement.gang_reservation import GangReservations
from gingerspar.coordination.placement.team_limits import TeamLimitReservations
from gingerspar.protocol.messages import JobSpec, Priority
from gingerspar.storage.records import Order

log = logging.getLogger(__name__)

MOST_LOOKS = 6000  # machines looked at in one go; then reports and reads get their turn
LOOK_AGAIN = timedelta(seconds=2)  # so long may a change go unseen that no machine announces

Signature = tuple[object, ...]


def _signature(spec: JobSpec) -> Signature:
    """Jobs that are alike in this find room on the same machines."""
    return (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)


class Gained:
    """Machines that have gained room since the last pass, kept apart by type, zone and kind.

    For each of these the most that any of its machines has free is known, so that a run
    which fits nowhere among them is passed over with a look at each sort of machine.
    """

    def __init__(self, machines: Iterable[Machine]) -> None:
        self.names: set[str] = set()
        self._sorts: dict[Offer, list[Machine]] = {}
        self._most: dict[Offer, tuple[float, float, float]] = {}
        for machine in machines:
            self.names.add(machine.name)
            self._sorts.setdefault((machine.type, machine.zone, machine.spot), []).append(machine)

    @property
    def sorts(self) -> int:
        return len(self._sorts)

    def sum_up(self) -> None:
        """To be called when machines may have lost room since."""
        for offer in self._sorts:
            self._sum_up(offer)

    def _sum_up(self, offer: Offer) -> None:
        rooms = [machine.free() for machine in self._sorts[offer]]
        self._most[offer] = (max(r[0] for r in rooms), max(r[1] for r in rooms), max(r[2] for r in rooms))

    def usable(self, spec: JobSpec) -> list[Machine]:
        """Those with room for a task of the job."""
        found: list[Machine] = []
        for offer, most in self._most.items():
            if fits(spec, *most) and allows(spec, *offer):
                found += [machine for machine in self._sorts[offer] if machine.tasks_that_fit(spec) > 0]
        return found

    def may_help(self, min_demand: MinDemand) -> bool:
        """Whether any of the runs that this sums up may find room here."""
        return any(
            cpus + ROUNDING >= min_demand.cpus
            and gpus + ROUNDING >= min_demand.gpus
            and memory + ROUNDING >= min_demand.memory_gb
            for cpus, gpus, memory in self._most.values()
        )


class Placer:
    """Goes through the backlog in order; a pass that grows too long goes on later.

    A run that found no room is compared again only with machines that have gained some.
    """

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state
        self._gang_reservations = GangReservations(cluster_state)
        self._limit_reservations = TeamLimitReservations(cluster_state, self._gang_reservations)
        self._gained = Gained([])  # what the walk under way compares runs with
        self._walked: Order | None = None  # up to here
        self._looked_again = timedelta(0)
        self._found: dict[Signature, list[Machine]] = {}  # machines with room, by kind of task
        # What found no machine among those that gained room, by family and whether it was careful.
        self._barren: dict[tuple[ConstraintKey, bool], list[MinDemand]] = {}

    def place(self, now: timedelta) -> bool:
        """True once everything that changed has been looked at."""
        cluster_state, pool, backlog = self._cluster_state, self._cluster_state.pool, self._cluster_state.backlog
        backlog.resume_delayed(now)
        if now - self._looked_again >= LOOK_AGAIN:
            self._looked_again = now
            cluster_state.update_service_levels(now)
            for run in backlog:
                cluster_state.log_if_not_started(run, now)
                backlog.reorder(run, cluster_state.order_key(run, now))
            cluster_state.update_first_overdue_gang(now)
            backlog.rescan_all()
        if self._walked is None:
            self._gained = Gained(pool.take_gained())
        gained = self._gained
        if not gained.names and not backlog.unscanned:
            return True
        self._found, self._barren = {}, {}
        self._limit_reservations.begin_pass()
        until = pool.looked_at + MOST_LOOKS
        gained.sum_up()
        helped = self._helped(gained)
        owners = {job for name in gained.names for job in cluster_state.jobs_with_reservations.get(name, ())}
        for order in self._orders(gained, helped, owners, now):
            run = backlog.waiting.get(order)
            if run is None or self._limit_reservations.is_blocked(run):
                continue  # placed or stopped meanwhile, or it is its team's limit that it waits for
            unseen = order in backlog.unscanned
            if not unseen and self._walked is not None and order <= self._walked:
                continue
            if not cluster_state.blocked_by_unsettled(run):
                before = len(run.open)
                if unseen:
                    self._serve(run, None, now)
                elif run.is_gang or (run.constraint_key in helped and not self._in_vain(run)):
                    self._serve(run, gained, now)
                if len(run.open) != before:
                    gained.sum_up()
                    helped = self._helped(gained)
            if pool.looked_at >= until:
                self._walked = order if gained.names else None
                return False
        self._walked, self._gained = None, Gained([])
        return not pool.has_gained

    def _helped(self, gained: Gained) -> set[ConstraintKey]:
        return {
            constraint_key
            for constraint_key, min_demand in self._cluster_state.backlog.min_demands()
            if gained.may_help(min_demand)
        }

    def _orders(self, gained: Gained, helped: set[ConstraintKey], owners: set[str], now: timedelta) -> list[Order]:
        """Whom the pass goes through: those not looked at yet, and those whom what was gained may help."""
        backlog = self._cluster_state.backlog
        if not gained.names:
            return list(backlog.unscanned)
        return [
            order
            for order, run in backlog.waiting.items()
            if order in backlog.unscanned
            or run.constraint_key in helped
            or (run.is_gang and (run.spec.job in owners or self._gang_reservations.due(run, now)))
        ]

    def _serve(self, run: JobRun, among: Gained | None, now: timedelta) -> None:
        """Places what can be placed; ``among``: only these machines are new to it."""
        team_room = self._cluster_state.team_headroom(run.spec)
        if team_room < (run.spec.tasks if run.is_gang else 1):
            self._limit_reservations.record_refusal(run)
            if run.is_gang:
                self._limit_reservations.reserve(run, now)
            return  # stays as it is: room in the team, not on machines, is what it waits for
        if run.is_gang:
            own = among is not None and any(machine.name in among.names for machine in run.reserved)
            if among is None or own or self._gang_reservations.due(run, now) or self._usable(run, among):
                self._place_gang(run, now)
                self._cluster_state.backlog.mark_scanned(run)
        else:
            machines = self._with_room(run) if among is None else self._usable(run, among)
            late = run.order[0] == TOP_RANK and self._cluster_state.is_start_overdue(run, now)
            if late and among is None:
                machines = self._kept_for(run, machines, now)
            if machines and not late and self._careful(run.spec):
                machines = self._beside_accelerated(run.spec, machines)
            if not machines and among is not None and not run.failures:
                spec = run.spec
                self._barren.setdefault((run.constraint_key, self._careful(spec)), []).append(
                    MinDemand(spec.cpus, spec.gpus, spec.memory_gb)
                )
            if machines:
                self._place_tasks(run, machines, 1 if late else team_room, now, late=late)
            if not run.open or self._cluster_state.team_headroom(run.spec) > 0:
                self._cluster_state.backlog.mark_scanned(run)  # else it is the limit that it waits for

    def _in_vain(self, run: JobRun) -> bool:
        """A task that takes no more has found no place among the machines that gained room.

        Within a pass they only lose some. On vatuloa-grep-fleet loss fifty jobs a pass looked at the
        processors that are kept beside free accelerators, and did so again in the next.
        """
        spec = run.spec
        return any(
            spec.cpus >= min_demand.cpus and spec.gpus >= min_demand.gpus and spec.memory_gb >= min_demand.memory_gb
            for min_demand in self._barren.get((run.constraint_key, self._careful(spec)), ())
        )

    def _careful(self, spec: JobSpec) -> bool:
        """Routine work without accelerators keeps off the processors that free accelerators need."""
        return not spec.gpus and spec.priority.rank > Priority.HIGH.rank and bool(self._cluster_state.accelerator_specs)

    # -- machines for a run ---------------------------------------------------

    def _usable(self, run: JobRun, gained: Gained) -> list[Machine]:
        self._cluster_state.pool.looked_at += gained.sorts
        return self._without_failures(run, gained.usable(run.spec))

    def _with_room(self, run: JobRun) -> list[Machine]:
        """All machines with room for its tasks; within a pass they only lose some."""
        key = _signature(run.spec)
        known = self._found.get(key)
        if known is None:
            found = self._cluster_state.pool.with_room(run.spec)
        else:
            self._cluster_state.pool.looked_at += len(known)
            found = [machine for machine in known if machine.tasks_that_fit(run.spec) > 0]
        self._found[key] = found
        return self._without_failures(run, found)

    def _without_failures(self, run: JobRun, machines: list[Machine]) -> list[Machine]:
        """Without the machines where this job failed while it ran well elsewhere."""
        if not run.failures:
            return machines
        return [machine for machine in machines if machine.name not in run.failures] or machines

    # -- gangs ----------------------------------------------------------------

    def _place_gang(self, run: JobRun, now: timedelta) -> None:
        if not self._gang_reservations.cannot_fit(run, now):
            with self._cluster_state.pool.ignore_transient_gains(run.reserved):
                self._weigh(run, now)

    def _weigh(self, run: JobRun, now: timedelta) -> None:
        """Looks whether the gang fits now; its booked room is given up and mostly taken again."""
        spec, cluster_state = run.spec, self._cluster_state
        kept = list(run.reserved)
        cluster_state.release_reservation(run)
        machines = self._with_room(run)
        if kept:
            there = {machine.name for machine in machines}
            machines = machines + [m for m in kept if m.name not in there and self._ready(m, spec)]
        scorer = scoring.Scorer(spec, cluster_state.types, now)
        found = scoring.choose_all(spec, machines, spec.tasks, scorer)
        dear = self._prolonging(spec, now)
        if found is not None and any(map(dear, set(found))):
            cheap = [machine for machine in machines if not dear(machine)]
            cheaper = scoring.choose_all(spec, cheap, spec.tasks, scorer)
            if cheaper is not None:
                found = cheaper
            elif cluster_state.can_wait(run, now) and self._gang_reservations.reserve_on(
                run, lambda machine: not dear(machine), now
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
            cluster_state.reserve(run, counts, now)  # the new attempt is on its way
            return
        log.debug("gang %s placed", spec.job)
        late = cluster_state.is_start_overdue(run, now)  # else what is more urgent would stop it at once
        for number, machine in enumerate(found):
            cluster_state.plan_task(run, number, machine, now, protected=late)
        run.set_gang_state(GangState.PLACED)
        cluster_state.backlog.update(run, now)

    def _ready(self, machine: Machine, spec: JobSpec) -> bool:
        return self._cluster_state.pool.takes_tasks(machine) and machine.tasks_that_fit(spec) > 0

    # -- arrays and services --------------------------------------------------

    def _kept_for(self, run: JobRun, machines: list[Machine], now: timedelta) -> list[Machine]:
        """Machines for the first task of a job that is late to begin.

        On a full fleet gangs keep each place that comes free, and a task that takes most of a machine finds
        no room while small ones take them. So it keeps a place on the machine that will have it first, and
        what gangs keep there gives way once that is enough.
        """
        spec, cluster_state = run.spec, self._cluster_state
        kept = [machine for machine in run.reserved if cluster_state.pool.takes_tasks(machine)]
        cluster_state.release_reservation(run)
        machines = machines or [machine for machine in kept if self._ready(machine, spec)]
        if machines:
            return machines
        gang = cluster_state.first_overdue_gang(now)
        spared = gang.reserved if gang is not None else {}
        kept = [machine for machine in kept if machine not in spared] or cluster_state.pool.earliest_available(
            spec, spared, now
        )
        if not kept:
            return []
        if fits(spec, *kept[0].unused()):
            for job in list(cluster_state.jobs_with_reservations.get(kept[0].name, ())):
                cluster_state.release_reservation(cluster_state.runs[job])
            if self._ready(kept[0], spec):
                return kept
        cluster_state.reserve(run, {kept[0]: 1}, now)
        return []

    def _place_tasks(
        self, run: JobRun, machines: list[Machine], team_room: int, now: timedelta, *, late: bool = False
    ) -> None:
        """``late``: its first task, which goes before all others' and isn't stopped for them."""
        spec, cluster_state = run.spec, self._cluster_state
        careful = self._careful(spec) and not late
        if not late and spec.priority.rank > Priority.HIGH.rank and cluster_state.can_wait(run, now):
            dear = self._prolonging(spec, now)
            machines = [machine for machine in machines if not dear(machine)]
        zones = scoring.zone_room(spec, run.live) if spec.one_zone or spec.spread else None
        if len(run.open) < sum(machine.tasks_that_fit(spec) for machine in machines):
            machines = scoring.ranked(machines, scoring.Scorer(spec, cluster_state.types, now))
        attempt, left = run.record.attempt, team_room
        if run.is_suspect:
            left = min(left, 1 - len(run.places))  # one task shows whether it fails again; the others take no place
        before_others = run.order[0] == TOP_RANK
        for machine in machines:
            room = machine.tasks_that_fit(spec)
            protected = late or (before_others and cluster_state.service_levels.is_contended(run, machine))
            if protected:
                room = min(
                    room, cluster_state.service_levels.remaining_tasks(run, to_begin=late)
                )  # the rest is for more urgent work
            for number in list(run.open[: room + len(machine.exited_placements)]):
                if left <= 0 or room <= 0 or (zones is not None and zones[machine.zone] <= 0):
                    break
                if machine.exited_placements and (spec.job, number, attempt) in machine.exited_placements:
                    continue  # it still lists this attempt as exited and would ignore its `run`
                if careful and machine.kind is not None and machine.kind.gpus and not self._spare(spec, machine):
                    break
                cluster_state.plan_task(run, number, machine, now, protected=protected)
                left -= 1
                room -= 1
                if zones is not None:
                    zones = scoring.zone_room(spec, run.live)
            if left <= 0 or not run.open:
                break
        if late and run.places:
            cluster_state.release_reservation(
                run
            )  # wherever it found its place: else what it kept would be kept until it is over
            cluster_state.backlog.reorder(run, cluster_state.order_key(run, now))
        cluster_state.backlog.update(run, now, fresh=late and bool(run.places))

    def _prolonging(self, spec: JobSpec, now: timedelta) -> Callable[[Machine], bool]:
        """Tells whether a dear machine would have to stay longer for a task of the job."""
        ends = now + self._cluster_state.estimates.run_time(spec)

        def prolongs(machine: Machine) -> bool:
            kind = machine.kind
            if kind is None or not self._cluster_state.is_expensive(kind, machine.spot, spec):
                return False
            return ends > scoring.busy_until(machine, now)

        return prolongs

    def _beside_accelerated(self, spec: JobSpec, machines: list[Machine]) -> list[Machine]:
        """Keeps routine work from taking the processors that free accelerators need.

        Unless no machine without accelerators can do it at all.
        """
        if not any(not kind.gpus and scoring.task_capacity(kind, spec) for kind in self._cluster_state.types.values()):
            return machines
        return [machine for machine in machines if self._spare(spec, machine)]

    def _spare(self, spec: JobSpec, machine: Machine) -> bool:
        """Room for the task besides what tasks on the machine's free accelerators would take."""
        kind = machine.kind
        if kind is None or machine.tasks_that_fit(spec) <= 0:
            return False
        if not kind.gpus or spec.gpus:
            return True
        cpus, _, memory = machine.free()
        for other in self._cluster_state.accelerator_specs.values():
            count = machine.tasks_that_fit(other)
            if spec.cpus + other.cpus * count > cpus + 1e-9:
                return False
            if spec.memory_gb + other.memory_gb * count > memory + 1e-9:
                return False
        return True
