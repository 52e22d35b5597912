"""Measures what the leader's decisions cost under a random load, at different numbers of machines and jobs.

Everything runs in one process on a simulated clock, with a seed: machines report, start tasks as
commanded and end them; jobs are submitted, also in bursts; part of the fleet may stop reporting. No
network is simulated, so only the cluster state, task placement and fleet planning are measured.

    python -m bench.leader_load --machines 600 --urgent 2 --routine 1 --minutes 4
    python -m bench.leader_load --gone 0.5 --burst 3 --profile
"""

import cProfile
import heapq
import pstats
import random
import resource
import time
from dataclasses import dataclass, field
from datetime import timedelta

import click
import msgspec

from gingerspar.coordination.cluster.machine import Machine, MachineState
from gingerspar.coordination.leader.dispatcher import Dispatcher, StaleReport
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
    Verb,
    encode,
)
from gingerspar.protocol.settings import TeamFacts, WorkerFacts
from gingerspar.storage.records import Claimant, JobRecord
from gingerspar.storage.task_set import TaskSet

STEP = timedelta(milliseconds=50)
REPORT_INTERVAL = timedelta(seconds=2.5)  # mean time between two reports of a machine whose tasks don't end
TICK_INTERVAL = timedelta(milliseconds=250)  # minimum time between two ticks of the dispatcher
# A machine reports the end of a task early, but not before this time after its last report.
MIN_REPORT_INTERVAL = timedelta(seconds=0.5)
MACHINE_TYPES = [
    MachineType("plain", 20, 80, cache_gb=60, zones=("a", "b"), price=1.0, spot_price=0.25, boot_s=20),
    MachineType("cards", 80, 320, gpus=8, cache_gb=80, zones=("a", "b"), price=20.0, spot_price=5.0, boot_s=25),
]


@dataclass(slots=True)
class Worker:
    """The state of one simulated worker."""

    machine: Machine
    seq: int = 1
    reported: timedelta = timedelta(0)
    tasks: dict[tuple[str, int], timedelta] = field(default_factory=dict)  # end by task name and attempt
    ended: dict[tuple[str, int], Cause] = field(default_factory=dict)
    waiting: set[tuple[str, int]] = field(default_factory=set)  # tasks that wait for the rest of their gang
    is_reporting: bool = True


