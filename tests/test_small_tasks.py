"""Very small tasks: as many as fit a machine by their size would not fit into its worker's report."""

from datetime import timedelta

from gingerspar.coordination.cluster.machine import MAX_TASKS_PER_MACHINE, MachineState
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.machines import fleet
from gingerspar.protocol.messages import (
    Cause,
    JobSpec,
    JobStatus,
    MachineType,
    Priority,
    Report,
    Shape,
    TaskReport,
    TaskStatus,
    encode,
)
from gingerspar.protocol.settings import TeamFacts, WorkerFacts
from gingerspar.storage.records import Claimant, JobRecord
from gingerspar.storage.task_set import TaskSet
from gingerspar.transport.server import MAX_BODY_BYTES
from tests.standins.cloud import wait_until
from tests.standins.cluster import Cluster, job
from tests.standins.simulated_time import SimulatedClock, run_simulated
from tests.standins.worker import LEASE_S

NOW = timedelta(seconds=10)


def test_report_of_a_machine_with_all_its_tasks_is_below_the_limit() -> None:
    task = TaskReport("wk-" + "9" * 20 + "/99999", 999_999, TaskStatus.EXITED, Cause.INCOMPLETE, False)
    report = Report("n-000001", "10.100.100.100:65535", "type" * 25, "zone" * 25, 999_999, 2**63, 2**63)
    assert len(encode(report)) + MAX_TASKS_PER_MACHINE * (len(encode(task)) + 1) < MAX_BODY_BYTES


def _dispatcher(machines: int) -> Dispatcher:
    dispatcher = Dispatcher(1, timedelta(0), WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43), [TeamFacts("red")])
    dispatcher.set_types([MachineType("box", 16, 64, cache_gb=60, zones=("a",), price=1.0, boot_s=20)])
    for number in range(machines):
        name = f"n-{number}"
        dispatcher.cluster_state.add_machine(name, "box", "a", False, NOW, MachineState.BOOTING)
        dispatcher.handle_report(Report(name, "10.0.0.9:1", "box", "a", 1, 1, 1), NOW)
        dispatcher.machines[name].mark_rostered()
    return dispatcher


def _place_job(dispatcher: Dispatcher, shape: Shape, tasks: int) -> list[int]:
    """Places a job of very small tasks; returns how many are on each machine."""
    spec = JobSpec("wk-000001", "c", "red", shape, Priority.NORMAL, tasks, 0.001, 0.001, estimate_s=60.0)
    record = JobRecord(spec, JobStatus.RUNNING, 1, Claimant("n1", 1), 0.0, 1, 1)
    dispatcher.set_record(spec.job, record, TaskSet(tasks), NOW)
    dispatcher.needs_placement = True
    while dispatcher.needs_placement:
        dispatcher.place_tasks(NOW)
    return [len(machine.live) for machine in dispatcher.pool]


def test_machine_gets_no_more_tasks_than_its_report_can_list() -> None:
    assert _place_job(_dispatcher(3), Shape.ARRAY, 1200) == [MAX_TASKS_PER_MACHINE, MAX_TASKS_PER_MACHINE, 200]
    assert _place_job(_dispatcher(2), Shape.GANG, 1200) == [0, 0]
    assert sum(_place_job(_dispatcher(3), Shape.GANG, 1200)) == 1200


def test_machines_are_rented_for_all_small_tasks_at_once() -> None:
    dispatcher = _dispatcher(1)
    assert _place_job(dispatcher, Shape.ARRAY, 2200) == [MAX_TASKS_PER_MACHINE]
    plan = fleet.plan_rentals(dispatcher.cluster_state, fleet.Refusals(), NOW)
    assert plan == {("box", "a", False): 4}


async def _run_small_tasks() -> None:
    cluster = Cluster(clock=SimulatedClock())
    small = {"Pieces": 2500, "Cpus": 0.001, "MemoryGb": 0.001, "GuessS": 2 * LEASE_S}
    cluster.cloud.jobs["wk-000001"] = job(1, **small)
    cluster.start()
    try:
        assert await wait_until(lambda: cluster.submit_job("n0", 1, **small), 10)
        assert await wait_until(lambda: cluster.submit_job("n0", 2), 10)

        async def done() -> bool:
            answers = [await cluster.request("n1", "GET", f"/v1/jobs/wk-{number:06d}") for number in (1, 2)]
            return [body["Status"] for status, body in answers if status == 200] == ["done", "done"]

        assert await wait_until(done, 90)
        assert not cluster.violations
        assert max(cluster.cloud.start_counts.values()) == 1, "tasks were lost and started again"
    finally:
        await cluster.stop()


def test_small_tasks_run_without_losing_their_machines() -> None:
    """Reports above 64 KiB were refused, so that machines lost their leases, with the tasks of all jobs on them."""
    run_simulated(_run_small_tasks())
