"""What the term holder decides: pure of input and output, driven by events.

One ``Dispatcher`` lives as long as its term. Reports, records and the cloud's
answers go in; commands, finishes and wishes come out.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from sortedcontainers import SortedSet

from gingerspar.coordination import placement as placing
from gingerspar.coordination.ledger import (
    REPORTED,
    Machine,
    MachineState,
    Placement,
    TaskState,
    Usage,
)
from gingerspar.coordination.term import DRIFT, settle_span
from gingerspar.protocol.messages import (
    Cause,
    Command,
    JobSpec,
    JobStatus,
    MachineType,
    Priority,
    Report,
    Shape,
    TaskReport,
    TaskStatus,
    Verb,
)
from gingerspar.protocol.settings import TeamFacts, WorkerFacts
from gingerspar.storage.records import JobRecord, TaskSet

log = logging.getLogger(__name__)

LEASE_MARGIN = timedelta(seconds=0.5)
NO_GRACE = timedelta(0)
MOST_BACKOFF = timedelta(seconds=20)
FIRST_BACKOFF = timedelta(seconds=1)
PREEMPT_AFTER = timedelta(seconds=1.5)  # a gang waits this long for room to come by itself
SICK_TASKS = 2  # failures without a success in between that make a machine suspect
MOST_COMMANDS = 300  # in one answer, which has to stay below 64 KiB


class Stale(Exception):
    """The report is older than what is known, or of a session that is over."""


class Outdated(Exception):
    """The worker has seen a higher token: this node no longer commands."""


class GangState(Enum):
    IDLE = "idle"  # nothing of it on any machine
    PLACED = "placed"  # all its tasks have places
    STOPPING = "stopping"  # it lost a task or is stopped: waits until all are gone


@dataclass(slots=True, eq=False)
class JobRun:
    """An unfinished job, or a finished one with tasks still on machines."""

    spec: JobSpec
    record: JobRecord
    finished: TaskSet  # as the record says, plus what reports say
    unsaved: set[int] = field(default_factory=set)  # finished, not yet in the record
    open: "SortedSet[int]" = field(default_factory=SortedSet)
    places: dict[int, list[Placement]] = field(default_factory=dict)  # live ones
    gang: GangState = GangState.IDLE
    used_attempt: int = 0  # highest attempt that may have been started
    not_before: timedelta | None = None
    backoff: timedelta = FIRST_BACKOFF
    failures: dict[str, int] = field(default_factory=dict)  # errors by machine
    ran_well: set[str] = field(default_factory=set)  # machines where a task of it was done
    over: bool = False
    told: timedelta | None = None  # when the claimant was last told of `unsaved`
    reclaim_asked: timedelta | None = None
    first_open: timedelta | None = None

    @property
    def order(self) -> tuple[int, float, float, str]:
        return self.record.order

    @property
    def live(self) -> list[Placement]:
        return [placement for places in self.places.values() for placement in places]

    def set_gang(self, state: GangState) -> None:
        """The only place where a gang's state changes."""
        self.gang = state


