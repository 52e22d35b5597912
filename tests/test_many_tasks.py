"""Jobs of many small tasks: no step of the leader takes time that grows with the square of their number."""

import time
from collections.abc import Callable
from datetime import timedelta

import pytest

from gingerspar.controller import PEER_CONTACT_LOST_AFTER
from gingerspar.coordination.cluster.job_runs import GangState
from gingerspar.coordination.cluster.machine import MAX_TASKS_PER_MACHINE, Machine, MachineState
from gingerspar.coordination.cluster.task_limit import ROUTINE_SHARE, max_tasks_on_machines
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.machines import fleet as fleet_planning
from gingerspar.coordination.placement.placer import MAX_PLACED_TASKS
from gingerspar.protocol.messages import (
    MAX_TASKS,
    Cause,
    JobSpec,
    JobStatus,
    MachineType,
    Priority,
    Shape,
    TaskReport,
    TaskStatus,
)
from gingerspar.protocol.settings import TeamFacts, WorkerFacts
from gingerspar.storage.records import Claimant, JobRecord
from gingerspar.storage.task_set import TaskSet
from tests.test_scale import Fleet

JOB = "wk-000001"
# A leader that stands still for longer counts as failed.
MAX_STEP_S = PEER_CONTACT_LOST_AFTER.total_seconds()


class SmallTaskFleet(Fleet):
    """A leader with machines on which ``MAX_TASKS_PER_MACHINE`` tasks fit; measures the longest of its steps."""

    def __init__(self, machines: int, max_tasks_on_machines: int | None = None) -> None:
        super().__init__(machines)
        self.dispatcher.cluster_state._task_limit.max_tasks = max_tasks_on_machines
        self.longest_step_s = 0.0

    def add_small_tasks(
        self,
        tasks: int,
        shape: Shape = Shape.ARRAY,
        number: int = 1,
        priority: Priority = Priority.NORMAL,
        *,
        one_zone: bool = False,
    ) -> None:
        spec = JobSpec(
            f"wk-{number:06d}", "c", "red", shape, priority, tasks, 0.03, 0.03, estimate_s=60.0, one_zone=one_zone
        )
        record = JobRecord(spec, JobStatus.RUNNING, 1, Claimant("n1", 1), float(number), 1, 1)
        self.step(lambda: self.dispatcher.set_record(spec.job, record, TaskSet(tasks), self.now))

    def step(self, step: Callable[[], object]) -> None:
        began = time.process_time()
        step()
        self.longest_step_s = max(self.longest_step_s, time.process_time() - began)

    def place_all(self) -> list[int]:
        """Places all work that fits; returns how many tasks each call has placed."""
        placed: list[int] = []
        self.dispatcher.needs_placement = True
        while self.dispatcher.needs_placement:
            before = self.task_count()
            self.step(lambda: self.dispatcher.place_tasks(self.now))
            placed.append(self.task_count() - before)
        return placed

    def task_count(self) -> int:
        return sum(len(machine.live) for machine in self.dispatcher.pool)

    def report(self, machine: Machine, status: TaskStatus, cause: Cause | None = None) -> None:
        """The machine reports the same status for all its tasks."""
        tasks = [TaskReport(placement.name, placement.attempt, status, cause) for placement in machine.live.values()]
        self.step(lambda: self.report_tasks(machine, tasks))

    def record_results(self) -> None:
        """The record of the first job shows all results that have been reported."""
        run = self.dispatcher.runs[JOB]
        self.dispatcher.set_record(JOB, run.record, run.finished.copy(), self.now)

    def start_all(self) -> list[Machine]:
        """All placed tasks are sent to their machines and run; returns the machines."""
        machines = list(self.dispatcher.pool.in_states(MachineState.READY))
        for machine in machines:
            self.report_tasks(machine, [])
            self.report(machine, TaskStatus.RUNNING)
        return machines


def test_large_array_is_placed_in_several_calls() -> None:
    """100,000 tasks were placed in one call, in which the leader answered nothing for seconds."""
    fleet = SmallTaskFleet(40)
    fleet.add_small_tasks(MAX_TASKS)
    placed = fleet.place_all()
    assert max(placed) <= MAX_PLACED_TASKS
    assert sum(placed) == 40 * MAX_TASKS_PER_MACHINE
    machines = fleet.start_all()
    for machine in machines:
        fleet.report(machine, TaskStatus.EXITED, Cause.DONE)
    fleet.record_results()
    for machine in machines:
        fleet.report_tasks(machine, [])
    placed = fleet.place_all()  # on the machines that have gained free capacity
    assert max(placed) <= MAX_PLACED_TASKS
    assert sum(placed) == 40 * MAX_TASKS_PER_MACHINE


def test_large_array_in_one_zone_is_placed_without_standing_still() -> None:
    """The tasks of the job in each zone were counted anew for each task that was placed."""
    fleet = SmallTaskFleet(80)
    fleet.add_small_tasks(MAX_TASKS, one_zone=True)
    assert sum(fleet.place_all()) == 80 * MAX_TASKS_PER_MACHINE
    assert fleet.longest_step_s < MAX_STEP_S


def test_many_equal_jobs_are_placed_without_standing_still() -> None:
    """Each job that was placed made the leader search all jobs of its kind for the smallest demand."""
    fleet = SmallTaskFleet(80)
    for number in range(1, 5001):
        fleet.add_small_tasks(1, number=number)
    assert sum(fleet.place_all()) == 5000
    assert fleet.longest_step_s < MAX_STEP_S


