"""Combinations of two failures, in simulated time: the scheduling rules must hold.

The failures are a state service that refuses nodes or is down, controllers that restart or are partitioned, machines
that can't be reached, and messages and transactions that take effect late.
"""

import asyncio
from typing import Any

import pytest

from gingerspar.coordination.membership.term import authority_duration
from gingerspar.protocol.settings import WorkerFacts
from tests.standins.cloud import wait_until
from tests.standins.cluster import NODE_NAMES, Cluster, job
from tests.standins.simulated_time import SimulatedClock, run_simulated
from tests.standins.worker import LEASE_S


def job_name(number: int) -> str:
    return f"wk-{number:06d}"


async def start_cluster(cancel_s: float, jobs: int, *, spare: bool = False) -> Cluster:
    """Starts a cluster in simulated time and waits until the given number of jobs run, with three tasks each.

    With ``spare``, the cluster has idle machines with capacity for three more tasks, which it keeps for ten minutes.
    """
    cluster = Cluster(3600, cancel_s, clock=SimulatedClock())
    if spare:
        cluster.cloud.startup_s, cluster.idle_return_s = 60.0, 600.0  # so that idle machines are kept
    cluster.start()
    for number in range(1, jobs + 1):
        assert await wait_until(lambda number=number: cluster.submit_job("n0", number), 10), "a job was not accepted"
    if spare:
        assert await wait_until(lambda: cluster.submit_job("n0", 99), 10)
        assert await wait_until(lambda: count_tasks(cluster, 99) == 3, 30)
        assert await wait_until(lambda: cancel_job(cluster, 99), 10)
    assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 3 * jobs, 30), "the jobs did not start"
    return cluster


def count_tasks(cluster: Cluster, number: int) -> int:
    """The number of active tasks of the job, on all machines."""
    return sum(task.startswith(job_name(number)) for task in cluster.cloud.active_tasks())


def leader_and_others(cluster: Cluster) -> tuple[str, list[str]]:
    leader = cluster.leader()
    assert leader is not None
    return leader, [name for name in NODE_NAMES if name != leader]


# -- the state service refuses the leader only, a job is cancelled through another controller, then a state outage ---


async def _cancel_while_leader_is_refused(cancel_s: float, *, peer_links: bool, direct_commands: bool) -> None:
    """Cancels a job while the leader can't read the state service, which then goes down for all controllers.

    1. The state service refuses the leader. Unless ``peer_links``, connections between controllers fail too; unless
       ``direct_commands``, workers receive commands only in responses to their reports.
    2. 0.4 s later a user cancels a job through another controller, then the state service goes down.
    3. The third job must run for as long as the leader has authority. The cancelled job's tasks must end within
       ``cancel_s`` seconds of the confirmation; within 1 s if peers can notify the leader and its authority lasts for
       at least 1 s.
    4. All failures end; the third job must run again. All this happens twice, for two jobs to cancel.
    """
    cluster = await start_cluster(cancel_s, jobs=3)
    clock = asyncio.get_running_loop().time
    authority_s = authority_duration(WorkerFacts(report_s=0.3, lease_s=LEASE_S, cancel_s=cancel_s)).total_seconds()
    try:
        for number in (1, 2):  # the second time perhaps with another leader
            leader, others = leader_and_others(cluster)
            for worker in cluster.cloud.workers.values():
                worker.receives_no_commands = not direct_commands
            cluster.state.refused_nodes = {leader}
            cluster.isolated = set() if peer_links else set(NODE_NAMES)
            await asyncio.sleep(0.4)
            status, body = await cluster.request(others[0], "POST", f"/v1/jobs/{job_name(number)}/abort", b"")
            confirmed = clock()
            assert (status, body["Status"]) == (200, "aborted")
            cluster.state.down = True

            # Tasks that are not cancelled run as long as the leader has authority.
            await asyncio.sleep(max(authority_s - 0.5, 0))
            assert count_tasks(cluster, 3) == 3
            if peer_links:  # peers notify the leader of the cancellation at once
                assert authority_s < 1 or cluster.cloud.last_task_ended[job_name(number)] - confirmed < 1
            await asyncio.sleep(confirmed + 1.5 * cancel_s + LEASE_S - clock())
            assert count_tasks(cluster, number) == 0
            assert cluster.cloud.last_task_ended[job_name(number)] - confirmed < cancel_s

            cluster.state.down, cluster.state.refused_nodes, cluster.isolated = False, set(), set()
            assert await wait_until(lambda: count_tasks(cluster, 3) == 3, 30), (
                "the tasks of the other job did not continue"
            )
            await asyncio.sleep(5)
        assert count_tasks(cluster, 1) == count_tasks(cluster, 2) == 0
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize(
    "direct_commands", [True, False], ids=["direct stop commands arrive", "direct stop commands are lost"]
)
@pytest.mark.parametrize("peer_links", [True, False], ids=["peer links up", "peer links refused"])
@pytest.mark.parametrize("cancel_s", [5.0, 6.5, 12.0])
def test_cancel_while_state_service_refuses_leader_then_state_outage(
    cancel_s: float, peer_links: bool, direct_commands: bool
) -> None:
    run_simulated(_cancel_while_leader_is_refused(cancel_s, peer_links=peer_links, direct_commands=direct_commands))


