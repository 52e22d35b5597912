"""Cost of decisions with several hundred machines, measured in counts and not in time."""

from datetime import timedelta

import msgspec

from gingerspar.coordination.cluster.expected_releases import RunTimes
from gingerspar.coordination.cluster.machine import Machine, MachineState
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.machines.roster import plan_groups
from gingerspar.coordination.placement import placer
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
from gingerspar.storage import records
from gingerspar.storage.records import Claimant, JobRecord, RosterRecord
from gingerspar.storage.task_set import TaskSet

MACHINES = 500
TASKS_PER_MACHINE = 4
NOW = timedelta(seconds=10)


def _report(name: str, seq: int, tasks: list[TaskReport]) -> Report:
    return Report(name, "10.0.0.9:1", "box", "a", 1, seq, 1, tasks=msgspec.Raw(encode(tasks)))


class Fleet:
    """A leader with several hundred machines that are ready."""

    def __init__(self, machines: int = MACHINES) -> None:
        self.now = NOW
        workers = WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43)
        self.dispatcher = Dispatcher(1, timedelta(0), workers, [TeamFacts("red")], nodes=3)
        self.dispatcher.set_types([MachineType("box", 16, 64, cache_gb=60, zones=("a",), price=1.0, boot_s=20)])
        self.sequence_numbers: dict[str, int] = {}
        for number in range(machines):
            name = f"n-{number:06d}"
            self.dispatcher.cluster_state.add_machine(name, "box", "a", False, NOW, MachineState.BOOTING)
            self.dispatcher.handle_report(_report(name, 1, []), NOW)
            self.dispatcher.machines[name].mark_rostered()
            self.sequence_numbers[name] = 1

    def add_job(
        self,
        number: int,
        tasks: int,
        shape: Shape = Shape.ARRAY,
        cpus: float = 4.0,
        priority: Priority = Priority.NORMAL,
    ) -> None:
        spec = JobSpec(f"wk-{number:06d}", "c", "red", shape, priority, tasks, cpus, 8.0, estimate_s=60.0)
        record = JobRecord(spec, JobStatus.RUNNING, 1, Claimant("n1", 1), float(number), 1, 1)
        self.dispatcher.set_record(spec.job, record, TaskSet(tasks), self.now)

    def place(self) -> int:
        """Places all work that fits, and returns the number of machine checks that it took."""
        before = self.dispatcher.pool.machines_checked
        for _ in range(1000):
            self.dispatcher.place_tasks(self.now)
            if not self.dispatcher.needs_placement:
                break
        return self.dispatcher.pool.machines_checked - before

    def report_tasks(self, machine: Machine, tasks: list[TaskReport]) -> None:
        """Sends the next report of the machine and takes the commands for it."""
        self.sequence_numbers[machine.name] += 1
        report = _report(machine.name, self.sequence_numbers[machine.name], tasks)
        self.dispatcher.take_commands(self.dispatcher.handle_report(report, self.now), report, self.now)

    def end_first_task(self, machine: Machine) -> None:
        """The machine reports that the first of its tasks is done."""
        self.report_tasks(machine, [])
        live = list(machine.live.values())
        tasks = [TaskReport(p.name, p.attempt, TaskStatus.RUNNING) for p in live[1:]]
        self.report_tasks(machine, [TaskReport(live[0].name, 1, TaskStatus.EXITED, Cause.DONE), *tasks])


def test_pass_checks_only_changed_machines() -> None:
    """On the "grown" deployments every placement pass used to compare every machine with every open task."""
    fleet = Fleet()
    fleet.add_job(1, MACHINES * TASKS_PER_MACHINE)
    assert fleet.place() <= 2 * MACHINES
    assert all(
        machine.tasks_that_fit(fleet.dispatcher.runs["wk-000001"].spec) == 0 for machine in fleet.dispatcher.pool
    )
    waiting = 200
    for number in range(2, 2 + waiting):
        fleet.add_job(number, 10)
    # No machine has free capacity: full machines are skipped without a check.
    assert fleet.place() == 0
    assert fleet.place() == 0
    machine = fleet.dispatcher.machines["n-000007"]
    fleet.end_first_task(machine)
    # One machine has gained capacity for one task; each waiting run checks this machine only.
    assert fleet.place() <= 2 * waiting
    assert len(machine.live) == TASKS_PER_MACHINE
    assert len(fleet.dispatcher.runs["wk-000002"].placements) == 1


def test_waiting_gangs_share_one_search() -> None:
    fleet = Fleet()
    fleet.add_job(1, MACHINES * TASKS_PER_MACHINE - 2)
    fleet.place()
    for number in range(2, 102):
        fleet.add_job(number, 3, Shape.GANG)
    # Each machine is checked once, for the first gang with this kind of task; the other gangs check none.
    assert fleet.place() <= MACHINES + 2 * 100
    assert all(not fleet.dispatcher.runs[f"wk-{number:06d}"].placements for number in range(2, 102))


