"""The late-result races of the write-up, played against the stand-in of the state service."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import msgspec

from gingerspar.coordination.cluster.job_order import JobOrder
from gingerspar.coordination.jobs.claims import (
    CLAIM_DEADLINE,
    ClaimedResources,
    ClaimManager,
    RecordChange,
    claimed,
    with_results,
)
from gingerspar.coordination.jobs.reconciler import lapsed_claims
from gingerspar.protocol import messages
from gingerspar.protocol.messages import JobStatus, KeyVersion, Priority
from gingerspar.protocol.settings import OperatorSettings, TeamFacts
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict
from gingerspar.storage.records import Claimant, JobRecord, NodeRecord, TermRecord
from gingerspar.storage.view import Versioned, WatchedView
from gingerspar.transport.clock import Clock
from tests.standins.cluster import job
from tests.standins.state import StateService

KEY = records.job_key("wk-000001")


class _Client:
    """Carries transactions to the stand-in without HTTP."""

    max_puts = 8
    value_bytes = 8192

    def __init__(self, state: StateService) -> None:
        self.state = state

    async def commit(self, transaction: messages.Transaction, urgency: Urgency) -> int:
        answer = self.state.commit(msgspec.json.decode(messages.encode(transaction)))
        body = msgspec.json.decode(answer.body)
        if answer.status == 409:
            raise Conflict(body["failed"], body["Epoch"])
        return int(body["Epoch"])


class World:
    """Two claimants, A and B, and a pending job of two tasks."""

    def __init__(self) -> None:
        self.state = StateService()
        for node in ("A", "B"):
            self._put(records.node_key(node), NodeRecord(0.0))
        self._put(records.TERM, TermRecord(1, "A", 1))
        spec = messages.parse_job(job(1, Pieces=2))
        self._put(KEY, JobRecord(spec, JobStatus.PENDING))
        self.a, self.b = self._claims("A"), self._claims("B")

    def _put(self, key: str, record: msgspec.Struct) -> None:
        value = msgspec.json.decode(records.pack(record))
        assert self.state.commit({"Writes": [{"Put": key, "Data": value}]}).status == 200

    def _claims(self, node: str) -> ClaimManager:
        client: Any = _Client(self.state)
        view = WatchedView(client, Clock(), rps=100, nodes=3)
        self.read(view)
        version = view.nodes[node]
        session: Any = SimpleNamespace(
            claimant=Claimant(node, version), condition=lambda: KeyVersion(records.node_key(node), version)
        )

        async def barrier(wait: timedelta) -> bool:
            self.read(view)
            return True

        view.barrier = barrier  # type: ignore[method-assign]
        claims = ClaimManager(node, client, view, session, Clock(), {}, OperatorSettings(), JobOrder())
        claims.add_accepted("wk-000001")
        view.on_job.append(claims._job_changed)
        claims._job_changed("wk-000001")
        return claims

    def read(self, view: WatchedView) -> None:
        for key, (value, version, _) in list(self.state.keys.items()):
            view.apply(key, msgspec.json.encode(value), version)

    def end_session(self, node: str) -> None:
        del self.state.keys[records.node_key(node)]

    def claim(self, who: ClaimManager) -> bool:
        self.read(who._view)
        return asyncio.run(who._write(who._next_claims(timedelta(0)), Urgency.CLAIM, hand_over=True))

    def result(self, who: ClaimManager, tasks: set[int]) -> RecordChange:
        change = with_results(who._view.jobs["wk-000001"], tasks, 8192)
        assert change is not None
        return change

    def write(self, who: ClaimManager, change: RecordChange) -> bool:
        return asyncio.run(who._write([change], Urgency.RESULT))

    def sweep(self) -> None:
        """The reconciler's write, made by B."""
        self.read(self.b._view)
        self.b._view.nodes.pop("A", None)
        found = lapsed_claims(self.b._view, 8)
        assert len(found) == 1
        assert self.write(self.b, found[0])

    @property
    def record(self) -> dict[str, Any]:
        found: dict[str, Any] = self.state.keys[KEY][0]
        return found


def test_a_result_before_the_sweep_wins() -> None:
    world = World()
    assert world.claim(world.a)
    assert world.record["attempt"] == 1
    assert world.write(world.a, world.result(world.a, {0, 1}))
    assert world.record["status"] == "done"


def test_a_result_after_the_sweep_is_dropped() -> None:
    world = World()
    assert world.claim(world.a)
    late = world.result(world.a, {0, 1})
    world.end_session("A")
    world.sweep()
    assert (world.record["status"], world.record["attempt"]) == ("pending", 1)
    assert not world.write(world.a, late)
    assert world.record["status"] == "pending"


