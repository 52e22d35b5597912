"""The placing pass: gives places to open tasks, by priority, then earliest due."""

import logging
from collections.abc import Callable, Iterable
from datetime import timedelta

from gingerspar.coordination.cluster.cluster_state import Book
from gingerspar.coordination.cluster.job_runs import Family, GangState, JobRun, Least
from gingerspar.coordination.cluster.machine import Machine, fits
from gingerspar.coordination.cluster.pool import ROUNDING, Offer, allows
from gingerspar.coordination.cluster.service_level import FIRST
from gingerspar.coordination.placement import scoring
from gingerspar.coordination.placement.gang_reservation import RoomMaker
from gingerspar.coordination.placement.team_limits import LimitKeeper
from gingerspar.protocol.messages import JobSpec, Priority
from gingerspar.storage.records import Order

log = logging.getLogger(__name__)

MOST_LOOKS = 6000  # machines looked at in one go; then reports and reads get their turn
LOOK_AGAIN = timedelta(seconds=2)  # so long may a change go unseen that no machine announces

Signature = tuple[object, ...]


def _signature(spec: JobSpec) -> Signature:
    """Jobs that are alike in this find room on the same machines."""
    return (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)


class Gained:
    """Machines that have gained room since the last pass, kept apart by type, zone and kind.

    For each of these the most that any of its machines has free is known, so that a run
    which fits nowhere among them is passed over with a look at each sort of machine.
    """

    def __init__(self, machines: Iterable[Machine]) -> None:
        self.names: set[str] = set()
        self._sorts: dict[Offer, list[Machine]] = {}
        self._most: dict[Offer, tuple[float, float, float]] = {}
        for machine in machines:
            self.names.add(machine.name)
            self._sorts.setdefault((machine.type, machine.zone, machine.spot), []).append(machine)

    @property
    def sorts(self) -> int:
        return len(self._sorts)

    def sum_up(self) -> None:
        """To be called when machines may have lost room since."""
        for offer in self._sorts:
            self._sum_up(offer)

    def _sum_up(self, offer: Offer) -> None:
        rooms = [machine.free() for machine in self._sorts[offer]]
        self._most[offer] = (max(r[0] for r in rooms), max(r[1] for r in rooms), max(r[2] for r in rooms))

    def usable(self, spec: JobSpec) -> list[Machine]:
        """Those with room for a task of the job."""
        found: list[Machine] = []
        for offer, most in self._most.items():
            if fits(spec, *most) and allows(spec, *offer):
                found += [machine for machine in self._sorts[offer] if machine.room_for(spec) > 0]
        return found

    def may_help(self, least: Least) -> bool:
        """Whether any of the runs that this sums up may find room here."""
        return any(
            cpus + ROUNDING >= least.cpus and gpus + ROUNDING >= least.gpus and memory + ROUNDING >= least.memory_gb
            for cpus, gpus, memory in self._most.values()
        )


