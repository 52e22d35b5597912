"""How many tasks of one kind the machines can take: free slots, and slots gained by preemption.

Gangs of the same kind repeat the same query, and under high load hundreds of them wait. The
result is cached for each kind of task and updated only for machines that have changed, so
that a gang for which there is too little capacity costs a comparison of sums and not a scan
of all machines.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from sortedcontainers import SortedList

from gingerspar.coordination.cluster.machine import MAX_TASKS_PER_MACHINE, Machine, fits
from gingerspar.protocol.messages import JobSpec

MAX_INDEXES = 24  # kinds of task that are cached; the least recently queried one is evicted first

CapacityKey = tuple[object, ...]
Rank = tuple[float, str]  # preemption cost for each slot gained, and the machine name


def capacity_key(spec: JobSpec) -> CapacityKey:
    """Jobs with equal keys may use the same slots and may preempt the same tasks."""
    return (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot, spec.priority.rank)


@dataclass(slots=True)
class Capacity:
    """Numbers of task slots of one machine or one zone."""

    free: int = 0
    by_stopping: int = 0  # additional slots if all less urgent tasks were stopped

    @property
    def total(self) -> int:
        return self.free + self.by_stopping


@dataclass(slots=True)
class CapacityIndex:
    """Slots for one kind of task on each machine that it may use; other machines are left out.

    Dictionaries of machines are by name.
    """

    spec: JobSpec
    capacities: dict[str, Capacity] = field(default_factory=dict)  # by machine name; only machines with slots
    free: dict[str, Machine] = field(default_factory=dict)  # machines with free slots
    preemptible: dict[str, Machine] = field(default_factory=dict)  # machines where preemption gains slots
    zones: dict[str, Capacity] = field(default_factory=dict)  # totals by zone
    stale: dict[str, Machine] = field(default_factory=dict)  # machines that changed since the last refresh
    ranked_at: timedelta | None = None  # time for which the preemption costs in ``ranked`` hold
    ranked: "SortedList[Rank]" = field(default_factory=SortedList)  # cheapest to stop first
    ranks: dict[str, "Rank"] = field(default_factory=dict)  # the entries of ``ranked`` by machine name
    unranked: set[str] = field(default_factory=set)  # changed since ``ranked_at``; ranked by the next ``by_stop_cost``

    def refresh(self, usable: Callable[[Machine], bool]) -> int:
        """Recomputes the capacity of machines that have changed, and returns their number.

        ``usable`` returns whether tasks of this kind may be placed on the machine now.
        """
        if not self.stale:
            return 0
        changed, self.stale = self.stale, {}
        for name, machine in changed.items():
            self._set(name, machine, _machine_capacity(machine, self.spec) if usable(machine) else Capacity())
        return len(changed)

    def _set(self, name: str, machine: Machine, capacity: Capacity) -> None:
        previous = self.capacities.pop(name, None)
        total = self.zones.setdefault(machine.zone, Capacity())
        if previous is not None:
            total.free -= previous.free
            total.by_stopping -= previous.by_stopping
        self.free.pop(name, None)
        self.preemptible.pop(name, None)
        rank = self.ranks.pop(name, None)
        if rank is not None:
            self.ranked.remove(rank)
        if capacity.total:
            self.capacities[name] = capacity
            total.free += capacity.free
            total.by_stopping += capacity.by_stopping
            if capacity.free:
                self.free[name] = machine
            if capacity.by_stopping:
                self.preemptible[name] = machine
                self.unranked.add(name)

    def totals(self) -> Iterable[tuple[str, Capacity]]:
        """The totals of each group of machines that can take all tasks of one job: each zone, or all zones together."""
        if self.spec.one_zone:
            return self.zones.items()
        total = Capacity()
        for capacity in self.zones.values():
            total.free += capacity.free
            total.by_stopping += capacity.by_stopping
        return (("", total),)

    def by_stop_cost(self, now: timedelta) -> Iterable[Machine]:
        """Machines where preemption gains slots, in ascending order of preemption cost for each slot.

        The cost grows with time, so all machines are ranked again for each new ``now``; within
        a pass, for which ``now`` is the same, only those that have changed.
        """
        if self.ranked_at != now:
            self.ranked_at = now
            self.ranks = {name: self._rank(name, machine, now) for name, machine in self.preemptible.items()}
            self.ranked = SortedList(self.ranks.values())
        else:
            for name in self.unranked & self.preemptible.keys():
                self.ranks[name] = self._rank(name, self.preemptible[name], now)
                self.ranked.add(self.ranks[name])
        self.unranked.clear()
        return (self.preemptible[name] for _, name in self.ranked)

    def _rank(self, name: str, machine: Machine, now: timedelta) -> Rank:
        stop_costs = machine.forecast().stop_costs[self.spec.priority.rank + 1 :]
        return (
            sum(stop_cost.discarded_work(now) for stop_cost in stop_costs) / self.capacities[name].by_stopping,
            name,
        )


def _machine_capacity(machine: Machine, spec: JobSpec) -> Capacity:
    cpus, gpus, memory = machine.free()
    free = min(fits(spec, cpus, gpus, memory), machine.free_task_slots())
    if not machine.live:
        return Capacity(free)
    for share in machine.usage_by_priority[spec.priority.rank + 1 :]:
        cpus, gpus, memory = cpus + share.cpus, gpus + share.gpus, memory + share.memory_gb
    return Capacity(free, max(min(fits(spec, cpus, gpus, memory), MAX_TASKS_PER_MACHINE) - free, 0))


class CapacityIndexes:
    """The capacity indexes of the most recently queried kinds of task."""

    def __init__(self) -> None:
        self._indexes: OrderedDict[CapacityKey, CapacityIndex] = OrderedDict()

    def machine_changed(self, machine: Machine) -> None:
        """Must be called after each change of a machine's state, free capacity or tasks."""
        for index in self._indexes.values():
            index.stale[machine.name] = machine

    def of(self, spec: JobSpec, machines: Callable[[], Iterable[Machine]]) -> CapacityIndex:
        """Returns the index for the tasks of the job, which the caller has to refresh.

        ``machines`` returns all machines; a new index is filled from them.
        """
        key = capacity_key(spec)
        index = self._indexes.get(key)
        if index is None:
            index = self._indexes[key] = CapacityIndex(spec, stale={machine.name: machine for machine in machines()})
            if len(self._indexes) > MAX_INDEXES:
                self._indexes.popitem(last=False)
        else:
            self._indexes.move_to_end(key)
        return index
