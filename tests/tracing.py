"""Runs trace lines against a dispatcher: events change its state, expectations check it.

The word of an event is the name of a method of ``Player`` with ``-`` in place of ``_``. Times are in seconds.
"""

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
from gingerspar.storage.records import Claimant, JobRecord
from gingerspar.storage.task_set import TaskSet


def _fields(words: list[str]) -> dict[str, str]:
    return dict(word.split("=", 1) for word in words)


def _seconds(text: str) -> timedelta:
    return timedelta(seconds=float(text))


class Player:
    """Runs one trace with one dispatcher on a simulated clock; worker leases last 18 s, cancellations up to 43 s."""

    def __init__(self) -> None:
        self.now = timedelta(0)
        # When the last successful read of the state service was sent; None: at the present moment.
        self.last_state_read: timedelta | None = None
        self.workers = WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43, gang_wait_s=35, gang_peer_s=4)
        self.teams = [TeamFacts("red"), TeamFacts("blue")]
        self.types = [MachineType("big", 16, 64, cache_gb=60, zones=("a", "b"), price=1.0, spot_price=0.3, boot_s=20)]
        self.dispatcher = Dispatcher(1, self.now, self.workers, self.teams, nodes=3)
        self.dispatcher.set_types(self.types)
        self.objectives: list[Objective] = []
        self.answer: list[Command] | None = None
        self.refused = ""
        self.specs: dict[str, JobSpec] = {}
        self.ended_jobs: set[str] = set()

    def play(self, line: str) -> int:
        """Runs one line and returns 1 if it is an expectation, otherwise 0.

        A failed expectation raises AssertionError, an unknown one ValueError, an unknown event AttributeError.
        """
        words = shlex.split(line)
        if words[0] == ">":
            self._expect(words[1], words[2:])
            return 1
        if words[0] == "at":
            self.now = _seconds(words[1])
            self.dispatcher.tick(self.now, self.now if self.last_state_read is None else self.last_state_read)
            words = words[2:]
            if not words:
                self.dispatcher.place_tasks(self.now)
                return 0
        getattr(self, "_" + words[0].replace("-", "_"))(words[1:])
        return 0

    # -- events ---------------------------------------------------------------

    def _limit(self, words: list[str]) -> None:
        """Sets the limits of a team: ``limit red cpus_max=24``. The dispatcher is replaced by one of the same term."""
        options = _fields(words[1:])
        team = TeamFacts(words[0], cpus_max=float(options.get("cpus_max", 0)), cpus=float(options.get("cpus", 0)))
        self.teams = [other for other in self.teams if other.name != team.name] + [team]
        self._term([str(self.dispatcher.term)])

    def _objective(self, words: list[str]) -> None:
        """Adds objectives for class c: ``objective wait 30 150``, ``objective finished 250``.

        The dispatcher is replaced by one of the same term.
        """
        self.objectives += [Objective(words[0], "c", float(within)) for within in words[1:]]
        self._term([str(self.dispatcher.term)])

    def _type(self, words: list[str]) -> None:
        """Adds a machine type: ``type gpu cpus=24 memory=144 gpus=2 price=6 boot=20 zones=a,b``."""
        options = _fields(words[1:])
        self.types.append(
            MachineType(
                words[0],
                float(options["cpus"]),
                float(options["memory"]),
                gpus=float(options.get("gpus", 0)),
                zones=tuple(options.get("zones", "a,b").split(",")),
                cache_gb=60,
                price=float(options.get("price", 1)),
                boot_s=float(options.get("boot", 20)),
            )
        )
        self.dispatcher.set_types(self.types)

    def _term(self, words: list[str]) -> None:
        """Starts a new term with a new dispatcher: ``term 2 roster=m1,m2``.

        The machines of the roster are of type big, and in zone a unless ``zone`` names another.
        """
        options = _fields(words[1:])
        names = options.get("roster", "").split(",") if options.get("roster") else []
        roster = [(name, "big", options.get("zone", "a"), False) for name in names]
        self.dispatcher = Dispatcher(
            int(words[0]), self.now, self.workers, self.teams, objectives=self.objectives, roster=roster, nodes=3
        )
        self.dispatcher.set_types(self.types)
        self.dispatcher.final_spec = self.specs.get
        self.dispatcher.is_ended = self.ended_jobs.__contains__

    def _job(self, words: list[str]) -> None:
        """Sets the record of a job in the state service: ``job wk-1 array tasks=2 attempt=1``."""
        options = _fields(words[2:])
        spec = JobSpec(
            job=words[0],
            jobclass="c",
            team=options.get("team", "red"),
            shape=Shape({"array": "batch", "gang": "gang", "service": "daemon"}[words[1]]),
            priority=Priority(options.get("priority", "standard")),
            tasks=int(options.get("tasks", 1)),
            cpus=float(options.get("cpus", 8)),
            memory_gb=float(options.get("memory", 8)),
            gpus=float(options.get("gpus", 0)),
            image=options.get("image", "img"),
            image_gb=float(options.get("image_gb", 1)),
            due_s=float(options["due"]) if "due" in options else None,
            estimate_s=float(options.get("estimate", 0)),
            types=tuple(options["types"].split(",")) if "types" in options else None,
            zone=options.get("zone"),
            one_zone=options.get("one_zone") == "yes",
            spread=options.get("spread") == "yes",
            spot=options.get("spot") == "yes",
            checkpoint_s=float(options.get("checkpoint", 0)),
            save_s=float(options.get("save", 0)),
        )
        self.specs[spec.job] = spec
        term = int(options.get("term", self.dispatcher.term))
        finished = TaskSet(spec.tasks, [int(n) for n in options.get("finished", "").split(",") if n])
        record = JobRecord(
            spec,
            JobStatus(options.get("status", "running")),
            int(options.get("attempt", 1)),
            Claimant("n1", 1),
            first_term=int(options.get("first_term", term)),
            claim_term=term,
            submitted=self.now.total_seconds(),
        )
        self.dispatcher.set_record(spec.job, record, finished, self.now)
        self.dispatcher.place_tasks(self.now)

    def _state_down(self, words: list[str]) -> None:
        """Makes reads of the state service fail from now on."""
        self.last_state_read = self.now

    def _state_up(self, words: list[str]) -> None:
        """Makes reads of the state service succeed again."""
        self.last_state_read = None

    def _ended(self, words: list[str]) -> None:
        """Ends a job: its record shows it as done or cancelled."""
        self.ended_jobs.add(words[0])
        self.dispatcher.set_record(words[0], None, None, self.now)

    def _machine(self, words: list[str]) -> None:
        """Adds a machine that has sent its first report and, unless ``roster=no``, is on the roster."""
        options = _fields(words[1:])
        if words[0] not in self.dispatcher.machines:
            self.dispatcher.cluster_state.add_machine(
                words[0], options.get("type", "big"), options.get("zone", "a"), options.get("spot") == "yes", self.now,
                MachineState.BOOTING,
            )  # fmt: skip
        self._report(
            [words[0], "seq=1", f"token={self.dispatcher.term}", *(w for w in words[1:] if not w.startswith("roster="))]
        )
        if options.get("roster") != "no":
            self.dispatcher.machines[words[0]].mark_rostered()
        self.dispatcher.place_tasks(self.now)

    def _notified(self, words: list[str]) -> None:
        """Notifies a machine of the token directly, after a probe for its status has returned this report."""
        self.dispatcher.record_direct_notification(self.dispatcher.machines[words[0]], self._read_report(words))

    def _report(self, words: list[str]) -> None:
        """Handles a report: ``report m1 seq=3 token=1 tasks=wk-1/0@1:running,wk-2/0@1:ended:done``.

        With ``held=2``, its answer is sent 2 s later.
        """
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
        answered_at = self.now + _seconds(_fields(words[1:]).get("held", "0"))
        self.answer = self.dispatcher.take_commands(machine, report, answered_at)

    def _read_report(self, words: list[str]) -> Report:
        options = _fields(words[1:])
        tasks = []
        for text in filter(None, options.get("tasks", "").split(",")):
            name, _, rest = text.partition("@")
            attempt, status, *cause = rest.split(":")
            tasks.append(TaskReport(name, int(attempt), TaskStatus(status), Cause(cause[0]) if cause else None))
        return Report(
            words[0],
            "10.0.0.9:1",
            options.get("type", "big"),
            options.get("zone", "a"),
            int(options.get("session", 1)),
            int(options["seq"]),
            int(options.get("token", self.dispatcher.term)),
            options.get("spot") == "yes",
            float(options["notice"]) if "notice" in options else None,
            msgspec.Raw(encode(tasks)),
        )

    def _returned(self, words: list[str]) -> None:
        """Returns a machine to the cloud: ``returned m1``."""
        machine = self.dispatcher.machines[words[0]]
        machine.move(MachineState.RETURNING)
        self.dispatcher.machine_returned(machine, self.now)
        self.dispatcher.place_tasks(self.now)

    # -- expectations ---------------------------------------------------------

    def _expect(self, subject: str, words: list[str]) -> None:
        if subject == "answer":
            commands = [_format_command(command) for command in self.answer or []]
            assert self.answer is not None, f"refused: {self.refused}"
            assert commands == words, f"answered {commands}"
        elif subject == "refused":
            assert self.refused == words[0], f"refused={self.refused!r}, answer={self.answer}"
        elif subject == "machine":
            state = self.dispatcher.machines[words[0]].state.value
            assert state == words[1], f"is {state}"
        elif subject == "on":
            machine = self.dispatcher.machines[words[0]]
            tasks = sorted(f"{p.name}@{p.attempt}:{p.state.value}" for p in machine.live.values())
            assert tasks == words[1:], f"has {tasks}"
        elif subject == "finished":
            run = self.dispatcher.runs[words[0]]
            assert [str(n) for n in sorted(run.unrecorded)] == words[1:], f"has {sorted(run.unrecorded)}"
        elif subject == "needs-attempt":
            needs_attempt = self.dispatcher.runs[words[0]].needs_attempt
            assert needs_attempt == (words[1] == "yes"), f"is {needs_attempt}"
        elif subject in ("rents", "rents-in"):
            rentals = fleet.plan_rentals(self.dispatcher.cluster_state, fleet.Refusals(), self.now)
            field = 0 if subject == "rents" else 1  # of an offer: its type, or its zone
            rents = sorted(f"{offer[field]}={count}" for offer, count in rentals.items())
            assert rents == words, f"rents {rents}"
        elif subject == "delivery":
            state = self.dispatcher.machines[words[0]].delivery.state.value
            assert state == words[1], f"is {state}"
        elif subject == "returns":
            cluster_state = self.dispatcher.cluster_state
            returns = [
                machine.name
                for machine in fleet.plan_returns(cluster_state, fleet.IdleHistory(), self.now, timedelta(minutes=5))
            ]
            assert returns == words, f"returns {returns}"
        elif subject == "no-machine":
            assert words[0] not in self.dispatcher.machines
        elif subject == "unknown-job":
            assert words[0] not in self.dispatcher.runs
        else:
            raise ValueError(f"unknown expectation {subject}")


def _format_command(command: Command) -> str:
    grace = f":{command.grace_s:g}" if command.verb is Verb.STOP and command.grace_s is not None else ""
    return f"{command.verb.value}:{command.task}@{command.attempt}{grace}"