def test_cancel_then_state_outage_with_authority_far_longer_than_a_lease() -> None:
    run_simulated(_cancel_while_leader_is_refused(60.0, peer_links=False, direct_commands=False))


# -- a zone is partitioned together with the leader -------------------------------------------------------------


async def _leader_partitioned_with_a_zone() -> None:
    """The leader reaches one machine only, and its authority lasts far longer than a lease.

    1. The state service refuses the leader, and its connections to other controllers fail. The machine ``inside`` the
       zone, which has free capacity for tasks of the other machine, reaches only the leader. The machine ``outside``
       reaches only the other controllers.
    2. Another controller raises the term and the machine outside switches to it. The old leader receives no reports
       of that machine for three leases, but must not start the machine's tasks again inside the zone.
    3. The partition ends; all three tasks must run, none of them twice.
    """
    cluster = await start_cluster(60, jobs=1)
    try:
        leader, others = leader_and_others(cluster)
        inside, outside = sorted(
            (worker for worker in cluster.cloud.workers.values() if worker.tasks), key=lambda w: len(w.tasks)
        )
        cluster.state.refused_nodes, cluster.isolated = {leader}, {leader}
        inside.reachable_nodes, outside.reachable_nodes = {leader}, set(others)
        assert await wait_until(lambda: cluster.leader() in others, 20), "no other controller raised the term"
        assert await wait_until(lambda: outside.node == cluster.leader(), 10), (
            "the machine outside the zone did not switch to the new leader"
        )
        await asyncio.sleep(3 * LEASE_S)  # the old leader receives no report from the machine outside meanwhile
        assert not cluster.violations
        assert outside.session == 1

        cluster.state.refused_nodes, cluster.isolated = set(), set()
        inside.reachable_nodes, outside.reachable_nodes = set(NODE_NAMES), set(NODE_NAMES)
        await asyncio.sleep(30)
        assert len(cluster.cloud.active_tasks()) == 3
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_leader_partitioned_with_a_zone_starts_no_task_that_runs_under_its_successor() -> None:
    """bench/days/zone-lost-vatuloa: 557 tasks ran on two machines at once."""
    run_simulated(_leader_partitioned_with_a_zone())


# -- the old leader reaches only workers and users; a job is cancelled through the new leader --------------------


async def _cancel_through_new_leader() -> None:
    """Cancels a job through the new leader while workers can report only to the old one.

    1. The state service refuses the leader, and its connections to other controllers fail. Workers reach only the
       leader and receive no direct commands. The cloud is down, so that the new leader can't return the machines:
       only the workers' leases end the tasks.
    2. Another controller raises the term, and a user cancels a job through it.
    3. For 12 s (``cancel_s``) the old leader must answer users with 503 or not at all, never with an old status. The
       cancelled job's tasks must end within this time.
    4. All failures end; the other job must run again, and the old leader must report the cancellation.
    """
    cluster = await start_cluster(12, jobs=2)
    clock = asyncio.get_running_loop().time
    try:
        leader, others = leader_and_others(cluster)
        cluster.state.refused_nodes, cluster.isolated = {leader}, {leader}
        cluster.cloud.down = True  # the new leader can't return the machines; only their leases end the tasks
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes, worker.receives_no_commands = {leader}, True  # no direct stop commands
        assert await wait_until(lambda: cluster.leader() in others, 20), "no other controller raised the term"
        status, body = await cluster.request(others[0], "POST", "/v1/jobs/wk-000001/abort", b"")
        confirmed = clock()
        assert (status, body["Status"]) == (200, "aborted")
        while clock() < confirmed + 12:  # the old leader must not report an outdated status
            for method, path in (("GET", "/v1/jobs/wk-000001"), ("POST", "/v1/jobs")):
                status, _ = await cluster.request(leader, method, path, job(1) if method == "POST" else None)
                assert status in (0, 503)
            await asyncio.sleep(0.5)
        assert cluster.cloud.last_task_ended["wk-000001"] - confirmed < 12
        assert count_tasks(cluster, 1) == 0

        cluster.state.refused_nodes, cluster.isolated, cluster.cloud.down = set(), set(), False
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes, worker.receives_no_commands = set(NODE_NAMES), False
        assert await wait_until(lambda: count_tasks(cluster, 2) == 3, 30), "the other job did not continue"
        assert (await cluster.request(leader, "GET", "/v1/jobs/wk-000001"))[1]["Status"] == "aborted"
        assert count_tasks(cluster, 1) == 0
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_cancel_through_new_leader_while_old_leader_still_reaches_workers_and_users() -> None:
    run_simulated(_cancel_through_new_leader())


