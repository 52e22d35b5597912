"""The machines, indexed by what placing asks of them.

A pass over several hundred machines must not look at each of them for each waiting
job. The pool keeps ready machines apart by type, zone and kind, and within these by
the whole processors and accelerators that are free, so that full machines are passed
over by the dozen; it also remembers which machines have gained room since the last
pass. All of it follows from the changes that a machine announces of itself.
"""

from collections.abc import Container, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta

from gingerspar.coordination.cluster.capacity_index import CapacityIndex, CapacityIndexes
from gingerspar.coordination.cluster.machine import Machine, MachineState, fits, run_time
from gingerspar.protocol.messages import JobSpec, MachineType

Offer = tuple[str, str, bool]  # type, zone, spot
Bucket = tuple[int, int]  # whole accelerators and processors that are free

ROUNDING = 1e-6


def allows(spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
    """Type, zone and kind that the job allows."""
    if spec.types is not None and type_name not in spec.types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot


@dataclass(slots=True)
class Unsettled:
    """Machines that may run what an older leader started."""

    names: set[str] = field(default_factory=set)
    unknown: int = 0  # of a type that is not known: counts as all there is
    cpus: float = 0.0
    gpus: float = 0.0
    offers: dict[Offer, int] = field(default_factory=dict)


class Pool:
    """All machines of a term."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.states: dict[MachineState, dict[str, Machine]] = {state: {} for state in MachineState}
        self.looked_at = 0  # machines that searches have looked at: what a pass costs
        self._filed: dict[str, tuple[Offer, Bucket]] = {}
        self._state_of: dict[str, MachineState] = {}
        self._room: dict[Offer, dict[Bucket, dict[str, Machine]]] = {}
        self._gained: dict[str, Machine] = {}
        self._unsettled: Unsettled | None = None
        self._capacity_indexes = CapacityIndexes()
        self._held: dict[Machine, tuple[float, float, float]] | None = None

    def add(self, machine: Machine) -> None:
        self.machines[machine.name] = machine
        machine.on_change = self._changed
        self._changed(machine, True)

    def remove(self, machine: Machine) -> None:
        del self.machines[machine.name]
        del self.states[self._state_of.pop(machine.name)][machine.name]
        self._unfile(machine)
        self._capacity_indexes.machine_changed(machine)
        self._gained.pop(machine.name, None)

    def __iter__(self) -> Iterator[Machine]:
        return iter(list(self.machines.values()))

    def in_states(self, *states: MachineState) -> list[Machine]:
        return [machine for state in states for machine in self.states[state].values()]

    # -- keeping the index ----------------------------------------------------

    def _changed(self, machine: Machine, gained: bool) -> None:
        """Called by the machine itself after each change of its state or its room."""
        name = machine.name
        if name not in self.machines:
            return
        self._capacity_indexes.machine_changed(machine)
        before = self._state_of.get(name)
        if before is not machine.state:
            if before is not None:
                del self.states[before][name]
            self.states[machine.state][name] = machine
            self._state_of[name] = machine.state
        if MachineState.UNSETTLED in (before, machine.state):
            self._unsettled = None
        kind = machine.kind
        if (
            machine.state is not MachineState.READY
            or not machine.rostered
            or kind is None
            or not machine.delivery.is_confirmed
        ):
            self._unfile(machine)
            return
        cpus, gpus, _ = machine.free()
        place = ((machine.type, machine.zone, machine.spot), (int(gpus + ROUNDING), int(cpus + ROUNDING)))
        filed = self._filed.get(name)
        if filed != place:
            self._unfile(machine)
            self._filed[name] = place
            self._room.setdefault(place[0], {}).setdefault(place[1], {})[name] = machine
        if (gained or filed is None) and not (self._held is not None and machine in self._held):
            self._gained[name] = machine

    def _unfile(self, machine: Machine) -> None:
        filed = self._filed.pop(machine.name, None)
        if filed is not None:
            offer, bucket = filed
            buckets = self._room[offer]
            del buckets[bucket][machine.name]
            if not buckets[bucket]:
                del buckets[bucket]

    @contextmanager
    def ignore_transient_gains(self, machines: Iterable[Machine]) -> Iterator[None]:
        """Room on these machines is given up and mostly taken again: only what stays free is news.

        A gang gives its booked room up to look whether it fits now. If each such look told
        all that wait that the machines had gained, the looks would never end.
        """
        before = {machine: machine.free() for machine in machines}
        self._held = before
        try:
            yield
        finally:
            self._held = None
            for machine, room in before.items():
                if any(now > then + ROUNDING for now, then in zip(machine.free(), room, strict=True)):
                    self._gained[machine.name] = machine

    # -- questions ------------------------------------------------------------

    def capacity(self, spec: JobSpec) -> CapacityIndex:
        """What the ready machines that the job allows could give to tasks like its own, up to date."""
        index = self._capacity_indexes.of(spec, self.machines.values)
        self.looked_at += index.refresh(
            lambda machine: machine.name in self._filed and allows(spec, machine.type, machine.zone, machine.spot)
        )
        return index

    def with_room(self, spec: JobSpec) -> list[Machine]:
        """Ready machines that the job allows and that take at least one of its tasks."""
        least_gpus, least_cpus = int(spec.gpus), int(spec.cpus)
        found: list[Machine] = []
        for offer, buckets in self._room.items():
            if not allows(spec, *offer):
                continue
            for (gpus, cpus), machines in buckets.items():
                if gpus < least_gpus or cpus < least_cpus:
                    continue
                self.looked_at += len(machines)
                found += [machine for machine in machines.values() if machine.tasks_that_fit(spec) > 0]
        return found

    def earliest_available(self, spec: JobSpec, spared: Container[Machine], now: timedelta) -> list[Machine]:
        """The machine that would take a task of the job first, if it took nothing else; none of those ``spared``."""
        usable = [
            machine
            for machine in self.states[MachineState.READY].values()
            if machine.name in self._filed
            and machine.kind is not None
            and machine not in spared
            and allows(spec, machine.type, machine.zone, machine.spot)
            and fits(spec, machine.kind.cpus, machine.kind.gpus, machine.kind.memory_gb)
        ]
        self.looked_at += len(usable)

        def until(machine: Machine) -> tuple[timedelta, str]:
            """When enough will have ended there, by the estimates."""
            when = now
            cpus, gpus, memory = machine.unused()
            ends = [((each.running_since or now) + run_time(each.spec), each.spec) for each in machine.live.values()]
            for end, ended in sorted(ends, key=lambda each: each[0]):
                if fits(spec, cpus, gpus, memory):
                    break
                when = max(when, end)
                cpus, gpus, memory = cpus + ended.cpus, gpus + ended.gpus, memory + ended.memory_gb
            return when, machine.name

        return [min(usable, key=until)] if usable else []

    def ready(self) -> list[tuple[Offer, MachineType, int]]:
        """How many ready machines there are of each type, zone and kind."""
        found: list[tuple[Offer, MachineType, int]] = []
        for offer, buckets in self._room.items():
            machine = next((machine for bucket in buckets.values() for machine in bucket.values()), None)
            if machine is not None:
                assert machine.kind is not None
                found.append((offer, machine.kind, sum(len(bucket) for bucket in buckets.values())))
        return found

    def takes_tasks(self, machine: Machine) -> bool:
        return machine.name in self._filed

    def take_gained(self) -> list[Machine]:
        """Ready machines that may have more room than when this was last asked."""
        gained, self._gained = self._gained, {}
        return [machine for name, machine in gained.items() if name in self._filed]

    @property
    def has_gained(self) -> bool:
        return bool(self._gained)

    @property
    def unsettled(self) -> Unsettled:
        """What machines that have not reported yet may be using, summed up."""
        if self._unsettled is None:
            total = Unsettled()
            for machine in self.states[MachineState.UNSETTLED].values():
                total.names.add(machine.name)
                offer = (machine.type, machine.zone, machine.spot)
                total.offers[offer] = total.offers.get(offer, 0) + 1
                kind: MachineType | None = machine.kind
                if kind is None:
                    total.unknown += 1
                else:
                    total.cpus += kind.cpus
                    total.gpus += kind.gpus
            self._unsettled = total
        return self._unsettled
