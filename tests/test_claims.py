"""Races between claims, sweeps and late results, run against the state service stand-in.

The races are those of docs/design.md, "Kept from the write-up": a result before a sweep, after it, after a new claim.
"""

import asyncio
from collections.abc import Sequence
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import msgspec

from gingerspar.coordination.cluster.job_order import JobOrder
from gingerspar.coordination.jobs.claimed_resources import ClaimedResources
from gingerspar.coordination.jobs.claims import CLAIM_DEADLINE, ClaimManager
from gingerspar.coordination.jobs.reconciler import lapsed_claims
from gingerspar.coordination.jobs.record_changes import RecordChange, claimed, with_results
from gingerspar.coordination.jobs.record_writer import RecordWriter
from gingerspar.protocol import messages
from gingerspar.protocol.messages import JobStatus, KeyVersion, Priority
from gingerspar.protocol.settings import OperatorSettings, TeamFacts
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict
from gingerspar.storage.records import Claimant, JobRecord, NodeRecord, TermRecord
from gingerspar.storage.task_set import TaskSet
from gingerspar.storage.transactions import TransactionBuilder, TransactionLimits
from gingerspar.storage.view import Versioned, WatchedView
from gingerspar.transport.clock import Clock
from tests.standins.cluster import job
from tests.standins.state import StateService

KEY = records.job_key("wk-000001")


class _Client:
    """Passes transactions to the stand-in without HTTP."""

    value_bytes = 8192

    def __init__(self, state: StateService) -> None:
        self.state = state

    def transaction(self, conditions: Sequence[KeyVersion]) -> TransactionBuilder:
        return TransactionBuilder(TransactionLimits(8, self.value_bytes), 8, conditions)

    async def commit(self, transaction: messages.Transaction, urgency: Urgency) -> int:
        answer = self.state.commit(msgspec.json.decode(messages.encode(transaction)))
        body = msgspec.json.decode(answer.body)
        if answer.status == 409:
            raise Conflict(body["failed"], body["Epoch"])
        return int(body["Epoch"])


class World:
    """Two nodes, A and B, which may claim the same pending job of two tasks."""

    def __init__(self) -> None:
        self.state = StateService()
        for node in ("A", "B"):
            self._put(records.node_key(node), NodeRecord(0.0))
        self._put(records.TERM, TermRecord(1, "A", 1))
        spec = messages.parse_job(job(1, Pieces=2))
        self._put(KEY, JobRecord(spec, JobStatus.PENDING))
        self.a, self.b = self._claim_manager("A"), self._claim_manager("B")

    def _put(self, key: str, record: msgspec.Struct) -> None:
        value = msgspec.json.decode(records.pack(record))
        assert self.state.commit({"Writes": [{"Put": key, "Data": value}]}).status == 200

    def _claim_manager(self, node: str) -> ClaimManager:
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
        writer = RecordWriter(client, view, session, Clock())
        claim_manager = ClaimManager(node, client, view, session, Clock(), {}, OperatorSettings(), JobOrder(), writer)
        claim_manager.add_accepted("wk-000001")
        view.on_job.append(claim_manager._job_changed)
        claim_manager._job_changed("wk-000001")
        return claim_manager

    def read(self, view: WatchedView) -> None:
        for key, (value, version, _) in list(self.state.keys.items()):
            view.apply(key, msgspec.json.encode(value), version)

    def end_session(self, node: str) -> None:
        del self.state.keys[records.node_key(node)]

    def claim(self, claim_manager: ClaimManager) -> bool:
        self.read(claim_manager._view)
        return asyncio.run(
            claim_manager._write(claim_manager._next_claims(timedelta(0)), Urgency.CLAIM, hand_over=True)
        )

    def result(self, claim_manager: ClaimManager, tasks: set[int]) -> RecordChange:
        transaction = claim_manager._writer.new_transaction()
        change = with_results(claim_manager._view.jobs["wk-000001"], tasks, 8192, transaction)
        assert change is not None
        return change

    def write(self, claim_manager: ClaimManager, change: RecordChange) -> bool:
        return asyncio.run(claim_manager._write([change], Urgency.RESULT))

    def sweep(self) -> None:
        """B releases the lapsed claim of A, as the reconciler does."""
        self.read(self.b._view)
        self.b._view.nodes.pop("A", None)
        changes = lapsed_claims(self.b._view)
        assert len(changes) == 1
        assert self.write(self.b, changes[0])

    @property
    def record(self) -> dict[str, Any]:
        found: dict[str, Any] = self.state.keys[KEY][0]
        return found


def test_result_before_the_sweep_is_recorded() -> None:
    world = World()
    assert world.claim(world.a)
    assert world.record["attempt"] == 1
    assert world.write(world.a, world.result(world.a, {0, 1}))
    assert world.record["status"] == "done"


def test_result_after_the_sweep_is_rejected() -> None:
    world = World()
    assert world.claim(world.a)
    late_result = world.result(world.a, {0, 1})
    world.end_session("A")
    world.sweep()
    assert (world.record["status"], world.record["attempt"]) == ("pending", 1)
    assert not world.write(world.a, late_result)
    assert world.record["status"] == "pending"