def test_large_gang_that_loses_a_machine_is_stopped_without_standing_still() -> None:
    """Each task that ended made the leader visit all others of its gang, and planned ones nested these visits."""
    fleet = SmallTaskFleet(20)
    fleet.add_small_tasks(20 * MAX_TASKS_PER_MACHINE, Shape.GANG)
    fleet.place_all()
    run = fleet.dispatcher.runs[JOB]
    assert len(run.placements) == run.spec.tasks
    first, *others = list(fleet.dispatcher.pool)
    fleet.step(lambda: fleet.dispatcher.machine_lost(first, "test", fleet.now))
    assert (run.gang_state, len(run.placements), len(run.open)) == (GangState.IDLE, 0, run.spec.tasks)

    fleet.add_small_tasks(19 * MAX_TASKS_PER_MACHINE, Shape.GANG, number=2)
    fleet.place_all()
    fleet.start_all()
    run = fleet.dispatcher.runs["wk-000002"]
    assert run.running == run.spec.tasks
    fleet.step(lambda: fleet.dispatcher.machine_lost(others[0], "test", fleet.now))
    assert all(placement.stop_grace is not None for placement in run.live)
    for machine in others[1:]:
        fleet.report(machine, TaskStatus.EXITED, Cause.STOPPED)
    assert (run.gang_state, len(run.open)) == (GangState.IDLE, run.spec.tasks)
    assert fleet.longest_step_s < MAX_STEP_S


def test_large_gang_completes_without_standing_still() -> None:
    """Each task that was done made the leader visit all tasks of its gang."""
    fleet = SmallTaskFleet(40)
    fleet.add_small_tasks(40 * MAX_TASKS_PER_MACHINE, Shape.GANG)
    fleet.place_all()
    for machine in fleet.start_all():
        fleet.report(machine, TaskStatus.EXITED, Cause.DONE)
    assert fleet.dispatcher.runs[JOB].finished.full
    assert fleet.longest_step_s < MAX_STEP_S


def test_large_array_that_fails_everywhere_does_not_stop_the_leader() -> None:
    """Each failure was compared with all other tasks of the job."""
    fleet = SmallTaskFleet(200)
    fleet.add_small_tasks(MAX_TASKS)
    fleet.place_all()
    machines = fleet.start_all()
    fleet.now += timedelta(seconds=1)
    for machine in machines[-3:]:
        fleet.report(machine, TaskStatus.EXITED, Cause.ERROR)
    assert len(fleet.dispatcher.runs[JOB].failures) == 3
    assert fleet.longest_step_s < MAX_STEP_S


def test_task_that_ran_long_elsewhere_shows_that_the_job_is_sound() -> None:
    """Among thousands of tasks that were placed later, the few that run well still count."""
    fleet = SmallTaskFleet(10)
    fleet.add_small_tasks(10 * MAX_TASKS_PER_MACHINE)
    fleet.place_all()
    machines = list(fleet.dispatcher.pool)
    fleet.report_tasks(machines[0], [])
    fleet.report(machines[0], TaskStatus.RUNNING)
    fleet.now += timedelta(seconds=30)
    for machine in machines[1:]:
        fleet.report_tasks(machine, [])
        fleet.report(machine, TaskStatus.RUNNING)
    fleet.report(machines[-1], TaskStatus.EXITED, Cause.ERROR)
    assert fleet.dispatcher.runs[JOB].has_succeeded


# -- limit on the tasks of all machines ---------------------------------------------------------------------------

TASK_LIMIT = 2000


def test_tasks_of_all_machines_stay_within_the_limit() -> None:
    """A few arrays of very small tasks on a full fleet took every new leader over its memory limit."""
    fleet = SmallTaskFleet(10, TASK_LIMIT)
    fleet.add_small_tasks(MAX_TASKS)
    fleet.place_all()
    assert fleet.task_count() == TASK_LIMIT * ROUTINE_SHARE
    fleet.add_small_tasks(3, Shape.GANG, 2, Priority.HIGH)
    fleet.place_all()
    assert len(fleet.dispatcher.runs["wk-000002"].placements) == 3  # urgent work starts at the routine limit
    # Machines whose tasks could not be placed would stay idle.
    plan = fleet_planning.plan_rentals(fleet.dispatcher.cluster_state, fleet_planning.Refusals(), fleet.now)
    assert plan == {}
    # Ended tasks count until their worker has been told to forget them.
    machine = next(machine for machine in fleet.start_all() if len(machine.live) == MAX_TASKS_PER_MACHINE)
    fleet.report(machine, TaskStatus.EXITED, Cause.DONE)
    before = fleet.task_count()
    fleet.place_all()
    assert fleet.task_count() == before
    fleet.record_results()
    fleet.report(machine, TaskStatus.EXITED, Cause.DONE)
    fleet.report_tasks(machine, [])
    fleet.place_all()
    assert fleet.task_count() == TASK_LIMIT * ROUTINE_SHARE


@pytest.mark.parametrize(("memory_mb", "expected"), [(0.0, None), (138.0, 70_656)])
def test_limit_follows_from_the_memory(memory_mb: float, expected: int | None) -> None:
    assert max_tasks_on_machines(memory_mb) == expected


def test_dispatcher_limits_tasks() -> None:
    workers = WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43)
    limited = Dispatcher(1, timedelta(0), workers, [TeamFacts("red")], max_tasks_on_machines=10)
    limited.set_types([MachineType("box", 16, 64, zones=("a",), price=1.0)])
    spec = JobSpec(JOB, "c", "red", Shape.ARRAY, Priority.NORMAL, 50, 1.0, 1.0)
    assert limited.cluster_state.task_headroom(spec) == 9
