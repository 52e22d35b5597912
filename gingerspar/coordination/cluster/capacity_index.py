"""What the machines could give to one kind of task: free places, and places made by stopping work.

Gangs of one kind ask the same question again and again, and a bad day has hundreds of
them waiting. The answer is kept for each kind and follows the machines that change, so
that a gang for which there is no room costs a comparison of sums, not a look at every
machine.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from sortedcontainers import SortedList

from gingerspar.coordination.cluster.machine import Machine, fits
from gingerspar.protocol.messages import JobSpec

MAX_INDEXES = 24  # kinds that are kept, the least recently asked for goes first

CapacityKey = tuple[object, ...]
Rank = tuple[float, str]  # what is lost for each place, and the machine


def capacity_key(spec: JobSpec) -> CapacityKey:
    """Jobs that are alike in this find the same places and may stop the same work."""
    return (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot, spec.priority.rank)


@dataclass(slots=True)
class Capacity:
    """Numbers of tasks: of one machine, or summed up over a zone."""

    free: int = 0
    by_stopping: int = 0  # more of them, once all less urgent work there has been stopped

    @property
    def total(self) -> int:
        return self.free + self.by_stopping


@dataclass(slots=True)
class CapacityIndex:
    """Places for one kind of task on each machine that it may use."""

    spec: JobSpec
    places: dict[str, Capacity] = field(default_factory=dict)  # by machine, where there are any
    free: dict[str, Machine] = field(default_factory=dict)  # machines with free places
    preemptible: dict[str, Machine] = field(default_factory=dict)  # machines where stopping gives places
    zones: dict[str, Capacity] = field(default_factory=dict)
    stale: dict[str, Machine] = field(default_factory=dict)  # changed since the sums were worked out
    ranked_at: timedelta | None = None
    ranked: "SortedList[Rank]" = field(default_factory=SortedList)
    ranks: dict[str, "Rank"] = field(default_factory=dict)  # those in ``ranked``
    unranked: set[str] = field(default_factory=set)  # changed since; ranked only once somebody asks

    def refresh(self, usable: Callable[[Machine], bool]) -> int:
        """Works out again what has changed; how many machines that were."""
        if not self.stale:
            return 0
        changed, self.stale = self.stale, {}
        for name, machine in changed.items():
            self._set(name, machine, _places(machine, self.spec) if usable(machine) else Capacity())
        return len(changed)

    def _set(self, name: str, machine: Machine, now: Capacity) -> None:
        before = self.places.pop(name, None)
        total = self.zones.setdefault(machine.zone, Capacity())
        if before is not None:
            total.free -= before.free
            total.by_stopping -= before.by_stopping
        self.free.pop(name, None)
        self.preemptible.pop(name, None)
        rank = self.ranks.pop(name, None)
        if rank is not None:
            self.ranked.remove(rank)
        if now.total:
            self.places[name] = now
            total.free += now.free
            total.by_stopping += now.by_stopping
            if now.free:
                self.free[name] = machine
            if now.by_stopping:
                self.preemptible[name] = machine
                self.unranked.add(name)

    def totals(self) -> Iterable[tuple[str, Capacity]]:
        """Where the tasks of one job may all go: each zone, or all zones together."""
        if self.spec.one_zone:
            return self.zones.items()
        total = Capacity()
        for places in self.zones.values():
            total.free += places.free
            total.by_stopping += places.by_stopping
        return (("", total),)

    def by_stop_cost(self, now: timedelta) -> Iterable[Machine]:
        """Machines where stopping gives places, those that lose least for each place first.

        What is lost grows with time, so all are ranked anew for another moment; within a
        pass only those that have changed.
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
        weights = machine.forecast().weights[self.spec.priority.rank + 1 :]
        return (sum(weight.lost(now) for weight in weights) / self.places[name].by_stopping, name)


def _places(machine: Machine, spec: JobSpec) -> Capacity:
    cpus, gpus, memory = machine.free()
    free = fits(spec, cpus, gpus, memory)
    if not machine.live:
        return Capacity(free)
    for share in machine.shares[spec.priority.rank + 1 :]:
        cpus, gpus, memory = cpus + share.cpus, gpus + share.gpus, memory + share.memory_gb
    return Capacity(free, max(fits(spec, cpus, gpus, memory) - free, 0))


class CapacityIndexes:
    """The kinds of task that have been asked for lately."""

    def __init__(self) -> None:
        self._indexes: OrderedDict[CapacityKey, CapacityIndex] = OrderedDict()

    def machine_changed(self, machine: Machine) -> None:
        """To be called for each change of a machine's state, room or tasks."""
        for index in self._indexes.values():
            index.stale[machine.name] = machine

    def of(self, spec: JobSpec, machines: Callable[[], Iterable[Machine]]) -> CapacityIndex:
        """The need of the job's tasks, to be refreshed by the caller; ``machines``: all there are."""
        key = capacity_key(spec)
        index = self._indexes.get(key)
        if index is None:
            index = self._indexes[key] = CapacityIndex(spec, stale={machine.name: machine for machine in machines()})
            if len(self._indexes) > MAX_INDEXES:
                self._indexes.popitem(last=False)
        else:
            self._indexes.move_to_end(key)
        return index
