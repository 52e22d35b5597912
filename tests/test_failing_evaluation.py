"""One job whose evaluation fails, or whose amounts are extreme, stops neither the other jobs nor what has finished."""

import logging
from datetime import timedelta
from typing import Any

import pytest

from gingerspar.coordination.jobs import claims
from gingerspar.coordination.jobs.claimed_resources import ClaimedResources
from gingerspar.coordination.jobs.claims import ClaimManager
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.machines import fleet
from gingerspar.coordination.placement import scoring
from gingerspar.coordination.placement.placer import Placer
from gingerspar.protocol import messages
from gingerspar.protocol.messages import JobSpec
from tests.standins.cloud import wait_until
from tests.standins.cluster import Cluster, job
from tests.standins.simulated_time import SimulatedClock, run_simulated

ODD_JOB = "wk-000002"
EXTREME_AMOUNTS = {
    "estimate near zero": {"GuessS": 2e-7},
    "estimate of the smallest number": {"GuessS": 5e-324},
    "estimate of the largest number": {"GuessS": 1e12},
    "deadline near zero": {"DueS": 1e-300},
    "distant deadline": {"DueS": 1e12},
    "processors near zero": {"Cpus": 5e-324},
    "accelerators near zero": {"Cpus": 5e-324, "Cards": 5e-324},
    "memory near zero": {"Cpus": 0.0, "MemoryGb": 5e-324},
    "huge image": {"ImageGb": 1e12},
    "saves without end": {"SaveEveryS": 5e-324, "SaveTookS": 1e12},
}


async def _run_beside_odd_job(*, expects_errors: bool = False, **odd: Any) -> None:
    """Runs an array and a later job beside a job that is accepted or rejected; only these two must be done.

    The odd job is urgent, so that it comes first in the order, and preempts tasks of the array.
    """
    cluster = Cluster(run_seconds=6.0, clock=SimulatedClock())
    cluster.expects_errors = expects_errors
    cluster.start()
    try:
        assert await wait_until(lambda: cluster.submit_job("n0", 1, Pieces=6), 10)
        assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 6, 30)
        # In the class of the others: their run times are predicted from its estimate, too.
        odd_job = job(2, Pieces=1, Shape="gang", SamePlace=True, Urgency="urgent", **odd)
        cluster.cloud.jobs[ODD_JOB] = {**odd_job, "GuessS": 1.0}
        status, _ = await cluster.request("n1", "POST", "/v1/jobs", odd_job)
        assert status in (201, 400, 422)
        assert await wait_until(lambda: cluster.submit_job("n0", 3, DueS=600.0), 10)

        async def others_done() -> bool:
            answers = [await cluster.request("n1", "GET", f"/v1/jobs/wk-{number:06d}") for number in (1, 3)]
            return [body["Status"] for status, body in answers if status == 200] == ["done", "done"]

        assert await wait_until(others_done, 60), "the other jobs wait"
        assert not cluster.violations
        assert await wait_until(lambda: cluster.request("n2", "POST", f"/v1/jobs/{ODD_JOB}/abort", b""), 10)
        assert await wait_until(lambda: not cluster.cloud.workers, 60), "machines were not returned to the cloud"
    finally:
        await cluster.stop()


@pytest.mark.parametrize("amounts", EXTREME_AMOUNTS)
def test_extreme_amounts_of_one_job_stop_no_other_job(amounts: str) -> None:
    """An estimate of 2e-7 s made each placement pass fail: nothing started, and no task was recorded (review/3)."""
    run_simulated(_run_beside_odd_job(**EXTREME_AMOUNTS[amounts]))


def _fail_for_odd_job(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str) -> None:
    """Lets a function fail whenever one of its arguments is, or belongs to, the odd job."""
    original = getattr(owner, name)

    def fails(*args: Any, **kwargs: Any) -> Any:
        args_and_records = [*args, *(getattr(argument, "record", None) for argument in args)]
        specs = [value if isinstance(value, JobSpec) else getattr(value, "spec", None) for value in args_and_records]
        if any(isinstance(spec, JobSpec) and spec.job == ODD_JOB for spec in specs) or ODD_JOB in args:
            raise ArithmeticError("a fault in the evaluation of one job")
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, fails)


