"""How many machines of which kind: pure planning over the ledger."""

from dataclasses import dataclass, field
from datetime import timedelta

from gingerspar.coordination import placement as placing
from gingerspar.coordination.dispatcher import Dispatcher, JobRun
from gingerspar.coordination.ledger import Machine, MachineState
from gingerspar.protocol.messages import JobSpec, MachineType, Priority, Shape

Offer = tuple[str, str, bool]  # type, zone, spot

MOST_RENTED_AT_ONCE = 50
FIRST_REFUSAL = timedelta(seconds=4)
MOST_REFUSAL = timedelta(seconds=30)
LEAST_PATIENCE = 0.1  # of the boot time, for machines that nothing here needs
WARMTH = 4  # fetches of an urgent class's image that a cheap machine is kept for
DEAR = 3.0  # times the price of a place on the cheapest machine
FULL_ENOUGH = 0.75
WORTH_ANY_PRICE = timedelta(seconds=20)  # work that has waited so long gets whatever there is


@dataclass(slots=True)
class Bin:
    """Room on a machine that boots or that is about to be rented."""

    offer: Offer
    cpus: float
    gpus: float
    memory_gb: float

    def room_for(self, spec: JobSpec) -> int:
        fits = 1_000_000
        for have, need in ((self.cpus, spec.cpus), (self.gpus, spec.gpus), (self.memory_gb, spec.memory_gb)):
            if need > 0:
                fits = min(fits, int(have / need + 1e-9))
        return max(fits, 0)

    def put(self, spec: JobSpec, count: int) -> None:
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count
        self.memory_gb -= spec.memory_gb * count


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

    def open(self, offer: Offer, now: timedelta) -> bool:
        return self.until.get(offer, now) <= now


def _bin(offer: Offer, kind: MachineType) -> Bin:
    return Bin(offer, kind.cpus, kind.gpus, kind.memory_gb)


def offers(spec: JobSpec, types: dict[str, MachineType]) -> list[Offer]:
    found: list[Offer] = []
    for kind in types.values():
        for zone in kind.zones:
            for spot in (True, False) if spec.spot and kind.spot_price is not None else (False,):
                if placing.allows(spec, kind.name, zone, spot):
                    found.append((kind.name, zone, spot))
    return found


def wanted(dispatcher: Dispatcher, refusals: Refusals, now: timedelta) -> dict[Offer, int]:
    """Machines to rent for the open tasks that find no room, nor will on those that boot."""
    types = dispatcher.types
    bins = [
        _bin((m.type, m.zone, m.spot), m.kind)
        for m in dispatcher.machines.values()
        if m.state is MachineState.BOOTING and m.kind is not None
    ]
    rent: dict[Offer, int] = {}
    for run in dispatcher.waiting_runs(now):
        left = _open_tasks(dispatcher, run)
        if left <= 0:
            continue
        spec = run.spec
        choices = offers(spec, types)
        if spec.one_zone and run.places:
            zone = run.live[0].machine.zone
            choices = [offer for offer in choices if offer[1] == zone]
        for there in bins:
            if left <= 0:
                break
            if placing.allows(spec, *there.offer):
                take = min(there.room_for(spec), left)
                there.put(spec, take)
                left -= take
        while left > 0:
            best = _cheapest(run, left, choices, types, refusals, rent, now)
            if best is None:
                break
            fresh = _bin(best, types[best[0]])
            take = min(fresh.room_for(spec), left)
            fresh.put(spec, take)
            left -= take
            bins.append(fresh)
            rent[best] = rent.get(best, 0) + 1
    return rent


def _open_tasks(dispatcher: Dispatcher, run: JobRun) -> int:
    return min(len(run.open), dispatcher.team_room(run.spec))


def _cheapest(
    run: JobRun,
    left: int,
    choices: list[Offer],
    types: dict[str, MachineType],
    refusals: Refusals,
    rent: dict[Offer, int],
    now: timedelta,
) -> Offer | None:
    spec = run.spec
    least = min((placing.slot_cost(types[name], spot, spec) for name, _, spot in choices), default=0.0)
    patient = spec.priority.rank > Priority.HIGH.rank and not (
        run.first_open is not None and now - run.first_open > WORTH_ANY_PRICE
    )
    best: Offer | None = None
    best_cost = float("inf")
    for offer in choices:
        if not refusals.open(offer, now) or rent.get(offer, 0) >= MOST_RENTED_AT_ONCE:
            continue
        kind = types[offer[0]]
        full = placing.slots(kind, spec)
        slots = min(full, left)
        if slots <= 0:
            continue
        cost = kind.cost(offer[2]) / slots
        if patient and slots < FULL_ENOUGH * full and cost > DEAR * least:
            continue  # a dear machine that would stand mostly empty: wait for places here
        if cost < best_cost:
            best, best_cost = offer, cost
    return best


def patience_for(dispatcher: Dispatcher, machine: Machine, most: timedelta) -> timedelta:
    """How long a machine may idle.

    Giving it back too soon wastes one boot, keeping it wastes the time kept: its boot
    time is the even trade. A machine whose places cost more than another ordinary
    machine's is the less likely to be needed again.
    """
    kind = machine.kind
    if kind is None:
        return most
    specs = {run.spec.jobclass: run.spec for run in dispatcher.runs.values()}
    best = 0.0
    warm = timedelta(0)
    for spec in specs.values():
        mine = placing.slot_cost(kind, machine.spot, spec)
        if placing.allows(spec, machine.type, machine.zone, machine.spot) and mine != float("inf"):
            # Against ordinary machines: a spot machine that was given back is seldom to be had again.
            cheapest = min(placing.slot_cost(other, False, spec) for other in dispatcher.types.values())
            share = min(cheapest / max(mine, 1e-9), 1.0)
            best = max(best, share)
            if spec.priority.rank <= Priority.HIGH.rank and share > 0.9 and spec.image:
                # Urgent work would wait for its images on a machine rented anew.
                warm = max(warm, timedelta(seconds=spec.image_gb / max(kind.fetch_gb_per_s, 1e-3)))
    return min(most, timedelta(seconds=kind.boot_s) * max(best * best, LEAST_PATIENCE) + warm * WARMTH)


def idle(dispatcher: Dispatcher, now: timedelta, patience: timedelta) -> list[Machine]:
    """Machines to give back: nothing runs on them and nothing has for a while."""
    found: list[Machine] = []
    for machine in dispatcher.machines.values():
        if machine.state is MachineState.LOST or (
            machine.state is MachineState.LEAVING and not machine.live and machine.notice is None
        ):
            found.append(machine)
        elif machine.state is MachineState.READY and not machine.live and machine.idle_since is not None:
            longest = patience_for(dispatcher, machine, patience)
            if now - machine.idle_since >= longest and not _needed(dispatcher, machine, now):
                found.append(machine)
        elif machine.state is MachineState.BOOTING:
            startup = timedelta(seconds=machine.kind.boot_s if machine.kind is not None else 60)
            if now - machine.created > startup * 4 + timedelta(seconds=20):
                found.append(machine)
    return found


def _needed(dispatcher: Dispatcher, machine: Machine, now: timedelta) -> bool:
    return any(
        run.spec.shape is not Shape.GANG or run.open
        for run in dispatcher.waiting_runs(now)
        if placing.allows(run.spec, machine.type, machine.zone, machine.spot) and machine.room_for(run.spec) > 0
    )
