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

MOST_NEEDS = 24  # kinds that are kept, the least recently asked for goes first

NeedKey = tuple[object, ...]
Rank = tuple[float, str]  # what is lost for each place, and the machine


def need_key(spec: JobSpec) -> NeedKey:
    """Jobs that are alike in this find the same places and may stop the same work."""
    return (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot, spec.priority.rank)


@dataclass(slots=True)
class Places:
    """Numbers of tasks: of one machine, or summed up over a zone."""

    free: int = 0
    stopping: int = 0  # more of them, once all less urgent work there has been stopped

    @property
    def all(self) -> int:
        return self.free + self.stopping


@dataclass(slots=True)
class Need:
    """Places for one kind of task on each machine that it may use."""

    spec: JobSpec
    places: dict[str, Places] = field(default_factory=dict)  # by machine, where there are any
    free: dict[str, Machine] = field(default_factory=dict)  # machines with free places
    clearable: dict[str, Machine] = field(default_factory=dict)  # machines where stopping gives places
    zones: dict[str, Places] = field(default_factory=dict)
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
            self._set(name, machine, _places(machine, self.spec) if usable(machine) else Places())
        return len(changed)

    def _set(self, name: str, machine: Machine, now: Places) -> None:
        before = self.places.pop(name, None)
        total = self.zones.setdefault(machine.zone, Places())
        if before is not None:
            total.free -= before.free
            total.stopping -= before.stopping
        self.free.pop(name, None)
        self.clearable.pop(name, None)
        rank = self.ranks.pop(name, None)
        if rank is not None:
            self.ranked.remove(rank)
        if now.all:
            self.places[name] = now
            total.free += now.free
            total.stopping += now.stopping
            if now.free:
                self.free[name] = machine
            if now.stopping:
                self.clearable[name] = machine
                self.unranked.add(name)

    def sums(self) -> Iterable[tuple[str, Places]]:
        """Where the tasks of one job may all go: each zone, or all zones together."""
        if self.spec.one_zone:
            return self.zones.items()
        total = Places()
        for places in self.zones.values():
            total.free += places.free
            total.stopping += places.stopping
        return (("", total),)

    def by_loss(self, now: timedelta) -> Iterable[Machine]:
        """Machines where stopping gives places, those that lose least for each place first.

        What is lost grows with time, so all are ranked anew for another moment; within a
        pass only those that have changed.
        """
        if self.ranked_at != now:
            self.ranked_at = now
            self.ranks = {name: self._rank(name, machine, now) for name, machine in self.clearable.items()}
            self.ranked = SortedList(self.ranks.values())
        else:
            for name in self.unranked & self.clearable.keys():
                self.ranks[name] = self._rank(name, self.clearable[name], now)
                self.ranked.add(self.ranks[name])
        self.unranked.clear()
        return (self.clearable[name] for _, name in self.ranked)

    def _rank(self, name: str, machine: Machine, now: timedelta) -> Rank:
        weights = machine.look_ahead().weights[self.spec.priority.rank + 1 :]
        return (sum(weight.lost(now) for weight in weights) / self.places[name].stopping, name)


def _places(machine: Machine, spec: JobSpec) -> Places:
    cpus, gpus, memory = machine.free()
    free = fits(spec, cpus, gpus, memory)
    if not machine.live:
        return Places(free)
    for share in machine.shares[spec.priority.rank + 1 :]:
        cpus, gpus, memory = cpus + share.cpus, gpus + share.gpus, memory + share.memory_gb
    return Places(free, max(fits(spec, cpus, gpus, memory) - free, 0))


class Needs:
    """The kinds of task that have been asked for lately."""

    def __init__(self) -> None:
        self._needs: OrderedDict[NeedKey, Need] = OrderedDict()

    def changed(self, machine: Machine) -> None:
        """To be called for each change of a machine's state, room or tasks."""
        for need in self._needs.values():
            need.stale[machine.name] = machine

    def of(self, spec: JobSpec, machines: Callable[[], Iterable[Machine]]) -> Need:
        """The need of the job's tasks, to be refreshed by the caller; ``machines``: all there are."""
        key = need_key(spec)
        need = self._needs.get(key)
        if need is None:
            need = self._needs[key] = Need(spec, stale={machine.name: machine for machine in machines()})
            if len(self._needs) > MOST_NEEDS:
                self._needs.popitem(last=False)
        else:
            self._needs.move_to_end(key)
        return need
