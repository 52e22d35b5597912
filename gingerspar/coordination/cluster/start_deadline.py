"""That every job begins in time, the largest too.

Order, limits and room kept for others may leave one job waiting for as long as the rush lasts: few large
ones behind many small ones, one that is late behind those that may be in time, routine work behind urgent.
The operators ask that each begins within four minutes. So a job that has not begun after a stated time goes
before all others with the least that makes it begin: an array or a service with one task, a gang, which can
only begin whole, if it is among the largest of its class.
"""

from datetime import timedelta

from sortedcontainers import SortedList

from gingerspar.coordination.cluster.machine import resource_weight
from gingerspar.protocol.messages import JobSpec

START_PRIORITY_AFTER = timedelta(
    seconds=120
)  # after its submission; the rest of the four minutes is for room and its image
START_TARGET = timedelta(minutes=4)
RUNNING_TASKS_KNOWN_AFTER = timedelta(
    seconds=20
)  # in a term's books: by then most machines have said what runs on them
LARGEST = 0.1  # of a class, by tasks or by work; one at the least
MAX_JOBS_PER_CLASS = 2000  # jobs of one class

Size = tuple[float, float, str]


class LargestJobs:
    """The sizes of the jobs of each class, as far as this term knows them."""

    def __init__(self) -> None:
        self._by_tasks: dict[str, SortedList[Size]] = {}
        self._by_work: dict[str, SortedList[Size]] = {}

    def add(self, spec: JobSpec) -> None:
        """A job has come."""
        tasks, work = _sizes(spec)
        for sizes, size in ((self._by_tasks, tasks), (self._by_work, work)):
            known = sizes.setdefault(spec.jobclass, SortedList())
            if size not in known:
                known.add(size)
            if len(known) > MAX_JOBS_PER_CLASS:
                del known[len(known) // 2]  # neither end of the list is what it is kept for

    def contains(self, spec: JobSpec) -> bool:
        """Whether a job is one of the largest of its class; where all are alike none is."""
        tasks, work = _sizes(spec)
        known = ((self._by_tasks.get(spec.jobclass), tasks), (self._by_work.get(spec.jobclass), work))
        return any(sizes is not None and _on_top(sizes, size) for sizes, size in known)


def _on_top(sizes: "SortedList[Size]", size: Size) -> bool:
    top = max(1, round(len(sizes) * LARGEST))
    return sizes.bisect_left(size) >= len(sizes) - top and (len(sizes) == 1 or size[0] > sizes[0][0])


def _sizes(spec: JobSpec) -> tuple[Size, Size]:
    """By tasks first, and by work first."""
    work = spec.tasks * resource_weight(spec) * max(spec.estimate_s, 1.0)
    return (spec.tasks, work, spec.job), (work, spec.tasks, spec.job)