def test_result_after_another_claim_is_rejected() -> None:
    world = World()
    assert world.claim(world.a)
    late_result = world.result(world.a, {0, 1})
    world.end_session("A")
    world.sweep()
    assert world.claim(world.b)
    assert (world.record["claimant"][0], world.record["attempt"]) == ("B", 2)
    assert not world.write(world.a, late_result)
    assert (world.record["status"], world.record["claimant"][0]) == ("running", "B")


def test_claim_after_the_end_of_its_session_is_rejected() -> None:
    world = World()
    batch = world.a._next_claims(timedelta(0))
    assert len(batch) == 1
    world.end_session("A")
    assert not asyncio.run(world.a._write(batch, Urgency.CLAIM, hand_over=True))
    assert world.record["status"] == "pending"


def test_claim_made_under_an_older_term_is_rejected() -> None:
    world = World()
    batch = world.a._next_claims(timedelta(0))
    world._put(records.TERM, TermRecord(2, "B", 1))
    assert not asyncio.run(world.a._write(batch, Urgency.CLAIM, hand_over=True))
    assert world.record["status"] == "pending"


def test_record_is_claimed_by_one_node_only() -> None:
    world = World()
    batch = world.b._next_claims(timedelta(0))
    assert world.claim(world.a)
    assert not asyncio.run(world.b._write(batch, Urgency.CLAIM, hand_over=True))
    assert world.record["claimant"][0] == "A"


def test_job_is_done_only_with_all_its_tasks() -> None:
    world = World()
    assert world.claim(world.a)
    assert world.write(world.a, world.result(world.a, {1}))
    assert world.record["status"] == "running"
    assert world.write(world.a, world.result(world.a, {0}))
    assert world.record["status"] == "done"


def test_overdue_job_is_claimed_past_the_limit() -> None:
    """kerlann-fonts-ops inc-e135: the largest rendering jobs were not claimed before four minutes had passed."""
    world = World()
    spec = messages.parse_job(job(2, Pieces=9))
    just_now = world.a._clock.utc_now().timestamp()
    other_claim = JobRecord(spec, JobStatus.RUNNING, 1, Claimant("B", 2), submitted=just_now)
    world._put(records.job_key("wk-000002"), other_claim)
    world.read(world.a._view)
    world.a._teams = {"red": TeamFacts("red", cpus_max=16)}
    ages_s = [10.0, CLAIM_DEADLINE.total_seconds() + 1]
    claimed_jobs = []
    for age_s in ages_s:
        entry = world.a._view.jobs["wk-000001"]
        entry.record = msgspec.structs.replace(entry.record, submitted=just_now - age_s)
        world.a.add_accepted("wk-000001")
        claimed_jobs.append([change.job for change in world.a._next_claims(timedelta(0))])
    assert claimed_jobs == [[], ["wk-000001"]]


def test_claims_past_the_limit_are_skipped() -> None:
    teams = {"red": TeamFacts("red", cpus_max=16)}

    def entry(number: int, status: JobStatus, **changes: Any) -> Versioned:
        spec = messages.parse_job(job(number, **changes))
        return Versioned(JobRecord(spec, status), 1, TaskSet(spec.tasks))

    resources = ClaimedResources()
    resources.update_job("wk-000001", entry(1, JobStatus.RUNNING, Pieces=4))
    resources.update_job("wk-000009", entry(9, JobStatus.PENDING, Pieces=9))
    assert resources.over_limit(teams, entry(2, JobStatus.PENDING))
    # Claims of normal priority do not prevent claims of the same team's urgent jobs.
    assert not resources.over_limit(teams, entry(3, JobStatus.PENDING, Urgency=Priority.HIGH.value))
    small = entry(4, JobStatus.RUNNING, Pieces=2)
    resources.update_job("wk-000001", small)  # it has fewer unfinished tasks now, or it has ended
    assert not resources.over_limit(teams, entry(5, JobStatus.PENDING))
    totals = resources.copy_totals()
    totals.add(entry(6, JobStatus.PENDING, Pieces=2))
    assert totals.over_limit(teams, entry(5, JobStatus.PENDING))
    assert not resources.over_limit(teams, entry(5, JobStatus.PENDING))
    # An overdue job that was claimed past the limit counts with one task, so that other jobs are still claimed.
    resources.update_job("wk-000007", entry(7, JobStatus.PENDING, Pieces=50), overdue=True)
    resources.update_job("wk-000007", entry(7, JobStatus.RUNNING, Pieces=50), overdue=True)
    assert not resources.over_limit(teams, entry(5, JobStatus.PENDING))
    resources.update_job("wk-000007", entry(7, JobStatus.RUNNING, Pieces=50), overdue=True)  # a result was written
    resources.update_job("wk-000007", None)
    resources.update_job("wk-000001", None)
    assert resources.copy_totals()._totals == {("red", Priority.NORMAL.rank): (0.0, 0.0)}
    assert claimed(small, Claimant("A", 1), 3).attempt == 1
