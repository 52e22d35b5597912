"""Where a task goes: pure functions over the ledger."""

from collections import Counter
from collections.abc import Iterable, Sequence

from gingerspar.coordination.ledger import Machine, MachineState, Placement
from gingerspar.protocol.messages import JobSpec


def allows(spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
    """Type, zone and kind that the job allows."""
    if spec.types is not None and type_name not in spec.types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot


def emptiness(machine: Machine, spec: JobSpec, copies: int = 1) -> float:
    """How much of the machine is left once the task is there: the fullest machine has the least.

    Accelerators count for more, so work without them keeps off machines that have them.
    """
    kind = machine.kind
    assert kind is not None
    left = (kind.cpus - machine.used.cpus - copies * spec.cpus) / max(kind.cpus, 1e-9)
    left += 0.5 * (kind.memory_gb - machine.used.memory_gb - copies * spec.memory_gb) / max(kind.memory_gb, 1e-9)
    if kind.gpus:
        gpus_left = (kind.gpus - machine.used.gpus - copies * spec.gpus) / kind.gpus
        left += 2.0 * gpus_left + (2.0 if not spec.gpus else 0.0)
    return left


IMAGE_BONUS = 0.5


def rank(machine: Machine, spec: JobSpec) -> tuple[float, str]:
    """Least is best. The image counts where machines are about as full."""
    score = emptiness(machine, spec)
    if spec.image in machine.images:
        score -= IMAGE_BONUS
    elif any(p.spec.image == spec.image for p in machine.live.values()):
        score -= 0.6 * IMAGE_BONUS
    if spec.spot and not machine.spot:
        score += 0.05
    return (score, machine.name)


def candidates(spec: JobSpec, machines: Iterable[Machine]) -> list[Machine]:
    return [
        machine
        for machine in machines
        if machine.state is MachineState.READY
        and machine.rostered
        and allows(spec, machine.type, machine.zone, machine.spot)
        and machine.room_for(spec) > 0
    ]


def zone_room(spec: JobSpec, others: Iterable[Placement]) -> dict[str, int] | None:
    """Tasks of the job that each zone may still take; None: no bound.

    Counts what is still on machines, whatever its attempt.
    """
    if not spec.one_zone and not spec.spread:
        return None
    used = Counter(placement.machine.zone for placement in others)
    if spec.one_zone:
        if not used:
            return {}
        return {zone: (1_000_000 if len(used) == 1 else 0) for zone in used}
    half = (spec.tasks + 1) // 2
    return {zone: half - count for zone, count in used.items()}


def choose(spec: JobSpec, machines: Sequence[Machine], others: Iterable[Placement]) -> Machine | None:
    """The machine left fullest for one task."""
    room = zone_room(spec, others)
    if room is not None:
        fallback = 0 if spec.one_zone and room else (spec.tasks + 1) // 2
        machines = [machine for machine in machines if room.get(machine.zone, fallback) > 0]
    return min(machines, key=lambda machine: rank(machine, spec), default=None)


def choose_all(spec: JobSpec, machines: Sequence[Machine], count: int) -> list[Machine] | None:
    """A machine for each of ``count`` tasks at once, or None."""
    if spec.one_zone:
        best: list[Machine] | None = None
        best_score = float("inf")
        for zone in sorted({machine.zone for machine in machines}):
            found = _fill(spec, [machine for machine in machines if machine.zone == zone], count, count)
            if found is not None:
                score = sum(rank(machine, spec)[0] for machine in found)
                if score < best_score:
                    best, best_score = found, score
        return best
    return _fill(spec, machines, count, (spec.tasks + 1) // 2 if spec.spread else count)


def _fill(spec: JobSpec, machines: Sequence[Machine], count: int, most_per_zone: int) -> list[Machine] | None:
    found: list[Machine] = []
    zones: Counter[str] = Counter()
    for machine in sorted(machines, key=lambda machine: rank(machine, spec)):
        take = min(machine.room_for(spec), count - len(found), most_per_zone - zones[machine.zone])
        found += [machine] * max(take, 0)
        zones[machine.zone] += max(take, 0)
        if len(found) == count:
            return found
    return None
