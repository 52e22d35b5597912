"""Further combined failures in simulated time: team limits, status checks, paused machines, lost responses."""

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

# -- a team is at its limit, workers pause while they have tasks of a cancelled job, the leader changes ------------


def _add_cancelled_jobs(cluster: Cluster, count: int) -> None:
    """Adds records of ``count`` cancelled jobs to the state service, with ids that sort after those of all others."""
    cluster.state.revision += 1
    for number in range(500_000, 500_000 + count):
        record = records.JobRecord(parse_job(job(number)), JobStatus.CANCELLED)
        value = msgspec.json.decode(records.pack(record))
        cluster.state.keys[records.job_key(job_name(number))] = (value, cluster.state.revision, None)


def _before_first_report_to(worker: Worker, node: str, action: Callable[[Worker], None]) -> None:
    """Calls ``action`` with the worker just before it sends its first report to ``node``."""
    report = worker.report

    async def first_report(sent: float) -> bool:
        if worker.node == node:
            worker.report = report  # type: ignore[method-assign]
            action(worker)
        return await report(sent)

    worker.report = first_report  # type: ignore[method-assign]


def _workers_with_tasks_of(cluster: Cluster, number: int) -> list[Worker]:
    return [
        worker for worker in cluster.cloud.workers.values()
        if any(task.startswith(job_name(number)) for task, _ in worker.tasks)
    ]  # fmt: skip


async def _run_team_at_limit() -> None:
    """Job 1 of a team at its limit is cancelled, the leader changes, and job 3 of the same team is submitted.

    The team's limit allows six tasks, those of jobs 1 and 2. The leader loses the state service and its peers, and job
    1 is cancelled through another controller. The other controllers restart, so the successor is a new process, which
    has read the cancellation together with all other jobs that have ended. The workers with tasks of job 1 pause for
    3 s when they send their first report to it. The successor notifies them directly, so the first response that they
    receive does not carry a stop any more. The tasks of job 3 may start only when those of job 1 have ended.
    """
    cluster = Cluster(3600, 14, clock=SimulatedClock(), zones=("a", "b"), limits={"red": 24.0, "blue": 0.0})
    cluster.cloud.startup_s, cluster.idle_return_s = 60.0, 600.0  # so that controllers keep idle machines
    cluster.cloud.jobs[job_name(9)] = {**ARRAY_JOB, "Crew": "blue"}
    _add_cancelled_jobs(cluster, 2100)
    cluster.start()

    try:
        for number in (1, 2):
            assert await wait_until(lambda number=number: cluster.submit_job("n0", number, Hall="a"), 10)
        # When job 9 is cancelled, its machines in zone b have free capacity.
        assert await wait_until(lambda: cluster.submit_job("n0", 9, Hall="b", Crew="blue"), 10)
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 9, 30), "the team is not at its limit"
        assert await wait_until(lambda: cancel_job(cluster, 9), 10)
        await asyncio.sleep(2)
        leader, others = leader_and_others(cluster)
        cluster.state.refused_nodes, cluster.isolated = {leader}, {leader}
        assert await wait_until(lambda: cancel_job(cluster, 1, others[0]), 5)
        for name in others:
            await cluster.restart(name, 0.1)
        assert await wait_until(lambda: cluster.leader() in others, 10), "there is no new leader"
        successor, _ = leader_and_others(cluster)
        workers = _workers_with_tasks_of(cluster, 1)
        assert workers
        for worker in workers:
            _before_first_report_to(worker, successor, lambda worker: worker.pause(3.0))
        assert await wait_until(lambda: cluster.submit_job(successor, 3, Hall="b"), 10)
        await asyncio.sleep(8)
        cluster.state.refused_nodes, cluster.isolated = set(), set()
        await asyncio.sleep(20)
        assert count_tasks(cluster, 1) == 0
        assert len(cluster.cloud.active_tasks()) == 6, "job 3 did not start"
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_team_at_limit_while_machines_with_cancelled_tasks_pause() -> None:
    """Tasks of a cancelled job count towards the team's limit until they end, however many ended jobs there are.

    The order of the ended jobs does not matter either. The fault was that the view kept the descriptions of only 2,000
    ended jobs, after a start those with the last ids. A new leader did not count tasks of other ended jobs that it
    found on machines, and started tasks of the team beside them.
    """
    run_simulated(_run_team_at_limit())


