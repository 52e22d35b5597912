"""The capacity index gives the same result at any time as a scan of all machines.

The source of the class ``RandomSteps``, with its docstrings, is part of the seed of the generated cases (Hypothesis
hashes the source of a state machine, without comments): renaming anything in it changes these cases.
"""

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gingerspar.coordination.cluster.capacity_index import MAX_INDEXES
from gingerspar.coordination.cluster.cluster_state import ClusterState
from gingerspar.coordination.cluster.job_runs import JobRun
from gingerspar.coordination.cluster.machine import Machine, MachineState, Placement, TaskState, fits
from gingerspar.coordination.cluster.pool import allows
from gingerspar.protocol.messages import JobSpec, JobStatus, MachineType, Priority, Shape
from gingerspar.protocol.settings import TeamFacts
from gingerspar.storage.records import JobRecord
from gingerspar.storage.task_set import TaskSet

KINDS = [
    MachineType("plain", 16, 64, zones=("a", "b"), price=1.0, spot_price=0.3, boot_s=20),
    MachineType("cards", 48, 192, gpus=4, zones=("a", "b"), price=9.0, spot_price=3.0, boot_s=25),
]
MACHINES = 3
ROUTINE, URGENT = Priority.LOW, Priority.HIGH


def _spec(number: int, priority: Priority, cpus: float, gpus: float = 0.0, **changes: object) -> JobSpec:
    job = f"wk-{number:06d}"
    return JobSpec(job, "c", "red", Shape.ARRAY, priority, 50, cpus, 4 * cpus, gpus, **changes)  # type: ignore[arg-type]


# Specifications of tasks for which the capacity is queried after each step.
QUERIED_SPECS = [
    _spec(1, URGENT, 15.0),
    _spec(2, URGENT, 6.0, one_zone=True, spot=True),
    _spec(3, Priority.NORMAL, 10.0, 1.0, spot=True),
    _spec(4, URGENT, 4.0, types=("cards",), zone="b"),
]


