"""How long tasks run: users' estimates, corrected by what their class has been seen to do."""

import math
from datetime import timedelta

from gingerspar.coordination.cluster.machine import run_time
from gingerspar.protocol.messages import JobSpec

TRUST = 0.5  # of an estimate that is out of the common, before run times have been seen
TRUST_WEIGHT = 30.0  # tasks that it takes to change that by half


class _Seen:
    """Logarithms of the estimates and run times of one class."""

    __slots__ = ("estimate", "jobs", "pairs", "product", "ran", "square", "tasks")

    def __init__(self) -> None:
        self.jobs = 0
        self.estimate = 0.0  # mean over the jobs
        self.tasks = 0
        self.pairs = 0.0  # mean estimate over the tasks that have ended
        self.ran = 0.0  # mean run time
        self.square = 0.0  # summed squares of the estimates around their mean
        self.product = 0.0  # summed products of estimates and run times around their means

    def job(self, estimate: float) -> None:
        self.jobs += 1
        self.estimate += (estimate - self.estimate) / self.jobs

    def task(self, estimate: float, ran: float) -> None:
        self.tasks += 1
        off = estimate - self.pairs
        self.pairs += off / self.tasks
        self.ran += (ran - self.ran) / self.tasks
        self.square += off * (estimate - self.pairs)
        self.product += off * (ran - self.ran)

    def probable(self, estimate: float) -> float:
        """A straight line through what was seen; at first one through the usual estimate."""
        seen = self.tasks / (self.tasks + TRUST_WEIGHT)
        slope = TRUST
        if self.square > 1e-9:
            slope += seen * (min(max(self.product / self.square, 0.0), 1.0) - TRUST)
        first = self.estimate + TRUST * (estimate - self.estimate)
        return (1 - seen) * first + seen * (self.ran + slope * (estimate - self.pairs))


class Estimates:
    """By class. An estimate far from what is usual is more often wrong than the job unusual."""

    def __init__(self) -> None:
        self._classes: dict[str, _Seen] = {}

    def job(self, spec: JobSpec) -> None:
        """A job has come."""
        if spec.estimate_s > 0:
            self._classes.setdefault(spec.jobclass, _Seen()).job(math.log(spec.estimate_s))

    def task(self, spec: JobSpec, ran: timedelta) -> None:
        """One of its tasks has run to its end."""
        seen = self._classes.get(spec.jobclass)
        if seen is not None and spec.estimate_s > 0 and ran > timedelta(0):
            seen.task(math.log(spec.estimate_s), math.log(ran.total_seconds()))

    def run_time(self, spec: JobSpec) -> timedelta:
        """How long a task of the job probably runs."""
        seen = self._classes.get(spec.jobclass)
        if seen is None or spec.estimate_s <= 0:
            return run_time(spec)
        return timedelta(seconds=math.exp(seen.probable(math.log(spec.estimate_s))))
