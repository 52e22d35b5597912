"""Start deadline: every job starts in time, including the largest ones.

Job order, team limits and capacity reserved for other jobs can keep one job waiting for as long as an overload
lasts: a few large jobs behind many small ones, a job that is late behind jobs that may be in time, routine work
behind urgent work. The operators require that each job starts within four minutes. So a job that has not started
after ``START_PRIORITY_AFTER`` goes before all others, with the smallest number of tasks that makes it start:
one task of an array or a service; all tasks of a gang, which can only start whole, and only if the gang is among
the largest of its class.
"""

from datetime import timedelta

from sortedcontainers import SortedList

from gingerspar.coordination.cluster.machine import resource_weight
from gingerspar.protocol.messages import JobSpec

# After submission of the job; the rest of the four minutes is for making capacity free and fetching the image.
START_PRIORITY_AFTER = timedelta(seconds=120)
START_TARGET = timedelta(minutes=4)  # after submission
# How long a job has to have been waiting in this term: by then most machines have reported what runs on them.
RUNNING_TASKS_KNOWN_AFTER = timedelta(seconds=20)
LARGEST_SHARE = 0.1  # share of a class's jobs that are its largest, by tasks or by work; at least one job
MAX_JOBS_PER_CLASS = 2000  # sizes that are kept for each class

Size = tuple[float, float, str]


class LargestJobs:
    """The sizes of the jobs of each class, as far as they are known in this term."""

    def __init__(self) -> None:
        self._by_tasks: dict[str, SortedList[Size]] = {}
        self._by_work: dict[str, SortedList[Size]] = {}

    def add(self, spec: JobSpec) -> None:
        """Adds the sizes of a submitted job."""
        tasks, work = _sizes(spec)
        for sizes, size in ((self._by_tasks, tasks), (self._by_work, work)):
            known = sizes.setdefault(spec.jobclass, SortedList())
            if size not in known:
                known.add(size)
            if len(known) > MAX_JOBS_PER_CLASS:
                del known[len(known) // 2]  # from the middle: the list is kept for its two ends

    def contains(self, spec: JobSpec) -> bool:
        """Returns whether a job is one of the largest of its class; if all are of one size, none is."""
        tasks, work = _sizes(spec)
        known = ((self._by_tasks.get(spec.jobclass), tasks), (self._by_work.get(spec.jobclass), work))
        return any(sizes is not None and _is_among_largest(sizes, size) for sizes, size in known)


def _is_among_largest(sizes: "SortedList[Size]", size: Size) -> bool:
    largest_count = max(1, round(len(sizes) * LARGEST_SHARE))
    return sizes.bisect_left(size) >= len(sizes) - largest_count and (len(sizes) == 1 or size[0] > sizes[0][0])


def _sizes(spec: JobSpec) -> tuple[Size, Size]:
    """Returns the size of a job by tasks first, and by work first."""
    work = spec.tasks * resource_weight(spec) * max(spec.estimate_s, 1.0)
    return (spec.tasks, work, spec.job), (work, spec.tasks, spec.job)