class Load:
    """A leader, its simulated machines and the jobs that are submitted.

    ``limit`` is the processor limit of the only team; 0 is no limit.
    """

    def __init__(self, machines: int, seed: int, limit: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.now = timedelta(seconds=1)
        workers = WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43, gang_wait_s=35, gang_peer_s=4)
        self.leader = Dispatcher(1, timedelta(0), workers, [TeamFacts("red", cpus_max=limit)], utc_now=None)
        self.leader.set_types(MACHINE_TYPES)
        self.workers: dict[str, Worker] = {}
        self.specs: dict[str, JobSpec] = {}
        self.attempts: dict[str, int] = {}
        self.first_start: dict[str, timedelta] = {}  # by job
        self.submitted: dict[str, timedelta] = {}  # by job
        self.jobs = 0
        self.decision_s = 0.0  # processor seconds of all decisions
        self.max_decision_s = 0.0  # processor seconds of the longest decision
        self._last_tick = self.now
        self._next_reports: list[tuple[timedelta, str]] = []
        for number in range(machines):
            self._add(f"n-{number:06d}", "plain" if number % 3 else "cards", "ab"[number % 2], number % 4 == 0)

    def _add(self, name: str, kind: str, zone: str, spot: bool) -> None:
        self.leader.cluster_state.add_machine(name, kind, zone, spot, self.now, MachineState.BOOTING)
        report = Report(name, "10.0.0.9:1", kind, zone, 1, 1, 1, spot, None, msgspec.Raw(b"[]"))
        machine = self.leader.handle_report(report, self.now)
        machine.mark_rostered()
        self.workers[name] = Worker(machine)
        heapq.heappush(self._next_reports, (self.now + REPORT_INTERVAL * self.random.random(), name))

    # -- jobs -----------------------------------------------------------------

    def submit_urgent(self) -> None:
        """Submits a gang of high priority on ordinary machines."""
        size = self.random.choice([3, 6, 12])
        self._job("rebuild", Shape.GANG, Priority.HIGH, size, 18.0, 60.0, 0.0, spot=False, checkpoint=15.0)

    def submit_routine(self) -> None:
        """Submits an array of low priority, with accelerators, on spot or ordinary machines."""
        size = max(1, min(150, round(self.random.lognormvariate(3.4, 0.7))))
        factor = self.random.uniform(0.8, 1.2)
        self._job("render", Shape.ARRAY, Priority.LOW, size, 9.0 * factor, 34.0 * factor, 1.0, spot=True)

    def _job(
        self,
        jobclass: str,
        shape: Shape,
        priority: Priority,
        tasks: int,
        cpus: float,
        memory: float,
        gpus: float,
        *,
        spot: bool,
        checkpoint: float = 0.0,
    ) -> None:
        self.jobs += 1
        spec = JobSpec(
            f"wk-{self.jobs:06d}",
            jobclass,
            "red",
            shape,
            priority,
            tasks,
            cpus,
            memory,
            gpus=gpus,
            image=f"img-{self.jobs % 7}",
            image_gb=2.0,
            estimate_s=self.random.uniform(40, 120),
            spot=spot,
            checkpoint_s=checkpoint,
            save_s=5.0 if checkpoint else 0.0,
        )
        self.specs[spec.job] = spec
        self.submitted[spec.job] = self.now
        self._record(spec, 1)

    def _record(self, spec: JobSpec, attempt: int) -> None:
        self.attempts[spec.job] = attempt
        run = self.leader.runs.get(spec.job)
        finished = run.finished.copy() if run is not None else TaskSet(spec.tasks)
        order = float(spec.job[3:])
        record = JobRecord(spec, JobStatus.RUNNING, attempt, Claimant("n1", 1), order, 1, 1)
        self.leader.set_record(spec.job, record, finished, self.now)

    # -- machines -------------------------------------------------------------

    def silence_machines(self, share: float) -> None:
        """From now on, the given share of the machines no longer reports."""
        for worker in self.random.sample(list(self.workers.values()), int(share * len(self.workers))):
            worker.is_reporting = False

    def _report(self, worker: Worker) -> None:
        for task, end in list(worker.tasks.items()):
            if end <= self.now:
                del worker.tasks[task]
                worker.ended[task] = Cause.DONE
        task_reports = [
            TaskReport(name, attempt, TaskStatus.WAITING if (name, attempt) in worker.waiting else TaskStatus.RUNNING)
            for name, attempt in worker.tasks
        ]
        task_reports += [
            TaskReport(name, attempt, TaskStatus.EXITED, cause) for (name, attempt), cause in worker.ended.items()
        ]
        worker.seq += 1
        worker.reported = self.now
        report = Report(
            worker.machine.name,
            "10.0.0.9:1",
            worker.machine.type,
            worker.machine.zone,
            1,
            worker.seq,
            1,
            worker.machine.spot,
            None,
            msgspec.Raw(encode(task_reports)),
        )
        try:
            machine = self.leader.handle_report(report, self.now)
        except StaleReport:
            return
        for command in self.leader.take_commands(machine, report, self.now):
            task = (command.task, command.attempt)
            if command.verb is Verb.RUN:
                self._start(worker, task)
            elif command.verb is Verb.STOP:
                if worker.tasks.pop(task, None) is not None:
                    worker.ended[task] = Cause.STOPPED
            else:
                worker.ended.pop(task, None)

    def _start(self, worker: Worker, task: tuple[str, int]) -> None:
        job = task[0].split("/")[0]
        spec = self.specs[job]
        self.first_start.setdefault(job, self.now)
        worker.tasks[task] = self.now + timedelta(seconds=4 + spec.estimate_s * self.random.uniform(0.6, 1.6))

    # -- time -----------------------------------------------------------------

    def _add_cpu_time(self, start: float) -> None:
        elapsed = time.process_time() - start
        self.decision_s += elapsed
        self.max_decision_s = max(self.max_decision_s, elapsed)

    def step(self) -> None:
        """Advances the simulated time by ``STEP`` and lets machines and leader act."""
        self.now += STEP
        while self._next_reports and self._next_reports[0][0] <= self.now:
            _, name = heapq.heappop(self._next_reports)
            worker = self.workers[name]
            if not worker.is_reporting:
                continue
            if worker.machine.state in (MachineState.READY, MachineState.LEAVING):
                self._report(worker)
            next_end = min((end for end in worker.tasks.values()), default=self.now + REPORT_INTERVAL)
            due = self.now + REPORT_INTERVAL * self.random.uniform(0.75, 1.25)
            heapq.heappush(self._next_reports, (min(due, max(next_end, self.now + MIN_REPORT_INTERVAL)), name))
        start = time.process_time()
        if self.now >= self._last_tick + TICK_INTERVAL:
            self._last_tick = self.now
            self.leader.tick(self.now, self.now)
        if self.leader.needs_placement:
            self.leader.place_tasks(self.now)
        self._add_cpu_time(start)
        self._write_records()

    def _write_records(self) -> None:
        """Writes the job records that controllers with claims on the jobs would write."""
        for job, run in list(self.leader.cluster_state.unrecorded.items()):
            if run.finished.full:
                self.leader.set_record(job, None, None, self.now)
        for run in list(self.leader.backlog.awaiting_attempt.values()):
            self._record(run.spec, run.record.attempt + 1)

    def plan(self) -> dict[object, int]:
        """Plans rentals, to measure the cost of planning; nothing is rented."""
        start = time.process_time()
        rentals = fleet.plan_rentals(self.leader.cluster_state, fleet.Refusals(), self.now)
        self._add_cpu_time(start)
        return dict(rentals)


