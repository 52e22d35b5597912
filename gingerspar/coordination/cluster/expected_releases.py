"""When running tasks began, by sort of machine and job: what will probably come free when.

Planning asks once a second how much will be released within some span. With fifteen
thousand tasks running, going through them took as long as all the rest of planning; the
starts of one job's tasks, kept in order, answer with a search.
"""

from collections.abc import Callable
from datetime import timedelta

from sortedcontainers import SortedList

from gingerspar.coordination.cluster.machine import Placement, Usage
from gingerspar.coordination.cluster.pool import Offer
from gingerspar.protocol.messages import JobSpec


class RunTimes:
    """How long the tasks of each job probably run, worked out once for each."""

    def __init__(self, run_time: Callable[[JobSpec], timedelta]) -> None:
        self._run_time = run_time
        self._spans: dict[str, timedelta] = {}

    def of(self, spec: JobSpec) -> timedelta:
        span = self._spans.get(spec.job)
        if span is None:
            span = self._spans[spec.job] = self._run_time(spec)
        return span


class ExpectedReleases:
    """Starts of the tasks that run now."""

    def __init__(self) -> None:
        self._starts: dict[Offer, dict[str, tuple[JobSpec, SortedList[timedelta]]]] = {}

    def task_started(self, placement: Placement) -> None:
        """It runs; ``running_since`` stays as it is from now on."""
        jobs = self._starts.setdefault(_offer(placement), {})
        entry = jobs.get(placement.job)
        if entry is None:
            entry = jobs[placement.job] = (placement.spec, SortedList())
        entry[1].add(placement.running_since)

    def task_left(self, placement: Placement) -> None:
        """It is on its machine no more."""
        jobs = self._starts[_offer(placement)]
        starts = jobs[placement.job][1]
        starts.remove(placement.running_since)
        if not starts:
            del jobs[placement.job]

    def offers(self) -> list[Offer]:
        return [offer for offer, jobs in self._starts.items() if jobs]

    def released(self, offer: Offer, by: timedelta, spans: RunTimes) -> Usage:
        """What tasks there will have released ``by`` then; those past their estimate are about to end."""
        total = Usage()
        for spec, starts in self._starts[offer].values():
            count = starts.bisect_right(by - spans.of(spec))
            if count:
                total.add(spec, count)
        return total


def _offer(placement: Placement) -> Offer:
    machine = placement.machine
    return (machine.type, machine.zone, machine.spot)
