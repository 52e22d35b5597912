"""Users' estimates against what a class has been seen to do."""

from datetime import timedelta

import pytest

from gingerspar.coordination.cluster.estimates import Estimates
from gingerspar.protocol.messages import JobSpec, Priority, Shape


def _spec(number: int, estimate: float) -> JobSpec:
    return JobSpec(f"wk-{number:06d}", "c", "red", Shape.ARRAY, Priority.NORMAL, 4, 1.0, 1.0, estimate_s=estimate)


def _seen(*estimates: float) -> Estimates:
    known = Estimates()
    for number, estimate in enumerate(estimates):
        known.add_job(_spec(number, estimate))
    return known


def _predicts(known: Estimates, estimate: float) -> float:
    return known.run_time(_spec(99, estimate)).total_seconds()


def test_an_odd_estimate_counts_for_less_from_the_first_job_on() -> None:
    """vatuloa-grep-grown steady: one job's wild estimate had twenty dear machines rented for it."""
    known = _seen(40.0, 40.0, 40.0, 320.0)
    assert _predicts(known, 40.0) == pytest.approx(51.9, abs=0.1)
    assert _predicts(known, 320.0) == pytest.approx(146.7, abs=0.1)


def test_run_times_that_were_seen_outweigh_estimates() -> None:
    known = _seen(40.0, 60.0, 80.0)
    for _ in range(300):
        for estimate in (40.0, 60.0, 80.0):
            known.add_run_time(_spec(1, estimate), timedelta(seconds=30))
    assert _predicts(known, 40.0) == pytest.approx(30.0, abs=2)
    assert _predicts(known, 80.0) == pytest.approx(30.0, abs=2)


def test_estimates_that_hold_are_believed() -> None:
    known = _seen(20.0, 200.0)
    for _ in range(500):
        known.add_run_time(_spec(1, 20.0), timedelta(seconds=20))
        known.add_run_time(_spec(2, 200.0), timedelta(seconds=200))
    assert _predicts(known, 20.0) == pytest.approx(20.0, abs=2)
    assert _predicts(known, 200.0) == pytest.approx(200.0, abs=20)


def test_nothing_is_made_up_for_services_and_unknown_classes() -> None:
    known = _seen(40.0)
    other = JobSpec("wk-000007", "d", "red", Shape.ARRAY, Priority.NORMAL, 1, 1.0, 1.0, estimate_s=7.0)
    assert known.run_time(other) == timedelta(seconds=7)
    assert _predicts(known, 0.0) == 300.0
