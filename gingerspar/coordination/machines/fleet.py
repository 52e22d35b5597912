"""Plans how many machines of each offer (machine type, zone and purchase kind) to rent and which to return.

Reads the cluster state only, apart from recording jobs whose evaluation fails; the caller sends the requests to the
cloud.
"""

import logging
import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from gingerspar.coordination.cluster.cluster_state import ClusterState, MachineOption
from gingerspar.coordination.cluster.expected_releases import RunTimes
from gingerspar.coordination.cluster.job_runs import JobRun
from gingerspar.coordination.cluster.machine import (
    MAX_TASKS_PER_MACHINE,
    ZERO_DURATION,
    Machine,
    MachineState,
    Usage,
    fits,
)
from gingerspar.coordination.cluster.pool import Offer, allows
from gingerspar.coordination.placement import scoring
from gingerspar.protocol.messages import JobSpec, MachineType, Priority

log = logging.getLogger(__name__)

MAX_RENTED_PER_ROUND = 50  # machines of one offer that one planning round rents at most
FIRST_REFUSAL_PAUSE = timedelta(seconds=4)  # before an offer is requested again after a first refusal; then doubled
MAX_REFUSAL_PAUSE = timedelta(seconds=30)
MIN_IDLE_LIMIT_RATIO = 0.1  # of the boot time: idle limit of machines that no present job needs
MIN_BREAK_EVEN = timedelta(seconds=20)  # a third of the minute that a rental costs at minimum
SURPLUS_WINDOW_RATIO = 0.5  # of the idle limit: as many machines as were idle throughout it are surplus
KEEP_WARM_FETCHES = 4  # times the fetch of an urgent class's image, added to the idle limit of a cheap machine
UNDERUSED_PRICE_RATIO = 3.0  # times the price of a slot on the cheapest machine
MIN_USED_SHARE = 0.75  # of a machine's slots; below it the machine counts as underused
ANY_PRICE_AFTER = timedelta(seconds=20)  # work that has waited longer than this gets underused machines at any price
EXPECTED_CAPACITY_STEP = timedelta(seconds=4)  # durations are rounded up to it, so that sums can be shared
MAX_PARTIAL_MACHINES = 3  # partly filled machines that are remembered for each offer


@dataclass(slots=True)
class Refusals:
    """Offers that the cloud refused recently, and when each may be requested again.

    The pause doubles with each refusal in a row, up to ``MAX_REFUSAL_PAUSE``.
    """

    closed_until: dict[Offer, timedelta] = field(default_factory=dict)
    next_pause: dict[Offer, timedelta] = field(default_factory=dict)

    def refused(self, offer: Offer, now: timedelta) -> None:
        pause = self.next_pause.get(offer, FIRST_REFUSAL_PAUSE)
        self.closed_until[offer] = now + pause
        self.next_pause[offer] = min(pause * 2, MAX_REFUSAL_PAUSE)

    def granted(self, offer: Offer) -> None:
        self.next_pause.pop(offer, None)
        self.closed_until.pop(offer, None)

    def is_open(self, offer: Offer, now: timedelta) -> bool:
        return self.closed_until.get(offer, now) <= now


@dataclass(slots=True)
class _PartlyFilled:
    """What is left of a machine on which tasks have been placed."""

    cpus: float
    gpus: float
    memory_gb: float
    tasks: int = 0  # placed on it

    def place(self, spec: JobSpec, count: int) -> int:
        """Places up to ``count`` tasks; returns how many found a slot."""
        fitting = min(fits(spec, self.cpus, self.gpus, self.memory_gb), MAX_TASKS_PER_MACHINE - self.tasks, count)
        if fitting <= 0:
            return 0
        self.cpus -= spec.cpus * fitting
        self.gpus -= spec.gpus * fitting
        self.memory_gb -= spec.memory_gb * fitting
        self.tasks += fitting
        return fitting