# -- the response to a cancellation is lost while the state service refuses the leader -------------------------------


async def _confirm_cancel_elsewhere(*, writer_ends: bool) -> None:
    """A controller writes a cancellation and does not receive the response; the leader is notified all the same.

    The state service refuses the leader, and workers reach only the leader. Another controller sends the cancellation,
    which is carried out at once, and its response is lost. Either that controller confirms the cancellation later, or
    it is killed before and the user repeats the request at the third one. The tasks end within 0.5 s of the
    confirmation.
    """
    cluster = await start_cluster(60, jobs=1)
    clock = asyncio.get_running_loop().time
    try:
        leader, others = leader_and_others(cluster)
        cluster.state.refused_nodes = {leader}
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes = {leader}
        cluster.state.drops_response = lambda writes: any(write["Data"].get("status") == "aborted" for write in writes)
        cancel_request = asyncio.ensure_future(cluster.request(others[0], "POST", f"/v1/jobs/{job_name(1)}/abort", b""))
        await asyncio.sleep(0.2)
        cluster.state.drops_response = lambda writes: False
        assert cluster.state.keys["gs/j/wk-000001"][0]["status"] == "aborted"
        if writer_ends:  # there is no new leader, as the old one may still send commands
            await cluster.kill(others[0])
            cancel_request.cancel()
            status, body = await cluster.request(others[1], "POST", f"/v1/jobs/{job_name(1)}/abort", b"")
        else:
            status, body = await cancel_request
        assert (status, body["Status"]) == (200, "aborted")
        confirmed_at = clock()
        assert await wait_until(lambda: count_tasks(cluster, 1) == 0, 30)
        assert clock() - confirmed_at < 0.5, "the leader was not notified"
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("writer_ends", [False, True], ids=["response lost", "writer ends"])
def test_controller_that_confirms_a_cancellation_notifies_the_leader(writer_ends: bool) -> None:
    """The leader must be notified also if a cancellation is confirmed from the view.

    This happens when the response to the transaction was lost or its writer has ended. The fault was that only a
    controller that received the response notified its peers, so a leader without the state service was not notified.
    """
    run_simulated(_confirm_cancel_elsewhere(writer_ends=writer_ends))


# -- users query all controllers within milliseconds -----------------------------------------------------------------


async def _run_status_checks(failure: str) -> None:
    """Users query all controllers at once after each change of a job, while one kind of failure goes on.

    ``failure``, which is also the seed of the users:

    - "answers lost": the responses to half of the transactions are lost.
    - "late": 30 % of the transactions are carried out 2 to 6 s late.
    - "slow": the state service takes up to 0.6 s longer to respond.
    - "ends": controllers restart in turn, one every 1.5 s, ten times.
    - "none": there is no failure.

    Users also cancel half of the jobs, and each job at the moment when it is done. Each accepted job gets a final
    status.
    """
    cluster = Cluster(3.0, 12, clock=SimulatedClock())
    users = Users(cluster, Random(failure))
    users.status_checks = True
    random = Random(7)
    if failure == "answers lost":
        cluster.state.drops_response = lambda writes: random.random() < 0.5
    elif failure == "late":
        cluster.state.commit_delay = lambda writes: random.uniform(2, 6) if random.random() < 0.3 else 0.0
    elif failure == "slow":
        cluster.state.response_delay = lambda: random.uniform(0, 0.6)
    cluster.cloud.on_job_done = lambda name: users.lifecycles.append(asyncio.ensure_future(users.cancel(name, 0.0)))
    cluster.start()
    try:
        users.start(12, 12.0, cancel_share=0.5)
        if failure == "ends":
            for i in range(10):
                await asyncio.sleep(1.5)
                await cluster.restart(NODE_NAMES[i % 3], 0.3)
        end = users.now() + 150
        while users.now() < end and not all(lifecycle.done() for lifecycle in users.lifecycles):
            await asyncio.wait(list(users.lifecycles), timeout=end - users.now())
        assert users.accepted == users.final_status.keys() == users.specs.keys()
        assert not cluster.violations
    finally:
        for lifecycle in users.lifecycles:
            lifecycle.cancel()
        await cluster.stop()


