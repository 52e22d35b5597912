"""Predicts run times of tasks from users' estimates, corrected by the observed run times of their class."""

import math
from datetime import timedelta

from gingerspar.coordination.cluster.machine import run_time
from gingerspar.protocol.messages import MAX_DURATION_S, MIN_DURATION_S, JobSpec

INITIAL_SLOPE = 0.5  # weight of an estimate's difference from the mean of its class before run times are observed
# Bounds of predictions, as logarithms of seconds: a regression extends beyond the run times that it is made from.
MIN_LOG_RUN_TIME = math.log(MIN_DURATION_S)
MAX_LOG_RUN_TIME = math.log(MAX_DURATION_S)
PRIOR_WEIGHT_TASKS = 30.0  # number of ended tasks at which their run times weigh as much as the initial line


class _ClassHistory:
    """Running statistics of one class; all estimates and run times are logarithms of seconds."""

    __slots__ = (
        "jobs",
        "mean_job_estimate",
        "mean_run_time",
        "mean_task_estimate",
        "sum_products",
        "sum_squares",
        "tasks",
    )

    def __init__(self) -> None:
        self.jobs = 0
        self.mean_job_estimate = 0.0  # mean over the jobs submitted
        self.tasks = 0
        self.mean_task_estimate = 0.0  # mean over the tasks that have ended
        self.mean_run_time = 0.0  # mean over the tasks that have ended
        self.sum_squares = 0.0  # of the tasks' estimates, around their mean
        self.sum_products = 0.0  # of the tasks' estimates and run times, around their means

    def add_job(self, estimate: float) -> None:
        self.jobs += 1
        self.mean_job_estimate += (estimate - self.mean_job_estimate) / self.jobs

    def add_task(self, estimate: float, run_time: float) -> None:
        self.tasks += 1
        deviation = estimate - self.mean_task_estimate
        self.mean_task_estimate += deviation / self.tasks
        self.mean_run_time += (run_time - self.mean_run_time) / self.tasks
        self.sum_squares += deviation * (estimate - self.mean_task_estimate)
        self.sum_products += deviation * (run_time - self.mean_run_time)

    def predict(self, estimate: float) -> float:
        """Predicts the run time by a linear regression over the ended tasks.

        With few ended tasks, most of the weight is on an initial line through the mean estimate of
        the class, with slope ``INITIAL_SLOPE``.
        """
        weight = self.tasks / (self.tasks + PRIOR_WEIGHT_TASKS)
        slope = INITIAL_SLOPE
        if self.sum_squares > 1e-9:
            slope += weight * (min(max(self.sum_products / self.sum_squares, 0.0), 1.0) - INITIAL_SLOPE)
        prior = self.mean_job_estimate + INITIAL_SLOPE * (estimate - self.mean_job_estimate)
        return (1 - weight) * prior + weight * (self.mean_run_time + slope * (estimate - self.mean_task_estimate))


class Estimates:
    """Predicts run times by class of jobs.

    An estimate that is far from the mean of its class is more often wrong than the job is unusual.
    """

    def __init__(self) -> None:
        self._classes: dict[str, _ClassHistory] = {}

    def add_job(self, spec: JobSpec) -> None:
        """Adds the estimate of a submitted job."""
        if spec.estimate_s > 0:
            self._classes.setdefault(spec.jobclass, _ClassHistory()).add_job(math.log(spec.estimate_s))

    def add_run_time(self, spec: JobSpec, duration: timedelta) -> None:
        """Adds the run time of a task of the job that has succeeded."""
        history = self._classes.get(spec.jobclass)
        if history is not None and spec.estimate_s > 0 and duration > timedelta(0):
            history.add_task(math.log(spec.estimate_s), math.log(duration.total_seconds()))

    def run_time(self, spec: JobSpec) -> timedelta:
        """The predicted run time of a task of the job; without an estimate or history, that of ``machine.run_time``."""
        history = self._classes.get(spec.jobclass)
        if history is None or spec.estimate_s <= 0:
            return run_time(spec)
        predicted = history.predict(math.log(spec.estimate_s))
        return timedelta(seconds=math.exp(min(max(predicted, MIN_LOG_RUN_TIME), MAX_LOG_RUN_TIME)))