def _machine_checks(machines: int, gangs: int, arrays: int, seconds: int = 6) -> int:
    """Returns the machine checks of some seconds in which urgent gangs and routine arrays wait for a full fleet.

    Every half second one urgent task ends. The gangs would not fit even if all less urgent tasks were preempted, so
    each of them searches for capacity again and again.
    """
    fleet = Fleet(machines)
    fleet.add_job(1, machines * TASKS_PER_MACHINE, priority=Priority.HIGH)
    fleet.place()
    for number in range(2, 2 + gangs):
        fleet.add_job(number, 12, Shape.GANG, cpus=16.0, priority=Priority.HIGH)
    for number in range(2 + gangs, 2 + gangs + arrays):
        fleet.add_job(number, 20, cpus=4.0 + number % 7 / 10)
    checks = 0
    for step in range(seconds * 10):
        fleet.now += timedelta(seconds=0.1)
        if step % 5 == 0:
            fleet.end_first_task(fleet.dispatcher.machines[f"n-{step % machines:06d}"])
        fleet.dispatcher.needs_placement = True
        checks += fleet.place()
    assert sum(bool(run.placements) for run in fleet.dispatcher.runs.values()) <= 1 + seconds * 2
    return checks


def test_machine_checks_do_not_grow_with_gangs_times_machines() -> None:
    """On the "fleet" deployments each waiting gang used to check every machine once a second."""
    base = _machine_checks(150, 75, 60)
    # Each additional machine is checked once when a kind of task is placed for the first time.
    first_checks = 600 - 150
    assert _machine_checks(600, 75, 60) <= base + first_checks + 50
    assert _machine_checks(150, 300, 60) <= base * 2
    assert _machine_checks(150, 75, 240) <= base * 2
    assert _machine_checks(600, 300, 240) <= base * 2 + first_checks + 50


def test_long_pass_is_split_and_continues_in_order() -> None:
    fleet = Fleet()
    jobs = 3 * placer.MAX_MACHINE_CHECKS // MACHINES
    for number in range(1, jobs + 1):
        fleet.add_job(number, 1)
    fleet.dispatcher.place_tasks(NOW)
    assert fleet.dispatcher.needs_placement
    placed = [number for number in range(1, jobs + 1) if fleet.dispatcher.runs[f"wk-{number:06d}"].placements]
    assert placed == list(range(1, len(placed) + 1))
    fleet.place()
    assert all(run.placements for run in fleet.dispatcher.runs.values())


def test_roster_of_a_large_fleet_takes_few_keys() -> None:
    """With one key for each machine, a fleet that booted all at once had to wait for the write budget."""
    new = [(f"n-{number:06d}", ("box", "a", number % 2 == 0)) for number in range(1000)]
    groups = plan_groups({}, new, set(), 8192)
    assert len(groups) <= 4
    assert all(len(records.pack(group)) <= 8192 for group in groups.values())
    assert sorted(name for group in groups.values() for name in group.names) == [name for name, _ in new]


def test_roster_update_changes_only_affected_groups() -> None:
    groups = {
        "gs/r/0000": RosterRecord("box", "a", False, ("n-1", "n-2")),
        "gs/r/0001": RosterRecord("box", "a", True, ("n-3",)),
    }
    changed = plan_groups(groups, [("n-4", ("box", "a", False))], {"n-1"}, 8192)
    assert changed == {"gs/r/0000": RosterRecord("box", "a", False, ("n-2", "n-4"))}
    assert plan_groups(groups, [], {"n-9"}, 8192) == {}


def test_pool_finds_machines_by_state_and_free_capacity() -> None:
    fleet = Fleet()
    pool = fleet.dispatcher.pool
    spec = JobSpec("wk-000001", "c", "red", Shape.ARRAY, Priority.NORMAL, 1, 16.0, 8.0)
    assert len(pool.with_free_capacity(spec)) == MACHINES
    machine = fleet.dispatcher.machines["n-000003"]
    machine.move(MachineState.LEAVING)
    assert len(pool.with_free_capacity(spec)) == MACHINES - 1
    fleet.dispatcher.machines["n-000004"].reserve(spec, 1)
    assert len(pool.with_free_capacity(spec)) == MACHINES - 2
    fleet.dispatcher.machine_lost(machine, "test", NOW)
    assert pool.in_states(MachineState.LOST) == [machine]