# -- the leader restarts ----------------------------------------------------------------------------------------


async def _leader_restarts_while_machine_is_unreachable(*, receives_nothing: bool, partitioned: bool) -> None:
    """The leader restarts while a machine with long tasks can't receive responses, or is partitioned.

    Once the machine's lease has expired, its tasks must run on other machines; each task must still run once after
    the machine is reachable again.
    """
    cluster = await start_cluster(12, jobs=2, spare=True)
    try:
        leader, _ = leader_and_others(cluster)
        machine = next(worker for worker in cluster.cloud.workers.values() if worker.tasks)
        machine.receives_nothing, machine.receives_no_commands, machine.reachable_nodes = (
            receives_nothing,
            True,
            set() if partitioned else set(NODE_NAMES),
        )
        await cluster.restart(leader, 0.5)
        await asyncio.sleep(30)  # the lease expires and the tasks are placed on other machines
        assert len(cluster.cloud.active_tasks()) == 6
        machine.receives_nothing, machine.receives_no_commands, machine.reachable_nodes = False, False, set(NODE_NAMES)
        await asyncio.sleep(20)
        assert len(cluster.cloud.active_tasks()) == 6
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize(
    ("receives_nothing", "partitioned"),
    [(True, False), (False, True)],
    ids=["machine receives nothing", "machine is partitioned"],
)
def test_leader_restarts_while_machine_with_long_tasks_is_unreachable(
    receives_nothing: bool, partitioned: bool
) -> None:
    run_simulated(
        _leader_restarts_while_machine_is_unreachable(receives_nothing=receives_nothing, partitioned=partitioned)
    )


async def _tasks_end_between_restarts() -> None:
    """The tasks of one job end 3, 14 and 25 s after their start; all controllers restart between each two ends.

    The restarts include the leader and the job's claimant. The job must not be reported as done before its last task
    has ended, and no task may be started twice.
    """
    cluster = Cluster(3600, 12, clock=SimulatedClock())
    cluster.cloud.run_seconds_by_task = {"wk-000001/0": 3.0, "wk-000001/1": 14.0, "wk-000001/2": 25.0}
    cluster.start()
    try:
        assert await wait_until(lambda: cluster.submit_job("n0", 1), 10)
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 3, 30)
        for _ in range(2):
            done = len(cluster.cloud.done_tasks.get("wk-000001", ()))
            assert await wait_until(lambda done=done: len(cluster.cloud.done_tasks.get("wk-000001", ())) > done, 30)
            await asyncio.sleep(1)  # the end is reported, but not yet recorded: the claimant waits for more ends
            for name in NODE_NAMES:
                await cluster.restart(name, 0.2)
            assert await wait_until(lambda: cluster.leader() is not None, 10)
        job_status = None
        while job_status != "done":
            await asyncio.sleep(0.5)
            status, body = await cluster.request("n1", "GET", "/v1/jobs/wk-000001")
            job_status = body["Status"] if status == 200 else None
            assert job_status != "done" or len(cluster.cloud.done_tasks["wk-000001"]) == 3, "reported as done too early"
        assert dict(cluster.cloud.start_counts) == {f"wk-000001/{number}": 1 for number in range(3)}, (
            "a task was started twice"
        )
    finally:
        await cluster.stop()


def test_tasks_of_a_job_end_between_leader_changes() -> None:
    run_simulated(_tasks_end_between_restarts())


