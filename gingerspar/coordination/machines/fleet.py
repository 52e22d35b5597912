"""How many machines of which kind: pure planning over the books."""

import logging
import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from gingerspar.coordination.cluster.cluster_state import ClusterState, MachineOption
from gingerspar.coordination.cluster.expected_releases import RunTimes
from gingerspar.coordination.cluster.job_runs import JobRun
from gingerspar.coordination.cluster.machine import NOTHING, Machine, MachineState, Usage, fits
from gingerspar.coordination.cluster.pool import Offer, allows
from gingerspar.coordination.placement import scoring
from gingerspar.protocol.messages import JobSpec, MachineType, Priority

log = logging.getLogger(__name__)

MOST_RENTED_AT_ONCE = 50
FIRST_REFUSAL = timedelta(seconds=4)
MOST_REFUSAL = timedelta(seconds=30)
LEAST_PATIENCE = 0.1  # of the boot time, for machines that nothing here needs
LEAST_TRADE = timedelta(seconds=20)  # a third of the minute that a rental costs at the least
SPARE_FOR = 0.5  # of the time that a machine may idle, for as many as were never in use at once
WARMTH = 4  # fetches of an urgent class's image that a cheap machine is kept for
UNDERUSED_PRICE_RATIO = 3.0  # times the price of a place on the cheapest machine
FULL_ENOUGH = 0.75
WORTH_ANY_PRICE = timedelta(seconds=20)  # work that has waited so long gets whatever there is
FREE_STEP = timedelta(seconds=4)  # spans are rounded up to it, so that sums are shared
BEGUN_KEPT = 3  # machines begun but not full that are remembered for each offer


@dataclass(slots=True)
class Refusals:
    """Offers that the cloud refused lately."""

    until: dict[Offer, timedelta] = field(default_factory=dict)
    pause: dict[Offer, timedelta] = field(default_factory=dict)

    def refused(self, offer: Offer, now: timedelta) -> None:
        pause = self.pause.get(offer, FIRST_REFUSAL)
        self.until[offer] = now + pause
        self.pause[offer] = min(pause * 2, MOST_REFUSAL)

    def granted(self, offer: Offer) -> None:
        self.pause.pop(offer, None)
        self.until.pop(offer, None)

    def is_open(self, offer: Offer, now: timedelta) -> bool:
        return self.until.get(offer, now) <= now


