"""The leader alone under a load that is drawn: what its decisions cost as things grow.

Everything runs in one process on a simulated clock, from a seed: machines report, start what they
are told and end it; jobs come, also in bursts; part of the fleet may go away. Nothing here is a
stand-in for the wire, so what is measured is the books, the placing and the planning.

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
from gingerspar.storage.records import Claimant, JobRecord, TaskSet

STEP = timedelta(milliseconds=50)
REPORT = timedelta(seconds=2.5)
TICK = timedelta(milliseconds=250)
NEWS = timedelta(seconds=0.5)  # a machine with news waits at least so long after its last report
TYPES = [
    MachineType("plain", 20, 80, cache_gb=60, zones=("a", "b"), price=1.0, spot_price=0.25, boot_s=20),
    MachineType("cards", 80, 320, gpus=8, cache_gb=80, zones=("a", "b"), price=20.0, spot_price=5.0, boot_s=25),
]


@dataclass(slots=True)
class Worker:
    """What the machine itself knows."""

    machine: Machine
    seq: int = 1
    reported: timedelta = timedelta(0)
    tasks: dict[tuple[str, int], timedelta] = field(default_factory=dict)  # name and attempt; when it ends
    over: dict[tuple[str, int], Cause] = field(default_factory=dict)
    told: set[tuple[str, int]] = field(default_factory=set)  # waits for its gang
    alive: bool = True


class Load:
    """A leader, its machines and the jobs that come."""

    def __init__(self, machines: int, seed: int, limit: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.now = timedelta(seconds=1)
        workers = WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43, gang_wait_s=35, gang_peer_s=4)
        self.leader = Dispatcher(1, timedelta(0), workers, [TeamFacts("red", cpus_max=limit)], today=None)
        self.leader.set_types(TYPES)
        self.workers: dict[str, Worker] = {}
        self.specs: dict[str, JobSpec] = {}
        self.attempts: dict[str, int] = {}
        self.seen: dict[str, timedelta] = {}  # first start, by job
        self.came: dict[str, timedelta] = {}
        self.jobs = 0
        self.deciding = 0.0  # processor seconds
        self.longest = 0.0
        self._ticked = self.now
        self._due: list[tuple[timedelta, str]] = []
        for number in range(machines):
            self._add(f"n-{number:06d}", "plain" if number % 3 else "cards", "ab"[number % 2], number % 4 == 0)

    def _add(self, name: str, kind: str, zone: str, spot: bool) -> None:
        self.leader.cluster_state.add_machine(name, kind, zone, spot, self.now, MachineState.BOOTING)
        report = Report(name, "10.0.0.9:1", kind, zone, 1, 1, 1, spot, None, msgspec.Raw(b"[]"))
        machine = self.leader.handle_report(report, self.now)
        machine.mark_rostered()
        self.workers[name] = Worker(machine)
        heapq.heappush(self._due, (self.now + REPORT * self.random.random(), name))

    # -- jobs -----------------------------------------------------------------

    def urgent(self) -> None:
        size = self.random.choice([3, 6, 12])
        self._job("rebuild", Shape.GANG, Priority.HIGH, size, 18.0, 60.0, 0.0, spot=False, checkpoint=15.0)

    def routine(self) -> None:
        size = max(1, min(150, round(self.random.lognormvariate(3.4, 0.7))))
        vary = self.random.uniform(0.8, 1.2)
        self._job("render", Shape.ARRAY, Priority.LOW, size, 9.0 * vary, 34.0 * vary, 1.0, spot=True)

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
        self.came[spec.job] = self.now
        self._record(spec, 1)

    def _record(self, spec: JobSpec, attempt: int) -> None:
        self.attempts[spec.job] = attempt
        run = self.leader.runs.get(spec.job)
        finished = run.finished.copy() if run is not None else TaskSet(spec.tasks)
        order = float(spec.job[3:])
        record = JobRecord(spec, JobStatus.RUNNING, attempt, Claimant("n1", 1), order, 1, 1)
        self.leader.set_record(spec.job, record, finished, self.now)

    # -- machines -------------------------------------------------------------

    def kill(self, share: float) -> None:
        """That share of the machines falls silent."""
        for worker in self.random.sample(list(self.workers.values()), int(share * len(self.workers))):
            worker.alive = False

    def _report(self, worker: Worker) -> None:
        for key, end in list(worker.tasks.items()):
            if end <= self.now:
                del worker.tasks[key]
                worker.over[key] = Cause.DONE
        listed = [
            TaskReport(name, attempt, TaskStatus.WAITING if (name, attempt) in worker.told else TaskStatus.RUNNING)
            for name, attempt in worker.tasks
        ]
        listed += [
            TaskReport(name, attempt, TaskStatus.EXITED, cause) for (name, attempt), cause in worker.over.items()
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
            msgspec.Raw(encode(listed)),
        )
        try:
            machine = self.leader.handle_report(report, self.now)
        except StaleReport:
            return
        for command in self.leader.take_commands(machine, report, self.now):
            key = (command.task, command.attempt)
            if command.verb is Verb.RUN:
                self._start(worker, key)
            elif command.verb is Verb.STOP:
                if worker.tasks.pop(key, None) is not None:
                    worker.over[key] = Cause.STOPPED
            else:
                worker.over.pop(key, None)

    def _start(self, worker: Worker, key: tuple[str, int]) -> None:
        job = key[0].split("/")[0]
        spec = self.specs[job]
        self.seen.setdefault(job, self.now)
        worker.tasks[key] = self.now + timedelta(seconds=4 + spec.estimate_s * self.random.uniform(0.6, 1.6))

    # -- time -----------------------------------------------------------------

    def _spent(self, began: float) -> None:
        spent = time.process_time() - began
        self.deciding += spent
        self.longest = max(self.longest, spent)

    def step(self) -> None:
        """One step of simulated time."""
        self.now += STEP
        while self._due and self._due[0][0] <= self.now:
            _, name = heapq.heappop(self._due)
            worker = self.workers[name]
            if not worker.alive:
                continue
            if worker.machine.state in (MachineState.READY, MachineState.LEAVING):
                self._report(worker)
            ends = min((end for end in worker.tasks.values()), default=self.now + REPORT)
            due = self.now + REPORT * self.random.uniform(0.75, 1.25)
            heapq.heappush(self._due, (min(due, max(ends, self.now + NEWS)), name))
        began = time.process_time()
        if self.now >= self._ticked + TICK:
            self._ticked = self.now
            self.leader.tick(self.now, self.now)
        if self.leader.needs_placement:
            self.leader.place_tasks(self.now)
        self._spent(began)
        self._books()

    def _books(self) -> None:
        """What claimants would write."""
        for job, run in list(self.leader.cluster_state.unrecorded.items()):
            if run.finished.full:
                self.leader.set_record(job, None, None, self.now)
        for run in list(self.leader.backlog.awaiting_attempt.values()):
            self._record(run.spec, run.record.attempt + 1)

    def plan(self) -> dict[object, int]:
        """What the fleet's planning costs; nothing is rented here."""
        began = time.process_time()
        found = fleet.plan_rentals(self.leader.cluster_state, fleet.Refusals(), self.now)
        self._spent(began)
        return dict(found)