class RandomSteps(RuleBasedStateMachine):
    """Random steps on a fleet of three machines; after each, the index is compared with a scan of all machines.

    Tasks are placed, run, end and are stopped; capacity is reserved and released; machines are drained and replaced.
    """

    @initialize()
    def add_machines(self) -> None:
        self.now = timedelta(0)
        self.cluster_state = ClusterState(1, [TeamFacts("red")])
        self.cluster_state.set_types(KINDS)
        self.last_number = 0
        self.reserved_runs: list[JobRun] = []
        for number in range(MACHINES):
            self._add(f"n-{number}", number)

    def _add(self, name: str, number: int) -> None:
        kind, zone, spot = ("plain", "cards")[number % 2], "ab"[number // 2 % 2], number % 3 == 0
        machine = self.cluster_state.add_machine(name, kind, zone, spot, self.now, MachineState.BOOTING)
        machine.move(MachineState.READY)
        machine.mark_rostered()

    def _pick(self, number: int) -> Machine:
        machines = list(self.cluster_state.pool)
        return machines[number % len(machines)]

    def _run(self, spec: JobSpec) -> JobRun:
        run = JobRun(spec, JobRecord(spec, JobStatus.RUNNING, 1), TaskSet(50))
        self.cluster_state.runs[spec.job] = run
        return run

    @rule(at=st.integers(0, 99), urgent=st.booleans(), cpus=st.sampled_from([2.5, 7.0]), cards=st.booleans())
    def place_task(self, at: int, urgent: bool, cpus: float, cards: bool) -> None:
        machine = self._pick(at)
        self.last_number += 1
        spec = _spec(100 + self.last_number, URGENT if urgent else ROUTINE, cpus, 1.0 if cards else 0.0)
        if machine.state is MachineState.READY and machine.tasks_that_fit(spec):
            self.cluster_state.add_placement(self._run(spec), Placement(spec, 0, 1, machine, TaskState.SENT, self.now))

    @rule(at=st.integers(0, 99), which=st.integers(0, 99), step=st.sampled_from([TaskState.RUNNING, None]))
    def run_or_end_task(self, at: int, which: int, step: TaskState | None) -> None:
        live = list(self._pick(at).live.values())
        if live:
            placement = live[which % len(live)]
            if step is None:
                self.cluster_state.task_gone(placement, self.now)
            else:
                self.cluster_state.move_task(placement, step, self.now)

    @rule(at=st.integers(0, 99), which=st.integers(0, 99))
    def stop_task(self, at: int, which: int) -> None:
        live = list(self._pick(at).live.values())
        if live:
            self.cluster_state.stop_task(live[which % len(live)], timedelta(0), self.now)

    @rule(at=st.integers(0, 99), count=st.integers(1, 3))
    def reserve_capacity(self, at: int, count: int) -> None:
        self.last_number += 1
        run = self._run(_spec(100 + self.last_number, URGENT, 5.0))
        self.cluster_state.reserve(run, {self._pick(at): count}, self.now)
        self.reserved_runs.append(run)

    @rule()
    def release_capacity(self) -> None:
        if self.reserved_runs:
            self.cluster_state.release_reservation(self.reserved_runs.pop(0))

    @rule(at=st.integers(0, 99))
    def drain_machine(self, at: int) -> None:
        machine = self._pick(at)
        if machine.state is MachineState.READY:
            machine.move(MachineState.LEAVING)

    @rule(at=st.integers(0, 99))
    def replace_machine(self, at: int) -> None:
        machine = self._pick(at)
        if any(machine in run.reserved for run in self.reserved_runs):
            return
        machine.move(MachineState.RETURNING)
        self.cluster_state.remove_machine(machine, self.now)
        self.last_number += 1
        self._add(f"n-{self.last_number + MACHINES}", self.last_number)

    @rule(seconds=st.integers(1, 30))
    def advance_time(self, seconds: int) -> None:
        self.now += timedelta(seconds=seconds)

    @invariant()
    def index_equals_full_scan(self) -> None:
        """Compares the index with the free slots, and the slots gained by preemption, computed for each machine."""
        for spec in QUERIED_SPECS:
            index = self.cluster_state.pool.capacity(spec)
            rank = spec.priority.rank
            expected: dict[str, tuple[int, int]] = {}
            for machine in self.cluster_state.pool:
                if machine.state is not MachineState.READY:
                    continue
                if not allows(spec, machine.type, machine.zone, machine.spot):
                    continue
                free = machine.tasks_that_fit(spec)
                cpus, gpus, memory = machine.free()
                for placement in machine.live.values():
                    if placement.spec.priority.rank > rank:
                        other = placement.spec
                        cpus, gpus, memory = cpus + other.cpus, gpus + other.gpus, memory + other.memory_gb
                more = fits(spec, cpus, gpus, memory) - free
                if free or more:
                    expected[machine.name] = (free, more)
            assert {
                name: (capacity.free, capacity.by_stopping) for name, capacity in index.capacities.items()
            } == expected
            assert set(index.free) == {name for name, (free, _) in expected.items() if free}
            total = sum(free + more for free, more in expected.values())
            assert sum(capacity.total for _, capacity in index.totals()) == total
            ranked = [machine.name for machine in index.by_stop_cost(self.now)]
            assert sorted(ranked) == sorted(name for name, (_, more) in expected.items() if more)


TestCapacityIndex = RandomSteps.TestCase
TestCapacityIndex.settings = settings(max_examples=40, stateful_step_count=50, derandomize=True, deadline=None)


def test_number_of_cached_kinds_is_limited() -> None:
    """Jobs whose tasks all differ a little must not make every change of a machine more expensive from then on."""
    cluster_state = ClusterState(1, [TeamFacts("red")])
    for number in range(3 * MAX_INDEXES):
        cluster_state.pool.capacity(_spec(number, URGENT, 1.0 + number / 100))
    assert len(cluster_state.pool._capacity_indexes._indexes) == MAX_INDEXES
