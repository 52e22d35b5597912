"""Further meetings, by simulated time: limits of teams, what is answered at all nodes, hung machines, lost answers."""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import pytest

from gingerspar.protocol.messages import JobStatus, parse_job
from gingerspar.storage import records
from tests.standins.cloud import ARRAY_JOB, wait_until
from tests.standins.cluster import NODE_NAMES, Cluster, job
from tests.standins.simulated_time import SimulatedClock, run_simulated
from tests.standins.users import Users
from tests.standins.worker import LEASE_S, Worker
from tests.test_combined_failures import (
    cancel_job,
    count_tasks,
    has_write,
    is_done,
    job_name,
    leader_and_others,
    start_cluster,
)

# -- every team is at its limit, jobs are cancelled whose machines don't stop them, the leader changes ------------


def _over_before(cluster: Cluster, jobs: int) -> None:
    """The state service has so many jobs that were cancelled, with ids that come after all others."""
    cluster.state.revision += 1
    for number in range(500_000, 500_000 + jobs):
        record = records.JobRecord(parse_job(job(number)), JobStatus.CANCELLED)
        value = msgspec.json.decode(records.pack(record))
        cluster.state.keys[records.job_key(job_name(number))] = (value, cluster.state.revision, None)


def _as_it_comes_to(worker: Worker, node: str, then: Callable[[Worker], None]) -> None:
    """Something befalls the worker just as its first report to that node leaves."""
    report = worker.report

    async def first_report(sent: float) -> bool:
        if worker.node == node:
            worker.report = report  # type: ignore[method-assign]
            then(worker)
        return await report(sent)

    worker.report = first_report  # type: ignore[method-assign]


def _with_tasks_of(cluster: Cluster, number: int) -> list[Worker]:
    return [
        worker for worker in cluster.cloud.workers.values()
        if any(piece.startswith(job_name(number)) for piece, _ in worker.tasks)
    ]  # fmt: skip


async def _at_the_limit() -> None:
    """The machines are told of the new leader directly, so that what they are answered first is no longer a stop.

    That leader is a new process, which has read of the cancellation together with all other jobs that are over.
    """
    cluster = Cluster(3600, 14, clock=SimulatedClock(), zones=("a", "b"), limits={"red": 24.0, "blue": 0.0})
    cluster.cloud.startup_s, cluster.idle_return_s = 60.0, 600.0  # so machines are kept
    cluster.cloud.jobs[job_name(9)] = {**ARRAY_JOB, "Crew": "blue"}
    _over_before(cluster, 2100)
    cluster.start()

    try:
        for number in (1, 2):
            assert await wait_until(lambda number=number: cluster.submit_job("n0", number, Hall="a"), 10)
        assert await wait_until(lambda: cluster.submit_job("n0", 9, Hall="b", Crew="blue"), 10)  # leaves room in zone b
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 9, 30), "the limit is not used up"
        assert await wait_until(lambda: cancel_job(cluster, 9), 10)
        await asyncio.sleep(2)
        leader, others = leader_and_others(cluster)
        cluster.state.refused_nodes, cluster.isolated = {leader}, {leader}
        assert await wait_until(lambda: cancel_job(cluster, 1, others[0]), 5)
        for name in others:
            await cluster.restart(name, 0.1)
        assert await wait_until(lambda: cluster.leader() in others, 10), "nobody took the term"
        successor, _ = leader_and_others(cluster)
        cancelled = _with_tasks_of(cluster, 1)
        assert cancelled
        for worker in cancelled:
            _as_it_comes_to(worker, successor, lambda worker: worker.pause(3.0))
        assert await wait_until(lambda: cluster.submit_job(successor, 3, Hall="b"), 10)
        await asyncio.sleep(8)
        cluster.state.refused_nodes, cluster.isolated = set(), set()
        await asyncio.sleep(20)
        assert count_tasks(cluster, 1) == 0
        assert len(cluster.cloud.active_tasks()) == 6, "the next job did not start"
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_a_team_at_its_limit_while_machines_with_cancelled_tasks_hang() -> None:
    """What a cancelled job takes counts until it has ended, however many jobs are over and in whatever order."""
    run_simulated(_at_the_limit())


# -- a cancellation's answer is lost, or it is confirmed by another controller, while the leader is refused --------