@pytest.mark.parametrize("failure", ["none", "answers lost", "late", "slow", "ends"])
def test_no_controller_reports_an_older_status(failure: str) -> None:
    """A user who was told the final status must not get an older one from a controller whose view lags."""
    run_simulated(_run_status_checks(failure))


# -- new machines get tasks at once, writes are late, the leader restarts --------------------------------------------


async def _use_new_machines_at_once(kind: str, *, response_lost: bool) -> None:
    """Six jobs are submitted, and the leader restarts when certain transactions arrive.

    Every other transaction of one kind loses its response or is carried out 2 to 11 s late. The leader is killed when
    the first, the third and the sixth of them arrive. All jobs end as done.
    """
    cluster = Cluster(6.0, 12, clock=SimulatedClock())
    restarts: list[asyncio.Task[None]] = []
    matching = 0

    async def restart_leader(leader: str) -> None:
        """Restarts the leader; for less than a lease no controller and no worker reach each other.

        The workers keep running their tasks.
        """
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes, worker.receives_no_commands = set(), True
        await cluster.restart(leader, 0.3)
        await asyncio.sleep(LEASE_S - 1.2)
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes, worker.receives_no_commands = set(NODE_NAMES), False

    def count_and_restart_leader(writes: list[dict[str, Any]]) -> bool:
        """True for the transactions that lose their response or are late."""
        nonlocal matching
        if not has_write(kind, writes):
            return False
        matching += 1
        if matching in (1, 3, 6) and cluster.leader() is not None:
            restarts.append(asyncio.ensure_future(restart_leader(str(cluster.leader()))))
        return matching % 2 == 1

    if response_lost:
        cluster.state.drops_response = count_and_restart_leader
    else:
        cluster.state.commit_delay = lambda writes: (
            2.0 + matching * 1.7 % 9 if count_and_restart_leader(writes) else 0.0
        )
    cluster.start()
    try:
        for number in range(1, 7):
            assert await wait_until(lambda number=number: cluster.submit_job(NODE_NAMES[number % 3], number), 30)
            await asyncio.sleep(2)
            if kind == "term" and number % 2:  # otherwise the first leader would stay
                restarts.append(asyncio.ensure_future(restart_leader(str(cluster.leader()))))
        for number in range(1, 7):
            assert await wait_until(lambda number=number: is_done(cluster, number), 60), f"job {number} is not done"
        assert restarts, "the leader did not restart"
        await asyncio.sleep(12)  # until the last late transaction is carried out
        assert not cluster.violations
    finally:
        await asyncio.gather(*restarts)
        await cluster.stop()


@pytest.mark.parametrize("response_lost", [True, False], ids=["response lost", "carried out late"])
@pytest.mark.parametrize("kind", ["roster", "claim", "term", "result"])
def test_new_machines_get_tasks_while_writes_are_late_and_the_leader_restarts(kind: str, response_lost: bool) -> None:
    """No task may run twice because a leader sent it to a new machine before the machine was on the roster.

    If that leader ends, its successor does not know the machine and starts the same task elsewhere.
    """
    run_simulated(_use_new_machines_at_once(kind, response_lost=response_lost))


# -- old reports reach every controller when a new leader starts -----------------------------------------------------


