"""The share of a class that has fallen far behind, and the order of jobs without a deadline or objective."""

from datetime import timedelta

from gingerspar.coordination.cluster.job_order import DELAY_PER_WORK_DOUBLING, JobOrder
from gingerspar.coordination.cluster.job_runs import JobRun
from gingerspar.coordination.cluster.machine import Machine, MachineState, TaskState
from gingerspar.coordination.cluster.service_level import LAGGING_SHARE, ServiceLevelState
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.protocol.messages import JobSpec, JobStatus, MachineType, Priority, Shape
from gingerspar.protocol.settings import Objective, TeamFacts, WorkerFacts
from gingerspar.storage.records import Claimant, JobRecord
from gingerspar.storage.task_set import TaskSet

MACHINES = 20


def s(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def spec(job: str, jobclass: str = "routine", **changes: object) -> JobSpec:
    base: dict[str, object] = {
        "job": job, "jobclass": jobclass, "team": "red", "shape": Shape.ARRAY, "priority": Priority.LOW, "tasks": 4,
        "cpus": 4.0, "memory_gb": 4.0, "estimate_s": 10.0, "spot": True,
    }  # fmt: skip
    return JobSpec(**{**base, **changes})  # type: ignore[arg-type]


def urgent_gang(job: str) -> JobSpec:
    return spec(job, "urgent", shape=Shape.GANG, priority=Priority.HIGH, tasks=1, cpus=16.0, spot=False)


def record(job: JobSpec, submitted: float = 0.0) -> JobRecord:
    return JobRecord(job, JobStatus.RUNNING, 1, Claimant("n1", 1), submitted=submitted, first_term=1, claim_term=1)


class ContendedFleet:
    """A fleet with urgent gangs on all machines; more urgent gangs and forty routine jobs wait."""

    def __init__(self) -> None:
        self.dispatcher = Dispatcher(1, s(0), WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43), [TeamFacts("red")])
        self.cluster_state = self.dispatcher.cluster_state
        self.dispatcher.set_types([MachineType("big", 16, 64, zones=("a",), price=1.0, boot_s=20)])
        self.machines = [
            self.cluster_state.add_machine(f"m{number:02d}", "big", "a", False, s(0), MachineState.READY, rostered=True)
            for number in range(MACHINES)
        ]
        for number in range(3 * MACHINES):
            self.add_job(urgent_gang(f"wk-u{number}"))
        for _ in range(60):
            self.cluster_state.service_levels.job_ended("urgent", done=True)
        for number in range(40):
            self.add_job(spec(f"wk-r{number}"))
        self.place_at(1)

    def add_job(self, job: JobSpec) -> None:
        self.dispatcher.set_record(job.job, record(job), TaskSet(job.tasks), s(0))

    def place_at(self, second: float) -> None:
        self.dispatcher.place_tasks(s(second))

    def running(self, jobclass: str) -> int:
        return sum(p.spec.jobclass == jobclass for machine in self.machines for p in machine.live.values())

    def finish_all(self, machine: Machine, second: float) -> None:
        """Finishes all tasks on the machine."""
        for placement in list(machine.live.values()):
            run = self.cluster_state.task_exited(placement, s(second))
            self.cluster_state.task_done(run, placement.number)
            self.dispatcher.set_record(run.spec.job, None, None, s(second), done=True)


def test_lagging_class_gets_its_share_and_no_more() -> None:
    """bench/days/cheap-machines-gone-kerlann: for minutes urgent gangs had all ordinary machines, rendering none."""
    fleet = ContendedFleet()
    assert (fleet.running("urgent"), fleet.running("routine")) == (MACHINES, 0)
    fleet.place_at(70)
    assert fleet.cluster_state.service_levels.lagging() == {}  # no routine job is overdue yet
    fleet.place_at(90)
    assert list(fleet.cluster_state.service_levels.lagging()) == ["routine"]
    # Released capacity goes to the lagging class first, but only up to its share: 20% of 320 processors.
    for machine in fleet.machines[:8]:
        fleet.finish_all(machine, 91)
    fleet.place_at(92)
    assert fleet.running("routine") * 4 == LAGGING_SHARE * MACHINES * 16
    assert fleet.running("urgent") == MACHINES - 4


def test_urgent_work_does_not_preempt_tasks_placed_within_the_share() -> None:
    fleet = ContendedFleet()
    fleet.place_at(90)
    for machine in fleet.machines[:8]:
        fleet.finish_all(machine, 91)
    for second in (92, 95, 98, 101):
        fleet.place_at(second)
    placed = [p for machine in fleet.machines for p in machine.live.values() if p.spec.jobclass == "routine"]
    assert len(placed) == 16
    assert all(p.protected and p.stop_grace is None and p.state is TaskState.PLANNED for p in placed)
    # Without this protection, the same gangs preempt the tasks.
    for placement in placed:
        placement.machine.remove_placement(placement)
        placement.protected = False
        placement.machine.add_placement(placement)
    fleet.place_at(104)
    assert fleet.running("routine") == 0


def test_class_that_has_caught_up_loses_its_share() -> None:
    fleet = ContendedFleet()
    fleet.place_at(90)
    level = fleet.cluster_state.service_levels.classes["routine"]
    assert level.state is ServiceLevelState.LAGGING
    for number in range(28):
        fleet.dispatcher.set_record(f"wk-r{number}", None, None, s(91), done=True)
    fleet.place_at(93)
    assert level.state is ServiceLevelState.SERVED
    for machine in fleet.machines[:4]:
        fleet.finish_all(machine, 94)
    fleet.place_at(95)
    assert fleet.running("routine") == 0


def test_small_jobs_go_before_large_ones_for_a_limited_time() -> None:
    """kerlann-fonts-fleet loss: in the order of submission 0.37 of the jobs were done, with small jobs first 0.60."""

    def small_goes_first(small_submitted: float, **options: object) -> bool:
        job_order = JobOrder([Objective("finished", "routine", 60.0)] if options else [])
        large = record(spec("wk-large", tasks=64, estimate_s=40.0), 0.0)
        small = record(spec("wk-small", tasks=16, estimate_s=40.0), small_submitted)
        return job_order.key(small) < job_order.key(large)

    two_doublings_s = 2 * DELAY_PER_WORK_DOUBLING.total_seconds()
    assert small_goes_first(two_doublings_s - 1)
    assert not small_goes_first(two_doublings_s + 1)
    # A class with an objective for the end of its jobs is served in the order of submission.
    assert not small_goes_first(1, objective=True)


def test_order_depends_on_the_remaining_tasks() -> None:
    job_order = JobOrder()
    large = record(spec("wk-large", tasks=64, estimate_s=40.0))
    small = record(spec("wk-small", tasks=16, estimate_s=40.0))
    assert job_order.key(large, remaining_tasks=2) < job_order.key(small) < job_order.key(large)
    run = JobRun(large.spec, large, TaskSet(64))
    assert run.order == large.order  # that of its record until the run is added to the cluster state
