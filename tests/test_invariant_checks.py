"""Each check of the drawn days can fail: what it is there to see is put before it."""

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
    """Users of a cluster without controllers; each request is given the next answer."""
    cluster = Cluster(clock=SimulatedClock(), limits={"red": 8.0})
    users = Users(cluster, Random(1))
    users.specs[NAME] = cluster.cloud.jobs[NAME] = job(1, Pieces=1)

    async def ask(method: str, path: str, body: Any = None, node: str | None = None) -> tuple[int, Any]:
        return answers.pop(0)

    users.request = ask  # type: ignore[method-assign]
    yield users
    cluster.cloud.stop()


def _state(status: str) -> tuple[int, dict[str, str]]:
    return 200, {"Ref": NAME, "Status": status}


async def _forgets(users: Users) -> None:
    await users.query_status(NAME)


async def _refuses_a_repeat(users: Users) -> None:
    await users.resubmit({"Ref": NAME})


async def _goes_back(users: Users) -> None:
    users.cancel_requested.add(NAME)
    await users.request_cancel(NAME)
    await users.query_status(NAME)


async def _goes_back_when_submitted_again(users: Users) -> None:
    users.cancel_requested.add(NAME)
    await users.request_cancel(NAME)
    await users.resubmit(users.specs[NAME])


async def _cancels_by_itself(users: Users) -> None:
    await users.query_status(NAME)


async def _is_done_too_early(users: Users) -> None:
    await users.query_status(NAME)


async def _accepts_what_can_not_run(users: Users) -> None:
    await users.send_invalid_requests()


@pytest.mark.parametrize(
    ("scene", "answers", "rule"),
    [
        (_forgets, [(404, None)], "forgotten"),
        (_refuses_a_repeat, [(400, None)], "forgotten"),
        (_refuses_a_repeat, [(422, None)], "forgotten"),
        (_goes_back, [_state("aborted"), _state("running")], "went_back"),
        (_goes_back_when_submitted_again, [_state("aborted"), _state("pending")], "went_back"),
        (_cancels_by_itself, [_state("aborted")], "went_back"),
        (_is_done_too_early, [_state("done")], "not_done"),
        (_accepts_what_can_not_run, [(201, None), (422, None), (400, None), (404, None)], "odd"),
        (_accepts_what_can_not_run, [(422, None), (422, None), (201, None), (404, None)], "odd"),
        (_accepts_what_can_not_run, [(422, None), (422, None), (400, None), (200, None)], "invented"),
    ],
)
def test_what_users_are_told(scene: Callable[[Users], Any], answers: list[tuple[int, Any]], rule: str) -> None:
    async def told() -> None:
        with _users(list(answers)) as users:
            await scene(users)
            assert [line.partition(":")[0] for line in users.cluster.violations] == [rule]

    run_simulated(told())


def test_an_answer_to_a_question_that_was_asked_before_the_end_may_be_older() -> None:
    async def told() -> None:
        with _users([]) as users:
            users.cancel_requested.add(NAME)
            users.record_status(NAME, {"Status": "aborted"}, None)
            users.record_status(NAME, {"Status": "running"}, None)
            assert not users.cluster.violations
            users.record_status(NAME, {"Status": "running"}, "aborted")
            assert users.cluster.violations

    run_simulated(told())


@pytest.mark.parametrize(("taken", "waits"), [(0, True), (1, True), (2, False)], ids=["empty", "room", "at its limit"])
def test_a_job_that_waits_while_a_machine_has_room_for_it(taken: int, waits: bool) -> None:
    async def waiting() -> None:
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

    run_simulated(waiting())


@pytest.mark.parametrize(("after", "broken"), [(5.0, 0), (13.0, 1)])
def test_a_start_after_a_confirmed_cancellation_is_counted(after: float, broken: int) -> None:
    async def starting() -> None:
        with _users([]) as users:
            cloud = users.cluster.cloud
            machine = cloud.workers[cloud.rent({"Build": "small", "Hall": "a", "Loaners": False})]
            cloud.cancelled_at[NAME] = users.now()
            await asyncio.sleep(after)
            machine.run((f"{NAME}/0", 1))
            assert len(cloud.starts_after_cancel) == 1
            assert len(cloud.violations) == broken

    run_simulated(starting())
