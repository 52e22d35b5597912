"""Whose turn it is among jobs of one priority, as far as their records tell."""

import math
from collections.abc import Iterable
from datetime import timedelta

from gingerspar.protocol.settings import Objective
from gingerspar.storage.records import JobRecord, Order

PER_DOUBLING = timedelta(seconds=120)


class JobOrder:
    """Priority, then earliest due, then the turn.

    Where nobody says when a job should be done, neither its deadline nor the operators' objectives
    for its class, many small jobs are served before few large ones: a job gives way to one with
    half its work that came less than ``PER_DOUBLING`` later. So a job with 64 times the work of
    the small ones waits six times as long for them at the most, and then goes first.

    kerlann-fonts-fleet loss: with four times the rendering that there was room for, 0.37 of the
    jobs were done in the order of their submission, since most of the room went to the largest.
    """

    def __init__(self, objectives: Iterable[Objective] = ()) -> None:
        self._asked = {objective.jobclass for objective in objectives if objective.jobclass}

    def key(self, record: JobRecord, left: int | None = None) -> Order:
        """``left``: tasks that are not done yet, if that is known better than by the record."""
        spec = record.spec
        if spec.due_s is not None or spec.jobclass in self._asked:
            return record.order
        rank, due, submitted, job = record.order
        work = max(1.0, (spec.tasks if left is None else left) * spec.estimate_s)
        return (rank, due, submitted + PER_DOUBLING.total_seconds() * math.log2(work), job)