async def _all_restart_then_leaders_restart() -> None:
    """All controllers are killed and one starts again after 0.4 s; then the others start, and leaders restart.

    The first controller must send commands within 4 s. The leader restarts four times, at intervals of 5 s. No worker
    may lose its lease and no task may be started twice.
    """
    cluster = await start_cluster(12, jobs=2, spare=True)
    try:
        sessions = {name: worker.session for name, worker in cluster.cloud.workers.items() if worker.tasks}
        for name in NODE_NAMES:
            await cluster.kill(name)
        await asyncio.sleep(0.4)
        cluster.start_node("n1")
        assert await wait_until(lambda: cluster.nodes["n1"][0]._term_manager.is_dispatching(), 4), (
            "the restarted controller does not send commands"
        )
        for name in ("n0", "n2"):
            cluster.start_node(name)
        for _ in range(4):
            await asyncio.sleep(5)
            leader, _ = leader_and_others(cluster)
            await cluster.restart(leader, 0.6)
        await asyncio.sleep(10)
        assert sessions.items() <= {name: worker.session for name, worker in cluster.cloud.workers.items()}.items()
        assert len(cluster.cloud.active_tasks()) == 6
        assert set(cluster.cloud.start_counts.values()) == {1}
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_all_controllers_restart_one_first_then_leaders_restart() -> None:
    run_simulated(_all_restart_then_leaders_restart())


# -- late messages and transactions ------------------------------------------------------------------------------


async def _late_messages(*, reports: bool, responses: bool, commands: bool, run_seconds: float = 3.0) -> None:
    """For 40 s messages of the given kinds are late, while the leader restarts twice and eight jobs run.

    - ``reports``: each report is delivered again 2 to 13 s later.
    - ``responses``: workers receive responses to reports up to 6 s late.
    - ``commands``: workers carry out commands that are sent directly 5 s late.

    Two of the jobs are cancelled; each of the others must be done within 40 s once the delays have ended.
    """
    cluster = Cluster(run_seconds, 12, clock=SimulatedClock())
    cluster.start()
    counter = iter(range(1_000_000))
    cluster.cloud.duplicate_delay = lambda: 2 + next(counter) * 0.7 % 11 if reports else 0.0
    try:
        for number in range(1, 9):
            assert await wait_until(lambda number=number: cluster.submit_job("n0", number), 10)
            for worker in cluster.cloud.workers.values():
                worker.command_delay_s = 5.0 if commands else 0.0
                worker.answer_delay = (lambda: next(counter) * 1.3 % 6) if responses else (lambda: 0.0)
            await asyncio.sleep(5)
            if number in (3, 6):
                leader, _ = leader_and_others(cluster)
                await cluster.restart(leader, 0.3)
            if number in (4, 7):
                assert await wait_until(lambda number=number: cancel_job(cluster, number), 20)
        cluster.cloud.duplicate_delay = lambda: 0.0
        for worker in cluster.cloud.workers.values():
            worker.command_delay_s, worker.answer_delay = 0.0, lambda: 0.0
        for number in (1, 2, 3, 5, 6, 8):
            assert await wait_until(lambda number=number: is_done(cluster, number), 40), f"job {number} is not done"
        assert not cluster.violations
    finally:
        await cluster.stop()


async def cancel_job(cluster: Cluster, number: int, node: str = "n1") -> bool:
    """Cancels the job through ``node``; true if the response was 200. Notes the time of the first confirmation."""
    status, body = await cluster.request(node, "POST", f"/v1/jobs/{job_name(number)}/abort", b"")
    if status == 200 and body["Status"] == "aborted":
        cluster.cloud.cancelled_at.setdefault(job_name(number), asyncio.get_running_loop().time())
    return status == 200


async def is_done(cluster: Cluster, number: int) -> bool:
    status, body = await cluster.request("n1", "GET", f"/v1/jobs/{job_name(number)}")
    return status == 200 and body["Status"] == "done"


@pytest.mark.parametrize("kind", ["reports", "responses", "commands"])
def test_late_messages_of_machines_that_keep_running(kind: str) -> None:
    run_simulated(_late_messages(reports=kind == "reports", responses=kind == "responses", commands=kind == "commands"))


# Kinds of transactions: the prefix of a key that they write and, for job records, the new status and the minimum
# attempt, which show which operation changes the record. Tests use some of the names as random seeds.
TRANSACTION_KINDS = {
    "submission": ("gs/j/", "pending", 0),
    "claim": ("gs/j/", "running", 0),
    "result": ("gs/j/", "done", 0),
    "sweep or release": ("gs/j/", "pending", 1),
    "cancellation": ("gs/j/", "aborted", 0),
    "term": ("gs/term", "", 0),
    "session": ("gs/n/", "", 0),
    "liveness mark": ("gs/b/", "", 0),
    "roster": ("gs/r/", "", 0),
}


