"""A late copy of a start command that was carried out before must not start its task again.

Copies of every response, every direct command and every report arrive once more, some of them late, while a task is
moved, cancelled or finished and a controller or a machine comes back within a second. Workers behave as PROTOCOL says:
they drop a response later than 4 s after their report, of an earlier session or with a lower token, and carry out
direct commands whenever token and session match.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from typing import Any

import msgspec
import pytest

from gingerspar.coordination.leader import dispatcher as dispatcher_module
from gingerspar.coordination.leader.dispatcher import Dispatcher
from tests.standins.cloud import wait_until
from tests.standins.cluster import NODE_NAMES, Cluster, job
from tests.standins.simulated_time import SimulatedClock, run_simulated
from tests.standins.worker import LEASE_S, REPORT_TIMEOUT_S, Worker

FILLER, SUBJECT, SPARE = 1, 2, 3  # numbers of the jobs; the subject's start commands are copied
# Tasks of which two fill a machine. The spare ones end when the subject is moved, so that it soon starts elsewhere.
FILLER_TASKS, SPARE_TASKS = 3, 4
ANSWER_COPY_DELAYS_S = (0.05, 0.6, 1.2, 1.8, 2.4, 3.0, 3.6, REPORT_TIMEOUT_S + 0.5)
COMMAND_COPY_DELAYS_S = (0.3, 2.0, LEASE_S + 1.0)
RETURN_AFTER_S = 0.3  # a controller that has ended is back

Action = Callable[[Cluster, Worker], Awaitable[None]]


def _name(number: int) -> str:
    return f"wk-{number:06d}"


def _dispatcher(cluster: Cluster) -> Dispatcher:
    leader = cluster.leader()
    assert leader is not None
    runtime = cluster.nodes[leader][0]._term_manager.runtime
    assert runtime is not None
    return runtime.dispatcher


def _worker_of_subject(cluster: Cluster) -> Worker | None:
    for worker in cluster.cloud.workers.values():
        for (task, _), status in worker.tasks.items():
            if task.startswith(_name(SUBJECT)) and status["Status"] != "ended":
                return worker
    return None


def _end_tasks(worker: Worker, number: int, cause: str) -> None:
    for key in list(worker.tasks):
        if key[0].startswith(_name(number)):
            worker.end(key, cause)


# -- what happens to the task that was started -----------------------------------------------------------------------


async def _is_moved(cluster: Cluster, worker: Worker) -> None:
    """The leader takes the machine out of use and stops the task; another one goes on there, so the machine stays."""
    for other in list(cluster.cloud.workers.values()):
        _end_tasks(other, SPARE, "done")
    await asyncio.sleep(0.2)
    dispatcher = _dispatcher(cluster)
    machine = dispatcher.machines[worker.name]
    dispatcher.drain_machine(machine, "test")
    for placement in list(machine.live.values()):
        if placement.job == _name(SUBJECT):
            dispatcher.cluster_state.stop_task(placement, timedelta(0), SimulatedClock().now())


async def _is_cancelled(cluster: Cluster, worker: Worker) -> None:
    status, body = await cluster.request("n1", "POST", f"/v1/jobs/{_name(SUBJECT)}/abort", b"")
    assert (status, body["Status"]) == (200, "aborted")
    cluster.cloud.cancelled_at[_name(SUBJECT)] = asyncio.get_running_loop().time()


async def _is_finished(cluster: Cluster, worker: Worker) -> None:
    for other in list(cluster.cloud.workers.values()):
        _end_tasks(other, SUBJECT, "done")
    # A result that no controller has received is lost with the machine: its task is rightly started again.
    runs = _dispatcher(cluster).runs
    assert await wait_until(lambda: _name(SUBJECT) not in runs or runs[_name(SUBJECT)].finished.full, 3)


async def _fails(cluster: Cluster, worker: Worker) -> None:
    _end_tasks(worker, SUBJECT, "error")


# -- what comes back within a second ---------------------------------------------------------------------------------


async def _nothing(cluster: Cluster, worker: Worker) -> None:
    pass


async def _leader(cluster: Cluster, worker: Worker) -> None:
    await cluster.restart(cluster.leader() or NODE_NAMES[0], RETURN_AFTER_S)


async def _all_controllers(cluster: Cluster, worker: Worker) -> None:
    await asyncio.gather(*(cluster.restart(name, RETURN_AFTER_S) for name in NODE_NAMES))


async def _machine(cluster: Cluster, worker: Worker) -> None:
    worker.restart(reset_numbers=False)


async def _machine_with_new_numbers(cluster: Cluster, worker: Worker) -> None:
    worker.restart(reset_numbers=True)


EVENTS = {"moved": _is_moved, "cancelled": _is_cancelled, "finished": _is_finished, "failed": _fails}
RETURNS = {
    "nothing": _nothing, "leader": _leader, "all controllers": _all_controllers, "machine": _machine,
    "machine with new numbers": _machine_with_new_numbers,
}  # fmt: skip


async def _run(shape: str, event: Action, comes_back: Action, back_after_s: float) -> list[str]:
    """Returns violations, starts of the subject's tasks after its cancellation or their end, and repeated attempts."""
    cluster = Cluster(clock=SimulatedClock())
    cloud = cluster.cloud
    cloud.jobs[_name(SPARE)] = spare = job(SPARE, Pieces=SPARE_TASKS, GuessS=300.0)
    random = Random(back_after_s)
    cloud.jobs[_name(FILLER)] = filler = job(FILLER, Pieces=FILLER_TASKS, GuessS=300.0)
    cloud.jobs[_name(SUBJECT)] = subject = job(
        SUBJECT, Shape=shape, Pieces=2 if shape == "gang" else 1, GuessS=25.0, Urgency="urgent"
    )
    cluster.start()
    try:
        # The spare tasks fill their machines; the subject then joins the last filler.
        assert await wait_until(lambda: cluster.submit_job("n0", SPARE, **spare), 10)
        assert await wait_until(lambda: len(cloud.active_tasks()) == SPARE_TASKS, 30)
        assert await cluster.submit_job("n0", FILLER, **filler)
        assert await wait_until(lambda: len(cloud.active_tasks()) == SPARE_TASKS + FILLER_TASKS, 30)
        cloud.answer_copy_delays, cloud.command_copy_delays = ANSWER_COPY_DELAYS_S, COMMAND_COPY_DELAYS_S
        cloud.duplicate_delay = lambda: random.choice([0.1, 0.9, 2.0, 1.5 * LEASE_S])
        assert await cluster.submit_job("n1", SUBJECT, **subject)
        assert await wait_until(lambda: _worker_of_subject(cluster) is not None, 30)
        worker = _worker_of_subject(cluster)
        assert worker is not None
        await asyncio.sleep(0.1)  # the leader learns that the task runs
        await event(cluster, worker)
        await asyncio.sleep(back_after_s)
        await comes_back(cluster, worker)
        await asyncio.sleep(REPORT_TIMEOUT_S + 2 * LEASE_S)
        assert cloud.accepted_copies["answer"] > 0
        assert cloud.direct_verbs["run"] == 0, "executed late, a direct command would start what runs elsewhere"
        answers: list[Any] = [msgspec.json.decode(answer) for _, answer in cloud.answers_to_copies]
        assert not [order for answer in answers for order in answer["Orders"] if order["Verb"] == "run"]
        repeated = [f"{task} attempt {attempt} again" for (task, attempt), n in cloud.gang_starts.items() if n > 1]
        return [*cluster.violations, *cloud.starts_after_cancel, *cloud.starts_after_done, *repeated]
    finally:
        await cluster.stop()


def _run_simulated(*arguments: Any) -> list[str]:
    found: list[str] = []

    async def scenario() -> None:
        found.extend(await _run(*arguments))

    run_simulated(scenario())
    return found


@pytest.mark.parametrize("back_after_s", [0.0, 0.9])
@pytest.mark.parametrize("comes_back", RETURNS)
@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("shape", ["batch", "gang"])
def test_copied_start_starts_nothing_again(shape: str, event: str, comes_back: str, back_after_s: float) -> None:
    """A task ran on two machines, and a cancelled one ran again, after a copy of the answer that had started it."""
    assert _run_simulated(shape, EVENTS[event], RETURNS[comes_back], back_after_s) == []


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("shape", ["batch", "gang"])
def test_copies_start_tasks_again_if_attempts_are_forgotten_at_once(
    shape: str, event: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The test above fails for a leader that sends `forget` while a copy of the answer with `run` may arrive."""
    monkeypatch.setattr(dispatcher_module, "ANSWER_VALID_FOR", timedelta(0))
    assert _run_simulated(shape, EVENTS[event], _nothing, 0.0)