class Dispatcher:
    """Holds the ledger of one term."""

    def __init__(
        self,
        term: int,
        raised: timedelta,
        workers: WorkerFacts,
        teams: Iterable[TeamFacts],
        *,
        roster: Iterable[tuple[str, str, str, bool]] = (),
    ) -> None:
        self.term = term
        self.raised = raised
        self._workers = workers
        self._settled_by = raised + settle_span(workers)
        self.teams = {team.name: team for team in teams}
        self.types: dict[str, MachineType] = {}
        self.machines: dict[str, Machine] = {}
        self.runs: dict[str, JobRun] = {}
        self.usage: dict[str, Usage] = {team: Usage() for team in self.teams}
        self.accelerated: dict[str, JobSpec] = {}  # by class: what uses accelerators here
        self.dirty = True
        self.wake: Callable[[Machine], None] = lambda machine: None
        self.final_spec: Callable[[str], JobSpec | None] = lambda job: None
        self.finish_wanted: Callable[[], None] = lambda: None
        for name, type_name, zone, spot in roster:
            machine = Machine(name, type_name, zone, spot, MachineState.UNSETTLED, raised, rostered=True)
            self.machines[name] = machine

    # -- what comes in: machine types and records -----------------------------

    def set_types(self, types: Iterable[MachineType]) -> None:
        self.types = {kind.name: kind for kind in types}
        for machine in self.machines.values():
            machine.kind = self.types.get(machine.type)
        self.dirty = True

    def set_record(self, job: str, record: JobRecord | None, finished: TaskSet | None, now: timedelta) -> None:
        """A new version of a record; None: the job is done or cancelled."""
        run = self.runs.get(job)
        if record is None or finished is None:
            if run is not None:
                self._end(run, now)
            return
        if run is None:
            run = JobRun(record.spec, record, finished.copy())
            run.open = SortedSet(finished.missing())
            run.first_open = now
            self.runs[job] = run
            if run.spec.gpus:
                self.accelerated[run.spec.jobclass] = run.spec
        run.record = record
        if record.claim_term < self.term:
            # Claimed under an older holder, who may have started this attempt.
            run.used_attempt = max(run.used_attempt, record.attempt)
        for number in finished:
            run.finished.add(number)
            run.unsaved.discard(number)
            run.open.discard(number)
        self.dirty = True

    def _end(self, run: JobRun, now: timedelta) -> None:
        run.over = True
        run.open.clear()
        run.unsaved.clear()
        for placement in run.live:
            self._stop(placement, NO_GRACE, now)
        if not run.places:
            self.runs.pop(run.spec.job, None)
        self.dirty = True

    # -- reports --------------------------------------------------------------

    def report(self, report: Report, now: timedelta) -> Machine:
        """Takes a report in; raises ``Stale`` or ``Outdated`` if it must not be answered."""
        if report.token > self.term:
            raise Outdated
        machine = self.machines.get(report.machine)
        if machine is None:
            # Unexpected, yet not on the roster: no older holder can have used it.
            machine = self.add_machine(report.machine, report.type, report.zone, report.spot, now, MachineState.BOOTING)
        if machine.state in (MachineState.RETURNING, MachineState.GONE):
            raise Stale
        if report.session < machine.least_session or (report.session, report.seq) <= (machine.session, machine.seq):
            raise Stale
        machine.session, machine.seq = report.session, report.seq
        machine.address = report.address
        machine.answered = now
        if report.token < self.term:
            # It may yet take an older holder's answer; its next report tells what is on it.
            if machine.state is MachineState.BOOTING and machine.rostered and report.tasks:
                machine.move(MachineState.UNSETTLED)
            return machine
        if machine.state in (MachineState.BOOTING, MachineState.UNSETTLED, MachineState.LOST):
            log.info("machine %s %s -> ready", machine.name, machine.state.value)
            machine.move(MachineState.READY)
            machine.idle_since = None
        self._take_tasks(machine, report, now)
        if report.notice_s is not None:
            machine.notice = now + timedelta(seconds=report.notice_s)
            if machine.state is MachineState.READY:
                self.leave(machine, "spot notice")
        if not machine.live and machine.idle_since is None:
            machine.idle_since = now
        self.dirty = True
        return machine

    def add_machine(
        self, name: str, type_name: str, zone: str, spot: bool, now: timedelta, state: MachineState
    ) -> Machine:
        machine = Machine(name, type_name, zone, spot, state, now, kind=self.types.get(type_name))
        self.machines[name] = machine
        return machine

    def _take_tasks(self, machine: Machine, report: Report, now: timedelta) -> None:
        reported: dict[tuple[str, int, int], TaskReport] = {}
        for task in report.tasks:
            try:
                job, number = task.where()
            except ValueError:
                continue
            reported[(job, number, task.attempt)] = task
        for key, placement in list(machine.live.items()):
            seen = reported.get(key)
            if seen is not None:
                self._update(placement, seen, now)
            elif placement.state is TaskState.SENT:
                if (report.session, report.seq) > placement.answered:
                    # The answer that carried `run` was dropped: a later report was sent
                    # since, and answers to earlier ones have no effect any more.
                    if placement.stop is not None:
                        self._gone(placement, now)
                    else:
                        placement.move(TaskState.PLANNED, now)
            elif placement.state is not TaskState.PLANNED:
                self._gone(placement, now)
        machine.exited = {key: task.cause for key, task in reported.items() if task.status is TaskStatus.EXITED}
        for key, task in reported.items():
            if key not in machine.live:
                self._adopt(machine, key, task, now)

    def _update(self, placement: Placement, task: TaskReport, now: timedelta) -> None:
        if task.status is TaskStatus.EXITED:
            self._exited(placement, task, now)
            return
        state = REPORTED[task.status]
        if placement.state is not state:
            placement.move(state, now)
            log.debug("%s on %s is %s", placement.name, placement.machine.name, state.value)
        if state in (TaskState.RUNNING, TaskState.WAITING, TaskState.SAVING):
            placement.machine.remember_image(placement.spec.image, placement.spec.image_gb)

    def _adopt(self, machine: Machine, key: tuple[str, int, int], task: TaskReport, now: timedelta) -> None:
        """A task that this holder didn't start: an older one did."""
        job, number, attempt = key
        run = self.runs.get(job)
        if task.status is TaskStatus.EXITED:
            if task.cause is Cause.DONE and run is not None:
                self._done(run, number)
            return
        if run is None:
            # A job that is over, or that nobody knows. The task is stopped, and until it has
            # ended it counts against its team's limit like any other.
            spec = self.final_spec(job) or _stranger(job)
            run = self.runs.setdefault(job, JobRun(spec, _no_record(spec), TaskSet(spec.tasks), over=True))
        placement = Placement(run.spec, number, attempt, machine, REPORTED[task.status], now)
        if task.status is TaskStatus.RUNNING:
            placement.running_since = now
        self._enter(run, placement)
        run.used_attempt = max(run.used_attempt, attempt)
        doubled = len(run.places[number]) > 1
        if run.over or doubled or number in run.finished or number >= run.spec.tasks:
            log.info("stopping %s attempt %d found on %s", placement.name, attempt, machine.name)
            self._stop(placement, NO_GRACE, now)
            return
        log.info("adopted %s attempt %d on %s", placement.name, attempt, machine.name)
        if run.spec.shape is Shape.GANG:
            run.set_gang(GangState.PLACED)

    def _enter(self, run: JobRun, placement: Placement) -> None:
        placement.machine.take(placement)
        run.places.setdefault(placement.number, []).append(placement)
        run.open.discard(placement.number)
        self.usage.setdefault(run.spec.team, Usage()).add(run.spec)

    def _leave(self, placement: Placement) -> JobRun:
        """Takes an ended placement off the books."""
        run = self.runs[placement.job]
        places = run.places[placement.number]
        places.remove(placement)
        if not places:
            del run.places[placement.number]
            if not run.over and placement.number not in run.finished and placement.number < run.spec.tasks:
                run.open.add(placement.number)
        self.usage[run.spec.team].add(run.spec, -1)
        if run.over and not run.places:
            self.runs.pop(placement.job, None)
        self.dirty = True
        return run

    def _exited(self, placement: Placement, task: TaskReport, now: timedelta) -> None:
        cause = task.cause
        machine = placement.machine
        placement.cause = cause
        placement.move(TaskState.EXITED, now)
        run = self.runs[placement.job]
        if cause is Cause.DONE:
            machine.remember_image(placement.spec.image, placement.spec.image_gb)
            machine.errors.clear()
            run.failures.clear()
            run.backoff = FIRST_BACKOFF
            run.ran_well.add(machine.name)
            self._done(run, placement.number)
        self._leave(placement)
        if cause is Cause.DONE:
            log.debug("%s attempt %d on %s ended: done", placement.name, placement.attempt, machine.name)
            return
        log.info("%s attempt %d on %s ended: %s", placement.name, placement.attempt, machine.name, cause)
        if cause is Cause.ERROR:
            self._failed(run, machine, now)
        elif cause in (Cause.FULL, Cause.BUSY, Cause.UNKNOWN):
            run.not_before = now + FIRST_BACKOFF
        self._gang_lost_one(run, now)

    def _gone(self, placement: Placement, now: timedelta) -> None:
        if not placement.live:
            return  # its gang was taken apart while its machine's tasks were gone through
        log.debug("%s attempt %d on %s is gone", placement.name, placement.attempt, placement.machine.name)
        placement.move(TaskState.GONE, now)
        run = self._leave(placement)
        self._gang_lost_one(run, now)

    def _gang_lost_one(self, run: JobRun, now: timedelta) -> None:
        if run.spec.shape is not Shape.GANG or run.over:
            return
        if not run.places:
            run.set_gang(GangState.IDLE)
            return
        run.set_gang(GangState.STOPPING)
        for placement in run.live:
            if placement.stop is None:
                self._stop(placement, NO_GRACE, now)

    def _done(self, run: JobRun, number: int) -> None:
        # The tasks of a gang complete together: if one is done, all are.
        numbers = range(run.spec.tasks) if run.spec.shape is Shape.GANG else (number,)
        for each in numbers:
            if not run.over and run.finished.add(each):
                run.unsaved.add(each)
                run.open.discard(each)
        if run.unsaved:
            run.told = None
            self.finish_wanted()

    def _failed(self, run: JobRun, machine: Machine, now: timedelta) -> None:
        """Blames the machine, unless the job fails wherever it runs."""
        machine.errors[run.spec.job] = machine.errors.get(run.spec.job, 0) + 1
        run.failures[machine.name] = run.failures.get(machine.name, 0) + 1
        if len(run.failures) >= 3 and not run.ran_well:
            # It failed on several machines and ran well on none: the job is to blame.
            run.not_before = now + run.backoff
            run.backoff = min(run.backoff * 2, MOST_BACKOFF)
            for other in self.machines.values():
                other.errors.pop(run.spec.job, None)
            return
        run.not_before = now + timedelta(seconds=0.2)
        if sum(machine.errors.values()) >= SICK_TASKS and machine.state is MachineState.READY:
            self.leave(machine, "fails its tasks")
            for placement in list(machine.live.values()):
                self._stop(placement, NO_GRACE, now)

    # -- stopping -------------------------------------------------------------

    def _stop(self, placement: Placement, grace: timedelta, now: timedelta) -> None:
        """Wants a task ended; a planned one never reached its machine."""
        if placement.state is TaskState.PLANNED:
            self._gone(placement, now)
            return
        if placement.stop is None or grace < placement.stop:
            placement.stop = grace
            placement.stop_sent = False
            self.wake(placement.machine)

    def leave(self, machine: Machine, why: str) -> None:
        log.info("machine %s leaves: %s", machine.name, why)
        machine.why_leaving = why
        machine.move(MachineState.LEAVING)
        self.dirty = True

    def stop_run(self, run: JobRun, grace: timedelta, now: timedelta) -> None:
        """Stops all tasks of a job in an orderly way; a gang's must be told together."""
        if run.spec.shape is Shape.GANG:
            run.set_gang(GangState.STOPPING)
        for placement in run.live:
            self._stop(placement, grace, now)

    def stop_task(self, placement: Placement, grace: timedelta, now: timedelta) -> None:
        self._stop(placement, grace, now)

    # -- commands -------------------------------------------------------------

    def has_commands(self, machine: Machine) -> bool:
        if machine.state not in (MachineState.READY, MachineState.LEAVING):
            return False
        return any(
            placement.state is TaskState.PLANNED or (placement.stop is not None and not placement.stop_sent)
            for placement in machine.live.values()
        )

    def direct_stops(self, machine: Machine, now: timedelta) -> list[Command]:
        """Stops that need not wait for the machine's next report.

        Only stops: executed late, one ends at worst a task that is started again, while a
        late `run` could start one that runs elsewhere or is cancelled. They go again with
        the answers to reports until the task has ended.
        """
        found: list[Command] = []
        for placement in machine.live.values():
            if placement.stop is None or placement.told_directly == placement.stop:
                continue
            if placement.state not in (TaskState.PLANNED, TaskState.SENT):
                placement.told_directly = placement.stop
                grace = placement.stop.total_seconds()
                found.append(Command(Verb.STOP, placement.name, placement.attempt, grace))
        return found

    def commands(self, machine: Machine, report: Report, now: timedelta) -> list[Command]:
        """What the answer to this report carries; `run` goes nowhere else."""
        if machine.state not in (MachineState.READY, MachineState.LEAVING) or report.token < self.term:
            return []
        found: list[Command] = []
        for (job, number, attempt), cause in machine.exited.items():
            run = self.runs.get(job)
            keep = cause is Cause.DONE and run is not None and not run.over and number in run.unsaved
            if not keep:
                found.append(Command(Verb.FORGET, f"{job}/{number}", attempt))
        for placement in list(machine.live.values()):
            if len(found) >= MOST_COMMANDS:
                break
            if placement.state is TaskState.PLANNED:
                placement.move(TaskState.SENT, now)
                placement.answered = (report.session, report.seq)
                log.debug("run %s attempt %d on %s", placement.name, placement.attempt, machine.name)
                found.append(Command(Verb.RUN, placement.name, placement.attempt))
            elif placement.stop is not None:
                if placement.state is TaskState.SENT and placement.answered >= (report.session, report.seq):
                    continue
                found.append(Command(Verb.STOP, placement.name, placement.attempt, placement.stop.total_seconds()))
                placement.stop_sent = True
        return found

    # -- time -----------------------------------------------------------------

    def tick(self, now: timedelta) -> None:
        """Leases that ran out, notices that come due, gangs that came back incomplete."""
        lease = self._workers.lease * (1 + 4 * DRIFT) + LEASE_MARGIN
        for machine in list(self.machines.values()):
            if machine.state in (MachineState.READY, MachineState.LEAVING):
                if machine.answered is not None and now - machine.answered > lease:
                    self.lost(machine, "silent for its lease", now)
            elif machine.state is MachineState.UNSETTLED:
                heard = machine.answered + lease if machine.answered is not None else self._settled_by
                if now > max(heard, self._settled_by):
                    self.lost(machine, "silent since the term began", now)
        if not self.unsettled:
            for run in list(self.runs.values()):
                if run.spec.shape is Shape.GANG and not run.over and run.gang is GangState.PLACED:
                    attempts = {placement.attempt for placement in run.live}
                    if len(run.places) < run.spec.tasks or len(attempts) > 1:
                        self._gang_lost_one(run, now)
        self._drain(now)

    def _drain(self, now: timedelta) -> None:
        """Saves what can be saved on machines that the cloud takes away."""
        for machine in self.machines.values():
            if machine.state is not MachineState.LEAVING or machine.notice is None:
                continue
            left = machine.notice - now
            for placement in list(machine.live.values()):
                spec = placement.spec
                if placement.stop is None and spec.shape is Shape.SERVICE:
                    self._stop(placement, spec.save_time, now)  # a replica gains nothing by staying
                if placement.stop is not None or not spec.checkpoint_s:
                    continue
                # Late enough to get on, early enough for the command to arrive and the save to end.
                if left <= spec.save_time + self._workers.report * 1.5 + timedelta(seconds=1):
                    grace = spec.save_time + timedelta(seconds=1)
                    run = self.runs[placement.job]
                    if spec.shape is Shape.GANG:
                        self.stop_run(run, grace, now)
                    else:
                        self._stop(placement, grace, now)

    def lost(self, machine: Machine, why: str, now: timedelta) -> None:
        """Nothing runs there any more: its worker's lease is over, or the machine is."""
        log.info("machine %s lost: %s", machine.name, why)
        machine.move(MachineState.LOST)
        machine.least_session = machine.session + 1
        machine.exited = {}
        for placement in list(machine.live.values()):
            self._gone(placement, now)
        self.dirty = True

    def returned(self, machine: Machine, now: timedelta) -> None:
        """The cloud said 200: the machine and all on it are gone."""
        for placement in list(machine.live.values()):
            self._gone(placement, now)
        machine.move(MachineState.GONE)
        del self.machines[machine.name]
        self.dirty = True

    @property
    def unsettled(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.state is MachineState.UNSETTLED]

    # -- placing --------------------------------------------------------------

    def blocked(self, run: JobRun, unsettled: list[Machine]) -> bool:
        """True while one of its open tasks may run on a machine that has not reported yet."""
        if run.record.first_term >= self.term:
            return False
        return any(placing.allows(run.spec, m.type, m.zone, m.spot) for m in unsettled)

    def waiting_runs(self, now: timedelta) -> list[JobRun]:
        """Claimed jobs with open tasks, in the order in which they are served."""
        unsettled = self.unsettled
        runs = [
            run
            for run in self.runs.values()
            if run.open
            and not run.over
            and run.record.status is JobStatus.RUNNING
            and (run.not_before is None or run.not_before <= now)
            and not self.blocked(run, unsettled)
        ]
        runs.sort(key=lambda run: run.order)
        return runs

    def team_room(self, spec: JobSpec) -> int:
        """Tasks that the team's limit still takes; unsettled machines count as full of them."""
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        used = self.usage[spec.team]
        cpus, gpus = used.cpus, used.gpus
        for machine in self.unsettled:
            kind = machine.kind
            cpus += kind.cpus if kind is not None else team.cpus_max
            gpus += kind.gpus if kind is not None else team.gpus_max
        room = 1_000_000
        if team.cpus_max and spec.cpus:
            room = min(room, int((team.cpus_max - cpus) / spec.cpus + 1e-9))
        if team.gpus_max and spec.gpus:
            room = min(room, int((team.gpus_max - gpus) / spec.gpus + 1e-9))
        return max(room, 0)

    def place(self, now: timedelta) -> None:
        """Gives places to open tasks, by priority, then earliest due."""
        self.dirty = False
        ready = [m for m in self.machines.values() if m.state is MachineState.READY and m.rostered]
        for machine in ready:
            machine.booked = Usage()
        for run in self.waiting_runs(now):
            if run.spec.shape is Shape.GANG:
                self._place_gang(run, ready, now)
            else:
                self._place_tasks(run, ready, now)

    def _place_gang(self, run: JobRun, ready: list[Machine], now: timedelta) -> None:
        spec = run.spec
        if run.gang is not GangState.IDLE or run.places or len(run.open) < spec.tasks:
            return
        if self.team_room(spec) < spec.tasks:
            return
        fitting = placing.candidates(spec, self._fit_for(run, ready))
        found = placing.choose_all(spec, fitting, spec.tasks, placing.Scorer(spec, self.types, now))
        if found is None:
            self._make_room(run, ready, now)
            return
        if run.record.attempt <= run.used_attempt:
            for machine in found:
                machine.booked.add(spec)  # the new attempt is on its way
            return
        run.set_gang(GangState.PLACED)
        for number, machine in enumerate(found):
            self._plan(run, number, machine, now)

    def _make_room(self, run: JobRun, ready: list[Machine], now: timedelta) -> None:
        """Stops work of lower priority for a gang that fits nowhere, and keeps its room free.

        What is lost least goes first. Room is kept whether or not it is there yet, so
        that small tasks don't take it away piece by piece.
        """
        spec = run.spec
        if run.first_open is None or now - run.first_open < PREEMPT_AFTER:
            return
        room: list[tuple[float, str, Machine, list[Placement]]] = []
        for machine in self._fit_for(run, ready):
            if placing.allows(spec, machine.type, machine.zone, machine.spot):
                room += self._room_by_stopping(run, machine, now)
        room.sort(key=lambda slot: slot[:2])
        if spec.one_zone:
            zones = {machine.zone for _, _, machine, _ in room}
            counts = {zone: sum(slot[2].zone == zone for slot in room) for zone in zones}
            best = max(counts, key=lambda zone: (counts[zone], zone), default="")
            room = [slot for slot in room if slot[2].zone == best]
        if len(room) < spec.tasks or spec.spread:
            return
        for _, _, machine, victims in room[: spec.tasks]:
            machine.booked.add(spec)
            for victim in victims:
                if victim.stop is None:
                    log.info("stopping %s on %s to make room for %s", victim.name, machine.name, spec.job)
                    grace = victim.spec.save_time if victim.spec.checkpoint_s else NO_GRACE
                    theirs = self.runs[victim.job]
                    if theirs.spec.shape is Shape.GANG:
                        self.stop_run(theirs, grace, now)
                    else:
                        self._stop(victim, grace, now)

    def _room_by_stopping(
        self, run: JobRun, machine: Machine, now: timedelta
    ) -> list[tuple[float, str, Machine, list[Placement]]]:
        """Places for tasks of the job on one machine, each with what must be stopped for it."""
        kind = machine.kind
        if kind is None:
            return []
        spec = run.spec
        victims = [p for p in machine.live.values() if p.spec.priority.rank > spec.priority.rank]
        victims.sort(key=lambda p: (p.stop is None, _lost_work(p, now)))
        free = [
            kind.cpus - machine.used.cpus - machine.booked.cpus,
            kind.gpus - machine.used.gpus - machine.booked.gpus,
            kind.memory_gb - machine.used.memory_gb - machine.booked.memory_gb,
        ]
        need = (spec.cpus, spec.gpus, spec.memory_gb)
        found: list[tuple[float, str, Machine, list[Placement]]] = []
        chosen: list[Placement] = []
        lost = 0.0
        while len(found) < spec.tasks:
            if all(have + 1e-9 >= want for have, want in zip(free, need, strict=True)):
                free = [have - want for have, want in zip(free, need, strict=True)]
                found.append((lost, machine.name, machine, chosen))
                chosen = []
            elif victims:
                victim = victims.pop(0)
                chosen.append(victim)
                if victim.stop is None:
                    lost += 1.0 + _lost_work(victim, now)
                theirs = victim.spec
                free = [free[0] + theirs.cpus, free[1] + theirs.gpus, free[2] + theirs.memory_gb]
            else:
                break
        return found

    def needs_attempt(self, run: JobRun) -> bool:
        """A gang whose attempt may have been used needs a new one before it starts."""
        return (
            run.spec.shape is Shape.GANG
            and not run.over
            and run.record.status is JobStatus.RUNNING
            and run.gang is GangState.IDLE
            and not run.places
            and bool(run.open)
            and run.record.attempt <= run.used_attempt
        )

    def _place_tasks(self, run: JobRun, ready: list[Machine], now: timedelta) -> None:
        spec = run.spec
        room = self.team_room(spec)
        attempt = run.record.attempt
        if room <= 0:
            return
        fitting = placing.candidates(spec, self._fit_for(run, ready))
        if not spec.gpus and spec.priority.rank > Priority.HIGH.rank and self.accelerated:
            fitting = self._beside_accelerated(spec, fitting)
        bound = spec.one_zone or spec.spread
        scorer = placing.Scorer(spec, self.types, now)
        for number in list(run.open):
            if room <= 0 or not fitting:
                break
            key = (spec.job, number, attempt)
            # A machine that still lists this attempt as exited would ignore its `run`.
            usable = [machine for machine in fitting if key not in machine.exited]
            machine = placing.choose(spec, usable, run.live if bound else (), scorer)
            if machine is None:
                if bound:
                    break
                continue
            self._plan(run, number, machine, now)
            room -= 1
            if machine.room_for(spec) <= 0 or (machine.kind is not None and machine.kind.gpus and not spec.gpus):
                fitting = [other for other in fitting if other is not machine or self._spare(spec, machine)]

    def _beside_accelerated(self, spec: JobSpec, machines: list[Machine]) -> list[Machine]:
        """Keeps routine work from taking the processors that free accelerators need.

        Unless no machine without accelerators can do it at all.
        """
        if not any(not kind.gpus and placing.slots(kind, spec) for kind in self.types.values()):
            return machines
        return [machine for machine in machines if self._spare(spec, machine)]

    def _spare(self, spec: JobSpec, machine: Machine) -> bool:
        """Room for the task besides what tasks on the machine's free accelerators would take."""
        kind = machine.kind
        if kind is None or machine.room_for(spec) <= 0:
            return False
        if not kind.gpus or spec.gpus:
            return True
        for other in self.accelerated.values():
            count = machine.room_for(other)
            if spec.cpus + other.cpus * count > kind.cpus - machine.used.cpus - machine.booked.cpus + 1e-9:
                return False
            memory = kind.memory_gb - machine.used.memory_gb - machine.booked.memory_gb
            if spec.memory_gb + other.memory_gb * count > memory + 1e-9:
                return False
        return True

    def _fit_for(self, run: JobRun, ready: list[Machine]) -> list[Machine]:
        """Without the machines where this job failed while it ran well elsewhere."""
        if not run.failures:
            return ready
        return [machine for machine in ready if machine.name not in run.failures] or ready

    def _plan(self, run: JobRun, number: int, machine: Machine, now: timedelta) -> None:
        placement = Placement(run.spec, number, run.record.attempt, machine, TaskState.PLANNED, now)
        run.used_attempt = max(run.used_attempt, run.record.attempt)
        self._enter(run, placement)
        self.wake(machine)

    def summary(self, now: timedelta) -> str:
        """One line on what is up, in use and waiting."""
        waiting = self.waiting_runs(now)
        claimed = [run for run in self.runs.values() if run.record.status is JobStatus.RUNNING and not run.over]
        open_claimed = sum(len(run.open) for run in claimed)
        machines = " ".join(
            f"{m.name}:{m.state.value[:3]}:{m.used.cpus:g}/{m.used.gpus:g}+{m.booked.cpus:g}/{m.booked.gpus:g}"
            for m in self.machines.values()
        )
        teams = " ".join(f"{name}={used.cpus:g}/{used.gpus:g}" for name, used in self.usage.items())
        return (
            f"jobs={len(self.runs)} claimed={len(claimed)} waiting={len(waiting)} "
            f"tasks={sum(len(run.open) for run in waiting)}/{open_claimed} teams: {teams} machines: {machines}"
        )

    def running_counts(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for job, run in self.runs.items():
            running = sum(1 for p in run.live if p.state in (TaskState.RUNNING, TaskState.SAVING))
            if running and not run.over:
                counts[job] = running
        return counts


def _lost_work(placement: Placement, now: timedelta) -> float:
    """Resource seconds that a stop throws away, fetched image included."""
    spec = placement.spec
    seconds = (now - (placement.running_since or placement.since)).total_seconds()
    if spec.checkpoint_s:
        seconds = spec.save_s
    return seconds * (spec.cpus + 10 * spec.gpus)


def _stranger(job: str) -> JobSpec:
    """Stands for a job that no record tells of."""
    return JobSpec(
        job=job, jobclass="", team="", shape=Shape.ARRAY, priority=Priority.LOW, tasks=1, cpus=0.0, memory_gb=0.0
    )


def _no_record(spec: JobSpec) -> JobRecord:
    return JobRecord(spec=spec, status=JobStatus.CANCELLED)