async def _confirmed_elsewhere(*, ends: bool) -> None:
    """The transaction is carried out at once and its answer lost; whoever confirms it tells the leader."""
    cluster = await start_cluster(60, jobs=1)
    clock = asyncio.get_running_loop().time
    try:
        leader, others = leader_and_others(cluster)
        cluster.state.refused_nodes = {leader}
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes = {leader}
        cluster.state.drops_response = lambda writes: any(write["Data"].get("status") == "aborted" for write in writes)
        asking = asyncio.ensure_future(cluster.request(others[0], "POST", f"/v1/jobs/{job_name(1)}/abort", b""))
        await asyncio.sleep(0.2)
        cluster.state.drops_response = lambda writes: False
        assert cluster.state.keys["gs/j/wk-000001"][0]["status"] == "aborted"
        if ends:  # who has written it ends before its answer; nobody takes the term, as the leader still commands
            await cluster.kill(others[0])
            asking.cancel()
            status, body = await cluster.request(others[1], "POST", f"/v1/jobs/{job_name(1)}/abort", b"")
        else:
            status, body = await asking
        assert (status, body["Status"]) == (200, "aborted")
        confirmed = clock()
        assert await wait_until(lambda: count_tasks(cluster, 1) == 0, 30)
        assert clock() - confirmed < 0.5, "the leader was not told"
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("ends", [False, True], ids=["the answer is lost", "its writer ends"])
def test_whoever_confirms_a_cancellation_tells_the_leader(ends: bool) -> None:
    run_simulated(_confirmed_elsewhere(ends=ends))


# -- all controllers are asked within milliseconds ---------------------------------------------------------------


async def _close_looks(trouble: str) -> None:
    """Everybody looks at each piece of news, at all controllers, while half of the answers to transactions are lost."""
    cluster = Cluster(3.0, 12, clock=SimulatedClock())
    users = Users(cluster, Random(trouble))
    users.status_checks = True
    coin = Random(7)
    if trouble == "answers lost":
        cluster.state.drops_response = lambda writes: coin.random() < 0.5
    elif trouble == "late":
        cluster.state.commit_delay = lambda writes: coin.uniform(2, 6) if coin.random() < 0.3 else 0.0
    elif trouble == "slow":
        cluster.state.response_delay = lambda: coin.uniform(0, 0.6)
    cluster.cloud.on_job_done = lambda name: users.lifecycles.append(asyncio.ensure_future(users.cancel(name, 0.0)))
    cluster.start()
    try:
        users.start(12, 12.0, cancel_share=0.5)
        if trouble == "ends":
            for turn in range(10):
                await asyncio.sleep(1.5)
                await cluster.restart(NODE_NAMES[turn % 3], 0.3)
        end = users.now() + 150
        while users.now() < end and not all(life.done() for life in users.lifecycles):
            await asyncio.wait(list(users.lifecycles), timeout=end - users.now())
        assert users.accepted == users.final_status.keys() == users.specs.keys()
        assert not cluster.violations
    finally:
        for life in users.lifecycles:
            life.cancel()
        await cluster.stop()


@pytest.mark.parametrize("trouble", ["none", "answers lost", "late", "slow", "ends"])
def test_nobody_is_answered_anything_older_at_any_controller(trouble: str) -> None:
    run_simulated(_close_looks(trouble))


# -- new machines get work at once, writes lag, the leader ends ----------------------------------------------------