def test_many_machines_lost_at_once() -> None:
    """110 machines lose the network together and report again after their leases have ended.

    By then their tasks are placed on other machines.
    """
    fleet = Fleet()
    fleet.add_job(1, 2 * MACHINES)
    fleet.place()
    machines = list(fleet.dispatcher.machines.values())
    silent, others = machines[:110], machines[110:]
    for second in (0, 8, 16, 24):
        fleet.now = NOW + timedelta(seconds=second)
        for machine in others:
            fleet.report_tasks(
                machine, [TaskReport(p.name, p.attempt, TaskStatus.RUNNING) for p in machine.live.values()]
            )
        fleet.dispatcher.tick(fleet.now, fleet.now)
    assert fleet.dispatcher.pool.in_states(MachineState.LOST) == silent
    # One check of each machine finds all free capacity. No task is placed again before the leases have ended.
    assert fleet.place() <= 2 * MACHINES
    assert not fleet.dispatcher.runs["wk-000001"].open
    assert all(not machine.live for machine in silent)
    for machine in silent:
        report = _report(machine.name, 50, [])
        report.session = 2
        fleet.dispatcher.handle_report(report, fleet.now)
    assert not fleet.dispatcher.pool.in_states(MachineState.LOST)
    assert fleet.place() <= MACHINES


def test_expected_releases_follow_every_task() -> None:
    """The expected releases are updated as tasks start and end; they must equal the sum over all running tasks."""
    fleet = Fleet(40)
    cluster_state = fleet.dispatcher.cluster_state
    for number in range(1, 9):
        fleet.add_job(number, 15 + number, cpus=3.0 + number / 4)
    fleet.place()
    machines = list(fleet.dispatcher.machines.values())
    run_times = RunTimes(cluster_state.estimates.run_time)
    for step, machine in enumerate(machines * 3):
        fleet.now += timedelta(seconds=0.7)
        if machine.state is not MachineState.READY:
            continue
        if step % 11 == 10:
            fleet.dispatcher.machine_lost(machine, "test", fleet.now)
        else:
            if not any(p.running_since is not None for p in machine.live.values()):
                fleet.report_tasks(machine, [])
            running = [TaskReport(p.name, p.attempt, TaskStatus.RUNNING) for p in machine.live.values()]
            if running and step % 3 == 2:
                running[0] = TaskReport(running[0].task, running[0].attempt, TaskStatus.EXITED, Cause.DONE)
            fleet.report_tasks(machine, running)
        fleet.place()
        if step % 10 == 0:
            by = fleet.now + timedelta(seconds=step % 70)
            live = [p for m in machines for p in m.live.values() if p.running_since is not None]
            expected = sum(p.spec.cpus for p in live if p.running_since + run_times.of(p.spec) <= by)
            found = sum(
                cluster_state.expected_releases.released(offer, by, run_times).cpus
                for offer in cluster_state.expected_releases.offers()
            )
            assert abs(found - expected) < 1e-6
            assert live


def test_finish_that_stays_listed_is_processed_once() -> None:
    """vatuloa-grep-fleet loss: until the job's record showed a finish, each report had it processed again."""
    fleet = Fleet(1)
    machine = next(iter(fleet.dispatcher.machines.values()))
    fleet.add_job(1, 4)
    fleet.place()
    fleet.report_tasks(machine, [])
    processed: list[int] = []
    done = fleet.dispatcher.cluster_state.task_done
    fleet.dispatcher.cluster_state.task_done = lambda run, number: bool(processed.append(number)) or done(run, number)  # type: ignore
    listed = [TaskReport("wk-000001/0", 1, TaskStatus.EXITED, Cause.DONE)]
    for number in (1, 2, 3):
        fleet.report_tasks(machine, [*listed, TaskReport(f"wk-000001/{number}", 1, TaskStatus.RUNNING)])
        assert machine.exited_placements == {("wk-000001", 0, 1): Cause.DONE}
    assert processed == [0, 0]  # once when its placement ended and once when it was first found listed


def test_finish_of_a_job_without_a_record_counts_once_the_record_is_known() -> None:
    """A new leader finds a finished task that an older leader started, and receives the job's record a moment later."""
    fleet = Fleet(1)
    machine = next(iter(fleet.dispatcher.machines.values()))
    done = TaskReport("wk-000001/0", 1, TaskStatus.EXITED, Cause.DONE)
    others = [TaskReport(f"wk-000001/{number}", 1, TaskStatus.RUNNING) for number in (1, 2, 3)]
    for seq, listed in enumerate([others[:1], [done, *others[:1]], [done, *others]], start=2):
        if seq == 4:
            fleet.add_job(1, 4)
        fleet.dispatcher.handle_report(_report(machine.name, seq, listed), fleet.now)
    assert 0 in fleet.dispatcher.runs["wk-000001"].finished