class Placer:
    """Goes through the backlog in order; a pass that grows too long goes on later.

    A run that found no room is compared again only with machines that have gained some.
    """

    def __init__(self, book: Book) -> None:
        self._book = book
        self._room = RoomMaker(book)
        self._limits = LimitKeeper(book, self._room)
        self._gained = Gained([])  # what the walk under way compares runs with
        self._walked: Order | None = None  # up to here
        self._looked_again = timedelta(0)
        self._found: dict[Signature, list[Machine]] = {}  # machines with room, by kind of task
        # What found no machine among those that gained room, by family and whether it was careful.
        self._barren: dict[tuple[Family, bool], list[Least]] = {}

    def place(self, now: timedelta) -> bool:
        """True once everything that changed has been looked at."""
        book, pool, backlog = self._book, self._book.pool, self._book.backlog
        backlog.due(now)
        if now - self._looked_again >= LOOK_AGAIN:
            self._looked_again = now
            book.look_at_services(now)
            for run in backlog:
                book.tell_if_unbegun(run, now)
                backlog.reorder(run, book.order(run, now))
            book.look_for_first_gang(now)
            backlog.look_again()
        if self._walked is None:
            self._gained = Gained(pool.take_gained())
        gained = self._gained
        if not gained.names and not backlog.unseen:
            return True
        self._found, self._barren = {}, {}
        self._limits.begin()
        until = pool.looked_at + MOST_LOOKS
        gained.sum_up()
        helped = self._helped(gained)
        owners = {job for name in gained.names for job in book.bookers.get(name, ())}
        for order in self._orders(gained, helped, owners, now):
            run = backlog.waiting.get(order)
            if run is None or self._limits.in_vain(run):
                continue  # placed or stopped meanwhile, or it is its team's limit that it waits for
            unseen = order in backlog.unseen
            if not unseen and self._walked is not None and order <= self._walked:
                continue
            if not book.blocked(run):
                before = len(run.open)
                if unseen:
                    self._serve(run, None, now)
                elif run.gangs or (run.family in helped and not self._in_vain(run)):
                    self._serve(run, gained, now)
                if len(run.open) != before:
                    gained.sum_up()
                    helped = self._helped(gained)
            if pool.looked_at >= until:
                self._walked = order if gained.names else None
                return False
        self._walked, self._gained = None, Gained([])
        return not pool.any_gained

    def _helped(self, gained: Gained) -> set[Family]:
        return {family for family, least in self._book.backlog.least() if gained.may_help(least)}

    def _orders(self, gained: Gained, helped: set[Family], owners: set[str], now: timedelta) -> list[Order]:
        """Whom the pass goes through: those not looked at yet, and those whom what was gained may help."""
        backlog = self._book.backlog
        if not gained.names:
            return list(backlog.unseen)
        return [
            order
            for order, run in backlog.waiting.items()
            if order in backlog.unseen
            or run.family in helped
            or (run.gangs and (run.spec.job in owners or self._room.due(run, now)))
        ]

    def _serve(self, run: JobRun, among: Gained | None, now: timedelta) -> None:
        """Places what can be placed; ``among``: only these machines are new to it."""
        team_room = self._book.team_room(run.spec)
        if team_room < (run.spec.tasks if run.gangs else 1):
            self._limits.refused(run)
            if run.gangs:
                self._limits.wait(run, now)
            return  # stays as it is: room in the team, not on machines, is what it waits for
        if run.gangs:
            own = among is not None and any(machine.name in among.names for machine in run.booked)
            if among is None or own or self._room.due(run, now) or self._usable(run, among):
                self._place_gang(run, now)
                self._book.backlog.seen(run)
        else:
            machines = self._with_room(run) if among is None else self._usable(run, among)
            late = run.order[0] == FIRST and self._book.late_to_begin(run, now)
            if late and among is None:
                machines = self._kept_for(run, machines, now)
            if machines and not late and self._careful(run.spec):
                machines = self._beside_accelerated(run.spec, machines)
            if not machines and among is not None and not run.failures:
                spec = run.spec
                self._barren.setdefault((run.family, self._careful(spec)), []).append(
                    Least(spec.cpus, spec.gpus, spec.memory_gb)
                )
            if machines:
                self._place_tasks(run, machines, 1 if late else team_room, now, late=late)
            if not run.open or self._book.team_room(run.spec) > 0:
                self._book.backlog.seen(run)  # else it is the limit that it waits for

    def _in_vain(self, run: JobRun) -> bool:
        """A task that takes no more has found no place among the machines that gained room.

        Within a pass they only lose some. On vatuloa-grep-fleet loss fifty jobs a pass looked at the
        processors that are kept beside free accelerators, and did so again in the next.
        """
        spec = run.spec
        return any(
            spec.cpus >= least.cpus and spec.gpus >= least.gpus and spec.memory_gb >= least.memory_gb
            for least in self._barren.get((run.family, self._careful(spec)), ())
        )

    def _careful(self, spec: JobSpec) -> bool:
        """Routine work without accelerators keeps off the processors that free accelerators need."""
        return not spec.gpus and spec.priority.rank > Priority.HIGH.rank and bool(self._book.accelerated)

    # -- machines for a run ---------------------------------------------------

    def _usable(self, run: JobRun, gained: Gained) -> list[Machine]:
        self._book.pool.looked_at += gained.sorts
        return self._without_failures(run, gained.usable(run.spec))

    def _with_room(self, run: JobRun) -> list[Machine]:
        """All machines with room for its tasks; within a pass they only lose some."""
        key = _signature(run.spec)
        known = self._found.get(key)
        if known is None:
            found = self._book.pool.with_room(run.spec)
        else:
            self._book.pool.looked_at += len(known)
            found = [machine for machine in known if machine.room_for(run.spec) > 0]
        self._found[key] = found
        return self._without_failures(run, found)

    def _without_failures(self, run: JobRun, machines: list[Machine]) -> list[Machine]:
        """Without the machines where this job failed while it ran well elsewhere."""
        if not run.failures:
            return machines
        return [machine for machine in machines if machine.name not in run.failures] or machines

    # -- gangs ----------------------------------------------------------------

    def _place_gang(self, run: JobRun, now: timedelta) -> None:
        if not self._room.hopeless(run, now):
            with self._book.pool.weighing(run.booked):
                self._weigh(run, now)

    def _weigh(self, run: JobRun, now: timedelta) -> None:
        """Looks whether the gang fits now; its booked room is given up and mostly taken again."""
        spec, book = run.spec, self._book
        kept = list(run.booked)
        book.unbook(run)
        machines = self._with_room(run)
        if kept:
            there = {machine.name for machine in machines}
            machines = machines + [m for m in kept if m.name not in there and self._ready(m, spec)]
        scorer = scoring.Scorer(spec, book.types, now)
        found = scoring.choose_all(spec, machines, spec.tasks, scorer)
        dear = self._prolonging(spec, now)
        if found is not None and any(map(dear, set(found))):
            cheap = [machine for machine in machines if not dear(machine)]
            cheaper = scoring.choose_all(spec, cheap, spec.tasks, scorer)
            if cheaper is not None:
                found = cheaper
            elif book.can_wait(run, now) and self._room.make_among(run, lambda machine: not dear(machine), now):
                return
        if found is None:
            self._room.make(run, now)
            return
        run.booked_since = run.limit_kept_since = None
        if run.record.attempt <= run.used_attempt:
            counts: dict[Machine, int] = {}
            for machine in found:
                counts[machine] = counts.get(machine, 0) + 1
            book.book(run, counts, now)  # the new attempt is on its way
            return
        log.debug("gang %s placed", spec.job)
        late = book.late_to_begin(run, now)  # else what is more urgent would stop it at once
        for number, machine in enumerate(found):
            book.plan(run, number, machine, now, shielded=late)
        run.set_gang(GangState.PLACED)
        book.backlog.refile(run, now)

    def _ready(self, machine: Machine, spec: JobSpec) -> bool:
        return self._book.pool.takes_tasks(machine) and machine.room_for(spec) > 0

    # -- arrays and services --------------------------------------------------

    def _kept_for(self, run: JobRun, machines: list[Machine], now: timedelta) -> list[Machine]:
        """Machines for the first task of a job that is late to begin.

        On a full fleet gangs keep each place that comes free, and a task that takes most of a machine finds
        no room while small ones take them. So it keeps a place on the machine that will have it first, and
        what gangs keep there gives way once that is enough.
        """
        spec, book = run.spec, self._book
        kept = [machine for machine in run.booked if book.pool.takes_tasks(machine)]
        book.unbook(run)
        machines = machines or [machine for machine in kept if self._ready(machine, spec)]
        if machines:
            return machines
        gang = book.first_gang(now)
        spared = gang.booked if gang is not None else {}
        kept = [machine for machine in kept if machine not in spared] or book.pool.emptied(spec, spared, now)
        if not kept:
            return []
        if fits(spec, *kept[0].unused()):
            for job in list(book.bookers.get(kept[0].name, ())):
                book.unbook(book.runs[job])
            if self._ready(kept[0], spec):
                return kept
        book.book(run, {kept[0]: 1}, now)
        return []

    def _place_tasks(
        self, run: JobRun, machines: list[Machine], team_room: int, now: timedelta, *, late: bool = False
    ) -> None:
        """``late``: its first task, which goes before all others' and isn't stopped for them."""
        spec, book = run.spec, self._book
        careful = self._careful(spec) and not late
        if not late and spec.priority.rank > Priority.HIGH.rank and book.can_wait(run, now):
            dear = self._prolonging(spec, now)
            machines = [machine for machine in machines if not dear(machine)]
        zones = scoring.zone_room(spec, run.live) if spec.one_zone or spec.spread else None
        if len(run.open) < sum(machine.room_for(spec) for machine in machines):
            machines = scoring.ranked(machines, scoring.Scorer(spec, book.types, now))
        attempt, left = run.record.attempt, team_room
        if run.suspect:
            left = min(left, 1 - len(run.places))  # one task shows whether it fails again; the others take no place
        before_others = run.order[0] == FIRST
        for machine in machines:
            room = machine.room_for(spec)
            shielded = late or (before_others and book.services.contended(run, machine))
            if shielded:
                room = min(room, book.services.left(run, to_begin=late))  # the rest is for more urgent work
            for number in list(run.open[: room + len(machine.exited)]):
                if left <= 0 or room <= 0 or (zones is not None and zones[machine.zone] <= 0):
                    break
                if machine.exited and (spec.job, number, attempt) in machine.exited:
                    continue  # it still lists this attempt as exited and would ignore its `run`
                if careful and machine.kind is not None and machine.kind.gpus and not self._spare(spec, machine):
                    break
                book.plan(run, number, machine, now, shielded=shielded)
                left -= 1
                room -= 1
                if zones is not None:
                    zones = scoring.zone_room(spec, run.live)
            if left <= 0 or not run.open:
                break
        if late and run.places:
            book.unbook(run)  # wherever it found its place: else what it kept would be kept until it is over
            book.backlog.reorder(run, book.order(run, now))
        book.backlog.refile(run, now, fresh=late and bool(run.places))

    def _prolonging(self, spec: JobSpec, now: timedelta) -> Callable[[Machine], bool]:
        """Tells whether a dear machine would have to stay longer for a task of the job."""
        ends = now + self._book.estimates.run_time(spec)

        def prolongs(machine: Machine) -> bool:
            kind = machine.kind
            if kind is None or not self._book.dear(kind, machine.spot, spec):
                return False
            return ends > scoring.busy_until(machine, now)

        return prolongs

    def _beside_accelerated(self, spec: JobSpec, machines: list[Machine]) -> list[Machine]:
        """Keeps routine work from taking the processors that free accelerators need.

        Unless no machine without accelerators can do it at all.
        """
        if not any(not kind.gpus and scoring.slots(kind, spec) for kind in self._book.types.values()):
            return machines
        return [machine for machine in machines if self._spare(spec, machine)]

    def _spare(self, spec: JobSpec, machine: Machine) -> bool:
        """Room for the task besides what tasks on the machine's free accelerators would take."""
        kind = machine.kind
        if kind is None or machine.room_for(spec) <= 0:
            return False
        if not kind.gpus or spec.gpus:
            return True
        cpus, _, memory = machine.free()
        for other in self._book.accelerated.values():
            count = machine.room_for(other)
            if spec.cpus + other.cpus * count > cpus + 1e-9:
                return False
            if spec.memory_gb + other.memory_gb * count > memory + 1e-9:
                return False
        return True
