"""Capacity for gangs: reserved as it becomes free, and freed by preempting lower-priority tasks."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from gingerspar.coordination.cluster.capacity_index import CapacityIndex
from gingerspar.coordination.cluster.cluster_state import NO_GRACE_PERIOD, ClusterState
from gingerspar.coordination.cluster.job_runs import JobRun
from gingerspar.coordination.cluster.machine import Machine, Placement, resource_weight
from gingerspar.coordination.cluster.pool import allows
from gingerspar.coordination.placement import scoring

log = logging.getLogger(__name__)

# A gang waits this long for enough capacity to become free before any is reserved or tasks are preempted for it.
RESERVATION_DELAY = timedelta(seconds=1.5)
RESERVATION_RETRY_INTERVAL = timedelta(seconds=1)  # minimum time between two reservation attempts for one gang
RESERVATION_TIMEOUT = timedelta(seconds=30)  # a reservation that has not become sufficient by then is released
# The search for slots by preemption stops at this multiple of the gang's number of tasks (in each zone, if all tasks
# must be in one zone).
PREEMPTION_SLOTS_FACTOR = 2
# After a reservation has timed out, the gang makes no new one for this long, so that other runs get capacity.
RESERVATION_PAUSE = timedelta(seconds=15)


def _any_machine(machine: Machine) -> bool:
    return True


@dataclass(slots=True)
class TaskSlot:
    """Capacity for one task of a gang, and the tasks that must be preempted for it."""

    preemption_cost: float
    machine: Machine
    victims: list[Placement]

    @property
    def rank(self) -> tuple[float, str]:
        return (self.preemption_cost, self.machine.name)


class GangReservations:
    """Reserves capacity for gangs that do not fit, and preempts lower-priority tasks for them."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state

    def check_due(self, run: JobRun, now: timedelta) -> bool:
        """Whether the gang has waited long enough, both in total and since the last reservation attempt."""
        if not self._waited_long_enough(run, now):
            return False
        return run.preemption_checked_at is None or now - run.preemption_checked_at >= RESERVATION_RETRY_INTERVAL

    def cannot_fit(self, run: JobRun, now: timedelta) -> bool:
        """Whether checking the gang would change nothing, according to the totals of its capacity index.

        Preempting all lower-priority tasks would not make it fit, and all free capacity that it could use is
        already reserved for it. Starts the reservation timeout of a gang that would fit on empty machines.
        """
        spec = run.spec
        if spec.spread or run.failures:
            return False
        if run.reserved_since is not None and now - run.reserved_since > RESERVATION_TIMEOUT:
            return False  # its reservation is due for release, or it may reserve capacity again after the pause
        index = self._cluster_state.pool.capacity(spec)
        if index.free:
            return False
        reserved_by_zone: dict[str, int] = {}
        for machine, count in run.reserved.items():
            zone = machine.zone if spec.one_zone else ""
            reserved_by_zone[zone] = reserved_by_zone.get(zone, 0) + count
        if any(capacity.total + reserved_by_zone.get(zone, 0) >= spec.tasks for zone, capacity in index.totals()):
            return False
        if run.reserved_since is None and self._waited_long_enough(run, now) and self.fits_if_empty(run):
            run.reserved_since = now  # the reservation timeout runs although nothing is reserved yet
        return True

    @staticmethod
    def _waited_long_enough(run: JobRun, now: timedelta) -> bool:
        return run.waiting_since is not None and now - run.waiting_since >= RESERVATION_DELAY

    def release_unusable(self) -> None:
        """Releases reservations of jobs that can't use them now; to be called periodically.

        A reservation times out only when its job is placed. A job that no longer waits, or that its team's limit does
        not let start, is not: the machine stayed reserved, and idle, for as long as the limit was in use (review/7).
        """
        cluster_state = self._cluster_state
        jobs = {job for jobs in cluster_state.jobs_with_reservations.values() for job in jobs}
        for run in [cluster_state.runs[job] for job in jobs]:
            needed = run.spec.tasks if run.is_gang else 1
            if run.order not in cluster_state.backlog.waiting or cluster_state.team_headroom(run.spec) < needed:
                cluster_state.release_reservation(run)

    def reserve(self, run: JobRun, now: timedelta) -> None:
        """Reserves capacity for the gang and preempts lower-priority tasks if the gang then fits.

        The tasks that are cheapest to stop are preempted first. If preemption is not enough, the gang still reserves
        the free capacity, so that small tasks and small gangs behind it do not take it bit by bit.
        """
        spec = run.spec
        if not self._waited_long_enough(run, now) or spec.spread:
            return
        if (
            run.reserved_since is not None
            and now - run.reserved_since > RESERVATION_TIMEOUT
            and self._cluster_state.first_overdue_gang(now) is not run
        ):
            if now - run.reserved_since < RESERVATION_TIMEOUT + RESERVATION_PAUSE:
                return  # its reservation timed out: other runs must not starve
            run.reserved_since = None
        run.preemption_checked_at = now
        index = self._cluster_state.pool.capacity(spec)
        if any(capacity.total >= spec.tasks for _, capacity in index.totals()):
            slots = self._find_slots(run, index, now)
            self._reserve_and_preempt(run, slots[: spec.tasks], now)
        elif self.fits_if_empty(run):
            slots = self._find_slots(run, index, now) if index.free else []
            self._reserve_and_preempt(run, [slot for slot in slots if not slot.victims], now)

    def reserve_on(self, run: JobRun, usable: Callable[[Machine], bool], now: timedelta) -> bool:
        """Reserves capacity on usable machines only, preempting tasks there; returns False if that is not enough."""
        spec = run.spec
        if spec.spread:
            return False
        index = self._cluster_state.pool.capacity(spec)
        if not any(capacity.total >= spec.tasks for _, capacity in index.totals()):
            return False
        slots = self._find_slots(run, index, now, usable)
        if len(slots) < spec.tasks:
            return False
        run.preemption_checked_at = now
        self._reserve_and_preempt(run, slots[: spec.tasks], now)
        return True

    def _find_slots(
        self, run: JobRun, index: CapacityIndex, now: timedelta, usable: Callable[[Machine], bool] = _any_machine
    ) -> list[TaskSlot]:
        """Slots for the gang's tasks, lowest preemption cost first; all in one zone if the job requires that.

        Preemption is worked out task by task only on the machines with the lowest preemption cost per slot, until
        there are enough slots (``PREEMPTION_SLOTS_FACTOR``).
        """
        spec = run.spec
        pool = self._cluster_state.pool
        pool.machines_checked += len(index.free)
        slots: list[TaskSlot] = []
        for machine in sorted(filter(usable, index.free.values()), key=lambda machine: machine.name):
            slots += [TaskSlot(0.0, machine, [])] * min(machine.tasks_that_fit(spec), spec.tasks)
        if len(slots) < spec.tasks or spec.one_zone:
            preemption_slots: list[TaskSlot] = []
            counts: dict[str, int] = {}
            open_zones = set(index.zones) if spec.one_zone else {""}
            for machine in index.by_stop_cost(now):
                zone = machine.zone if spec.one_zone else ""
                if zone not in open_zones or not usable(machine):
                    continue
                pool.machines_checked += 1
                found = [slot for slot in self._slots_by_preemption(run, machine, now) if slot.victims]
                counts[zone] = counts.get(zone, 0) + len(found)
                preemption_slots += found
                if counts[zone] >= PREEMPTION_SLOTS_FACTOR * spec.tasks:
                    open_zones.discard(zone)
                    if not open_zones:
                        break
            preemption_slots.sort(key=lambda slot: slot.rank)
            slots += preemption_slots
        return _best_zone(slots, spec.tasks) if spec.one_zone else slots

    def _reserve_and_preempt(self, run: JobRun, slots: list[TaskSlot], now: timedelta) -> None:
        counts: dict[Machine, int] = {}
        for slot in slots:
            counts[slot.machine] = counts.get(slot.machine, 0) + 1
        self._cluster_state.reserve(run, counts, now)
        if any(victim.stop_grace is None for slot in slots for victim in slot.victims):
            jobs = ", ".join(sorted({victim.job for slot in slots for victim in slot.victims}))
            log.info(
                "reserving capacity for %s on %d machines, preempting tasks of %s", run.spec.job, len(counts), jobs
            )
        for slot in slots:
            for victim in slot.victims:
                preempt(self._cluster_state, victim, now)

    def fits_if_empty(self, run: JobRun) -> bool:
        """Whether the gang would fit on the ready machines if they were empty."""
        spec = run.spec
        capacity_by_zone: dict[str, int] = {}
        for offer, machine_type, count in self._cluster_state.pool.ready():
            if allows(spec, *offer):
                zone = offer[1] if spec.one_zone else ""
                capacity_by_zone[zone] = capacity_by_zone.get(zone, 0) + count * scoring.task_capacity(
                    machine_type, spec
                )
        return max(capacity_by_zone.values(), default=0) >= spec.tasks

    def _slots_by_preemption(self, run: JobRun, machine: Machine, now: timedelta) -> list[TaskSlot]:
        """Slots for tasks of the gang on one machine, each with the tasks that must be preempted for it."""
        spec = run.spec
        victims = [p for p in machine.live.values() if p.rank > spec.priority.rank]
        victims.sort(key=lambda p: (p.stop_grace is None, lost_work(p, now)))
        cpus, gpus, memory = machine.free()
        found: list[TaskSlot] = []
        chosen: list[Placement] = []
        preemption_cost = 0.0
        while len(found) < spec.tasks:
            if cpus + 1e-9 >= spec.cpus and gpus + 1e-9 >= spec.gpus and memory + 1e-9 >= spec.memory_gb:
                cpus, gpus, memory = cpus - spec.cpus, gpus - spec.gpus, memory - spec.memory_gb
                found.append(TaskSlot(preemption_cost, machine, chosen))
                chosen = []
            elif victims:
                victim = victims.pop(0)
                chosen.append(victim)
                if victim.stop_grace is None:
                    preemption_cost += 1.0 + lost_work(victim, now)
                victim_spec = victim.spec
                cpus, gpus, memory = cpus + victim_spec.cpus, gpus + victim_spec.gpus, memory + victim_spec.memory_gb
            else:
                break
        return found


