"""The order in which jobs are claimed and placed, as far as it follows from their records."""

import math
from collections.abc import Iterable
from datetime import timedelta

from gingerspar.protocol.settings import Objective
from gingerspar.storage.records import JobRecord, Order

DELAY_PER_WORK_DOUBLING = timedelta(seconds=120)  # added to a job's submission time in the order


class JobOrder:
    """Orders jobs by priority, then earliest due, then submission time plus a delay for large jobs.

    The delay applies to jobs that have neither a deadline nor objectives of the operators for their
    class; many small jobs are then served before few large ones. A job comes after one with half
    its work that was submitted less than ``DELAY_PER_WORK_DOUBLING`` later. So a job with 64 times
    the work of the small jobs comes after those submitted up to six times that delay later, and
    before all that were submitted after that.

    kerlann-fonts-fleet loss: with four times as much rendering as there was capacity for, 0.37 of
    the jobs were done in the order of their submission, since most of the capacity went to the
    largest jobs.
    """

    def __init__(self, objectives: Iterable[Objective] = ()) -> None:
        self._classes_with_objectives = {objective.jobclass for objective in objectives if objective.jobclass}

    def key(self, record: JobRecord, remaining_tasks: int | None = None) -> Order:
        """Returns the sort key of the job.

        Work is the estimate times ``remaining_tasks``, the number of tasks not done yet; by default
        all tasks of the job count.
        """
        spec = record.spec
        if spec.due_s is not None or spec.jobclass in self._classes_with_objectives:
            return record.order
        rank, due, submitted, job = record.order
        work = max(1.0, (spec.tasks if remaining_tasks is None else remaining_tasks) * spec.estimate_s)
        return (rank, due, submitted + DELAY_PER_WORK_DOUBLING.total_seconds() * math.log2(work), job)
