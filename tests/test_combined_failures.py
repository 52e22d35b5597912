"""Two troubles at once, by simulated time: the rules hold where they meet."""

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


async def started(cancel_s: float, jobs: int, *, spare: bool = False) -> Cluster:
    """A cluster by simulated time on which so many jobs of three tasks run; ``spare``: with room for more at once."""
    cluster = Cluster(3600, cancel_s, clock=SimulatedClock())
    if spare:
        cluster.cloud.startup_s, cluster.idle_return_s = 60.0, 600.0  # so machines are kept
    cluster.start()
    for number in range(1, jobs + 1):
        assert await wait_until(lambda number=number: cluster.submit_job("n0", number), 10), "a job was not accepted"
    if spare:
        assert await wait_until(lambda: cluster.submit_job("n0", 99), 10)
        assert await wait_until(lambda: on_machines(cluster, 99) == 3, 30)
        assert await wait_until(lambda: _cancelled(cluster, 99), 10)
    assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 3 * jobs, 30), "the jobs did not start"
    return cluster


def on_machines(cluster: Cluster, number: int) -> int:
    return sum(task.startswith(job_name(number)) for task in cluster.cloud.active_tasks())


def leader_and_others(cluster: Cluster) -> tuple[str, list[str]]:
    leader = cluster.leader()
    assert leader is not None
    return leader, [name for name in NODE_NAMES if name != leader]


# -- the state service refuses the leader alone, another controller cancels, then nobody has the state service -------


async def _cancelled_behind_its_back(cancel_s: float, *, links: bool, direct: bool) -> None:
    cluster = await started(cancel_s, jobs=3)
    clock = asyncio.get_running_loop().time
    span = authority_duration(WorkerFacts(report_s=0.3, lease_s=LEASE_S, cancel_s=cancel_s)).total_seconds()
    try:
        for number in (1, 2):  # twice in a row, the second time perhaps with another leader
            leader, others = leader_and_others(cluster)
            for worker in cluster.cloud.workers.values():
                worker.receives_no_commands = not direct
            cluster.state.refused_nodes = {leader}
            cluster.isolated = set() if links else set(NODE_NAMES)
            await asyncio.sleep(0.4)
            status, body = await cluster.request(others[0], "POST", f"/v1/jobs/{job_name(number)}/abort", b"")
            confirmed = clock()
            assert (status, body["Status"]) == (200, "aborted")
            cluster.state.down = True

            # What is not cancelled runs on for as long as it may.
            await asyncio.sleep(max(span - 0.5, 0))
            assert on_machines(cluster, 3) == 3
            if links:  # its peers tell the leader at once
                assert span < 1 or cluster.cloud.last_task_ended[job_name(number)] - confirmed < 1
            await asyncio.sleep(confirmed + 1.5 * cancel_s + LEASE_S - clock())
            assert on_machines(cluster, number) == 0
            assert cluster.cloud.last_task_ended[job_name(number)] - confirmed < cancel_s

            cluster.state.down, cluster.state.refused_nodes, cluster.isolated = False, set(), set()
            assert await wait_until(lambda: on_machines(cluster, 3) == 3, 30), "the other work did not go on"
            await asyncio.sleep(5)
        assert on_machines(cluster, 1) == on_machines(cluster, 2) == 0
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize("direct", [True, False], ids=["direct stops arrive", "direct stops are lost"])
@pytest.mark.parametrize("links", [True, False], ids=["links up", "links refused"])
@pytest.mark.parametrize("cancel_s", [5.0, 6.5, 12.0])
def test_cancelled_while_the_leader_is_refused_then_an_outage(cancel_s: float, links: bool, direct: bool) -> None:
    run_simulated(_cancelled_behind_its_back(cancel_s, links=links, direct=direct))


def test_the_same_where_the_leader_goes_on_for_far_longer_than_a_lease() -> None:
    run_simulated(_cancelled_behind_its_back(60.0, links=False, direct=False))


# -- a zone is lost, and the leader with it -----------------------------------------------------------------------


