"""What a class that falls far behind gets, and in which order work without a time is served."""

from datetime import timedelta

from gingerspar.coordination.cluster.job_order import DELAY_PER_WORK_DOUBLING, JobOrder
from gingerspar.coordination.cluster.job_runs import JobRun
from gingerspar.coordination.cluster.machine import Machine, MachineState, TaskState
from gingerspar.coordination.cluster.service_level import LAGGING_SHARE, ServiceLevelState
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.protocol.messages import JobSpec, JobStatus, MachineType, Priority, Shape
from gingerspar.protocol.settings import Objective, TeamFacts, WorkerFacts
from gingerspar.storage.records import Claimant, JobRecord, TaskSet

MACHINES = 20


def s(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def spec(job: str, jobclass: str = "routine", **changes: object) -> JobSpec:
    base: dict[str, object] = {
        "job": job, "jobclass": jobclass, "team": "red", "shape": Shape.ARRAY, "priority": Priority.LOW, "tasks": 4,
        "cpus": 4.0, "memory_gb": 4.0, "estimate_s": 10.0, "spot": True,
    }  # fmt: skip
    return JobSpec(**{**base, **changes})  # type: ignore[arg-type]


def urgent(job: str) -> JobSpec:
    return spec(job, "urgent", shape=Shape.GANG, priority=Priority.HIGH, tasks=1, cpus=16.0, spot=False)


def record(job: JobSpec, submitted: float = 0.0) -> JobRecord:
    return JobRecord(job, JobStatus.RUNNING, 1, Claimant("n1", 1), submitted=submitted, first_term=1, claim_term=1)


class Crowded:
    """Urgent gangs run on all machines and more of them wait; so do forty routine jobs."""

    def __init__(self) -> None:
        self.dispatcher = Dispatcher(1, s(0), WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43), [TeamFacts("red")])
        self.cluster_state = self.dispatcher.cluster_state
        self.dispatcher.set_types([MachineType("big", 16, 64, zones=("a",), price=1.0, boot_s=20)])
        self.machines = [
            self.cluster_state.add_machine(f"m{number:02d}", "big", "a", False, s(0), MachineState.READY, rostered=True)
            for number in range(MACHINES)
        ]
        for number in range(3 * MACHINES):
            self.add(urgent(f"wk-u{number}"))
        for _ in range(60):
            self.cluster_state.service_levels.job_ended("urgent", done=True)
        for number in range(40):
            self.add(spec(f"wk-r{number}"))
        self.pass_at(1)

    def add(self, job: JobSpec) -> None:
        self.dispatcher.set_record(job.job, record(job), TaskSet(job.tasks), s(0))

    def pass_at(self, second: float) -> None:
        self.dispatcher.place_tasks(s(second))

    def running(self, jobclass: str) -> int:
        return sum(p.spec.jobclass == jobclass for machine in self.machines for p in machine.live.values())

    def end(self, machine: Machine, second: float) -> None:
        """All that runs there completes."""
        for placement in list(machine.live.values()):
            run = self.cluster_state.task_exited(placement, s(second))
            self.cluster_state.task_done(run, placement.number)
            self.dispatcher.set_record(run.spec.job, None, None, s(second), done=True)


def test_a_class_that_lags_gets_its_share_and_no_more() -> None:
    """bench/days/cheap-machines-gone-kerlann: urgent gangs had all ordinary machines, rendering none for minutes."""
    crowd = Crowded()
    assert (crowd.running("urgent"), crowd.running("routine")) == (MACHINES, 0)
    crowd.pass_at(70)
    assert crowd.cluster_state.service_levels.lagging() == {}  # nothing of it should have been done yet
    crowd.pass_at(90)
    assert list(crowd.cluster_state.service_levels.lagging()) == ["routine"]
    # What comes free goes to it first, but only as far as its share reaches: 20% of 320 processors.
    for machine in crowd.machines[:8]:
        crowd.end(machine, 91)
    crowd.pass_at(92)
    assert crowd.running("routine") * 4 == LAGGING_SHARE * MACHINES * 16
    assert crowd.running("urgent") == MACHINES - 4


def test_urgent_work_does_not_stop_what_has_its_place_by_the_share() -> None:
    crowd = Crowded()
    crowd.pass_at(90)
    for machine in crowd.machines[:8]:
        crowd.end(machine, 91)
    for second in (92, 95, 98, 101):
        crowd.pass_at(second)
    placed = [p for machine in crowd.machines for p in machine.live.values() if p.spec.jobclass == "routine"]
    assert len(placed) == 16
    assert all(p.protected and p.stop_grace is None and p.state is TaskState.PLANNED for p in placed)
    # Without the shield, the same gangs stop it.
    for placement in placed:
        placement.machine.remove_placement(placement)
        placement.protected = False
        placement.machine.add_placement(placement)
    crowd.pass_at(104)
    assert crowd.running("routine") == 0


def test_a_class_that_has_caught_up_waits_its_turn_again() -> None:
    crowd = Crowded()
    crowd.pass_at(90)
    level = crowd.cluster_state.service_levels.classes["routine"]
    assert level.state is ServiceLevelState.LAGGING
    for number in range(28):
        crowd.dispatcher.set_record(f"wk-r{number}", None, None, s(91), done=True)
    crowd.pass_at(93)
    assert level.state is ServiceLevelState.SERVED
    for machine in crowd.machines[:4]:
        crowd.end(machine, 94)
    crowd.pass_at(95)
    assert crowd.running("routine") == 0


def test_small_jobs_go_before_large_ones_but_not_for_ever() -> None:
    """kerlann-fonts-fleet loss: in the order of submission 0.37 of the jobs were done, by turns 0.60."""

    def goes_first(small_came: float, **asked: object) -> bool:
        job_order = JobOrder([Objective("finished", "routine", 60.0)] if asked else [])
        large = record(spec("wk-large", tasks=64, estimate_s=40.0), 0.0)
        small = record(spec("wk-small", tasks=16, estimate_s=40.0), small_came)
        return job_order.key(small) < job_order.key(large)

    twice_doubled = 2 * DELAY_PER_WORK_DOUBLING.total_seconds()
    assert goes_first(twice_doubled - 1)
    assert not goes_first(twice_doubled + 1)
    # Where the operators say when a class should be done, it is served in the order of submission.
    assert not goes_first(1, objective=True)


def test_what_is_left_of_a_job_counts() -> None:
    job_order = JobOrder()
    large = record(spec("wk-large", tasks=64, estimate_s=40.0))
    small = record(spec("wk-small", tasks=16, estimate_s=40.0))
    assert job_order.key(large, remaining_tasks=2) < job_order.key(small) < job_order.key(large)
    run = JobRun(large.spec, large, TaskSet(64), TaskSet(64))
    assert run.order == large.order  # until the book has seen it
