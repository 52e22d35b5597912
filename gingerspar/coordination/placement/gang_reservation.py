"""Room for gangs: kept free piece by piece, and made by stopping what is less urgent."""

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

PREEMPT_AFTER = timedelta(seconds=1.5)  # a gang waits this long for room to come by itself
RESERVATION_RETRY_INTERVAL = timedelta(seconds=1)  # so often one gang's room is worked out
RESERVATION_TIMEOUT = timedelta(seconds=30)  # room that has not become enough by then is given up
LOOKED_THROUGH = 2  # times as many places as are needed are worked out in full
RESERVATION_PAUSE = timedelta(seconds=15)  # ... for so long, so that others get on


def _any_machine(machine: Machine) -> bool:
    return True


@dataclass(slots=True)
class TaskSlot:
    """A place for one task of the gang, and what must be stopped for it."""

    lost: float
    machine: Machine
    victims: list[Placement]

    @property
    def rank(self) -> tuple[float, str]:
        return (self.lost, self.machine.name)


class GangReservations:
    """Keeps and makes room for gangs that fit nowhere."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state

    def due(self, run: JobRun, now: timedelta) -> bool:
        """Whether the gang has waited long enough since its room was last worked out."""
        if not self._ripe(run, now):
            return False
        return run.preemption_checked_at is None or now - run.preemption_checked_at >= RESERVATION_RETRY_INTERVAL

    def cannot_fit(self, run: JobRun, now: timedelta) -> bool:
        """Whether a look at the gang would change nothing, as the sums over its kind tell.

        Not even stopping all that is less urgent would make it fit, and there is nothing
        free that it doesn't keep already.
        """
        spec = run.spec
        if spec.spread or run.failures:
            return False
        if run.reserved_since is not None and now - run.reserved_since > RESERVATION_TIMEOUT:
            return False  # what it keeps is due to be given up, or it may keep room again
        index = self._cluster_state.pool.capacity(spec)
        if index.free:
            return False
        own: dict[str, int] = {}
        for machine, count in run.reserved.items():
            zone = machine.zone if spec.one_zone else ""
            own[zone] = own.get(zone, 0) + count
        if any(places.total + own.get(zone, 0) >= spec.tasks for zone, places in index.totals()):
            return False
        if run.reserved_since is None and self._ripe(run, now) and self.fits_if_empty(run):
            run.reserved_since = now  # its time to keep room has begun, though there is none yet
        return True

    @staticmethod
    def _ripe(run: JobRun, now: timedelta) -> bool:
        return run.waiting_since is not None and now - run.waiting_since >= PREEMPT_AFTER

    def reserve(self, run: JobRun, now: timedelta) -> None:
        """Books room for the gang and stops work of lower priority where that helps.

        Stopping is worth it only if the gang then fits; what loses least goes first. If it
        doesn't, the gang still keeps what is free, so that small tasks and small gangs
        that come after it don't take it away piece by piece.
        """
        spec = run.spec
        if not self._ripe(run, now) or spec.spread:
            return
        if (
            run.reserved_since is not None
            and now - run.reserved_since > RESERVATION_TIMEOUT
            and self._cluster_state.first_overdue_gang(now) is not run
        ):
            if now - run.reserved_since < RESERVATION_TIMEOUT + RESERVATION_PAUSE:
                return  # it had its time: others must not starve for it
            run.reserved_since = None
        run.preemption_checked_at = now
        index = self._cluster_state.pool.capacity(spec)
        if any(places.total >= spec.tasks for _, places in index.totals()):
            slots = self._slots(run, index, now)
            self._take(run, slots[: spec.tasks], now)
        elif self.fits_if_empty(run):
            slots = self._slots(run, index, now) if index.free else []
            self._take(run, [slot for slot in slots if not slot.victims], now)

    def reserve_on(self, run: JobRun, usable: Callable[[Machine], bool], now: timedelta) -> bool:
        """Makes room on such machines, if stopping what is less urgent there is enough."""
        spec = run.spec
        if spec.spread:
            return False
        index = self._cluster_state.pool.capacity(spec)
        if not any(places.total >= spec.tasks for _, places in index.totals()):
            return False
        slots = self._slots(run, index, now, usable)
        if len(slots) < spec.tasks:
            return False
        run.preemption_checked_at = now
        self._take(run, slots[: spec.tasks], now)
        return True

    def _slots(
        self, run: JobRun, index: CapacityIndex, now: timedelta, usable: Callable[[Machine], bool] = _any_machine
    ) -> list[TaskSlot]:
        """Places for the gang's tasks, those for which least is lost first; of one zone if it needs one.

        Only the machines that promise the least loss for each place are gone through task
        by task.
        """
        spec = run.spec
        pool = self._cluster_state.pool
        pool.looked_at += len(index.free)
        slots: list[TaskSlot] = []
        for machine in sorted(filter(usable, index.free.values()), key=lambda machine: machine.name):
            slots += [TaskSlot(0.0, machine, [])] * min(machine.tasks_that_fit(spec), spec.tasks)
        if len(slots) < spec.tasks or spec.one_zone:
            stopping: list[TaskSlot] = []
            counts: dict[str, int] = {}
            zones = set(index.zones) if spec.one_zone else {""}
            for machine in index.by_stop_cost(now):
                zone = machine.zone if spec.one_zone else ""
                if zone not in zones or not usable(machine):
                    continue
                pool.looked_at += 1
                found = [slot for slot in self._by_stopping(run, machine, now) if slot.victims]
                counts[zone] = counts.get(zone, 0) + len(found)
                stopping += found
                if counts[zone] >= LOOKED_THROUGH * spec.tasks:
                    zones.discard(zone)
                    if not zones:
                        break
            stopping.sort(key=lambda slot: slot.rank)
            slots += stopping
        return _best_zone(slots, spec.tasks) if spec.one_zone else slots

    def _take(self, run: JobRun, slots: list[TaskSlot], now: timedelta) -> None:
        room: dict[Machine, int] = {}
        for slot in slots:
            room[slot.machine] = room.get(slot.machine, 0) + 1
        self._cluster_state.reserve(run, room, now)
        if any(victim.stop_grace is None for slot in slots for victim in slot.victims):
            stopped = ", ".join(sorted({victim.job for slot in slots for victim in slot.victims}))
            log.info("making room for %s on %d machines by stopping tasks of %s", run.spec.job, len(room), stopped)
        for slot in slots:
            for victim in slot.victims:
                preempt(self._cluster_state, victim, now)

    def fits_if_empty(self, run: JobRun) -> bool:
        """Whether the machines there are would hold the gang if they were empty."""
        spec = run.spec
        zones: dict[str, int] = {}
        for offer, kind, count in self._cluster_state.pool.ready():
            if allows(spec, *offer):
                zone = offer[1] if spec.one_zone else ""
                zones[zone] = zones.get(zone, 0) + count * scoring.task_capacity(kind, spec)
        return max(zones.values(), default=0) >= spec.tasks

    def _by_stopping(self, run: JobRun, machine: Machine, now: timedelta) -> list[TaskSlot]:
        """Places for tasks of the gang on one machine, each with what must be stopped for it."""
        spec = run.spec
        victims = [p for p in machine.live.values() if p.rank > spec.priority.rank]
        victims.sort(key=lambda p: (p.stop_grace is None, lost_work(p, now)))
        cpus, gpus, memory = machine.free()
        found: list[TaskSlot] = []
        chosen: list[Placement] = []
        lost = 0.0
        while len(found) < spec.tasks:
            if cpus + 1e-9 >= spec.cpus and gpus + 1e-9 >= spec.gpus and memory + 1e-9 >= spec.memory_gb:
                cpus, gpus, memory = cpus - spec.cpus, gpus - spec.gpus, memory - spec.memory_gb
                found.append(TaskSlot(lost, machine, chosen))
                chosen = []
            elif victims:
                victim = victims.pop(0)
                chosen.append(victim)
                if victim.stop_grace is None:
                    lost += 1.0 + lost_work(victim, now)
                theirs = victim.spec
                cpus, gpus, memory = cpus + theirs.cpus, gpus + theirs.gpus, memory + theirs.memory_gb
            else:
                break
        return found


def preempt(cluster_state: ClusterState, victim: Placement, now: timedelta) -> None:
    """Stops a task to make room, its gang with it; it saves if it can."""
    if victim.stop_grace is None and victim.live:
        grace = victim.spec.save_time if victim.spec.checkpoint_s else NO_GRACE_PERIOD
        theirs = cluster_state.runs[victim.job]
        if theirs.is_gang:
            cluster_state.stop_run(theirs, grace, now)
        else:
            cluster_state.stop_task(victim, grace, now)


def _best_zone(slots: list[TaskSlot], count: int) -> list[TaskSlot]:
    """The slots of one zone: where ``count`` of them lose least, or else where there are most."""
    zones: dict[str, list[TaskSlot]] = {}
    for slot in slots:
        zones.setdefault(slot.machine.zone, []).append(slot)

    def worth(zone: str) -> tuple[int, float, str]:
        there = zones[zone][:count]
        return (-len(there), sum(slot.lost for slot in there), zone)

    return zones[min(zones, key=worth)] if zones else []


def lost_work(placement: Placement, now: timedelta) -> float:
    """Resource seconds that a stop throws away, fetched image included."""
    spec = placement.spec
    seconds = (now - (placement.running_since or placement.since)).total_seconds()
    if spec.checkpoint_s:
        seconds = spec.save_s
    return seconds * resource_weight(spec)