@click.command()
@click.option("--machines", default=600, show_default=True, help="Number of machines.")
@click.option("--urgent", default=70.0, show_default=True, help="Urgent gangs a minute.")
@click.option("--routine", default=50.0, show_default=True, help="Routine arrays a minute.")
@click.option("--burst", default=1.0, show_default=True, help="Factor on both rates in the second minute.")
@click.option(
    "--gone", default=0.0, show_default=True, help="Share of the machines that stop reporting after a minute."
)
@click.option("--minutes", default=4, show_default=True)
@click.option("--limit", default=0.0, show_default=True, help="Processors that the team may use; 0: no limit.")
@click.option("--seed", default=1, show_default=True)
@click.option("--profile", is_flag=True, help="Print a profile of the processor time.")
def main(
    machines: int,
    urgent: float,
    routine: float,
    burst: float,
    gone: float,
    minutes: int,
    limit: float,
    seed: int,
    profile: bool,
) -> None:
    """Prints, for each simulated minute, the cost of decisions and the waiting times."""
    load = Load(machines, seed, limit)
    profiler = cProfile.Profile(time.process_time) if profile else None
    if profiler is not None:
        profiler.enable()
    decision_s = checks = 0.0
    print(
        "minute decision_s max_decision_s machine_checks waiting_runs waiting_tasks urgent_p50_s urgent_p95_s peak_mb"
    )
    for minute in range(minutes):
        if minute == 1 and gone:
            load.silence_machines(gone)
        for step in range(1200):
            factor = burst if minute == 1 else 1.0
            while load.random.random() < urgent * factor / 1200:
                load.submit_urgent()
            while load.random.random() < routine * factor / 1200:
                load.submit_routine()
            load.step()
            if step % 20 == 0:
                load.plan()
        waits = sorted(
            (load.first_start.get(job, load.now) - submitted).total_seconds()
            for job, submitted in load.submitted.items()
            if load.specs[job].priority is Priority.HIGH and submitted > load.now - timedelta(minutes=2)
        ) or [0.0]
        backlog = load.leader.backlog.waiting.values()
        print(
            f"{minute + 1:6d} {load.decision_s - decision_s:10.2f} {load.max_decision_s:14.3f} "
            f"{load.leader.pool.machines_checked - checks:8.0f} {len(backlog):8d} "
            f"{sum(len(r.open) for r in backlog):8d} "
            f"{waits[len(waits) // 2]:10.1f} {waits[len(waits) * 95 // 100]:10.1f} "
            f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:8.0f}"
        )
        decision_s, checks, load.max_decision_s = load.decision_s, load.leader.pool.machines_checked, 0.0
    if profiler is not None:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(28)


if __name__ == "__main__":
    main()
