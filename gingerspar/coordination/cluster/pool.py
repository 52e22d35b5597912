"""All machines of a term, indexed for placement queries.

Checking each of several hundred machines for each waiting job would be too slow. The pool
groups ready machines by offer (type, zone and purchase kind), and within an offer by the
whole number of free processors and accelerators, so that full machines are skipped a bucket
at a time. It also tracks which machines have gained free capacity since the last pass. The
indexes are updated by the change callback of each machine.
"""

from collections.abc import Container, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta

from gingerspar.coordination.cluster.capacity_index import CapacityIndex, CapacityIndexes
from gingerspar.coordination.cluster.machine import Machine, MachineState, fits, run_time
from gingerspar.protocol.messages import JobSpec, MachineType

Offer = tuple[str, str, bool]  # machine type, zone, whether spot
Bucket = tuple[int, int]  # free accelerators and free processors, rounded down

ROUNDING_TOLERANCE = 1e-6  # tolerance for rounding errors in sums of resources


def allows(spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
    """Whether the job may run on machines of this type, zone and purchase kind."""
    if spec.types is not None and type_name not in spec.types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot


@dataclass(slots=True)
class Unsettled:
    """Totals over machines that may still run tasks which an earlier leader started."""

    names: set[str] = field(default_factory=set)
    unknown_types: int = 0  # number of machines of unknown type; each counts as the full limit of a team
    cpus: float = 0.0
    gpus: float = 0.0
    offers: dict[Offer, int] = field(default_factory=dict)  # number of machines by offer


class Pool:
    """All machines of a term, by name and state, with the index of ready ones."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.states: dict[MachineState, dict[str, Machine]] = {state: {} for state in MachineState}
        self.machines_checked = 0  # number of machine checks made by searches: the measure of the cost of a pass
        self._entries: dict[str, tuple[Offer, Bucket]] = {}
        self._state_of: dict[str, MachineState] = {}
        self._buckets: dict[Offer, dict[Bucket, dict[str, Machine]]] = {}
        self._gained: dict[str, Machine] = {}
        self._unsettled: Unsettled | None = None
        self._capacity_indexes = CapacityIndexes()
        self._suppressed_gains: dict[Machine, tuple[float, float, float]] | None = None

    def add(self, machine: Machine) -> None:
        self.machines[machine.name] = machine
        machine.on_change = self._update_index
        self._update_index(machine, True)

    def remove(self, machine: Machine) -> None:
        del self.machines[machine.name]
        del self.states[self._state_of.pop(machine.name)][machine.name]
        self._remove_from_index(machine)
        self._capacity_indexes.machine_changed(machine)
        self._gained.pop(machine.name, None)

    def __iter__(self) -> Iterator[Machine]:
        return iter(list(self.machines.values()))

    def in_states(self, *states: MachineState) -> list[Machine]:
        return [machine for state in states for machine in self.states[state].values()]

    # -- index maintenance ----------------------------------------------------

    def _update_index(self, machine: Machine, gained: bool) -> None:
        """Callback of the machine after each change of its state or free capacity.

        ``gained``: the machine may have more free capacity than before.
        """
        name = machine.name
        if name not in self.machines:
            return
        self._capacity_indexes.machine_changed(machine)
        previous_state = self._state_of.get(name)
        if previous_state is not machine.state:
            if previous_state is not None:
                del self.states[previous_state][name]
            self.states[machine.state][name] = machine
            self._state_of[name] = machine.state
        if MachineState.UNSETTLED in (previous_state, machine.state):
            self._unsettled = None
        machine_type = machine.machine_type
        if (
            machine.state is not MachineState.READY
            or not machine.rostered
            or machine_type is None
            or not machine.delivery.is_confirmed
        ):
            self._remove_from_index(machine)
            return
        cpus, gpus, _ = machine.free()
        new_entry = (
            (machine.type, machine.zone, machine.spot),
            (int(gpus + ROUNDING_TOLERANCE), int(cpus + ROUNDING_TOLERANCE)),
        )
        entry = self._entries.get(name)
        if entry != new_entry:
            self._remove_from_index(machine)
            self._entries[name] = new_entry
            self._buckets.setdefault(new_entry[0], {}).setdefault(new_entry[1], {})[name] = machine
        if (gained or entry is None) and not (self._suppressed_gains is not None and machine in self._suppressed_gains):
            self._gained[name] = machine

    def _remove_from_index(self, machine: Machine) -> None:
        entry = self._entries.pop(machine.name, None)
        if entry is not None:
            offer, bucket = entry
            buckets = self._buckets[offer]
            del buckets[bucket][machine.name]
            if not buckets[bucket]:
                del buckets[bucket]

    @contextmanager
    def ignore_transient_gains(self, machines: Iterable[Machine]) -> Iterator[None]:
        """While the context is open, the machines are not marked as having gained free capacity.

        At its end, a machine is marked if it has more free capacity than at the start. A gang
        releases its reserved capacity to check whether it fits now, and mostly reserves it
        again. If each such check marked the machines, it would cause all waiting jobs to be
        checked again, without end.
        """
        before = {machine: machine.free() for machine in machines}
        self._suppressed_gains = before
        try:
            yield
        finally:
            self._suppressed_gains = None
            for machine, free_before in before.items():
                if any(
                    after > prior + ROUNDING_TOLERANCE for after, prior in zip(machine.free(), free_before, strict=True)
                ):
                    self._gained[machine.name] = machine

    # -- queries --------------------------------------------------------------

    def capacity(self, spec: JobSpec) -> CapacityIndex:
        """The refreshed index of how many tasks like those of the job each allowed ready machine can take."""
        index = self._capacity_indexes.of(spec, self.machines.values)
        self.machines_checked += index.refresh(
            lambda machine: machine.name in self._entries and allows(spec, machine.type, machine.zone, machine.spot)
        )
        return index

    def with_free_capacity(self, spec: JobSpec) -> list[Machine]:
        """Ready machines that the job allows and that have free capacity for at least one of its tasks."""
        min_gpus, min_cpus = int(spec.gpus), int(spec.cpus)
        found: list[Machine] = []
        for offer, buckets in self._buckets.items():
            if not allows(spec, *offer):
                continue
            for (gpus, cpus), machines in buckets.items():
                if gpus < min_gpus or cpus < min_cpus:
                    continue
                self.machines_checked += len(machines)
                found += [machine for machine in machines.values() if machine.tasks_that_fit(spec) > 0]
        return found

    def earliest_available(self, spec: JobSpec, excluded: Container[Machine], now: timedelta) -> list[Machine]:
        """The machine that could take a task of the job earliest if it got no other tasks; as a list of one.

        Machines in ``excluded`` are skipped; the list is empty if no other machine is suitable.
        """
        usable = [
            machine
            for machine in self.states[MachineState.READY].values()
            if machine.name in self._entries
            and machine.machine_type is not None
            and machine not in excluded
            and allows(spec, machine.type, machine.zone, machine.spot)
            and fits(spec, machine.machine_type.cpus, machine.machine_type.gpus, machine.machine_type.memory_gb)
        ]
        self.machines_checked += len(usable)

        def availability(machine: Machine) -> tuple[timedelta, str]:
            """When enough tasks will have ended there, by their estimates; ties go by machine name."""
            available_at = now
            cpus, gpus, memory = machine.unused()
            task_ends = [
                ((placement.running_since or now) + run_time(placement.spec), placement.spec)
                for placement in machine.live.values()
            ]
            for end, ended_spec in sorted(task_ends, key=lambda task_end: task_end[0]):
                if fits(spec, cpus, gpus, memory):
                    break
                available_at = max(available_at, end)
                cpus, gpus, memory = cpus + ended_spec.cpus, gpus + ended_spec.gpus, memory + ended_spec.memory_gb
            return available_at, machine.name

        return [min(usable, key=availability)] if usable else []

    def ready(self) -> list[tuple[Offer, MachineType, int]]:
        """The number of ready machines of each offer, with their machine type."""
        found: list[tuple[Offer, MachineType, int]] = []
        for offer, buckets in self._buckets.items():
            machine = next((machine for bucket in buckets.values() for machine in bucket.values()), None)
            if machine is not None:
                assert machine.machine_type is not None
                found.append((offer, machine.machine_type, sum(len(bucket) for bucket in buckets.values())))
        return found

    def takes_tasks(self, machine: Machine) -> bool:
        """Whether new tasks may be placed on the machine."""
        return machine.name in self._entries

    def pop_gained(self) -> list[Machine]:
        """Returns the ready machines that may have gained free capacity since the last call."""
        gained, self._gained = self._gained, {}
        return [machine for name, machine in gained.items() if name in self._entries]

    @property
    def has_gained(self) -> bool:
        return bool(self._gained)

    @property
    def unsettled(self) -> Unsettled:
        """Totals of what machines that have not reported yet may be using."""
        if self._unsettled is None:
            total = Unsettled()
            for machine in self.states[MachineState.UNSETTLED].values():
                total.names.add(machine.name)
                offer = (machine.type, machine.zone, machine.spot)
                total.offers[offer] = total.offers.get(offer, 0) + 1
                machine_type: MachineType | None = machine.machine_type
                if machine_type is None:
                    total.unknown_types += 1
                else:
                    total.cpus += machine_type.cpus
                    total.gpus += machine_type.gpus
            self._unsettled = total
        return self._unsettled
