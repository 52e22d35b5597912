"""Reads trace lines and drives the dispatcher with them."""

import shlex
from datetime import timedelta

import msgspec

from gingerspar.coordination.cluster.machine import MachineState
from gingerspar.coordination.leader.dispatcher import Dispatcher, NewerToken, StaleReport
from gingerspar.coordination.machines import fleet
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
    encode,
)
from gingerspar.protocol.settings import Objective, TeamFacts, WorkerFacts
from gingerspar.storage.records import Claimant, JobRecord, TaskSet


def _fields(words: list[str]) -> dict[str, str]:
    return dict(word.split("=", 1) for word in words)


def _span(text: str) -> timedelta:
    return timedelta(seconds=float(text))


class Player:
    """One dispatcher, its workers' lease 18 s, a cancellation 43 s unless a trace says otherwise."""

    def __init__(self) -> None:
        self.now = timedelta(0)
        self.read: timedelta | None = None  # when the last good read was sent; None: just now
        self.workers = WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43, gang_wait_s=35, gang_peer_s=4)
        self.teams = [TeamFacts("red"), TeamFacts("blue")]
        self.types = [MachineType("big", 16, 64, cache_gb=60, zones=("a", "b"), price=1.0, spot_price=0.3, boot_s=20)]
        self.dispatcher = Dispatcher(1, self.now, self.workers, self.teams, nodes=3)
        self.dispatcher.set_types(self.types)
        self.objectives: list[Objective] = []
        self.answer: list[Command] | None = None
        self.refused = ""
        self.specs: dict[str, JobSpec] = {}
        self.over: set[str] = set()

    def play(self, line: str) -> int:
        """Carries one line out; 1 if it was an expectation."""
        words = shlex.split(line)
        if words[0] == ">":
            self._expect(words[1], words[2:])
            return 1
        if words[0] == "at":
            self.now = _span(words[1])
            self.dispatcher.tick(self.now, self.now if self.read is None else self.read)
            words = words[2:]
            if not words:
                self.dispatcher.place_tasks(self.now)
                return 0
        getattr(self, "_" + words[0].replace("-", "_"))(words[1:])
        return 0

    # -- events ---------------------------------------------------------------

    def _limit(self, words: list[str]) -> None:
        given = _fields(words[1:])
        team = TeamFacts(words[0], cpus_max=float(given.get("cpus_max", 0)), cpus=float(given.get("cpus", 0)))
        self.teams = [each for each in self.teams if each.name != team.name] + [team]
        self._term([str(self.dispatcher.term)])

    def _asked(self, words: list[str]) -> None:
        """What the operators ask of class c: ``asked wait 30 150``, ``asked finished 250``."""
        self.objectives += [Objective(words[0], "c", float(within)) for within in words[1:]]
        self._term([str(self.dispatcher.term)])

    def _type(self, words: list[str]) -> None:
        given = _fields(words[1:])
        self.types.append(
            MachineType(
                words[0],
                float(given["cpus"]),
                float(given["memory"]),
                gpus=float(given.get("gpus", 0)),
                zones=("a", "b"),
                cache_gb=60,
                price=float(given.get("price", 1)),
                boot_s=float(given.get("boot", 20)),
            )
        )
        self.dispatcher.set_types(self.types)

    def _term(self, words: list[str]) -> None:
        """A new term: ``term 2 roster=m1,m2``. The roster's machines are of type big in zone a."""
        given = _fields(words[1:])
        names = given.get("roster", "").split(",") if given.get("roster") else []
        roster = [(name, "big", given.get("zone", "a"), False) for name in names]
        self.dispatcher = Dispatcher(
            int(words[0]), self.now, self.workers, self.teams, objectives=self.objectives, roster=roster, nodes=3
        )
        self.dispatcher.set_types(self.types)
        self.dispatcher.final_spec = self.specs.get
        self.dispatcher.is_ended = self.over.__contains__

    def _job(self, words: list[str]) -> None:
        """A record as the state service has it: ``job wk-1 array tasks=2 attempt=1``."""
        given = _fields(words[2:])
        spec = JobSpec(
            job=words[0],
            jobclass="c",
            team=given.get("team", "red"),
            shape=Shape({"array": "batch", "gang": "gang", "service": "daemon"}[words[1]]),
            priority=Priority(given.get("priority", "standard")),
            tasks=int(given.get("tasks", 1)),
            cpus=float(given.get("cpus", 8)),
            memory_gb=float(given.get("memory", 8)),
            gpus=float(given.get("gpus", 0)),
            image=given.get("image", "img"),
            image_gb=float(given.get("image_gb", 1)),
            due_s=float(given["due"]) if "due" in given else None,
            estimate_s=float(given.get("estimate", 0)),
            one_zone=given.get("one_zone") == "yes",
            spread=given.get("spread") == "yes",
            spot=given.get("spot") == "yes",
            checkpoint_s=float(given.get("checkpoint", 0)),
            save_s=float(given.get("save", 0)),
        )
        self.specs[spec.job] = spec
        term = int(given.get("term", self.dispatcher.term))
        finished = TaskSet(spec.tasks, [int(n) for n in given.get("finished", "").split(",") if n])
        record = JobRecord(
            spec,
            JobStatus(given.get("status", "running")),
            int(given.get("attempt", 1)),
            Claimant("n1", 1),
            first_term=int(given.get("first_term", term)),
            claim_term=term,
            submitted=self.now.total_seconds(),
        )
        self.dispatcher.set_record(spec.job, record, finished, self.now)
        self.dispatcher.place_tasks(self.now)

    def _no_state(self, words: list[str]) -> None:
        """From now on the state service can't be read."""
        self.read = self.now

    def _state_back(self, words: list[str]) -> None:
        self.read = None

    def _over(self, words: list[str]) -> None:
        """The record says done or cancelled."""
        self.over.add(words[0])
        self.dispatcher.set_record(words[0], None, None, self.now)

    def _machine(self, words: list[str]) -> None:
        """A machine that is up and on the roster."""
        given = _fields(words[1:])
        if words[0] not in self.dispatcher.machines:
            self.dispatcher.cluster_state.add_machine(
                words[0], given.get("type", "big"), given.get("zone", "a"), given.get("spot") == "yes", self.now,
                MachineState.BOOTING,
            )  # fmt: skip
        self._report(
            [words[0], "seq=1", f"token={self.dispatcher.term}", *(w for w in words[1:] if not w.startswith("roster="))]
        )
        if given.get("roster") != "no":
            self.dispatcher.machines[words[0]].mark_rostered()
        self.dispatcher.place_tasks(self.now)

    def _told(self, words: list[str]) -> None:
        """Asked for its status, the machine has shown this report, and is told of the token directly."""
        self.dispatcher.record_direct_notification(self.dispatcher.machines[words[0]], self._read_report(words))

    def _report(self, words: list[str]) -> None:
        """``report m1 seq=3 token=1 tasks=wk-1/0@1:running,wk-2/0@1:ended:done``"""
        report = self._read_report(words)
        self.refused, self.answer = "", None
        try:
            machine = self.dispatcher.handle_report(report, self.now)
        except StaleReport:
            self.refused = "stale"
            return
        except NewerToken:
            self.refused = "outdated"
            return
        self.dispatcher.place_tasks(self.now)
        self.answer = self.dispatcher.take_commands(machine, report, self.now)

    def _read_report(self, words: list[str]) -> Report:
        given = _fields(words[1:])
        tasks = []
        for text in filter(None, given.get("tasks", "").split(",")):
            name, _, rest = text.partition("@")
            attempt, status, *cause = rest.split(":")
            tasks.append(TaskReport(name, int(attempt), TaskStatus(status), Cause(cause[0]) if cause else None))
        return Report(
            words[0],
            "10.0.0.9:1",
            given.get("type", "big"),
            given.get("zone", "a"),
            int(given.get("session", 1)),
            int(given["seq"]),
            int(given.get("token", self.dispatcher.term)),
            given.get("spot") == "yes",
            float(given["notice"]) if "notice" in given else None,
            msgspec.Raw(encode(tasks)),
        )

    def _returned(self, words: list[str]) -> None:
        machine = self.dispatcher.machines[words[0]]
        machine.move(MachineState.RETURNING)
        self.dispatcher.machine_returned(machine, self.now)
        self.dispatcher.place_tasks(self.now)

    # -- expectations ---------------------------------------------------------

    def _expect(self, what: str, words: list[str]) -> None:
        if what == "answer":
            got = [_show(command) for command in self.answer or []]
            assert self.answer is not None, f"refused: {self.refused}"
            assert got == words, f"answered {got}"
        elif what == "refused":
            assert self.refused == words[0], f"refused={self.refused!r}, answer={self.answer}"
        elif what == "machine":
            got_state = self.dispatcher.machines[words[0]].state.value
            assert got_state == words[1], f"is {got_state}"
        elif what == "on":
            machine = self.dispatcher.machines[words[0]]
            tasks = sorted(f"{p.name}@{p.attempt}:{p.state.value}" for p in machine.live.values())
            assert tasks == words[1:], f"has {tasks}"
        elif what == "finished":
            run = self.dispatcher.runs[words[0]]
            assert [str(n) for n in sorted(run.unrecorded)] == words[1:], f"has {sorted(run.unrecorded)}"
        elif what == "wants-attempt":
            asked = self.dispatcher.runs[words[0]].needs_attempt
            assert asked == (words[1] == "yes"), f"is {asked}"
        elif what == "rents":
            wanted = fleet.plan_rentals(self.dispatcher.cluster_state, fleet.Refusals(), self.now)
            rents = sorted(f"{name}={count}" for (name, *_), count in wanted.items())
            assert rents == words, f"rents {rents}"
        elif what == "hears":
            got_state = self.dispatcher.machines[words[0]].delivery.state.value
            assert got_state == words[1], f"is {got_state}"
        elif what == "gives-back":
            cluster_state = self.dispatcher.cluster_state
            given = [
                machine.name
                for machine in fleet.plan_returns(cluster_state, fleet.IdleHistory(), self.now, timedelta(minutes=5))
            ]
            assert given == words, f"gives back {given}"
        elif what == "no-machine":
            assert words[0] not in self.dispatcher.machines
        elif what == "unknown-job":
            assert words[0] not in self.dispatcher.runs
        else:
            raise ValueError(f"unknown expectation {what}")


def _show(command: Command) -> str:
    grace = f":{command.grace_s:g}" if command.verb is Verb.STOP and command.grace_s is not None else ""
    return f"{command.verb.value}:{command.task}@{command.attempt}{grace}"