class MachineBins:
    """Machines of one offer that boot or are about to be rented, filled in thought."""

    def __init__(self, offer: Offer, kind: MachineType) -> None:
        self.offer = offer
        self._kind = kind
        self._empty = 0
        self._begun: list[tuple[float, float, float]] = []  # what is left on some that are partly filled

    def add(self, count: int) -> None:
        self._empty += count

    def place(self, spec: JobSpec, count: int) -> int:
        """Finds places for up to ``count`` tasks; how many it found."""
        found = 0
        for place, (cpus, gpus, memory) in enumerate(self._begun):
            take = min(fits(spec, cpus, gpus, memory), count - found)
            if take > 0:
                self._begun[place] = _less((cpus, gpus, memory), spec, take)
                found += take
        full = scoring.task_capacity(self._kind, spec)
        while found < count and self._empty and full:
            whole = min((count - found) // full, self._empty)
            if whole:
                self._empty -= whole
                found += whole * full
                left = full
            else:
                self._empty -= 1
                left = count - found
                found += left
            rest = _less((self._kind.cpus, self._kind.gpus, self._kind.memory_gb), spec, left)
            self._begun = [rest, *self._begun][:BEGUN_KEPT]
        return found


def _less(room: tuple[float, float, float], spec: JobSpec, count: int) -> tuple[float, float, float]:
    cpus, gpus, memory = room
    return cpus - spec.cpus * count, gpus - spec.gpus * count, memory - spec.memory_gb * count


class ExpectedCapacity:
    """Room that running tasks will probably leave before a machine rented now could be up."""

    def __init__(self, cluster_state: ClusterState, now: timedelta) -> None:
        self._cluster_state = cluster_state
        self._now = now
        self._spans = RunTimes(cluster_state.estimates.run_time)
        self._taken: dict[Offer, Usage] = {}
        self._sums: dict[tuple[Offer, timedelta], Usage] = {}
        self._offers = cluster_state.expected_releases.offers()

    def _until(self, offer: Offer, span: timedelta) -> Usage:
        """What is released there within the span; work past its estimate is about to end."""
        step = math.ceil(span / FREE_STEP) * FREE_STEP
        total = self._sums.get((offer, step))
        if total is None:
            by = self._now + step
            total = self._sums[(offer, step)] = self._cluster_state.expected_releases.released(offer, by, self._spans)
            for machine in self._cluster_state.pool.in_states(MachineState.LEAVING):  # takes nothing more
                if (machine.type, machine.zone, machine.spot) == offer:
                    for placement in machine.live.values():
                        since = placement.running_since
                        if since is not None and since + self._spans.of(placement.spec) <= by:
                            total.add(placement.spec, -1)
        return total

    def place(self, spec: JobSpec, count: int, span: timedelta) -> int:
        """Takes places for up to ``count`` tasks from what is left; how many it found."""
        found = 0
        for offer in self._offers if span > NOTHING else ():
            if found >= count:
                break
            if not allows(spec, *offer):
                continue
            coming, taken = self._until(offer, span), self._taken.setdefault(offer, Usage())
            places = fits(spec, coming.cpus - taken.cpus, coming.gpus - taken.gpus, coming.memory_gb - taken.memory_gb)
            places = min(places, count - found)
            taken.add(spec, places)
            found += places
        return found


def plan_rentals(cluster_state: ClusterState, refusals: Refusals, now: timedelta) -> dict[Offer, int]:
    """Machines to rent for the open tasks that find no room, nor will on those that boot."""
    plan = _Plan(cluster_state, refusals, now)
    if not plan.open:
        return {}  # whatever waits, nothing is to be had now
    for run in cluster_state.backlog:
        if not cluster_state.blocked_by_unsettled(run):
            plan.serve(run)
    return plan.rent


class _Plan:
    """What is to be rented now, worked out run by run."""

    def __init__(self, cluster_state: ClusterState, refusals: Refusals, now: timedelta) -> None:
        self.rent: dict[Offer, int] = {}
        self._cluster_state = cluster_state
        self._types = cluster_state.types
        self._refusals = refusals
        self._now = now
        self.open = {
            (kind.name, zone, spot)
            for kind in cluster_state.types.values()
            for zone in kind.zones
            for spot in ((True, False) if kind.spot_price is not None else (False,))
            if refusals.is_open((kind.name, zone, spot), now)
        }
        self._promised: dict[str, Usage] = {}  # by team, of its limit: to jobs served before
        self._coming: ExpectedCapacity | None = None
        self._bins: dict[Offer, MachineBins] = {}
        for machine in cluster_state.pool.in_states(MachineState.BOOTING):
            if machine.kind is not None:
                self._bin((machine.type, machine.zone, machine.spot)).add(1)

    def _bin(self, offer: Offer) -> MachineBins:
        found = self._bins.get(offer)
        if found is None:
            found = self._bins[offer] = MachineBins(offer, self._types[offer[0]])
        return found

    def serve(self, run: JobRun) -> None:
        spec = run.spec
        promised = self._promised.setdefault(spec.team, Usage())
        left = min(len(run.open), self._cluster_state.team_headroom(spec, promised))
        if run.is_gang and left < len(run.open):
            return  # it waits for its team's limit
        promised.add(spec, left)
        options = self._cluster_state.machine_options(spec)
        if spec.one_zone and run.places:
            zone = run.live[0].machine.zone
            options = [option for option in options if option.offer[1] == zone]
        for option in options:
            if left > 0 and option.offer in self._bins:
                left -= self._bins[option.offer].place(spec, left)
        if left <= 0:
            return
        options = [option for option in options if not self._too_dear(run, option)]
        left = self._add(run, left, [option for option in options if option.offer[2]])
        if not run.is_gang:
            # A place that comes free is taken instead of a machine that would be up no sooner, as far
            # as the job has the time; a dear one that would be up later is not rented in any case.
            spare = self._cluster_state.slack(run, self._now)
            left -= self._put_coming(spec, left, min(spare, _boot(options)))
            left = self._add(run, left, [option for option in options if not option.expensive])
            left -= self._put_coming(spec, left, _boot([option for option in options if option.expensive]))
        self._add(run, left, options)

    def _put_coming(self, spec: JobSpec, left: int, span: timedelta) -> int:
        if left <= 0 or span <= NOTHING:
            return 0
        if self._coming is None:
            self._coming = ExpectedCapacity(self._cluster_state, self._now)
        return self._coming.place(spec, left, span)

    def _add(self, run: JobRun, left: int, options: list[MachineOption]) -> int:
        """Adds machines for a run's tasks; how many find none."""
        if not any(option.offer in self.open for option in options):
            return left
        least = min(option.cost for option in options)
        while left > 0:
            best = self._cheapest(run, left, options, least)
            if best is None:
                break
            offer = best.offer
            count = min(max(left // best.tasks_per_machine, 1), MOST_RENTED_AT_ONCE - self.rent.get(offer, 0))
            self.rent[offer] = self.rent.get(offer, 0) + count
            log.debug("%d %s for %s %s", count, "/".join(map(str, offer)), run.spec.jobclass, run.spec.job)
            self._bin(offer).add(count)
            left -= self._bin(offer).place(run.spec, left)
        return left

    def _too_dear(self, run: JobRun, option: MachineOption) -> bool:
        """A dear machine that the job doesn't need, or that would come too late for it."""
        return option.expensive and self._cluster_state.can_wait(run, self._now, timedelta(seconds=option.kind.boot_s))

    def _cheapest(self, run: JobRun, left: int, options: list[MachineOption], least: float) -> MachineOption | None:
        patient = run.spec.priority.rank > Priority.HIGH.rank and not (
            run.waiting_since is not None and self._now - run.waiting_since > WORTH_ANY_PRICE
        )
        best: MachineOption | None = None
        best_cost = float("inf")
        for option in options:
            if option.offer not in self.open:
                continue
            slots = min(option.tasks_per_machine, left)
            cost = option.kind.cost(option.offer[2]) / slots
            if patient and slots < FULL_ENOUGH * option.tasks_per_machine and cost > UNDERUSED_PRICE_RATIO * least:
                continue  # a dear machine that would stand mostly empty: wait for places here
            if cost < best_cost:
                best, best_cost = option, cost
        if best is not None and self.rent.get(best.offer, 0) >= MOST_RENTED_AT_ONCE:
            return None  # there may be more of these: the next round asks, before dearer ones are taken
        return best


def _boot(options: list[MachineOption]) -> timedelta:
    return min((timedelta(seconds=option.kind.boot_s) for option in options), default=NOTHING)


def _patience(
    kind: MachineType, offer: Offer, specs: Iterable[JobSpec], cluster_state: ClusterState, most: timedelta
) -> timedelta:
    """How long a machine may idle.

    Giving it back too soon wastes one boot, keeping it wastes the time kept: its boot
    time is the even trade, or if that is short a part of the minute that its successor
    costs. A machine whose places cost more than another ordinary machine's is the less
    likely to be needed again.
    """
    best = 0.0
    warm = timedelta(0)
    for spec in specs:
        mine = scoring.cost_per_task(kind, offer[2], spec)
        if allows(spec, *offer) and mine != math.inf:
            # Against ordinary machines: a spot machine that was given back is seldom to be had again.
            cheapest = min(scoring.cost_per_task(other, False, spec) for other in cluster_state.types.values())
            share = min(cheapest / max(mine, 1e-9), 1.0)
            best = max(best, share)
            if spec.priority.rank <= Priority.HIGH.rank and share > 0.9 and spec.image:
                # Urgent work would wait for its images on a machine rented anew.
                warm = max(warm, timedelta(seconds=spec.image_gb / max(kind.fetch_gb_per_s, 1e-3)))
    return min(
        most, max(timedelta(seconds=kind.boot_s), LEAST_TRADE) * max(best * best, LEAST_PATIENCE) + warm * WARMTH
    )


class IdleHistory:
    """How many machines of each offer have been idle at the same time, whichever they were.

    Work moves among idle machines, so that each is used now and then though half of them
    are never used at once.
    """

    def __init__(self) -> None:
        self._counts: dict[Offer, deque[tuple[timedelta, int]]] = {}

    def min_idle(self, offer: Offer, count: int, now: timedelta, span: timedelta) -> int:
        """Notes how many are idle now; how many always were within the span."""
        counts = self._counts.setdefault(offer, deque())
        counts.append((now, count))
        while len(counts) > 1 and counts[1][0] <= now - span:
            counts.popleft()
        return min(idle for _, idle in counts) if counts[0][0] <= now - span else 0

    def reset_others(self, offers: Iterable[Offer]) -> None:
        """Of all others none is idle now."""
        self._counts = {offer: self._counts[offer] for offer in offers if offer in self._counts}

    def machines_returned(self, offer: Offer, count: int) -> None:
        counts = self._counts[offer]
        self._counts[offer] = deque((when, max(idle - count, 0)) for when, idle in counts)


def plan_returns(
    cluster_state: ClusterState, idle_history: IdleHistory, now: timedelta, patience: timedelta
) -> list[Machine]:
    """Machines to give back: nothing runs on them and nothing has for a while."""
    found = cluster_state.pool.in_states(MachineState.LOST)
    found += [m for m in cluster_state.pool.in_states(MachineState.LEAVING) if not m.live and m.notice is None]
    for machine in cluster_state.pool.in_states(MachineState.BOOTING):
        startup = timedelta(seconds=machine.kind.boot_s if machine.kind is not None else 60)
        if now - machine.created > startup * 4 + timedelta(seconds=20):
            found.append(machine)
    specs = {run.spec.jobclass: run.spec for run in cluster_state.runs.values() if not run.ended}.values()
    empty = _empty(cluster_state)
    idle_history.reset_others(empty)
    for offer, machines in empty.items():
        kind = machines[0].kind
        longest = patience if kind is None else _patience(kind, offer, specs, cluster_state, patience)
        machines.sort(key=lambda machine: (now if machine.idle_since is None else machine.idle_since, machine.name))
        most = idle_history.min_idle(offer, len(machines), now, longest * SPARE_FOR)
        back = [
            machine
            for place, machine in enumerate(machines)
            if machine.idle_since is not None and (place < most or now - machine.idle_since >= longest)
        ]
        if back and (kind is None or not _needed(cluster_state, offer, kind, now)):
            idle_history.machines_returned(offer, len(back))
            found += back
    return found


def _empty(cluster_state: ClusterState) -> dict[Offer, list[Machine]]:
    """Ready machines with nothing on them and nothing booked."""
    found: dict[Offer, list[Machine]] = {}
    for machine in cluster_state.pool.in_states(MachineState.READY):
        if machine.live or machine.reserved.cpus > 1e-6 or machine.reserved.gpus > 1e-6:
            continue
        found.setdefault((machine.type, machine.zone, machine.spot), []).append(machine)
    return found


def _needed(cluster_state: ClusterState, offer: Offer, kind: MachineType, now: timedelta) -> bool:
    """Whether something that waits could use an empty machine of this offer."""
    return any(
        allows(run.spec, *offer)
        and scoring.task_capacity(kind, run.spec) > 0
        and cluster_state.team_headroom(run.spec) > 0
        and not (cluster_state.is_expensive(kind, offer[2], run.spec) and cluster_state.can_wait(run, now))
        for run in cluster_state.backlog
    )
