"""Several hundred machines: what things cost is counted, not timed."""

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
from gingerspar.storage.records import Claimant, JobRecord, RosterRecord, TaskSet

MACHINES = 500
PER_MACHINE = 4
NOW = timedelta(seconds=10)


def _report(name: str, seq: int, tasks: list[TaskReport]) -> Report:
    return Report(name, "10.0.0.9:1", "box", "a", 1, seq, 1, tasks=msgspec.Raw(encode(tasks)))


class Fleet:
    """A leader with several hundred machines that are up."""

    def __init__(self, machines: int = MACHINES) -> None:
        self.now = NOW
        workers = WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43)
        self.dispatcher = Dispatcher(1, timedelta(0), workers, [TeamFacts("red")], nodes=3)
        self.dispatcher.set_types([MachineType("box", 16, 64, cache_gb=60, zones=("a",), price=1.0, boot_s=20)])
        self.seqs: dict[str, int] = {}
        for number in range(machines):
            name = f"n-{number:06d}"
            self.dispatcher.cluster_state.add_machine(name, "box", "a", False, NOW, MachineState.BOOTING)
            self.dispatcher.handle_report(_report(name, 1, []), NOW)
            self.dispatcher.machines[name].mark_rostered()
            self.seqs[name] = 1

    def job(
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
        """Machines looked at until everything has been looked at."""
        before = self.dispatcher.pool.machines_checked
        for _ in range(1000):
            self.dispatcher.place_tasks(self.now)
            if not self.dispatcher.needs_placement:
                break
        return self.dispatcher.pool.machines_checked - before

    def answer(self, machine: Machine, tasks: list[TaskReport]) -> None:
        self.seqs[machine.name] += 1
        report = _report(machine.name, self.seqs[machine.name], tasks)
        self.dispatcher.take_commands(self.dispatcher.handle_report(report, self.now), report, self.now)

    def end_one(self, machine: Machine) -> None:
        """The machine reports that the first of its tasks is done."""
        self.answer(machine, [])
        live = list(machine.live.values())
        tasks = [TaskReport(p.name, p.attempt, TaskStatus.RUNNING) for p in live[1:]]
        self.answer(machine, [TaskReport(live[0].name, 1, TaskStatus.EXITED, Cause.DONE), *tasks])


def test_a_pass_looks_only_at_what_has_changed() -> None:
    """Grown deployments, before: every pass compared every machine with every open task."""
    fleet = Fleet()
    fleet.job(1, MACHINES * PER_MACHINE)
    assert fleet.place() <= 2 * MACHINES
    assert all(
        machine.tasks_that_fit(fleet.dispatcher.runs["wk-000001"].spec) == 0 for machine in fleet.dispatcher.pool
    )
    waiting = 200
    for number in range(2, 2 + waiting):
        fleet.job(number, 10)
    # Nothing has room: full machines are passed over without a look.
    assert fleet.place() == 0
    assert fleet.place() == 0
    machine = fleet.dispatcher.machines["n-000007"]
    fleet.end_one(machine)
    # One machine has gained room for one task; each waiting run looks at it, and no other.
    assert fleet.place() <= 2 * waiting
    assert len(machine.live) == PER_MACHINE
    assert len(fleet.dispatcher.runs["wk-000002"].placements) == 1


def test_waiting_gangs_share_one_search() -> None:
    fleet = Fleet()
    fleet.job(1, MACHINES * PER_MACHINE - 2)
    fleet.place()
    for number in range(2, 102):
        fleet.job(number, 3, Shape.GANG)
    # All machines once, when the kind of task is seen for the first time; then none for each gang.
    assert fleet.place() <= MACHINES + 2 * 100
    assert all(not fleet.dispatcher.runs[f"wk-{number:06d}"].placements for number in range(2, 102))


def _looks(machines: int, gangs: int, arrays: int, seconds: int = 6) -> int:
    """Looks of some seconds in which urgent gangs and routine arrays wait on a full fleet.

    Every half second one urgent task ends. The gangs don't fit even if all that is less
    urgent were stopped, so each of them keeps asking for room.
    """
    fleet = Fleet(machines)
    fleet.job(1, machines * PER_MACHINE, priority=Priority.HIGH)
    fleet.place()
    for number in range(2, 2 + gangs):
        fleet.job(number, 12, Shape.GANG, cpus=16.0, priority=Priority.HIGH)
    for number in range(2 + gangs, 2 + gangs + arrays):
        fleet.job(number, 20, cpus=4.0 + number % 7 / 10)
    looks = 0
    for step in range(seconds * 10):
        fleet.now += timedelta(seconds=0.1)
        if step % 5 == 0:
            fleet.end_one(fleet.dispatcher.machines[f"n-{step % machines:06d}"])
        fleet.dispatcher.needs_placement = True
        looks += fleet.place()
    assert sum(bool(run.placements) for run in fleet.dispatcher.runs.values()) <= 1 + seconds * 2
    return looks


def test_looks_do_not_grow_with_gangs_times_machines() -> None:
    """Fleet deployments, before: each waiting gang went through every machine once a second."""
    base = _looks(150, 75, 60)
    first = 600 - 150  # each machine is looked at once when a kind of task is seen for the first time
    assert _looks(600, 75, 60) <= base + first + 50
    assert _looks(150, 300, 60) <= base * 2
    assert _looks(150, 75, 240) <= base * 2
    assert _looks(600, 300, 240) <= base * 2 + first + 50


def test_a_long_pass_stops_and_goes_on_in_order() -> None:
    fleet = Fleet()
    jobs = 3 * placer.MAX_MACHINE_CHECKS // MACHINES
    for number in range(1, jobs + 1):
        fleet.job(number, 1)
    fleet.dispatcher.place_tasks(NOW)
    assert fleet.dispatcher.needs_placement
    placed = [number for number in range(1, jobs + 1) if fleet.dispatcher.runs[f"wk-{number:06d}"].placements]
    assert placed == list(range(1, len(placed) + 1))
    fleet.place()
    assert all(run.placements for run in fleet.dispatcher.runs.values())


def test_the_roster_of_a_whole_fleet_takes_few_values() -> None:
    """One key for each machine made a fleet that boots at once wait behind the write budget."""
    new = [(f"n-{number:06d}", ("box", "a", number % 2 == 0)) for number in range(1000)]
    groups = plan_groups({}, new, set(), 8192)
    assert len(groups) <= 4
    assert all(len(records.pack(group)) <= 8192 for group in groups.values())
    assert sorted(name for group in groups.values() for name in group.names) == [name for name, _ in new]


def test_the_roster_changes_only_the_groups_concerned() -> None:
    groups = {
        "gs/r/0000": RosterRecord("box", "a", False, ("n-1", "n-2")),
        "gs/r/0001": RosterRecord("box", "a", True, ("n-3",)),
    }
    changed = plan_groups(groups, [("n-4", ("box", "a", False))], {"n-1"}, 8192)
    assert changed == {"gs/r/0000": RosterRecord("box", "a", False, ("n-2", "n-4"))}
    assert plan_groups(groups, [], {"n-9"}, 8192) == {}


def test_machines_are_filed_by_state_and_room() -> None:
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


def test_machines_lost_by_the_hundred() -> None:
    """They lose the network together, and come back with their leases over while others do their work."""
    fleet = Fleet()
    fleet.job(1, 2 * MACHINES)
    fleet.place()
    machines = list(fleet.dispatcher.machines.values())
    silent, others = machines[:110], machines[110:]
    for second in (0, 8, 16, 24):
        fleet.now = NOW + timedelta(seconds=second)
        for machine in others:
            fleet.answer(machine, [TaskReport(p.name, p.attempt, TaskStatus.RUNNING) for p in machine.live.values()])
        fleet.dispatcher.tick(fleet.now, fleet.now)
    assert fleet.dispatcher.pool.in_states(MachineState.LOST) == silent
    # One look at each machine finds all the room there is; nothing is sent before the leases are over.
    assert fleet.place() <= 2 * MACHINES
    assert not fleet.dispatcher.runs["wk-000001"].open
    assert all(not machine.live for machine in silent)
    for machine in silent:
        report = _report(machine.name, 50, [])
        report.session = 2
        fleet.dispatcher.handle_report(report, fleet.now)
    assert not fleet.dispatcher.pool.in_states(MachineState.LOST)
    assert fleet.place() <= MACHINES


def test_what_comes_free_follows_every_task() -> None:
    """Kept in order as tasks start and leave, it has to say what going through all of them would."""
    fleet = Fleet(40)
    cluster_state = fleet.dispatcher.cluster_state
    for number in range(1, 9):
        fleet.job(number, 15 + number, cpus=3.0 + number / 4)
    fleet.place()
    machines = list(fleet.dispatcher.machines.values())
    spans = RunTimes(cluster_state.estimates.run_time)
    for step, machine in enumerate(machines * 3):
        fleet.now += timedelta(seconds=0.7)
        if machine.state is not MachineState.READY:
            continue
        if step % 11 == 10:
            fleet.dispatcher.machine_lost(machine, "test", fleet.now)
        else:
            if not any(p.running_since is not None for p in machine.live.values()):
                fleet.answer(machine, [])
            running = [TaskReport(p.name, p.attempt, TaskStatus.RUNNING) for p in machine.live.values()]
            if running and step % 3 == 2:
                running[0] = TaskReport(running[0].task, running[0].attempt, TaskStatus.EXITED, Cause.DONE)
            fleet.answer(machine, running)
        fleet.place()
        if step % 10 == 0:
            by = fleet.now + timedelta(seconds=step % 70)
            live = [p for m in machines for p in m.live.values() if p.running_since is not None]
            expected = sum(p.spec.cpus for p in live if p.running_since + spans.of(p.spec) <= by)
            found = sum(
                cluster_state.expected_releases.released(offer, by, spans).cpus
                for offer in cluster_state.expected_releases.offers()
            )
            assert abs(found - expected) < 1e-6
            assert live


def test_a_finish_that_stays_listed_is_taken_in_once() -> None:
    """vatuloa-grep-fleet loss: until its record showed it, each finish was gone through again with each report."""
    fleet = Fleet(1)
    machine = next(iter(fleet.dispatcher.machines.values()))
    fleet.job(1, 4)
    fleet.place()
    fleet.answer(machine, [])
    taken: list[int] = []
    done = fleet.dispatcher.cluster_state.task_done
    fleet.dispatcher.cluster_state.task_done = lambda run, number: bool(taken.append(number)) or done(run, number)  # type: ignore
    listed = [TaskReport("wk-000001/0", 1, TaskStatus.EXITED, Cause.DONE)]
    for number in (1, 2, 3):
        fleet.answer(machine, [*listed, TaskReport(f"wk-000001/{number}", 1, TaskStatus.RUNNING)])
        assert machine.exited_placements == {("wk-000001", 0, 1): Cause.DONE}
    assert taken == [0, 0]  # when its placement ended, and when it was found listed


def test_a_finish_of_a_job_without_a_record_counts_once_the_record_is_there() -> None:
    """A new leader finds it among what an older one started; its record comes a moment later."""
    fleet = Fleet(1)
    machine = next(iter(fleet.dispatcher.machines.values()))
    done = TaskReport("wk-000001/0", 1, TaskStatus.EXITED, Cause.DONE)
    others = [TaskReport(f"wk-000001/{number}", 1, TaskStatus.RUNNING) for number in (1, 2, 3)]
    for seq, listed in enumerate([others[:1], [done, *others[:1]], [done, *others]], start=2):
        if seq == 4:
            fleet.job(1, 4)
        fleet.dispatcher.handle_report(_report(machine.name, seq, listed), fleet.now)
    assert 0 in fleet.dispatcher.runs["wk-000001"].finished