class MachineBins:
    """Simulated filling of the machines of one offer that are booting or planned for rental."""

    def __init__(self, offer: Offer, machine_type: MachineType) -> None:
        self.offer = offer
        self._machine_type = machine_type
        self._empty_count = 0
        self._partial: list[_PartlyFilled] = []  # some of the partly filled machines

    def add(self, count: int) -> None:
        self._empty_count += count

    def place(self, spec: JobSpec, count: int) -> int:
        """Places up to ``count`` tasks; returns how many found a slot."""
        placed = 0
        for machine in self._partial:
            placed += machine.place(spec, count - placed)
        machine_type = self._machine_type
        per_machine = scoring.task_capacity(machine_type, spec)
        while placed < count and self._empty_count and per_machine:
            # All full machines but one are alike and need no bin of their own.
            filled = max(min((count - placed) // per_machine, self._empty_count) - 1, 0)
            self._empty_count -= filled + 1
            placed += filled * per_machine
            last = _PartlyFilled(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
            placed += last.place(spec, count - placed)
            self._partial = [last, *self._partial][:MAX_PARTIAL_MACHINES]
        return placed


class ExpectedCapacity:
    """Capacity that running tasks will probably release before a machine rented now could be up."""

    def __init__(self, cluster_state: ClusterState, now: timedelta) -> None:
        self._cluster_state = cluster_state
        self._now = now
        self._run_times = RunTimes(cluster_state.estimates.run_time)
        self._reserved: dict[Offer, Usage] = {}
        self._sums: dict[tuple[Offer, timedelta], Usage] = {}
        self._offers = cluster_state.expected_releases.offers()

    def _released_within(self, offer: Offer, duration: timedelta) -> Usage:
        """What is expected to be released on this offer's machines within the duration.

        A task that has run longer than its estimate is expected to end at once.
        """
        rounded = math.ceil(duration / EXPECTED_CAPACITY_STEP) * EXPECTED_CAPACITY_STEP
        total = self._sums.get((offer, rounded))
        if total is None:
            by = self._now + rounded
            total = self._sums[(offer, rounded)] = self._cluster_state.expected_releases.released(
                offer, by, self._run_times
            )
            for machine in self._cluster_state.pool.in_states(MachineState.LEAVING):  # they start no new tasks
                if (machine.type, machine.zone, machine.spot) == offer:
                    for placement in machine.live.values():
                        since = placement.running_since
                        if since is not None and since + self._run_times.of(placement.spec) <= by:
                            total.add(placement.spec, -1)
        return total

    def place(self, spec: JobSpec, count: int, duration: timedelta, zone: str | None = None) -> int:
        """Reserves slots for up to ``count`` tasks in what is not reserved yet, in ``zone`` only if one is given.

        Returns how many it found.
        """
        placed = 0
        for offer in self._offers if duration > ZERO_DURATION else ():
            if placed >= count:
                break
            if not allows(spec, *offer) or (zone is not None and offer[1] != zone):
                continue
            expected, reserved = self._released_within(offer, duration), self._reserved.setdefault(offer, Usage())
            slots = fits(
                spec,
                expected.cpus - reserved.cpus,
                expected.gpus - reserved.gpus,
                expected.memory_gb - reserved.memory_gb,
            )
            slots = min(slots, count - placed)
            reserved.add(spec, slots)
            placed += slots
        return placed


def plan_rentals(cluster_state: ClusterState, refusals: Refusals, now: timedelta) -> dict[Offer, int]:
    """Machines to rent for open tasks that have no free capacity and will have none on machines that are booting."""
    plan = _Plan(cluster_state, refusals, now)
    if not plan.available:
        return {}  # no offer is open, so nothing can be rented whatever is waiting
    for run in cluster_state.backlog:
        if cluster_state.blocked_by_unsettled(run) or cluster_state.job_failures.is_paused(run.spec.job, now):
            continue
        try:
            plan.add_run(run)
        except Exception:
            cluster_state.job_failures.add(run.spec.job, "planning of rentals", now)
    return plan.rent


class _Plan:
    """The machines to rent now, added up job by job."""

    def __init__(self, cluster_state: ClusterState, refusals: Refusals, now: timedelta) -> None:
        self.rent: dict[Offer, int] = {}
        self._cluster_state = cluster_state
        self._types = cluster_state.types
        self._refusals = refusals
        self._now = now
        self.available = {
            (machine_type.name, zone, spot)
            for machine_type in cluster_state.types.values()
            for zone in machine_type.zones
            for spot in ((True, False) if machine_type.spot_price is not None else (False,))
            if refusals.is_open((machine_type.name, zone, spot), now)
        }
        self._planned_usage: dict[str, Usage] = {}  # by team: the part of its limit planned for earlier jobs
        self._planned_tasks = 0
        cluster_state.count_ended_tasks()
        self._expected: ExpectedCapacity | None = None
        self._bins: dict[Offer, MachineBins] = {}
        for machine in cluster_state.pool.in_states(MachineState.BOOTING):
            if machine.machine_type is not None:
                self._bins_for((machine.type, machine.zone, machine.spot)).add(1)

    def _bins_for(self, offer: Offer) -> MachineBins:
        bins = self._bins.get(offer)
        if bins is None:
            bins = self._bins[offer] = MachineBins(offer, self._types[offer[0]])
        return bins

    def add_run(self, run: JobRun) -> None:
        spec = run.spec
        planned_usage = self._planned_usage.setdefault(spec.team, Usage())
        left = min(
            len(run.open),
            self._cluster_state.team_headroom(spec, planned_usage),
            max(self._cluster_state.task_headroom(spec) - self._planned_tasks, 0),
        )
        if run.is_gang and left < len(run.open):
            return  # the whole gang waits until the limits allow all its tasks
        planned_usage.add(spec, left)
        self._planned_tasks += left
        options = self._cluster_state.machine_options(spec)
        if spec.one_zone and run.placements:
            zone = next(iter(run.placements.values()))[0].machine.zone
            options = [option for option in options if option.offer[1] == zone]
        if spec.spread:
            self._add_spread_tasks(run, left, options)
        else:
            self._add_tasks(run, left, options)

    def _add_spread_tasks(self, run: JobRun, left: int, options: list[MachineOption]) -> None:
        """Adds machines for tasks of a job of which each zone takes a limited number, in the cheapest zones first."""
        headroom = scoring.zone_headroom(run.spec, run.live)
        assert headroom is not None
        lowest_costs: dict[str, float] = {}
        for option in options:
            zone = option.offer[1]
            lowest_costs[zone] = min(option.cost, lowest_costs.get(zone, math.inf))
        for zone in sorted(lowest_costs, key=lambda zone: (lowest_costs[zone], zone)):
            count = min(left, headroom[zone])
            if count > 0:
                zone_options = [option for option in options if option.offer[1] == zone]
                left -= count - self._add_tasks(run, count, zone_options, zone)

    def _add_tasks(self, run: JobRun, left: int, options: list[MachineOption], zone: str | None = None) -> int:
        """Adds machines for tasks of a job; returns how many remain without one.

        ``options`` are those of ``zone``, if one is given.
        """
        spec = run.spec
        for option in options:
            if left > 0 and option.offer in self._bins:
                left -= self._bins[option.offer].place(spec, left)
        if left <= 0:
            return 0
        options = [option for option in options if not self._is_too_expensive(run, option)]
        left = self._add(run, left, [option for option in options if option.offer[2]])
        if not run.is_gang:
            # A slot that will be released is used instead of a machine that would be up no sooner, if the
            # job's slack allows it. An expensive machine that would be up later is not rented in any case.
            slack = self._cluster_state.slack(run, self._now)
            left -= self._place_on_expected(spec, left, min(slack, _boot_time(options)), zone)
            left = self._add(run, left, [option for option in options if not option.expensive])
            expensive = [option for option in options if option.expensive]
            left -= self._place_on_expected(spec, left, _boot_time(expensive), zone)
        return self._add(run, left, options)

    def _place_on_expected(self, spec: JobSpec, left: int, duration: timedelta, zone: str | None) -> int:
        """Places tasks on capacity that is expected within the duration, in ``zone`` only if one is given.

        Returns how many found a slot.
        """
        if left <= 0 or duration <= ZERO_DURATION:
            return 0
        if self._expected is None:
            self._expected = ExpectedCapacity(self._cluster_state, self._now)
        return self._expected.place(spec, left, duration, zone)

    def _add(self, run: JobRun, left: int, options: list[MachineOption]) -> int:
        """Adds machines to the plan for a run's tasks; returns how many tasks remain without one."""
        if not any(option.offer in self.available for option in options):
            return left
        min_cost = min(option.cost for option in options)
        while left > 0:
            best = self._cheapest(run, left, options, min_cost)
            if best is None:
                break
            offer = best.offer
            count = min(max(left // best.tasks_per_machine, 1), MAX_RENTED_PER_ROUND - self.rent.get(offer, 0))
            self.rent[offer] = self.rent.get(offer, 0) + count
            log.debug(
                "planned rental: %d %s for %s %s", count, "/".join(map(str, offer)), run.spec.jobclass, run.spec.job
            )
            self._bins_for(offer).add(count)
            left -= self._bins_for(offer).place(run.spec, left)
        return left

    def _is_too_expensive(self, run: JobRun, option: MachineOption) -> bool:
        """Whether the option is an expensive machine that the job does not need or that would be up too late for it."""
        return option.expensive and self._cluster_state.can_wait(
            run, self._now, timedelta(seconds=option.machine_type.boot_s)
        )

    def _cheapest(self, run: JobRun, left: int, options: list[MachineOption], min_cost: float) -> MachineOption | None:
        can_wait = run.spec.priority.rank > Priority.HIGH.rank and not (
            run.waiting_since is not None and self._now - run.waiting_since > ANY_PRICE_AFTER
        )
        best: MachineOption | None = None
        best_cost = float("inf")
        for option in options:
            if option.offer not in self.available:
                continue
            slots = min(option.tasks_per_machine, left)
            cost = option.machine_type.cost(option.offer[2]) / slots
            if (
                can_wait
                and slots < MIN_USED_SHARE * option.tasks_per_machine
                and cost > UNDERUSED_PRICE_RATIO * min_cost
            ):
                continue  # an expensive machine that would be mostly empty: the tasks wait for slots instead
            if cost < best_cost:
                best, best_cost = option, cost
        if best is not None and self.rent.get(best.offer, 0) >= MAX_RENTED_PER_ROUND:
            return None  # the cloud may have more of these: the next round rents them before more expensive ones
        return best


def _boot_time(options: list[MachineOption]) -> timedelta:
    return min((timedelta(seconds=option.machine_type.boot_s) for option in options), default=ZERO_DURATION)


def _idle_limit(
    machine_type: MachineType, offer: Offer, specs: Iterable[JobSpec], cluster_state: ClusterState, max_idle: timedelta
) -> timedelta:
    """How long a machine may stay idle before it is returned to the cloud.

    Returning it too soon wastes one boot, keeping it wastes the time that it is kept. The two
    break even at its boot time or, if that is short, at a part of the minute that its successor
    costs. A machine whose slots cost more than those of another ordinary machine is less
    likely to be needed again, so its limit is lower.
    """
    best_price_ratio = 0.0
    image_fetch = timedelta(0)
    for spec in specs:
        cost = scoring.cost_per_task(machine_type, offer[2], spec)
        if allows(spec, *offer) and cost != math.inf:
            # Compared with ordinary machines, as a returned spot machine can seldom be rented again.
            cheapest = min(scoring.cost_per_task(other, False, spec) for other in cluster_state.types.values())
            price_ratio = min(cheapest / max(cost, 1e-9), 1.0)
            best_price_ratio = max(best_price_ratio, price_ratio)
            if spec.priority.rank <= Priority.HIGH.rank and price_ratio > 0.9 and spec.image:
                # On a newly rented machine, urgent work would have to wait for its images.
                image_fetch = max(
                    image_fetch, timedelta(seconds=spec.image_gb / max(machine_type.fetch_gb_per_s, 1e-3))
                )
    return min(
        max_idle,
        max(timedelta(seconds=machine_type.boot_s), MIN_BREAK_EVEN)
        * max(best_price_ratio * best_price_ratio, MIN_IDLE_LIMIT_RATIO)
        + image_fetch * KEEP_WARM_FETCHES,
    )


class IdleHistory:
    """How many machines of each offer have been idle at the same time, regardless of which ones.

    Tasks move between idle machines, so each machine may be used now and then although half of
    them are never in use at the same time.
    """

    def __init__(self) -> None:
        self._counts: dict[Offer, deque[tuple[timedelta, int]]] = {}

    def min_idle(self, offer: Offer, count: int, now: timedelta, window: timedelta) -> int:
        """Records how many are idle now; returns the minimum over the window, 0 if the history is shorter than that."""
        counts = self._counts.setdefault(offer, deque())
        counts.append((now, count))
        while len(counts) > 1 and counts[1][0] <= now - window:
            counts.popleft()
        return min(idle for _, idle in counts) if counts[0][0] <= now - window else 0

    def reset_others(self, offers: Iterable[Offer]) -> None:
        """Clears the history of all other offers: none of their machines is idle now."""
        self._counts = {offer: self._counts[offer] for offer in offers if offer in self._counts}

    def machines_returned(self, offer: Offer, count: int) -> None:
        """Subtracts the returned machines from each recorded count."""
        counts = self._counts[offer]
        self._counts[offer] = deque((when, max(idle - count, 0)) for when, idle in counts)


def plan_returns(
    cluster_state: ClusterState, idle_history: IdleHistory, now: timedelta, max_idle: timedelta
) -> list[Machine]:
    """Machines to return to the cloud.

    These are lost machines, empty leaving machines without a spot notice (the cloud takes back
    machines with a notice), machines that have been booting for too long, and ready machines
    that have been idle for their idle limit (``max_idle`` at most) or are surplus, unless a
    waiting job could use them.
    """
    found = cluster_state.pool.in_states(MachineState.LOST)
    found += [m for m in cluster_state.pool.in_states(MachineState.LEAVING) if not m.live and m.removal_at is None]
    for machine in cluster_state.pool.in_states(MachineState.BOOTING):
        startup = timedelta(seconds=machine.machine_type.boot_s if machine.machine_type is not None else 60)
        if now - machine.created > startup * 4 + timedelta(seconds=20):
            found.append(machine)
    specs = {run.spec.jobclass: run.spec for run in cluster_state.runs.values() if not run.ended}.values()
    empty = _empty_machines(cluster_state)
    idle_history.reset_others(empty)
    for offer, machines in empty.items():
        machine_type = machines[0].machine_type
        idle_limit = (
            max_idle if machine_type is None else _idle_limit(machine_type, offer, specs, cluster_state, max_idle)
        )
        machines.sort(key=lambda machine: (now if machine.idle_since is None else machine.idle_since, machine.name))
        surplus = idle_history.min_idle(offer, len(machines), now, idle_limit * SURPLUS_WINDOW_RATIO)
        returnable = [
            machine
            for index, machine in enumerate(machines)
            if machine.idle_since is not None and (index < surplus or now - machine.idle_since >= idle_limit)
        ]
        if returnable and (machine_type is None or not _is_needed(cluster_state, offer, machine_type, now)):
            idle_history.machines_returned(offer, len(returnable))
            found += returnable
    return found


def _empty_machines(cluster_state: ClusterState) -> dict[Offer, list[Machine]]:
    """Ready machines by offer that have no tasks and no reserved capacity."""
    found: dict[Offer, list[Machine]] = {}
    for machine in cluster_state.pool.in_states(MachineState.READY):
        if machine.live or machine.reserved.cpus > 1e-6 or machine.reserved.gpus > 1e-6:
            continue
        found.setdefault((machine.type, machine.zone, machine.spot), []).append(machine)
    return found


def _is_needed(cluster_state: ClusterState, offer: Offer, machine_type: MachineType, now: timedelta) -> bool:
    """Whether a waiting job could use an empty machine of this offer."""
    return any(
        _could_use(cluster_state, run, offer, machine_type, now)
        for run in cluster_state.backlog
        if not cluster_state.job_failures.is_paused(run.spec.job, now)
    )


def _could_use(
    cluster_state: ClusterState, run: JobRun, offer: Offer, machine_type: MachineType, now: timedelta
) -> bool:
    """Whether the job could use an empty machine of this offer; False if its evaluation fails."""
    try:
        return (
            allows(run.spec, *offer)
            and scoring.task_capacity(machine_type, run.spec) > 0
            and cluster_state.team_headroom(run.spec) > 0
            and not (cluster_state.is_expensive(machine_type, offer[2], run.spec) and cluster_state.can_wait(run, now))
        )
    except Exception:
        cluster_state.job_failures.add(run.spec.job, "planning of returns", now)
        return False