async def _leader_lost_with_a_zone() -> None:
    # The leader is cut off from everything but one machine, which has room for what runs on the other; its
    # authority lasts for far longer than a lease.
    cluster = await started(60, jobs=1)
    try:
        leader, others = leader_and_others(cluster)
        inside, outside = sorted(
            (worker for worker in cluster.cloud.workers.values() if worker.tasks), key=lambda w: len(w.tasks)
        )
        cluster.state.refused_nodes, cluster.isolated = {leader}, {leader}
        inside.reachable_nodes, outside.reachable_nodes = {leader}, set(others)
        assert await wait_until(lambda: cluster.leader() in others, 20), "nobody took the term"
        assert await wait_until(lambda: outside.node == cluster.leader(), 10), "its workers did not find it"
        await asyncio.sleep(3 * LEASE_S)  # silent to the leader in the zone for longer than a lease
        assert not cluster.violations
        assert outside.session == 1

        cluster.state.refused_nodes, cluster.isolated = set(), set()
        inside.reachable_nodes, outside.reachable_nodes = set(NODE_NAMES), set(NODE_NAMES)
        await asyncio.sleep(30)
        assert len(cluster.cloud.active_tasks()) == 3
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_a_leader_lost_with_a_zone_starts_nothing_that_runs_under_its_successor() -> None:
    """bench/days/zone-lost-vatuloa: 557 tasks ran in two places at once."""
    run_simulated(_leader_lost_with_a_zone())


# -- a leader with nothing but its workers and its users; jobs are cancelled through the new one --------------------


async def _cancelled_through_the_new_leader() -> None:
    cluster = await started(12, jobs=2)
    clock = asyncio.get_running_loop().time
    try:
        leader, others = leader_and_others(cluster)
        cluster.state.refused_nodes, cluster.isolated = {leader}, {leader}
        cluster.cloud.down = True  # nor can the new one give them back: only their leases are left
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes, worker.receives_no_commands = {leader}, True  # they can't be told of it either
        assert await wait_until(lambda: cluster.leader() in others, 20), "nobody took the term"
        status, body = await cluster.request(others[0], "POST", "/v1/jobs/wk-000001/abort", b"")
        confirmed = clock()
        assert (status, body["Status"]) == (200, "aborted")
        while clock() < confirmed + 12:  # what its users are told there is never older than that
            for method, path in (("GET", "/v1/jobs/wk-000001"), ("POST", "/v1/jobs")):
                status, _ = await cluster.request(leader, method, path, job(1) if method == "POST" else None)
                assert status in (0, 503)
            await asyncio.sleep(0.5)
        assert cluster.cloud.last_task_ended["wk-000001"] - confirmed < 12
        assert on_machines(cluster, 1) == 0

        cluster.state.refused_nodes, cluster.isolated, cluster.cloud.down = set(), set(), False
        for worker in cluster.cloud.workers.values():
            worker.reachable_nodes, worker.receives_no_commands = set(NODE_NAMES), False
        assert await wait_until(lambda: on_machines(cluster, 2) == 3, 30), "the other job did not go on"
        assert (await cluster.request(leader, "GET", "/v1/jobs/wk-000001"))[1]["Status"] == "aborted"
        assert on_machines(cluster, 1) == 0
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_cancelled_through_the_new_leader_while_the_old_one_keeps_workers_and_users() -> None:
    run_simulated(_cancelled_through_the_new_leader())


# -- a leader ends -------------------------------------------------------------------------------------------------


async def _ends_while_machines_hear_nothing(*, deaf: bool, cut: bool) -> None:
    """Long tasks on a machine that its successor's answers don't reach, or that can't be reached at all."""
    cluster = await started(12, jobs=2, spare=True)
    try:
        leader, _ = leader_and_others(cluster)
        lost = next(worker for worker in cluster.cloud.workers.values() if worker.tasks)
        lost.receives_nothing, lost.receives_no_commands, lost.reachable_nodes = (
            deaf,
            True,
            set() if cut else set(NODE_NAMES),
        )
        await cluster.restart(leader, 0.5)
        await asyncio.sleep(30)  # past its lease its work is done elsewhere
        assert len(cluster.cloud.active_tasks()) == 6
        lost.receives_nothing, lost.receives_no_commands, lost.reachable_nodes = False, False, set(NODE_NAMES)
        await asyncio.sleep(20)
        assert len(cluster.cloud.active_tasks()) == 6
        assert not cluster.violations
    finally:
        await cluster.stop()


@pytest.mark.parametrize(("deaf", "cut"), [(True, False), (False, True)], ids=["it hears nothing", "it is cut off"])
def test_a_leader_ends_while_a_machine_with_long_tasks_is_out_of_reach(deaf: bool, cut: bool) -> None:
    run_simulated(_ends_while_machines_hear_nothing(deaf=deaf, cut=cut))