def test_a_result_after_another_claim_is_dropped() -> None:
    world = World()
    assert world.claim(world.a)
    late = world.result(world.a, {0, 1})
    world.end_session("A")
    world.sweep()
    assert world.claim(world.b)
    assert (world.record["claimant"][0], world.record["attempt"]) == ("B", 2)
    assert not world.write(world.a, late)
    assert (world.record["status"], world.record["claimant"][0]) == ("running", "B")


def test_a_claim_that_arrives_after_its_session_is_refused() -> None:
    world = World()
    batch = world.a._next_claims(timedelta(0))
    assert len(batch) == 1
    world.end_session("A")
    assert not asyncio.run(world.a._write(batch, Urgency.CLAIM, hand_over=True))
    assert world.record["status"] == "pending"


def test_a_claim_made_under_an_older_term_is_refused() -> None:
    world = World()
    batch = world.a._next_claims(timedelta(0))
    world._put(records.TERM, TermRecord(2, "B", 1))
    assert not asyncio.run(world.a._write(batch, Urgency.CLAIM, hand_over=True))
    assert world.record["status"] == "pending"


def test_two_claimants_get_disjoint_records() -> None:
    world = World()
    batch = world.b._next_claims(timedelta(0))
    assert world.claim(world.a)
    assert not asyncio.run(world.b._write(batch, Urgency.CLAIM, hand_over=True))
    assert world.record["claimant"][0] == "A"


def test_a_job_is_done_only_with_all_its_tasks() -> None:
    world = World()
    assert world.claim(world.a)
    assert world.write(world.a, world.result(world.a, {1}))
    assert world.record["status"] == "running"
    assert world.write(world.a, world.result(world.a, {0}))
    assert world.record["status"] == "done"


def test_what_has_waited_long_is_claimed_past_the_limit() -> None:
    """kerlann-fonts-ops inc-e135: the largest rendering jobs waited for their claim until four minutes had passed."""
    world = World()
    spec = messages.parse_job(job(2, Pieces=9))
    just_now = world.a._clock.today().timestamp()
    claim = JobRecord(spec, JobStatus.RUNNING, 1, Claimant("B", 2), submitted=just_now)
    world._put(records.job_key("wk-000002"), claim)
    world.read(world.a._view)
    world.a._teams = {"red": TeamFacts("red", cpus_max=16)}
    waited = [10.0, CLAIM_DEADLINE.total_seconds() + 1]
    found = []
    for seconds in waited:
        entry = world.a._view.jobs["wk-000001"]
        entry.record = msgspec.structs.replace(entry.record, submitted=just_now - seconds)
        world.a.add_accepted("wk-000001")
        found.append([change.job for change in world.a._next_claims(timedelta(0))])
    assert found == [[], ["wk-000001"]]


def test_claims_past_the_limit_are_skipped() -> None:
    teams = {"red": TeamFacts("red", cpus_max=16)}

    def entry(number: int, status: JobStatus, **changes: Any) -> Versioned:
        spec = messages.parse_job(job(number, **changes))
        return Versioned(JobRecord(spec, status), 1, records.TaskSet(spec.tasks))

    held = ClaimedResources()
    held.update_job("wk-000001", entry(1, JobStatus.RUNNING, Pieces=4))
    held.update_job("wk-000009", entry(9, JobStatus.PENDING, Pieces=9))
    assert held.over_limit(teams, entry(2, JobStatus.PENDING))
    # Routine claims don't keep urgent work of the same team from being claimed.
    assert not held.over_limit(teams, entry(3, JobStatus.PENDING, Urgency=Priority.HIGH.value))
    small = entry(4, JobStatus.RUNNING, Pieces=2)
    held.update_job("wk-000001", small)  # it has fewer unfinished tasks now, or it is over
    assert not held.over_limit(teams, entry(5, JobStatus.PENDING))
    more = held.copy_totals()
    more.add(entry(6, JobStatus.PENDING, Pieces=2))
    assert more.over_limit(teams, entry(5, JobStatus.PENDING))
    assert not held.over_limit(teams, entry(5, JobStatus.PENDING))
    # What was claimed late, so that it can begin, counts with one task: the others are claimed as before.
    held.update_job("wk-000007", entry(7, JobStatus.PENDING, Pieces=50), overdue=True)
    held.update_job("wk-000007", entry(7, JobStatus.RUNNING, Pieces=50), overdue=True)
    assert not held.over_limit(teams, entry(5, JobStatus.PENDING))
    held.update_job("wk-000007", entry(7, JobStatus.RUNNING, Pieces=50), overdue=True)  # a result was written
    held.update_job("wk-000007", None)
    held.update_job("wk-000001", None)
    assert held.copy_totals()._totals == {("red", Priority.NORMAL.rank): (0.0, 0.0)}
    assert claimed(small, Claimant("A", 1), 3).attempt == 1
