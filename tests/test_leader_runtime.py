"""The leader runtime: cloud requests of a leader that may be partitioned, overload detection, held answers."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec

from gingerspar.coordination.cluster.job_runs import JobRun
from gingerspar.coordination.cluster.machine import MachineState, Placement, TaskState
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.leader.leader_runtime import (
    HOLD_AWAITED,
    HOLD_IDLE,
    HOLD_OVERLOADED,
    MAX_HOLD,
    LeaderRuntime,
    _hold_duration,
    max_hold_duration,
)
from gingerspar.coordination.leader.load_monitor import LoadMonitor, LoadState
from gingerspar.coordination.machines.cloud import CloudClient, NotPermitted
from gingerspar.protocol.messages import (
    JobSpec,
    JobStatus,
    ListedMachine,
    MachineStatus,
    MachineType,
    Priority,
    RentRequest,
    Report,
    Shape,
)
from gingerspar.protocol.settings import OperatorSettings, WorkerFacts
from gingerspar.storage.records import JobRecord
from gingerspar.storage.task_set import TaskSet
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer, Request, Server


class _Cloud:
    def __init__(self) -> None:
        self.returned: list[str] = []
        self.rented = 0

    async def return_machines(self, machines: list[str], permit: Callable[[], bool]) -> None:
        assert permit()
        self.returned += machines

    async def rent(self, request: Any, permit: Callable[[], bool]) -> list[str]:
        assert permit()
        self.rented += 1
        return ["n-2"]


def _runtime(cloud: Any, dispatcher: Dispatcher, age: list[timedelta]) -> LeaderRuntime:
    view: Any = SimpleNamespace(on_job=[], final={}, roster={}, age=lambda: age[0], final_spec=lambda job: None)
    unused: Any = SimpleNamespace()
    return LeaderRuntime(
        "n1", dispatcher, unused, view, unused, cloud, Clock(), timedelta(seconds=3), OperatorSettings(),
        lambda: True, lambda node, jobs: None, lambda node, job, attempt: None,
        lambda: Answer(421, b"{}"), lambda: None, LoadMonitor(Clock()), Random(1),
    )  # fmt: skip


WORKERS = WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43)


async def _request_return_and_rental(age: list[timedelta]) -> _Cloud:
    """Requests a return and a rental while the last read of the state service is ``age`` old."""
    cloud = _Cloud()
    dispatcher = Dispatcher(1, timedelta(0), WORKERS, [])
    machine = dispatcher.cluster_state.add_machine("n-1", "big", "a", False, timedelta(0), MachineState.LOST)
    machine.move(MachineState.RETURNING)
    runtime = _runtime(cloud, dispatcher, age)
    returning = asyncio.ensure_future(runtime.fleet._return_machines([machine]))
    await runtime.fleet._rent(("big", "a", False), 1)
    await asyncio.sleep(0.05)
    assert returning.done() == bool(cloud.returned)
    returning.cancel()
    return cloud


def test_leader_that_may_be_partitioned_requests_nothing() -> None:
    """Found by bench/days/sick-and-cut: returns delayed by a partition took all machines minutes later."""
    cloud = asyncio.run(_request_return_and_rental([timedelta(seconds=5)]))
    assert (cloud.returned, cloud.rented) == ([], 0)


def test_leader_with_fresh_state_sends_requests() -> None:
    cloud = asyncio.run(_request_return_and_rental([timedelta(seconds=0.1)]))
    assert (cloud.returned, cloud.rented) == (["n-1"], 1)


async def _dispatcher_after_failed_list() -> Dispatcher:
    """Returns a dispatcher after the cloud has listed three machines as failed; one has reported in this term."""
    dispatcher = Dispatcher(
        2, timedelta(0), WORKERS, [], roster=[("n-1", "big", "a", False), ("n-2", "big", "a", False)]
    )
    dispatcher.cluster_state.add_machine("n-3", "big", "a", False, timedelta(0), MachineState.BOOTING)
    report = Report("n-1", "10.0.0.9:1", "big", "a", 1, 7, 2, False, None, msgspec.Raw(b"[]"))
    dispatcher.handle_report(report, timedelta(seconds=1))

    async def machines() -> list[ListedMachine]:
        return [ListedMachine(name, "big", "a", MachineStatus.FAILED) for name in ("n-1", "n-2", "n-3")]

    runtime = _runtime(SimpleNamespace(machines=machines), dispatcher, [timedelta(0)])
    listing = asyncio.ensure_future(runtime.fleet.poll_machine_list())
    await asyncio.sleep(0.05)
    listing.cancel()
    return dispatcher


def test_machine_that_has_reported_is_not_lost_when_listed_as_failed() -> None:
    """The cloud's lists lag and may go back in time; a machine may have failed, restarted and been given new tasks."""
    states = {name: machine.state for name, machine in asyncio.run(_dispatcher_after_failed_list()).machines.items()}
    assert states == {"n-1": MachineState.READY, "n-2": MachineState.LOST, "n-3": MachineState.LOST}


