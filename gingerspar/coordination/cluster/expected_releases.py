"""Start times of running tasks, by offer and job, to predict how much capacity is released by when.

Fleet planning queries once a second how much will be released within a given duration. With
fifteen thousand tasks running, iterating over them took as long as all the rest of planning.
The start times of each job's tasks are therefore kept sorted, so that a query is a binary
search for each job.
"""

from collections.abc import Callable
from datetime import timedelta

from sortedcontainers import SortedList

from gingerspar.coordination.cluster.machine import Placement, Usage
from gingerspar.coordination.cluster.pool import Offer
from gingerspar.protocol.messages import JobSpec


class RunTimes:
    """Cache of the estimated run time of each job's tasks."""

    def __init__(self, estimate_run_time: Callable[[JobSpec], timedelta]) -> None:
        self._estimate_run_time = estimate_run_time
        self._run_times: dict[str, timedelta] = {}

    def of(self, spec: JobSpec) -> timedelta:
        run_time = self._run_times.get(spec.job)
        if run_time is None:
            run_time = self._run_times[spec.job] = self._estimate_run_time(spec)
        return run_time


class ExpectedReleases:
    """Start times of the tasks that run now."""

    def __init__(self) -> None:
        self._starts: dict[Offer, dict[str, tuple[JobSpec, SortedList[timedelta]]]] = {}

    def task_started(self, placement: Placement) -> None:
        """Adds a task that has started to run; its ``running_since`` must not change from now on."""
        jobs = self._starts.setdefault(_offer(placement), {})
        entry = jobs.get(placement.job)
        if entry is None:
            entry = jobs[placement.job] = (placement.spec, SortedList())
        entry[1].add(placement.running_since)

    def task_removed(self, placement: Placement) -> None:
        """Removes a task that has left its machine."""
        jobs = self._starts[_offer(placement)]
        starts = jobs[placement.job][1]
        starts.remove(placement.running_since)
        if not starts:
            del jobs[placement.job]

    def offers(self) -> list[Offer]:
        """The offers on whose machines tasks run."""
        return [offer for offer, jobs in self._starts.items() if jobs]

    def released(self, offer: Offer, by: timedelta, run_times: RunTimes) -> Usage:
        """The resources of tasks on machines of the offer that will probably have ended at time ``by``.

        Tasks that have run past their estimate count as about to end.
        """
        total = Usage()
        for spec, starts in self._starts[offer].values():
            count = starts.bisect_right(by - run_times.of(spec))
            if count:
                total.add(spec, count)
        return total


def _offer(placement: Placement) -> Offer:
    machine = placement.machine
    return (machine.type, machine.zone, machine.spot)
