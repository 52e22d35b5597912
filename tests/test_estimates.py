"""Run times predicted from users' estimates and from the observed run times of a class."""

from datetime import timedelta

import pytest

from gingerspar.coordination.cluster.estimates import Estimates
from gingerspar.protocol.messages import MAX_DURATION_S, MIN_DURATION_S, JobSpec, Priority, Shape


def _spec(number: int, estimate: float) -> JobSpec:
    return JobSpec(f"wk-{number:06d}", "c", "red", Shape.ARRAY, Priority.NORMAL, 4, 1.0, 1.0, estimate_s=estimate)


def _estimates_after_jobs(*estimates: float) -> Estimates:
    history = Estimates()
    for number, estimate in enumerate(estimates):
        history.add_job(_spec(number, estimate))
    return history


def _predicted_s(history: Estimates, estimate: float) -> float:
    return history.run_time(_spec(99, estimate)).total_seconds()


def test_unusual_estimate_counts_for_less_from_the_first_job_on() -> None:
    """vatuloa-grep-grown steady: one job's unrealistic estimate had twenty expensive machines rented for it."""
    history = _estimates_after_jobs(40.0, 40.0, 40.0, 320.0)
    assert _predicted_s(history, 40.0) == pytest.approx(51.9, abs=0.1)
    assert _predicted_s(history, 320.0) == pytest.approx(146.7, abs=0.1)


def test_observed_run_times_outweigh_estimates() -> None:
    history = _estimates_after_jobs(40.0, 60.0, 80.0)
    for _ in range(300):
        for estimate in (40.0, 60.0, 80.0):
            history.add_run_time(_spec(1, estimate), timedelta(seconds=30))
    assert _predicted_s(history, 40.0) == pytest.approx(30.0, abs=2)
    assert _predicted_s(history, 80.0) == pytest.approx(30.0, abs=2)


def test_accurate_estimates_are_trusted() -> None:
    history = _estimates_after_jobs(20.0, 200.0)
    for _ in range(500):
        history.add_run_time(_spec(1, 20.0), timedelta(seconds=20))
        history.add_run_time(_spec(2, 200.0), timedelta(seconds=200))
    assert _predicted_s(history, 20.0) == pytest.approx(20.0, abs=2)
    assert _predicted_s(history, 200.0) == pytest.approx(200.0, abs=20)


def test_no_prediction_without_an_estimate_or_a_known_class() -> None:
    history = _estimates_after_jobs(40.0)
    other = JobSpec("wk-000007", "d", "red", Shape.ARRAY, Priority.NORMAL, 1, 1.0, 1.0, estimate_s=7.0)
    assert history.run_time(other) == timedelta(seconds=7)
    assert _predicted_s(history, 0.0) == 300.0


def test_predictions_stay_within_the_range_of_durations() -> None:
    """A prediction beyond the largest duration ended in an error for every job of the class."""
    history = _estimates_after_jobs(1e-300)
    for _ in range(200):
        history.add_run_time(_spec(0, 1e-300), timedelta(days=300))
    for estimate in (1e-300, 1.0, 1e12):
        assert MIN_DURATION_S <= _predicted_s(history, estimate) <= MAX_DURATION_S
