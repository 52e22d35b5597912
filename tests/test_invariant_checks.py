"""Tests of the checks of the user and cloud stand-ins: each check reports the violation that it is there to find.

The tests with random failures rely on these checks; a check that never fails would hide faults there.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any

import pytest

from tests.standins.cluster import Cluster, job
from tests.standins.simulated_time import SimulatedClock, run_simulated
from tests.standins.users import MAX_WAIT_S, Users

NAME = "wk-000001"


@contextmanager
def _users(answers: list[tuple[int, Any]]) -> Iterator[Users]:
    """Users of a cluster without controllers; each request gets the next of ``answers``."""
    cluster = Cluster(clock=SimulatedClock(), limits={"red": 8.0})
    users = Users(cluster, Random(1))
    users.specs[NAME] = cluster.cloud.jobs[NAME] = job(1, Pieces=1)

    async def request(method: str, path: str, body: Any = None, node: str | None = None) -> tuple[int, Any]:
        return answers.pop(0)

    users.request = request  # type: ignore[method-assign]
    yield users
    cluster.cloud.stop()


def _status(status: str) -> tuple[int, dict[str, str]]:
    return 200, {"Ref": NAME, "Status": status}


async def _query_accepted_job(users: Users) -> None:
    await users.query_status(NAME)


async def _resubmit_incomplete(users: Users) -> None:
    await users.resubmit({"Ref": NAME})


async def _cancel_and_query(users: Users) -> None:
    users.cancel_requested.add(NAME)
    await users.request_cancel(NAME)
    await users.query_status(NAME)


async def _cancel_and_resubmit(users: Users) -> None:
    users.cancel_requested.add(NAME)
    await users.request_cancel(NAME)
    await users.resubmit(users.specs[NAME])


async def _query_not_cancelled_job(users: Users) -> None:
    await users.query_status(NAME)


async def _query_unfinished_job(users: Users) -> None:
    await users.query_status(NAME)


async def _send_invalid_requests(users: Users) -> None:
    await users.send_invalid_requests()


@pytest.mark.parametrize(
    ("scenario", "answers", "rule"),
    [
        (_query_accepted_job, [(404, None)], "forgotten"),
        (_resubmit_incomplete, [(400, None)], "forgotten"),
        (_resubmit_incomplete, [(422, None)], "forgotten"),
        (_cancel_and_query, [_status("aborted"), _status("running")], "went_back"),
        (_cancel_and_resubmit, [_status("aborted"), _status("pending")], "went_back"),
        (_query_not_cancelled_job, [_status("aborted")], "went_back"),
        (_query_unfinished_job, [_status("done")], "not_done"),
        (_send_invalid_requests, [(201, None), (422, None), (400, None), (404, None)], "odd"),
        (_send_invalid_requests, [(422, None), (422, None), (201, None), (404, None)], "odd"),
        (_send_invalid_requests, [(422, None), (422, None), (400, None), (200, None)], "invented"),
    ],
)
def test_wrong_answers_to_users_are_violations(
    scenario: Callable[[Users], Any], answers: list[tuple[int, Any]], rule: str
) -> None:
    async def run() -> None:
        with _users(list(answers)) as users:
            await scenario(users)
            assert [line.partition(":")[0] for line in users.cluster.violations] == [rule]

    run_simulated(run())


def test_answer_to_a_request_sent_before_the_job_ended_may_be_older() -> None:
    """A query that was sent before the user was told of the end may report an older status, a later one may not."""

    async def run() -> None:
        with _users([]) as users:
            users.cancel_requested.add(NAME)
            users.record_status(NAME, {"Status": "aborted"}, None)
            users.record_status(NAME, {"Status": "running"}, None)
            assert not users.cluster.violations
            users.record_status(NAME, {"Status": "running"}, "aborted")
            assert users.cluster.violations

    run_simulated(run())


@pytest.mark.parametrize(
    ("taken", "waits"), [(0, True), (1, True), (2, False)], ids=["empty", "free capacity", "at its limit"]
)
def test_job_that_waits_while_a_machine_has_capacity_for_it(taken: int, waits: bool) -> None:
    """The check reports the job after ``MAX_WAIT_S``, unless its team is at its limit.

    There are two machines, one of them empty; ``taken`` tasks of the team run on the other. The team's limit allows
    two tasks.
    """

    async def run() -> None:
        with _users([]) as users:
            cloud = users.cluster.cloud
            cloud.rent({"Build": "small", "Hall": "a", "Loaners": False})
            other = cloud.rent({"Build": "small", "Hall": "a", "Loaners": False})
            cloud.run_seconds = 1000.0
            for number in range(taken):
                cloud.workers[other].run((f"wk-000009/{number}", 1))
            users.accepted.add(NAME)
            users.failures_ended_at = users.now()
            watch = asyncio.ensure_future(users.watch_waiting())
            await asyncio.sleep(MAX_WAIT_S - 5)
            assert not users.cluster.violations
            await asyncio.sleep(10)
            watch.cancel()
            assert [line.partition(":")[0] for line in users.cluster.violations] == ["waits"] * waits

    run_simulated(run())


@pytest.mark.parametrize(("delay_s", "violation_count"), [(5.0, 0), (13.0, 1)])
def test_start_after_a_confirmed_cancellation_is_counted(delay_s: float, violation_count: int) -> None:
    """Each start after the confirmation is counted; it is a violation only after ``cancel_s``, which is 12 s here."""

    async def run() -> None:
        with _users([]) as users:
            cloud = users.cluster.cloud
            machine = cloud.workers[cloud.rent({"Build": "small", "Hall": "a", "Loaners": False})]
            cloud.cancelled_at[NAME] = users.now()
            await asyncio.sleep(delay_s)
            machine.run((f"{NAME}/0", 1))
            assert len(cloud.starts_after_cancel) == 1
            assert len(cloud.violations) == violation_count

    run_simulated(run())