def has_write(kind: str, writes: list[dict[str, Any]]) -> bool:
    """Whether one of a transaction's writes is of the given kind."""
    prefix, status, attempt = TRANSACTION_KINDS[kind]
    return any(
        write.get("Put", "").startswith(prefix)
        and (not status or write["Data"]["status"] == status)
        and write["Data"].get("attempt", 0) >= attempt
        for write in writes
    )


async def _late_transactions(kind: str) -> None:
    """Every other transaction of a kind gets no response and is carried out 2 to 12 s later, after newer ones.

    1. Users submit jobs 1 to 5. Connections between controllers fail for 5 s, so that liveness marks are written. Users
       submit job 9.
    2. Controller n0, the claimant of the jobs that it accepted, is down for 6 s: its session ends and its job records
       are swept.
    3. Users submit jobs 6 to 8 and cancel job 8. All other jobs must become done. 15 s later, when the last late
       transaction has been carried out, jobs 1 to 7 must still be done.
    """
    cluster = Cluster(6.0, 12, clock=SimulatedClock())
    seen = 0

    def delay_s(writes: list[dict[str, Any]]) -> float:
        nonlocal seen
        seen += has_write(kind, writes)
        if kind == "roster":  # long enough for other machines to be added to the roster meanwhile
            return 9.0 if has_write(kind, writes) and seen % 2 else 0.0
        return 2.0 + seen * 1.7 % 10 if has_write(kind, writes) and seen % 2 else 0.0

    cluster.state.commit_delay = delay_s
    if kind == "session":
        cluster.session_ttl_s = 12.0  # if the late write's lease had ended, the state service would refuse it anyway
    cluster.start()
    try:
        for number in range(1, 6):
            assert await wait_until(lambda number=number: cluster.submit_job("n0", number), 30), (
                "a job was not accepted"
            )
        await asyncio.sleep(2)
        cluster.isolated = set(NODE_NAMES)  # liveness marks are written
        await asyncio.sleep(5)
        cluster.isolated = set()
        assert await wait_until(lambda: cluster.submit_job("n0", 9), 30)
        await asyncio.sleep(2)
        await cluster.kill("n0")  # the claimant of the jobs that it accepted; it may also be the leader
        await asyncio.sleep(6)  # its session ends and its job records are swept
        cluster.start_node("n0")
        for number in range(6, 9):
            assert await wait_until(lambda number=number: cluster.submit_job("n1", number), 30), (
                "a job was not accepted"
            )
        assert await wait_until(lambda: cancel_job(cluster, 8), 30)
        for number in (*range(1, 8), 9):
            assert await wait_until(lambda number=number: is_done(cluster, number), 60), f"job {number} is not done"
        assert seen, "there was no transaction of this kind"
        cluster.state.commit_delay = lambda writes: 0.0
        await asyncio.sleep(15)  # the last late transaction is carried out
        assert all([await is_done(cluster, number) for number in range(1, 8)])
        assert not cluster.violations
        assert cluster.dispatching_nodes() == [cluster.leader()]
    finally:
        await cluster.stop()


@pytest.mark.parametrize("kind", TRANSACTION_KINDS)
def test_transaction_without_response_is_carried_out_after_newer_ones(kind: str) -> None:
    run_simulated(_late_transactions(kind))


async def _submissions_without_response() -> None:
    """The first transaction of each submission is carried out 6 s late; the job must be accepted within 0.6 s.

    The controller has to send a second transaction. The late one must not start any task again.
    """
    cluster = await start_cluster(12, jobs=0)
    clock = asyncio.get_running_loop().time
    delayed_keys: list[str] = []

    def first_submission_delay_s(writes: list[dict[str, Any]]) -> float:
        if not has_write("submission", writes) or writes[0]["Put"] in delayed_keys:
            return 0.0
        delayed_keys.append(writes[0]["Put"])
        return 6.0

    cluster.state.commit_delay = first_submission_delay_s
    try:
        await asyncio.sleep(2)
        for number in range(1, 6):
            started_at = clock()
            status, body = await cluster.request("n1", "POST", "/v1/jobs", job(number))
            assert (status, body["Status"]) == (201, "pending")
            assert clock() - started_at < 0.6
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 15, 10), "the jobs did not start"
        await asyncio.sleep(8)
        assert len(delayed_keys) == 5
        assert set(cluster.cloud.start_counts.values()) == {1}
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_submission_transaction_without_response_is_repeated_soon() -> None:
    """bench/days/late-writes: only 0.58 of the submissions were accepted within a second."""
    run_simulated(_submissions_without_response())