def preempt(cluster_state: ClusterState, victim: Placement, now: timedelta) -> None:
    """Stops a task, or its whole gang, to free capacity; tasks with checkpoints get time to save."""
    if victim.stop_grace is None and victim.live:
        grace = victim.spec.save_time if victim.spec.checkpoint_s else NO_GRACE_PERIOD
        victim_run = cluster_state.runs[victim.job]
        if victim_run.is_gang:
            cluster_state.stop_run(victim_run, grace, now)
        else:
            cluster_state.stop_task(victim, grace, now)


def _best_zone(slots: list[TaskSlot], count: int) -> list[TaskSlot]:
    """The slots of the zone with the most slots, up to ``count``; the lowest preemption cost decides between equals."""
    slots_by_zone: dict[str, list[TaskSlot]] = {}
    for slot in slots:
        slots_by_zone.setdefault(slot.machine.zone, []).append(slot)

    def cost_key(zone: str) -> tuple[int, float, str]:
        first_slots = slots_by_zone[zone][:count]
        return (-len(first_slots), sum(slot.preemption_cost for slot in first_slots), zone)

    return slots_by_zone[min(slots_by_zone, key=cost_key)] if slots_by_zone else []


def lost_work(placement: Placement, now: timedelta) -> float:
    """Resource-seconds that stopping the task would discard, including the fetch of its image."""
    spec = placement.spec
    seconds = (now - (placement.running_since or placement.state_since)).total_seconds()
    if spec.checkpoint_s:
        seconds = spec.save_s
    return seconds * resource_weight(spec)