async def _far_apart() -> None:
    """Tasks of one job that end 20 s apart; the leader ends between each two of them, and so does the claimant."""
    cluster = Cluster(3600, 12, clock=SimulatedClock())
    cluster.cloud.run_seconds_by_task = {"wk-000001/0": 3.0, "wk-000001/1": 14.0, "wk-000001/2": 25.0}
    cluster.start()
    try:
        assert await wait_until(lambda: cluster.submit_job("n0", 1), 10)
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 3, 30)
        for _ in range(2):
            done = len(cluster.cloud.done_tasks.get("wk-000001", ()))
            assert await wait_until(lambda done=done: len(cluster.cloud.done_tasks.get("wk-000001", ())) > done, 30)
            await asyncio.sleep(1)  # it is reported, and waits for others of its job before it is in the record
            for name in NODE_NAMES:
                await cluster.restart(name, 0.2)
            assert await wait_until(lambda: cluster.leader() is not None, 10)
        told = None
        while told != "done":
            await asyncio.sleep(0.5)
            status, body = await cluster.request("n1", "GET", "/v1/jobs/wk-000001")
            told = body["Status"] if status == 200 else None
            assert told != "done" or len(cluster.cloud.done_tasks["wk-000001"]) == 3, "done too early"
        assert dict(cluster.cloud.start_counts) == {f"wk-000001/{number}": 1 for number in range(3)}, "run again"
    finally:
        await cluster.stop()


def test_tasks_that_end_far_apart_across_changes_of_the_leader() -> None:
    run_simulated(_far_apart())