async def _deliver_old_reports(failure: str) -> None:
    """The leader changes three times; each time the reports since the last change reach every controller again.

    Before each change the workers with tasks restart and count their reports from 1, pause for longer than a lease,
    fail, or run on. With "leader isolated" the old leader does not restart, but loses the state service and its peers
    until 4 s after the change, and the new leader notifies the workers directly. After each change all six tasks run
    within 30 s.
    """
    cluster = await start_cluster(12, jobs=2, spare=True)
    cluster.cloud.should_store_report = lambda: True
    try:
        await asyncio.sleep(3)
        for _ in range(3):
            leader, others = leader_and_others(cluster)
            for worker in list(cluster.cloud.workers.values()):
                if failure == "worker restart" and worker.tasks:
                    worker.restart(reset_numbers=True)
                elif failure == "worker pause" and worker.tasks:
                    worker.pause(LEASE_S + 1)
                elif failure == "machine failure" and worker.tasks:
                    cluster.cloud.fail_worker(worker.name)
            if failure == "leader isolated":
                cluster.state.refused_nodes, cluster.isolated = {leader}, {leader}
                assert await wait_until(lambda others=others: cluster.leader() in others, 20)
                await asyncio.sleep(4)
                cluster.state.refused_nodes, cluster.isolated = set(), set()
            else:
                await cluster.restart(leader, 0.3)
            assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 6, 30), "not all tasks run"
            await asyncio.sleep(3)
        await asyncio.sleep(15)
        assert len(cluster.cloud.active_tasks()) == 6
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("failure", ["none", "worker restart", "worker pause", "machine failure", "leader isolated"])
def test_old_reports_reach_every_controller_when_a_new_leader_starts(failure: str) -> None:
    """A delayed report must not pass for a worker's first report to the new leader."""
    run_simulated(_deliver_old_reports(failure))


# -- a job is cancelled during a change of its claimant --------------------------------------------------------------


async def _cancel_during_claimant_change(kind: str, *, response_lost: bool) -> None:
    """Users cancel jobs when a transaction that claims them, or that sweeps or releases them, is carried out.

    Node n0 accepts six jobs and is killed 3 s later; it is down for 8 s. At each transaction of the given kind, users
    cancel the jobs that it writes, at once or up to 0.04 s later; the response to it is lost or not. At the end these
    jobs are reported as cancelled and have no tasks.
    """
    cluster = await start_cluster(12, jobs=0)
    users = Users(cluster, Random(kind))
    cancelled: set[str] = set()
    cancelling = False

    def cancel(writes: list[dict[str, Any]]) -> bool:
        if not cancelling or not has_write(kind, writes):
            return False
        for write in writes:
            name = write["Put"].rpartition("/")[2]
            if write["Put"].startswith("gs/j/") and name in users.specs and name not in cancelled:
                cancelled.add(name)
                users.lifecycles.append(asyncio.ensure_future(users.cancel(name, 0.02 * (len(cancelled) % 3))))
        return response_lost

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
        await cluster.kill("n0")  # its session expires, then others sweep and claim the jobs that it has claimed
        await asyncio.sleep(8)
        assert cancelled, "there was no transaction of this kind"
        cluster.start_node("n0")
        await asyncio.sleep(2)
        cancellations = await asyncio.wait_for(asyncio.gather(*users.lifecycles), 60)
        assert cancellations
        assert {users.final_status.get(name) for name in cancelled} == {"aborted"}
        assert all(count_tasks(cluster, int(name[3:])) == 0 for name in cancelled)
        assert not cluster.cloud.starts_after_cancel
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("response_lost", [True, False], ids=["response lost", "response received"])
@pytest.mark.parametrize("kind", ["claim", "sweep or release"])
def test_cancelled_during_a_change_of_claimant(kind: str, response_lost: bool) -> None:
    run_simulated(_cancel_during_claimant_change(kind, response_lost=response_lost))


# -- a job is cancelled while its machines are paused ----------------------------------------------------------------