async def _requests_after_pause() -> int:
    """Returns how many requests reach the cloud if a waiting rental loses its permission and a second one keeps it."""
    received: list[str] = []

    async def answer(request: Request) -> Answer:
        received.append(request.path)
        return Answer(200, b'{"Hosts":["n-2"]}')

    server = Server(answer)
    server.listen(18931, "127.0.0.1")
    try:
        cloud = CloudClient("127.0.0.1:18931", Clock(), rps=20.0)
        cloud._budget.block(timedelta(seconds=0.1))
        permitted = [True]
        rental = asyncio.ensure_future(cloud.rent(RentRequest("t1-1", "big", "a", False, 1), lambda: permitted[0]))
        await asyncio.sleep(0.02)
        permitted[0] = False  # it was paused, and by now another node holds the term
        try:
            await rental
        except NotPermitted:
            pass
        else:
            raise AssertionError("the rental was sent")
        permitted[0] = True
        assert await cloud.rent(RentRequest("t1-2", "big", "a", False, 1), lambda: permitted[0]) == ["n-2"]
    finally:
        server.stop()
        await asyncio.sleep(0)
    return len(received)


def test_permission_is_checked_when_a_request_is_sent() -> None:
    """A controller that is paused between its decision and the sending must not send the request any more."""
    assert asyncio.run(_requests_after_pause()) == 1


def test_overload_starts_and_ends_once() -> None:
    load_monitor = LoadMonitor(Clock())
    now = timedelta(0)
    states = [load_monitor.state]
    for late_ms in [5] * 20 + [300] * 20 + [60] * 20 + [5] * 60:
        now += timedelta(seconds=0.1)
        load_monitor.record_lateness(timedelta(milliseconds=late_ms), now)
        if load_monitor.state is not states[-1]:
            states.append(load_monitor.state)
    assert states == [LoadState.NORMAL, LoadState.OVERLOADED, LoadState.NORMAL]


def test_single_pause_is_no_overload() -> None:
    """The clock ran on while the controller was paused for 24 s; then it has as much processor time as before."""
    load_monitor = LoadMonitor(Clock())
    load_monitor.record_lateness(timedelta(seconds=24), timedelta(seconds=24))
    assert load_monitor.state is LoadState.NORMAL
    for step in range(1, 20):
        load_monitor.record_lateness(timedelta(0), timedelta(seconds=24 + 0.1 * step))
    assert load_monitor.lateness < timedelta(milliseconds=10)


def test_placement_gets_a_smaller_share_under_overload() -> None:
    load_monitor = LoadMonitor(Clock())
    spent, min_pause = timedelta(milliseconds=30), timedelta(milliseconds=20)
    normal = load_monitor.pause_for_share(spent, {LoadState.NORMAL: 0.5, LoadState.OVERLOADED: 0.25}, min_pause)
    load_monitor.state = LoadState.OVERLOADED
    overloaded = load_monitor.pause_for_share(spent, {LoadState.NORMAL: 0.5, LoadState.OVERLOADED: 0.25}, min_pause)
    assert (normal, overloaded) == (spent, spent * 3)
    assert (
        load_monitor.pause_for_share(timedelta(0), {LoadState.NORMAL: 0.5, LoadState.OVERLOADED: 0.25}, min_pause)
        == min_pause
    )


def test_lease_allows_two_held_answers_and_a_lost_one() -> None:
    for lease in (4.0, 6.0, 10.0, 18.0):
        for report in (0.3, 1.0, 2.5):
            workers = WorkerFacts(report_s=report, lease_s=lease, cancel_s=3 * lease)
            assert max_hold_duration(workers) * 4 + timedelta(seconds=1.25 * report) <= timedelta(seconds=lease)
    # A lease of 16 s is long enough for the normal maximum.
    assert max_hold_duration(WorkerFacts(report_s=2.5, lease_s=16, cancel_s=36)) == MAX_HOLD


def test_answers_are_held_unless_urgent_work_waits_for_them() -> None:
    """Machines full of short tasks used to report twice a second, all together a thousand times a second."""
    cluster_state = Dispatcher(1, timedelta(0), WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43), []).cluster_state
    cluster_state.set_types([MachineType("big", 16, 64, zones=("a",), price=1.0, boot_s=20)])
    machine = cluster_state.add_machine("n-1", "big", "a", False, timedelta(0), MachineState.BOOTING)
    assert _hold_duration(machine, 600, False) == HOLD_IDLE
    spec = JobSpec("wk-000001", "c", "red", Shape.ARRAY, Priority.NORMAL, 2, 4.0, 8.0)
    run = JobRun(spec, JobRecord(spec, JobStatus.RUNNING), TaskSet(2))
    cluster_state.runs[spec.job] = run
    placement = Placement(spec, 0, 1, machine, TaskState.FETCHING, timedelta(0))
    cluster_state.add_placement(run, placement)
    # With few machines there is no gain in holding answers; with many it limits their reports to 375 a second.
    for state in (TaskState.FETCHING, TaskState.RUNNING):
        cluster_state.move_task(placement, state, timedelta(1))
        assert _hold_duration(machine, 30, False) == HOLD_AWAITED
        assert _hold_duration(machine, 600, False) == timedelta(seconds=1.6)
        assert _hold_duration(machine, 5000, False) == MAX_HOLD
        assert _hold_duration(machine, 30, True) == HOLD_OVERLOADED
    machine.reserve(spec, 1)
    assert _hold_duration(machine, 600, True) == HOLD_AWAITED  # a gang waits for capacity on this machine
    machine.reserve(spec, -1)
    cluster_state.stop_task(placement, timedelta(0), timedelta(1))
    assert _hold_duration(machine, 600, True) == HOLD_AWAITED  # other work or a user waits for the end of the task
