"""Ranking and choice of machines for tasks: functions that do not change the cluster state."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

from gingerspar.coordination.cluster.machine import Machine, Placement, cost_per_task, run_time, task_capacity
from gingerspar.coordination.cluster.pool import Offer, allows
from gingerspar.protocol.messages import MAX_TASKS, JobSpec, MachineType, Priority


def leftover_score(machine: Machine, spec: JobSpec) -> float:
    """Weighted sum of the free shares of the machine's resources once the task is placed; 0 for a full machine.

    Accelerators have the largest weight, so that jobs without accelerators avoid machines that have them.
    """
    machine_type = machine.machine_type
    assert machine_type is not None
    used = machine.used
    leftover = (machine_type.cpus - used.cpus - spec.cpus) / max(machine_type.cpus, 1e-9)
    leftover += 0.5 * (machine_type.memory_gb - used.memory_gb - spec.memory_gb) / max(machine_type.memory_gb, 1e-9)
    if machine_type.gpus:
        leftover += 2.0 * (machine_type.gpus - used.gpus - spec.gpus) / machine_type.gpus
    return leftover


# Score terms; the lowest score is best.
URGENT_FETCH_PENALTY_PER_S = 0.6  # for each second that an urgent task would wait for its image
ROUTINE_FETCH_PENALTY = 3.0  # for a fetch that takes as long as the task itself; less for a shorter one
ORDINARY_MACHINE_PENALTY = 1.5  # for jobs that may use spot machines: other jobs need the ordinary machines
COST_WEIGHT = 1.5  # per doubling of the value in `Scorer.cost`; `leftover_score` ranges from 0 to about 3


def busy_until(machine: Machine, now: timedelta) -> timedelta:
    """Estimated time at which all present tasks of the machine have ended."""
    forecast = machine.forecast()
    latest = now + max(forecast.longest_not_started, forecast.longest_run_time * 0.2)
    return latest if forecast.last_release is None else max(latest, forecast.last_release)


def fetch_time(machine: Machine, spec: JobSpec) -> timedelta:
    """How long the task would wait for its image on the machine; concurrent fetches share the fetch rate."""
    if machine.machine_type is None or not spec.image or spec.image in machine.images:
        return timedelta(0)
    images_pending = machine.forecast().images_pending
    unshared_s = spec.image_gb / max(machine.machine_type.fetch_gb_per_s, 1e-3)
    if spec.image in images_pending:
        return timedelta(seconds=0.6 * unshared_s * len(images_pending))
    return timedelta(seconds=unshared_s * (1 + len(images_pending)))


class Scorer:
    """Ranks machines for the tasks of one job; the lowest rank is best.

    Prefers the machine that the task leaves fullest, but the cost of the choice weighs more: a task that keeps a
    machine in use longer than its present tasks do is charged for the extra time, in units of the task's price on
    the cheapest machine type.
    """

    def __init__(self, spec: JobSpec, types: Mapping[str, MachineType], now: timedelta) -> None:
        self._spec = spec
        self._now = now
        self._run_time = run_time(spec)
        costs = [
            cost_per_task(machine_type, spot, spec)
            for machine_type in types.values()
            for spot in (False, True)
            if spec.spot or not spot
        ]
        self._min_task_cost = max(min(costs, default=1.0), 1e-9)

    def cost(self, machine: Machine) -> float:
        """Score term for the time that a task would keep the machine in use beyond its present tasks."""
        assert machine.machine_type is not None
        extra_time = self._now + self._run_time - busy_until(machine, self._now)
        extra_share = max(extra_time / self._run_time, 0.0)
        return COST_WEIGHT * math.log2(1 + extra_share * machine.machine_type.cost(machine.spot) / self._min_task_cost)

    def rank(self, machine: Machine) -> tuple[float, str]:
        """Sort key: the score, then the machine name."""
        spec = self._spec
        score = leftover_score(machine, spec) + self.cost(machine)
        fetch = fetch_time(machine, spec)
        if fetch:
            if spec.priority.rank <= Priority.HIGH.rank:
                score += URGENT_FETCH_PENALTY_PER_S * fetch.total_seconds()
            else:
                score += ROUTINE_FETCH_PENALTY * min(fetch / self._run_time, 1.0)
        if spec.spot and not machine.spot:
            score += ORDINARY_MACHINE_PENALTY
        return (score, machine.name)


class ZoneHeadroom(dict[str, int]):
    """Number of tasks of a job that each zone may still take; ``default`` holds for zones that are not keys."""

    def __init__(self, headroom: Mapping[str, int], default: int) -> None:
        super().__init__(headroom)
        self._default = default

    def __missing__(self, zone: str) -> int:
        return self._default

    def take(self, zone: str) -> None:
        """Counts one more task in the zone."""
        self[zone] -= 1


class _SingleZoneHeadroom(ZoneHeadroom):
    """All tasks in one zone: the zone of the placed tasks, or any zone if there are none."""

    def __init__(self, used_by_zone: Counter[str]) -> None:
        only_zone = len(used_by_zone) == 1
        super().__init__(
            {zone: MAX_TASKS if only_zone else 0 for zone in used_by_zone}, 0 if used_by_zone else MAX_TASKS
        )

    def take(self, zone: str) -> None:
        super().take(zone)
        self._default = 0


def zone_headroom(spec: JobSpec, placements: Iterable[Placement]) -> ZoneHeadroom | None:
    """Number of tasks of the job that each zone may still take; None: no limit.

    ``placements`` are the job's tasks that are still on machines, of any attempt.
    """
    if not spec.one_zone and not spec.spread:
        return None
    used_by_zone = Counter(placement.machine.zone for placement in placements)
    if spec.one_zone:
        return _SingleZoneHeadroom(used_by_zone)
    max_per_zone = (spec.tasks + 1) // 2
    return ZoneHeadroom({zone: max_per_zone - count for zone, count in used_by_zone.items()}, max_per_zone)


def ranked(machines: Sequence[Machine], scorer: Scorer) -> list[Machine]:
    """Machines by rank, best first.

    A task leaves its machine fuller, so the best machine stays the best until it takes no more tasks.
    """
    return sorted(machines, key=scorer.rank) if len(machines) > 1 else list(machines)


def choose_machines(spec: JobSpec, machines: Sequence[Machine], count: int, scorer: Scorer) -> list[Machine] | None:
    """Chooses a machine for each of ``count`` tasks; returns None unless all of them fit."""
    if spec.one_zone:
        best: list[Machine] | None = None
        best_score = float("inf")
        for zone in sorted({machine.zone for machine in machines}):
            found = _fill(spec, [machine for machine in machines if machine.zone == zone], count, count, scorer)
            if found is not None:
                score = sum(scorer.rank(machine)[0] for machine in found)
                if score < best_score:
                    best, best_score = found, score
        return best
    return _fill(spec, machines, count, (spec.tasks + 1) // 2 if spec.spread else count, scorer)


def _fill(
    spec: JobSpec, machines: Sequence[Machine], count: int, max_per_zone: int, scorer: Scorer
) -> list[Machine] | None:
    if sum(machine.tasks_that_fit(spec) for machine in machines) < count:
        return None  # saves ranking the machines
    found: list[Machine] = []
    count_by_zone: Counter[str] = Counter()
    for machine in ranked(machines, scorer):
        count_here = min(machine.tasks_that_fit(spec), count - len(found), max_per_zone - count_by_zone[machine.zone])
        found += [machine] * max(count_here, 0)
        count_by_zone[machine.zone] += max(count_here, 0)
        if len(found) == count:
            return found
    return None


__all__ = [
    "Offer",
    "Scorer",
    "allows",
    "busy_until",
    "choose_machines",
    "cost_per_task",
    "fetch_time",
    "ranked",
    "task_capacity",
]