async def _one_returns() -> None:
    """All end; one is back within a fraction of a second, and hands over to the others and back as they end."""
    cluster = await started(12, jobs=2, spare=True)
    try:
        sessions = {name: worker.session for name, worker in cluster.cloud.workers.items() if worker.tasks}
        for name in NODE_NAMES:
            await cluster.kill(name)
        await asyncio.sleep(0.4)
        cluster.start_node("n1")
        assert await wait_until(lambda: cluster.nodes["n1"][0]._term_manager.is_dispatching(), 4), (
            "the one that is back commands not"
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


def test_all_end_and_one_returns_and_they_hand_over_and_back() -> None:
    run_simulated(_one_returns())


# -- what comes late -----------------------------------------------------------------------------------------------


async def _late(*, reports: bool, answers: bool, orders: bool, run_seconds: float = 3.0) -> None:
    """For 40 s all of it comes late, while the leader ends and jobs are cancelled and done."""
    cluster = Cluster(run_seconds, 12, clock=SimulatedClock())
    cluster.start()
    late = iter(range(1_000_000))
    cluster.cloud.duplicate_delay = lambda: 2 + next(late) * 0.7 % 11 if reports else 0.0
    try:
        for number in range(1, 9):
            assert await wait_until(lambda number=number: cluster.submit_job("n0", number), 10)
            for worker in cluster.cloud.workers.values():
                worker.command_delay_s = 5.0 if orders else 0.0
                worker.answer_delay = (lambda: next(late) * 1.3 % 6) if answers else (lambda: 0.0)
            await asyncio.sleep(5)
            if number in (3, 6):
                leader, _ = leader_and_others(cluster)
                await cluster.restart(leader, 0.3)
            if number in (4, 7):
                assert await wait_until(lambda number=number: _cancelled(cluster, number), 20)
        cluster.cloud.duplicate_delay = lambda: 0.0
        for worker in cluster.cloud.workers.values():
            worker.command_delay_s, worker.answer_delay = 0.0, lambda: 0.0
        for number in (1, 2, 3, 5, 6, 8):
            assert await wait_until(lambda number=number: _done(cluster, number), 40), f"job {number} is not done"
        assert not cluster.violations
    finally:
        await cluster.stop()


async def _cancelled(cluster: Cluster, number: int, node: str = "n1") -> bool:
    status, body = await cluster.request(node, "POST", f"/v1/jobs/{job_name(number)}/abort", b"")
    if status == 200 and body["Status"] == "aborted":
        cluster.cloud.cancelled_at.setdefault(job_name(number), asyncio.get_running_loop().time())
    return status == 200


async def _done(cluster: Cluster, number: int) -> bool:
    status, body = await cluster.request("n1", "GET", f"/v1/jobs/{job_name(number)}")
    return status == 200 and body["Status"] == "done"


@pytest.mark.parametrize("what", ["reports", "answers", "orders"])
def test_what_comes_late_of_machines_that_go_on(what: str) -> None:
    run_simulated(_late(reports=what == "reports", answers=what == "answers", orders=what == "orders"))


# Which transactions are carried out late; the job's status tells what is done to its record.
KINDS = {
    "submission": ("gs/j/", "pending", 0),
    "claim": ("gs/j/", "running", 0),
    "result": ("gs/j/", "done", 0),
    "sweep or release": ("gs/j/", "pending", 1),
    "cancellation": ("gs/j/", "aborted", 0),
    "term": ("gs/term", "", 0),
    "session": ("gs/n/", "", 0),
    "sign of life": ("gs/b/", "", 0),
    "roster": ("gs/r/", "", 0),
}


def _is(kind: str, writes: list[dict[str, Any]]) -> bool:
    prefix, status, attempt = KINDS[kind]
    return any(
        write.get("Put", "").startswith(prefix)
        and (not status or write["Data"]["status"] == status)
        and write["Data"].get("attempt", 0) >= attempt
        for write in writes
    )


async def _late_transactions(kind: str) -> None:
    """Every other one of a kind has no answer and is carried out 2 to 12 s later, after newer ones."""
    cluster = Cluster(6.0, 12, clock=SimulatedClock())
    seen = 0

    def late(writes: list[dict[str, Any]]) -> float:
        nonlocal seen
        seen += _is(kind, writes)
        if kind == "roster":  # far enough apart for other machines to come between
            return 9.0 if _is(kind, writes) and seen % 2 else 0.0
        return 2.0 + seen * 1.7 % 10 if _is(kind, writes) and seen % 2 else 0.0

    cluster.state.commit_delay = late
    if kind == "session":
        cluster.session_ttl_s = 12.0  # else the lease of the one that comes late is over, which is proof enough
    cluster.start()
    try:
        for number in range(1, 6):
            assert await wait_until(lambda number=number: cluster.submit_job("n0", number), 30), (
                "a job was not accepted"
            )
        await asyncio.sleep(2)
        cluster.isolated = set(NODE_NAMES)  # signs of life are written
        await asyncio.sleep(5)
        cluster.isolated = set()
        assert await wait_until(lambda: cluster.submit_job("n0", 9), 30)
        await asyncio.sleep(2)
        await cluster.kill("n0")  # which has claimed what it accepted; it may be the leader as well
        await asyncio.sleep(6)  # its session lapses, its records are swept
        cluster.start_node("n0")
        for number in range(6, 9):
            assert await wait_until(lambda number=number: cluster.submit_job("n1", number), 30), (
                "a job was not accepted"
            )
        assert await wait_until(lambda: _cancelled(cluster, 8), 30)
        for number in (*range(1, 8), 9):
            assert await wait_until(lambda number=number: _done(cluster, number), 60), f"job {number} is not done"
        assert seen, "there was none of the kind"
        cluster.state.commit_delay = lambda writes: 0.0
        await asyncio.sleep(15)  # the last of them is carried out
        assert all([await _done(cluster, number) for number in range(1, 8)])
        assert not cluster.violations
        assert cluster.dispatching_nodes() == [cluster.leader()]
    finally:
        await cluster.stop()


@pytest.mark.parametrize("kind", KINDS)
def test_a_transaction_without_an_answer_is_carried_out_after_newer_ones(kind: str) -> None:
    run_simulated(_late_transactions(kind))


async def _accepted_soon() -> None:
    cluster = await started(12, jobs=0)
    clock = asyncio.get_running_loop().time
    late: list[str] = []

    def first_of_each(writes: list[dict[str, Any]]) -> float:
        if not _is("submission", writes) or writes[0]["Put"] in late:
            return 0.0
        late.append(writes[0]["Put"])
        return 6.0

    cluster.state.commit_delay = first_of_each
    try:
        await asyncio.sleep(2)
        for number in range(1, 6):
            began = clock()
            status, body = await cluster.request("n1", "POST", "/v1/jobs", job(number))
            assert (status, body["Status"]) == (201, "pending")
            assert clock() - began < 0.6
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 15, 10), "the jobs did not start"
        await asyncio.sleep(8)
        assert len(late) == 5
        assert set(cluster.cloud.start_counts.values()) == {1}
        assert not cluster.violations
    finally:
        await cluster.stop()


def test_a_submission_whose_transaction_has_no_answer_is_said_again_soon() -> None:
    """bench/days/late-writes: 0.58 of the submissions were accepted within a second."""
    run_simulated(_accepted_soon())