async def _up_at_once(kind: str, *, lost: bool) -> None:
    """The leader ends as a write of a kind arrives, which is carried out at once or late, again and again."""
    cluster = Cluster(6.0, 12, clock=SimulatedClock())
    ends: list[asyncio.Task[None]] = []
    seen = 0

    async def end(leader: str) -> None:
        """Its machines go on, and for less than a lease the next leader neither hears nor reaches them."""
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes, worker.receives_no_commands = set(), True
        await cluster.restart(leader, 0.3)
        await asyncio.sleep(LEASE_S - 1.2)
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes, worker.receives_no_commands = set(NODE_NAMES), False

    def end_the_leader(writes: list[dict[str, Any]]) -> bool:
        nonlocal seen
        if not has_write(kind, writes):
            return False
        seen += 1
        if seen in (1, 3, 6) and cluster.leader() is not None:
            ends.append(asyncio.ensure_future(end(str(cluster.leader()))))
        return seen % 2 == 1

    if lost:
        cluster.state.drops_response = end_the_leader
    else:
        cluster.state.commit_delay = lambda writes: 2.0 + seen * 1.7 % 9 if end_the_leader(writes) else 0.0
    cluster.start()
    try:
        for number in range(1, 7):
            assert await wait_until(lambda number=number: cluster.submit_job(NODE_NAMES[number % 3], number), 30)
            await asyncio.sleep(2)
            if kind == "term" and number % 2:  # else the first leader would stay
                ends.append(asyncio.ensure_future(end(str(cluster.leader()))))
        for number in range(1, 7):
            assert await wait_until(lambda number=number: is_done(cluster, number), 60), f"job {number} is not done"
        assert ends, "the leader did not end"
        await asyncio.sleep(12)  # the last of what is late is carried out
        assert not cluster.violations
    finally:
        await asyncio.gather(*ends)
        await cluster.stop()


@pytest.mark.parametrize("lost", [True, False], ids=["its answer is lost", "it is carried out late"])
@pytest.mark.parametrize("kind", ["roster", "claim", "term", "result"])
def test_new_machines_get_work_while_writes_lag_and_the_leader_ends(kind: str, lost: bool) -> None:
    run_simulated(_up_at_once(kind, lost=lost))


# -- old reports reach every controller just as a new leader begins ----------------------------------------------


async def _old_reports(befalls: str) -> None:
    """Of machines that go on, that have begun anew, that nobody reaches, and that were given back."""
    cluster = await start_cluster(12, jobs=2, spare=True)
    cluster.cloud.should_store_report = lambda: True
    try:
        await asyncio.sleep(3)
        for _ in range(3):
            leader, others = leader_and_others(cluster)
            for worker in list(cluster.cloud.workers.values()):
                if befalls == "begins anew" and worker.tasks:
                    worker.restart(reset_numbers=True)
                elif befalls == "a lease is over" and worker.tasks:
                    worker.pause(LEASE_S + 1)
                elif befalls == "dies" and worker.tasks:
                    cluster.cloud.fail_worker(worker.name)
            if befalls == "only told directly":
                cluster.state.refused_nodes, cluster.isolated = {leader}, {leader}
                assert await wait_until(lambda others=others: cluster.leader() in others, 20)
                await asyncio.sleep(4)
                cluster.state.refused_nodes, cluster.isolated = set(), set()
            else:
                await cluster.restart(leader, 0.3)
            assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 6, 30), "its work is held back"
            await asyncio.sleep(3)
        await asyncio.sleep(15)
        assert len(cluster.cloud.active_tasks()) == 6
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("befalls", ["nothing", "begins anew", "a lease is over", "dies", "only told directly"])
def test_old_reports_reach_every_controller_as_a_new_leader_begins(befalls: str) -> None:
    run_simulated(_old_reports(befalls))


# -- a job is cancelled as its claim changes hands ---------------------------------------------------------------


async def _cancelled_between_hands(kind: str, *, lost: bool) -> None:
    """As a write of a kind is carried out, its answer lost or not, users cancel the jobs that it tells of."""
    cluster = await start_cluster(12, jobs=0)
    users = Users(cluster, Random(kind))
    seen: set[str] = set()
    cancelling = False

    def cancel(writes: list[dict[str, Any]]) -> bool:
        if not cancelling or not has_write(kind, writes):
            return False
        for write in writes:
            name = write["Put"].rpartition("/")[2]
            if write["Put"].startswith("gs/j/") and name in users.specs and name not in seen:
                seen.add(name)
                users.lifecycles.append(asyncio.ensure_future(users.cancel(name, 0.02 * (len(seen) % 3))))
        return lost

    try:
        cancelling = kind == "claim"
        cluster.state.drops_response = cancel
        for number in range(1, 7):
            users.specs[job_name(number)] = job(number)
            assert await wait_until(lambda number=number: cluster.submit_job("n0", number), 10)
            users.accepted.add(job_name(number))
            await asyncio.sleep(0.3)
        cancelling = True
        await asyncio.sleep(3)
        await cluster.kill("n0")  # which has claimed them; its session lapses, its records are swept and claimed anew
        await asyncio.sleep(8)
        assert seen, "there was none of the kind"
        cluster.start_node("n0")
        await asyncio.sleep(2)
        told = await asyncio.wait_for(asyncio.gather(*users.lifecycles), 60)
        assert told
        assert {users.final_status.get(name) for name in seen} == {"aborted"}
        assert all(count_tasks(cluster, int(name[3:])) == 0 for name in seen)
        assert not cluster.cloud.starts_after_cancel
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("lost", [True, False], ids=["its answer is lost", "answered"])
@pytest.mark.parametrize("kind", ["claim", "sweep or release"])
def test_cancelled_as_its_claim_changes_hands(kind: str, lost: bool) -> None:
    run_simulated(_cancelled_between_hands(kind, lost=lost))