async def _cancel_while_paused(pause_s: float, *, leader_restarts: bool) -> None:
    """Job 1 of two jobs is cancelled, and the machines with its tasks pause; the leader may restart at once.

    12 s after the pause no task of job 1 runs, and all tasks of job 2 do.
    """
    cluster = await start_cluster(9, jobs=2, spare=True)
    try:
        assert await wait_until(lambda: cancel_job(cluster, 1), 10)
        for worker in _workers_with_tasks_of(cluster, 1):
            worker.pause(pause_s)
        if leader_restarts:
            leader, _ = leader_and_others(cluster)
            await cluster.restart(leader, 0.3)
        await asyncio.sleep(pause_s + 12)
        assert count_tasks(cluster, 1) == 0
        assert count_tasks(cluster, 2) == 3, "the other job does not run"
        assert not cluster.cloud.starts_after_cancel
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("leader_restarts", [False, True], ids=["leader stays", "leader restarts"])
@pytest.mark.parametrize("pause_s", [2.0, LEASE_S - 0.3, LEASE_S + 2, 13.0])
def test_cancelled_while_its_machines_are_paused(pause_s: float, leader_restarts: bool) -> None:
    """The pauses are shorter and longer than a lease, and than ``cancel_s``.

    When a machine resumes, either its lease has expired or it carries out the stop commands.
    """
    run_simulated(_cancel_while_paused(pause_s, leader_restarts=leader_restarts))


# -- one-task jobs, four a second for two minutes, a quarter of them cancelled ---------------------------------------


async def _submit_four_jobs_a_second() -> None:
    """The write limit is little more than these jobs need, and the leader restarts after half of the time.

    Users cancel each fourth job up to 3 s after it was accepted. All jobs end within another two minutes, at least 70 %
    of them as done, and 95 % of the submissions are accepted within 1 s.
    """
    cluster = Cluster(2.0, 12, clock=SimulatedClock(), limits={"red": 48.0, "blue": 24.0})
    cluster.write_rps = 14.0
    users = Users(cluster, Random(4))
    duration_s = 120
    acceptance_times_s: list[float] = []
    random = Random(5)

    async def run_lifecycle(number: int) -> None:
        name = job_name(number)
        users.specs[name] = cluster.cloud.jobs[name] = job(
            number, Pieces=1, Crew=random.choice(["red", "red", "blue"]), GuessS=random.uniform(1, 4)
        )
        await asyncio.sleep(number / 4)
        started_at = users.now()
        while name not in users.accepted:
            status, body = await users.request("POST", "/v1/jobs", users.specs[name])
            if status in (200, 201):
                users.accepted.add(name)
                users.record_status(name, body, None)
            else:
                await asyncio.sleep(1)
        acceptance_times_s.append(users.now() - started_at)
        if number % 4 == 0:
            await asyncio.sleep(random.uniform(0, 3))
            while not await users.request_cancel(name):
                await asyncio.sleep(1)
        while name not in users.final_status:
            await asyncio.sleep(2)
            await users.query_status(name)

    cluster.start()
    lifecycles = [asyncio.ensure_future(run_lifecycle(number)) for number in range(1, 4 * duration_s)]
    try:
        await asyncio.sleep(duration_s / 2)
        leader, _ = leader_and_others(cluster)
        await cluster.restart(leader, 0.3)
        ended, not_ended = await asyncio.wait(lifecycles, timeout=duration_s)
        assert not not_ended, f"{len(not_ended)} jobs have not ended"
        for lifecycle in ended:
            lifecycle.result()
        acceptance_times_s.sort()
        assert acceptance_times_s[len(acceptance_times_s) * 95 // 100] < 1.0, "submissions wait"
        assert Counter(users.final_status.values())["done"] >= len(lifecycles) * 0.7
        assert not cluster.cloud.starts_after_cancel
        assert not cluster.violations
    finally:
        for lifecycle in lifecycles:
            lifecycle.cancel()
        await cluster.stop()


def test_four_one_task_jobs_a_second_for_minutes() -> None:
    """Submissions and cancellations must not wait for the write limit like results do."""
    run_simulated(_submit_four_jobs_a_second())
