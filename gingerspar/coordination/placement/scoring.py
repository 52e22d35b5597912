"""Where a task goes: pure functions over the ledger."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

from gingerspar.coordination.cluster.machine import Machine, Placement, cost_per_task, run_time, task_capacity
from gingerspar.coordination.cluster.pool import Offer, allows
from gingerspar.protocol.messages import JobSpec, MachineType, Priority


def emptiness(machine: Machine, spec: JobSpec) -> float:
    """How much of the machine is left once the task is there: the fullest machine has the least.

    Accelerators count for more, so work without them keeps off machines that have them.
    """
    kind = machine.kind
    assert kind is not None
    used = machine.used
    left = (kind.cpus - used.cpus - spec.cpus) / max(kind.cpus, 1e-9)
    left += 0.5 * (kind.memory_gb - used.memory_gb - spec.memory_gb) / max(kind.memory_gb, 1e-9)
    if kind.gpus:
        left += 2.0 * (kind.gpus - used.gpus - spec.gpus) / kind.gpus
    return left


URGENT_FETCH = 0.6  # for each second that an urgent task would wait for its image
ROUTINE_FETCH = 3.0  # for a fetch as long as the task itself
ORDINARY_SURCHARGE = 1.5  # for work that may use spot machines: others need the ordinary ones
COST_WEIGHT = 1.5  # for each doubling; how full a machine is counts from 0 to about 3


def busy_until(machine: Machine, now: timedelta) -> timedelta:
    """When the machine's present tasks will probably all have ended."""
    ahead = machine.forecast()
    latest = now + max(ahead.longest_ahead, ahead.longest * 0.2)
    return latest if ahead.last_end is None else max(latest, ahead.last_end)


def fetch_time(machine: Machine, spec: JobSpec) -> timedelta:
    """How long the task would wait for its image there; images fetched at once share the rate."""
    if machine.kind is None or not spec.image or spec.image in machine.images:
        return timedelta(0)
    fetching = machine.forecast().fetching
    alone = spec.image_gb / max(machine.kind.fetch_gb_per_s, 1e-3)
    if spec.image in fetching:
        return timedelta(seconds=0.6 * alone * len(fetching))
    return timedelta(seconds=alone * (1 + len(fetching)))


class Scorer:
    """Ranks machines for one job: least is best.

    The machine left fullest is taken, but first comes what the choice costs: a task
    that keeps a machine longer than its present tasks do pays for that time, in units
    of the task's price on the cheapest machine there is.
    """

    def __init__(self, spec: JobSpec, types: Mapping[str, MachineType], now: timedelta) -> None:
        self._spec = spec
        self._now = now
        self._span = run_time(spec)
        costs = [
            cost_per_task(kind, spot, spec)
            for kind in types.values()
            for spot in (False, True)
            if spec.spot or not spot
        ]
        self._cheapest = max(min(costs, default=1.0), 1e-9)

    def cost(self, machine: Machine) -> float:
        assert machine.kind is not None
        longer = self._now + self._span - busy_until(machine, self._now)
        share = max(longer / self._span, 0.0)
        return COST_WEIGHT * math.log2(1 + share * machine.kind.cost(machine.spot) / self._cheapest)

    def rank(self, machine: Machine) -> tuple[float, str]:
        spec = self._spec
        score = emptiness(machine, spec) + self.cost(machine)
        fetch = fetch_time(machine, spec)
        if fetch:
            if spec.priority.rank <= Priority.HIGH.rank:
                score += URGENT_FETCH * fetch.total_seconds()
            else:
                score += ROUTINE_FETCH * min(fetch / self._span, 1.0)
        if spec.spot and not machine.spot:
            score += ORDINARY_SURCHARGE
        return (score, machine.name)


def zone_room(spec: JobSpec, others: Iterable[Placement]) -> Mapping[str, int] | None:
    """Tasks of the job that each zone may still take; None: no bound. A zone not named takes any.

    Counts what is still on machines, whatever its attempt.
    """
    if not spec.one_zone and not spec.spread:
        return None
    used = Counter(placement.machine.zone for placement in others)
    if spec.one_zone:
        return _OnlyZone(used)
    return _HalfEach((spec.tasks + 1) // 2, used)


class _OnlyZone(dict[str, int]):
    """All tasks in one zone: the one where the others are, if there are any."""

    def __init__(self, used: Counter[str]) -> None:
        super().__init__({zone: (1_000_000 if len(used) == 1 else 0) for zone in used})
        self._else = 0 if used else 1_000_000

    def __missing__(self, zone: str) -> int:
        return self._else


class _HalfEach(dict[str, int]):
    """At most half of the tasks, rounded up, in one zone."""

    def __init__(self, half: int, used: Counter[str]) -> None:
        super().__init__({zone: half - count for zone, count in used.items()})
        self._else = half

    def __missing__(self, zone: str) -> int:
        return self._else


def ranked(machines: Sequence[Machine], scorer: Scorer) -> list[Machine]:
    """The machine left fullest first. A machine that takes one task is left fuller, so it takes all it can."""
    return sorted(machines, key=scorer.rank) if len(machines) > 1 else list(machines)


def choose_all(spec: JobSpec, machines: Sequence[Machine], count: int, scorer: Scorer) -> list[Machine] | None:
    """A machine for each of ``count`` tasks at once, or None."""
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
    spec: JobSpec, machines: Sequence[Machine], count: int, most_per_zone: int, scorer: Scorer
) -> list[Machine] | None:
    if sum(machine.tasks_that_fit(spec) for machine in machines) < count:
        return None  # not worth ranking them
    found: list[Machine] = []
    zones: Counter[str] = Counter()
    for machine in ranked(machines, scorer):
        take = min(machine.tasks_that_fit(spec), count - len(found), most_per_zone - zones[machine.zone])
        found += [machine] * max(take, 0)
        zones[machine.zone] += max(take, 0)
        if len(found) == count:
            return found
    return None


__all__ = [
    "Offer",
    "Scorer",
    "allows",
    "busy_until",
    "choose_all",
    "cost_per_task",
    "fetch_time",
    "ranked",
    "task_capacity",
]