STEPS = {
    "placement": (Placer, "_place_run", "placement"),
    "scoring": (scoring, "choose_machines", "placement"),
    "rentals": (fleet._Plan, "add_run", "planning of rentals"),
    "record": (Dispatcher, "set_record", "applying the record"),
    "claim": (ClaimedResources, "over_limit", "claiming"),
    "results": (claims, "with_results", "recording of results"),
}


@pytest.mark.parametrize("step", STEPS)
def test_job_whose_evaluation_fails_stops_no_other_job(
    step: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """An error in the evaluation of one job ended the pass for all, or the controller (review/3)."""
    owner, name, logged = STEPS[step]
    _fail_for_odd_job(monkeypatch, owner, name)
    with caplog.at_level(logging.ERROR):
        run_simulated(_run_beside_odd_job(expects_errors=True))
    messages_logged = [record.getMessage() for record in caplog.records]
    assert any(logged in text and ODD_JOB in text and "times" in text for text in messages_logged), messages_logged


def test_controllers_go_on_after_an_error_in_a_background_loop(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Any error that a background loop did not handle ended the controller, and the next process, and all others."""
    errors = iter(range(5))
    original = ClaimManager._next_claims

    def fail_at_first(manager: ClaimManager, now: timedelta) -> Any:
        if next(errors, None) is not None:
            raise ArithmeticError("a fault in a background loop")
        return original(manager, now)

    monkeypatch.setattr(ClaimManager, "_next_claims", fail_at_first)

    async def run() -> None:
        cluster = Cluster(run_seconds=3.0, clock=SimulatedClock())
        cluster.expects_errors = True
        cluster.start()
        try:
            assert await wait_until(lambda: cluster.submit_job("n0", 1), 10)
            assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 3, 30), "the job does not start"
            assert not any(task.done() for _, task in cluster.nodes.values())
        finally:
            await cluster.stop()

    with caplog.at_level(logging.ERROR):
        run_simulated(run())
    assert "loop of claims failed, 1 times so far" in caplog.text


def test_step_that_fails_keeps_no_other_step_from_running(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """While placement failed, no claimant was notified of finished tasks, so that no job became done (review/3)."""

    async def finish_while_placement_fails() -> None:
        cluster = Cluster(run_seconds=3.0, clock=SimulatedClock())
        cluster.start()
        try:
            assert await wait_until(lambda: cluster.submit_job("n0", 1), 10)
            assert await wait_until(lambda: len(cluster.cloud.active_tasks()) == 3, 30)

            def fail(placer: Placer, now: timedelta) -> bool:
                raise ArithmeticError("a fault in placement")

            monkeypatch.setattr(Placer, "place", fail)

            async def is_done() -> bool:
                status, body = await cluster.request("n1", "GET", "/v1/jobs/wk-000001")
                return status == 200 and body["Status"] == "done"

            assert await wait_until(is_done, 20), "a finished job is not called done"
        finally:
            await cluster.stop()

    with caplog.at_level(logging.ERROR):
        run_simulated(finish_while_placement_fails())
    assert "placement failed, 1 times so far" in caplog.text


@pytest.mark.parametrize("amounts", EXTREME_AMOUNTS)
def test_amounts_are_brought_into_the_range_of_calculations(amounts: str) -> None:
    spec = messages.parse_job(job(1, **EXTREME_AMOUNTS[amounts]))
    for value in (spec.cpus, spec.gpus, spec.memory_gb):
        assert value == 0 or value >= messages.MIN_RESOURCE_AMOUNT
    for value in (spec.estimate_s, spec.checkpoint_s, spec.save_s, spec.due_s or 0.0):
        assert value == 0 or messages.MIN_DURATION_S <= value <= messages.MAX_DURATION_S
    assert messages.decode(JobSpec, messages.encode(spec)) == spec


def test_ordinary_amounts_are_kept() -> None:
    spec = messages.parse_job(job(1, Cpus=0.25, Cards=0.5, MemoryGb=0.1, GuessS=0.0, DueS=None, ImageGb=6.2))
    assert (spec.cpus, spec.gpus, spec.memory_gb, spec.estimate_s) == (0.25, 0.5, 0.1, 0.0)
    assert (spec.due_s, spec.image_gb) == (None, 6.2)