# -- a job is cancelled whose machines hang ------------------------------------------------------------------------


async def _cancelled_while_hung(hung_for: float, *, changes: bool) -> None:
    cluster = await start_cluster(9, jobs=2, spare=True)
    try:
        assert await wait_until(lambda: cancel_job(cluster, 1), 10)
        for worker in _with_tasks_of(cluster, 1):
            worker.pause(hung_for)
        if changes:
            leader, _ = leader_and_others(cluster)
            await cluster.restart(leader, 0.3)
        await asyncio.sleep(hung_for + 12)
        assert count_tasks(cluster, 1) == 0
        assert count_tasks(cluster, 2) == 3, "the other job does not run"
        assert not cluster.cloud.starts_after_cancel
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("changes", [False, True], ids=["the leader stays", "the leader ends"])
@pytest.mark.parametrize("hung_for", [2.0, LEASE_S - 0.3, LEASE_S + 2, 13.0])
def test_cancelled_while_its_machines_hang(hung_for: float, changes: bool) -> None:
    """For less and for more than a lease, and than cancel_s: when a machine goes on, its lease is over or it obeys."""
    run_simulated(_cancelled_while_hung(hung_for, changes=changes))


# -- one-task jobs, four a second for minutes, a quarter of them cancelled -----------------------------------------


async def _four_a_second() -> None:
    """With a write limit that takes them and little more; the leader ends in the midst of it."""
    cluster = Cluster(2.0, 12, clock=SimulatedClock(), limits={"red": 48.0, "blue": 24.0})
    cluster.write_rps = 14.0
    users = Users(cluster, Random(4))
    seconds = 120
    took: list[float] = []
    random = Random(5)

    async def live(number: int) -> None:
        name = job_name(number)
        users.specs[name] = cluster.cloud.jobs[name] = job(
            number, Pieces=1, Crew=random.choice(["red", "red", "blue"]), GuessS=random.uniform(1, 4)
        )
        await asyncio.sleep(number / 4)
        began = users.now()
        while name not in users.accepted:
            status, body = await users.request("POST", "/v1/jobs", users.specs[name])
            if status in (200, 201):
                users.accepted.add(name)
                users.record_status(name, body, None)
            else:
                await asyncio.sleep(1)
        took.append(users.now() - began)
        if number % 4 == 0:
            await asyncio.sleep(random.uniform(0, 3))
            while not await users.request_cancel(name):
                await asyncio.sleep(1)
        while name not in users.final_status:
            await asyncio.sleep(2)
            await users.query_status(name)

    cluster.start()
    lives = [asyncio.ensure_future(live(number)) for number in range(1, 4 * seconds)]
    try:
        await asyncio.sleep(seconds / 2)
        leader, _ = leader_and_others(cluster)
        await cluster.restart(leader, 0.3)
        done, late = await asyncio.wait(lives, timeout=seconds)
        assert not late, f"{len(late)} jobs are not over"
        for life in done:
            life.result()
        took.sort()
        assert took[len(took) * 95 // 100] < 1.0, "submissions wait"
        assert Counter(users.final_status.values())["done"] >= len(lives) * 0.7
        assert not cluster.cloud.starts_after_cancel
        assert not cluster.violations
    finally:
        for life in lives:
            life.cancel()
        await cluster.stop()


def test_one_task_jobs_four_a_second_for_minutes() -> None:
    run_simulated(_four_a_second())
