"""Measures what accepted jobs cost a controller: memory held, and how long each step keeps its process busy.

Large arrays among small jobs are loaded as a follower loads them, then as a new leader does, beside a full fleet.
Tasks start, end and are lost, claims and results are recorded. No network is simulated. Each number of arrays is
measured in a process of its own:

    python -m bench.job_cost --arrays 24 --arrays 400 --done 7
"""

import subprocess
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import click
import msgspec

from gingerspar.coordination.cluster.machine import Machine, MachineState
from gingerspar.coordination.cluster.task_limit import max_tasks_on_machines
from gingerspar.coordination.jobs.record_changes import claimed, with_results
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.machines import fleet
from gingerspar.protocol.messages import (
    MAX_TASKS,
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
from gingerspar.storage.records import Claimant, JobRecord
from gingerspar.storage.task_set import TaskSet
from gingerspar.storage.transactions import TransactionBuilder, TransactionLimits
from gingerspar.storage.view import WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.process_memory import resident_mb

MACHINE_TYPES = [
    MachineType("plain", 16, 64, cache_gb=60, zones=("a",), price=1.0, boot_s=20),
    MachineType("cards", 96, 384, gpus=8, cache_gb=80, zones=("a",), price=6.0, boot_s=25),
]
MEMORY_MB = 138  # the smallest memory limit of any deployment
CLAIMANT = Claimant("n1", 1)
LOST_SHARE = 3  # one machine of this many is lost
VERSION_STEP = 1_000_000  # versions of later records are above those of all loaded ones


class Steps:
    """Prints, for each step, the memory held after it, its processor time and that of its longest part."""

    def __init__(self) -> None:
        print(f"{'step':32s} {'held_mb':>8s} {'total_s':>8s} {'longest_s':>9s}")
        self._print("start", 0.0, 0.0)

    def run(self, name: str, parts: list[Callable[[], Any]]) -> None:
        longest = total = 0.0
        for part in parts:
            began = time.process_time()
            part()
            elapsed = time.process_time() - began
            longest, total = max(longest, elapsed), total + elapsed
        self._print(name, total, longest)

    def _print(self, name: str, total: float, longest: float) -> None:
        print(f"{name:32s} {resident_mb() or 0.0:8.1f} {total:8.3f} {longest:9.4f}", flush=True)


class JobCost:
    """A controller's view and, as leader, its dispatcher, with accepted jobs and a fleet."""

    def __init__(self, arrays: int, small: int, machines: int, done: int, cpus: float, value_kb: float) -> None:
        """``done``: every task with a number divisible by it is done already; 0: none is."""
        self.value_bytes = int(value_kb * 1024)
        self.now = timedelta(seconds=10)
        self.machine_count = machines
        client: Any = SimpleNamespace(value_bytes=self.value_bytes)
        self.view = WatchedView(client, Clock(), rps=100, nodes=3)
        self.arrays = [f"wk-{number:06d}" for number in range(arrays)]
        self.items = [
            item for number in range(arrays) for item in self._items(number, MAX_TASKS, cpus, Priority.NORMAL, done)
        ]
        for number in range(arrays, arrays + small):
            self.items += self._items(number, 1 + number % 3, 4.0, Priority.HIGH if number % 10 == 0 else Priority.LOW)

    def _items(
        self, number: int, tasks: int, cpus: float, priority: Priority, done: int = 0
    ) -> list[tuple[str, bytes]]:
        spec = JobSpec(
            f"wk-{number:06d}", f"class-{priority.value}", "red", Shape.ARRAY, priority, tasks, cpus, cpus,
            image="img", image_gb=0.5, estimate_s=60.0,
        )  # fmt: skip
        record = JobRecord(spec, JobStatus.RUNNING, 1, CLAIMANT, float(number), 1, 1)
        key = records.job_key(spec.job)
        if not done:
            return [(key, bytes(records.pack(record)))]
        finished = TaskSet(tasks, range(0, tasks, done))
        if not records.must_spill(spec, self.value_bytes):
            return [(key, bytes(records.pack(msgspec.structs.replace(record, finished=finished.text()))))]
        chunk_bytes = records.chunk_bytes(self.value_bytes)
        chunks = [
            (
                records.finished_key(spec.job, chunk),
                bytes(records.pack(records.ChunkRecord(finished.text(chunk * chunk_bytes, chunk_bytes)))),
            )
            for chunk in range(-(-tasks // (8 * chunk_bytes)))
        ]
        return [*chunks, (key, bytes(records.pack(msgspec.structs.replace(record, spilled=True))))]

    def _apply(self, key: str, value: bytes, version: int) -> None:
        self.view.apply(key, value, version)

    def load(self) -> list[Callable[[], Any]]:
        """Applies each record, as a follower does; the view holds each of them afterwards."""
        return [
            lambda key=key, value=value, version=version: self._apply(key, value, version)  # type: ignore[misc]
            for version, (key, value) in enumerate(self.items, 1)
        ]

    def take_term(self) -> None:
        """Creates the dispatcher of a new term and gives it all records."""
        workers = WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43)
        self.leader = Dispatcher(
            1,
            timedelta(0),
            workers,
            [TeamFacts("red")],
            nodes=3,
            max_tasks_on_machines=max_tasks_on_machines(MEMORY_MB),
        )
        self.leader.set_types(MACHINE_TYPES)
        self.view.on_job.append(self._record_changed)
        for job in self.view.jobs:
            self._record_changed(job)

    def _record_changed(self, job: str) -> None:
        entry = self.view.jobs[job]
        self.leader.set_record(job, entry.record, entry.finished, self.now)

    def add_fleet(self) -> None:
        for number in range(self.machine_count):
            machine_type = MACHINE_TYPES[number % 2].name
            name = f"n-{number:06d}"
            self.leader.cluster_state.add_machine(name, machine_type, "a", False, self.now, MachineState.BOOTING)
            self._report(name, machine_type, 1, [])
            self.leader.machines[name].mark_rostered()

    def _report(self, name: str, machine_type: str, seq: int, tasks: list[TaskReport]) -> None:
        report = Report(name, "10.0.0.9:1", machine_type, "a", 1, seq, 1, tasks=msgspec.Raw(encode(tasks)))
        machine = self.leader.handle_report(report, self.now)
        self.leader.take_commands(machine, report, self.now)

    def place(self) -> list[Callable[[], Any]]:
        return [lambda: self.leader.place_tasks(self.now)] * 200

    def report_running(self, *, done: bool = False) -> list[Callable[[], Any]]:
        """Lets each machine report its tasks as running; with ``done``, every second one as done."""

        def report(machine: Machine) -> None:
            tasks = [
                TaskReport(placement.name, placement.attempt, TaskStatus.EXITED, Cause.DONE)
                if done and index % 2
                else TaskReport(placement.name, placement.attempt, TaskStatus.RUNNING)
                for index, placement in enumerate(machine.live.values())
            ]
            self._report(machine.name, machine.type, machine.seq + 1, tasks)

        machines = [machine for machine in self.leader.pool if machine.state is MachineState.READY]
        for machine in machines:
            report(machine)  # first, so that the commands are taken
        return [lambda machine=machine: report(machine) for machine in machines]  # type: ignore[misc]

    def lose_machines(self) -> list[Callable[[], Any]]:
        machines = [machine for number, machine in enumerate(self.leader.pool) if number % LOST_SHARE == 0]
        return [lambda machine=machine: self.leader.machine_lost(machine, "test", self.now) for machine in machines]  # type: ignore[misc]

    def claim_again(self) -> list[Callable[[], Any]]:
        def claim(job: str) -> None:
            record = claimed(self.view.jobs[job], CLAIMANT, 1)
            self._apply(records.job_key(job), bytes(records.pack(record)), VERSION_STEP)

        return [lambda job=job: claim(job) for job in self.arrays]  # type: ignore[misc]

    def record_results(self) -> list[Callable[[], Any]]:
        def write(job: str) -> None:
            entry, run = self.view.jobs[job], self.leader.runs[job]
            transaction = TransactionBuilder(TransactionLimits(12, self.value_bytes), 12)
            change = with_results(entry, set(run.unrecorded), self.value_bytes, transaction)
            for put in change.writes() if change is not None else ():
                self._apply(put.key, bytes(put.value), 2 * VERSION_STEP)

        return [lambda job=job: write(job) for job in self.arrays]  # type: ignore[misc]

    def periodic(self) -> list[Callable[[], Any]]:
        state = self.leader.cluster_state

        def rescan() -> None:
            self.now += timedelta(seconds=3)
            self.leader.place_tasks(self.now)

        return [
            lambda: self.leader.tick(self.now, self.now),
            rescan,
            lambda: fleet.plan_rentals(state, fleet.Refusals(), self.now),
            self.leader.running_counts,
        ]

    def measure(self) -> None:
        steps = Steps()
        steps.run(f"follower loads {len(self.items)} keys", self.load())
        self.items.clear()
        steps.run("leader takes the term", [self.take_term])
        steps.run(f"{self.machine_count} machines", [self.add_fleet])
        steps.run("place", self.place())
        running = sum(len(machine.live) for machine in self.leader.pool)
        steps.run(f"reports, {running} tasks", self.report_running())
        steps.run("periodic work", self.periodic())
        steps.run("reports, half of the tasks done", self.report_running(done=True))
        steps.run("results recorded", self.record_results())
        steps.run("a third of the machines lost", self.lose_machines())
        steps.run("place again", self.place())
        steps.run("claims", self.claim_again())
        steps.run("periodic work", self.periodic())


@click.command()
@click.option("--arrays", multiple=True, default=[24, 100, 400], show_default=True, help="Number of large arrays.")
@click.option("--small", default=1000, show_default=True, help="Number of small jobs.")
@click.option("--machines", default=525, show_default=True)
@click.option("--done", default=0, show_default=True, help="Every task divisible by it is done; 0: none.")
@click.option("--cpus", default=4.0, show_default=True, help="Processors, and GB of memory, of an array's task.")
@click.option("--value-kb", default=32.0, show_default=True, help="Limit of a value in the state service.")
@click.option("--child", is_flag=True, hidden=True)
def main(
    arrays: tuple[int, ...], small: int, machines: int, done: int, cpus: float, value_kb: float, child: bool
) -> None:
    """Prints memory and durations for each number of arrays."""
    for count in arrays:
        if child:
            JobCost(count, small, machines, done, cpus, value_kb).measure()
            continue
        print(f"-- {count} arrays of {MAX_TASKS} tasks, {small} small jobs", flush=True)
        command = [
            sys.executable, "-m", "bench.job_cost", "--child", "--arrays", str(count), "--small", str(small),
            "--machines", str(machines), "--done", str(done), "--cpus", str(cpus), "--value-kb", str(value_kb),
        ]  # fmt: skip
        subprocess.run(command, check=True)


if __name__ == "__main__":
    main()