@click.command()
@click.option("--machines", default=600, show_default=True, help="Machines that are up.")
@click.option("--urgent", default=70.0, show_default=True, help="Urgent gangs a minute.")
@click.option("--routine", default=50.0, show_default=True, help="Routine arrays a minute.")
@click.option("--burst", default=1.0, show_default=True, help="Times as many of both in the second minute.")
@click.option("--gone", default=0.0, show_default=True, help="Share of the machines that fall silent after a minute.")
@click.option("--minutes", default=4, show_default=True)
@click.option("--limit", default=0.0, show_default=True, help="Processors that the team may use; 0: all.")
@click.option("--seed", default=1, show_default=True)
@click.option("--profile", is_flag=True, help="Where the time goes.")
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
    """Prints, for each simulated minute, what deciding cost and how long work waits."""
    load = Load(machines, seed, limit)
    profiler = cProfile.Profile(time.process_time) if profile else None
    if profiler is not None:
        profiler.enable()
    spent = looks = 0.0
    print("minute deciding_s longest_pass_s looks waiting_runs waiting_tasks urgent_p50_s urgent_p95_s peak_mb")
    for minute in range(minutes):
        if minute == 1 and gone:
            load.kill(gone)
        for step in range(1200):
            times = burst if minute == 1 else 1.0
            while load.random.random() < urgent * times / 1200:
                load.urgent()
            while load.random.random() < routine * times / 1200:
                load.routine()
            load.step()
            if step % 20 == 0:
                load.plan()
        waits = sorted(
            (load.seen.get(job, load.now) - came).total_seconds()
            for job, came in load.came.items()
            if load.specs[job].priority is Priority.HIGH and came > load.now - timedelta(minutes=2)
        ) or [0.0]
        backlog = load.leader.backlog.waiting.values()
        print(
            f"{minute + 1:6d} {load.deciding - spent:10.2f} {load.longest:14.3f} "
            f"{load.leader.pool.looked_at - looks:8.0f} {len(backlog):8d} {sum(len(r.open) for r in backlog):8d} "
            f"{waits[len(waits) // 2]:10.1f} {waits[len(waits) * 95 // 100]:10.1f} "
            f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:8.0f}"
        )
        spent, looks, load.longest = load.deciding, load.leader.pool.looked_at, 0.0
    if profiler is not None:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(28)


if __name__ == "__main__":
    main()
