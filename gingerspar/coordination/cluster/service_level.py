"""How far each class of jobs is served, and what a class that falls far behind gets.

Priority says who goes first, and with more urgent work than room it leaves routine work nothing at all.
The operators count a day as failed on which less than half of any class is served. So a class that has
fallen far behind gets a stated, small share of the machines that more urgent work keeps from it, until
it has caught up.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from gingerspar.coordination.cluster.job_runs import JobRun
from gingerspar.coordination.cluster.machine import Machine, Placement, resource_weight
from gingerspar.coordination.cluster.pool import Offer, Pool, allows
from gingerspar.protocol.messages import Shape

log = logging.getLogger(__name__)

LAGGING_BELOW = 0.5  # of the jobs that should be done by now
SERVED_FROM = 0.65
LEAST_JOBS = 20  # fewer say nothing yet
OVERDUE_AFTER = timedelta(seconds=60)  # a job that has waited longer than this and twice its run time should be done
LAGGING_SHARE = 0.2  # of all ready machines, for all lagging classes together
TO_BEGIN = 0.05  # more of them, for first tasks of jobs that are late to begin
TOP_RANK = -1  # before all priorities


class ServiceLevelState(Enum):
    SERVED = "served"
    LAGGING = "lagging"


@dataclass(slots=True)
class ServiceLevel:
    """What is known of one class."""

    state: ServiceLevelState = ServiceLevelState.SERVED
    done: int = 0
    overdue: int = 0  # unfinished, though they should be done by now
    contended_offers: frozenset[Offer] = frozenset()  # sorts of machine that more urgent work waits for as well


@dataclass(slots=True)
class ServiceLevels:
    """All classes of one term; counts begin with what the records tell of jobs that are over."""

    classes: dict[str, ServiceLevel] = field(default_factory=dict)
    total_weight: float = 0.0  # of all ready machines
    used_weight: float = 0.0  # of what runs within the share

    def job_ended(self, jobclass: str, done: bool) -> None:
        """A job of the class is over; cancelled ones don't count."""
        if done:
            self.classes.setdefault(jobclass, ServiceLevel()).done += 1

    def update(self, runs: Iterable[JobRun], pool: Pool, waiting: Iterable[JobRun], now: timedelta) -> None:
        """Counts anew; to be called now and then."""
        for level in self.classes.values():
            level.overdue = 0
        for run in runs:
            endless = run.spec.shape is Shape.SERVICE
            if not run.ended and not endless and now - run.submitted > OVERDUE_AFTER + 2 * run.spec.estimate:
                self.classes.setdefault(run.spec.jobclass, ServiceLevel()).overdue += 1
        for name, level in self.classes.items():
            self._judge(name, level)
        ready = pool.ready()
        self.total_weight = sum(count * resource_weight(kind) for _, kind, count in ready)
        lagging = self.lagging()
        if lagging:
            offers = [offer for offer, _, _ in ready]
            self._sort_out(lagging, offers, list(waiting))

    def lagging(self) -> dict[str, ServiceLevel]:
        return {name: each for name, each in self.classes.items() if each.state is ServiceLevelState.LAGGING}

    def _judge(self, name: str, level: ServiceLevel) -> None:
        counted = level.done + level.overdue
        share = level.done / counted if counted else 1.0
        if level.state is ServiceLevelState.SERVED and counted >= LEAST_JOBS and share < LAGGING_BELOW:
            self._move(name, level, ServiceLevelState.LAGGING)
        elif level.state is ServiceLevelState.LAGGING and share >= SERVED_FROM:
            self._move(name, level, ServiceLevelState.SERVED)

    @staticmethod
    def _move(name: str, level: ServiceLevel, state: ServiceLevelState) -> None:
        """The only place where a class's state changes."""
        log.info(
            "class %s: %s -> %s, %d jobs done, %d overdue",
            name, level.state.value, state.value, level.done, level.overdue,
        )  # fmt: skip
        level.state = state

    @staticmethod
    def _sort_out(lagging: dict[str, ServiceLevel], offers: list[Offer], waiting: list[JobRun]) -> None:
        """Which sorts of machine more urgent work of other classes keeps from each lagging class."""
        for name, level in lagging.items():
            most_urgent = min((run.spec.priority.rank for run in waiting if run.spec.jobclass == name), default=0)
            above = [run.spec for run in waiting if run.spec.priority.rank < most_urgent]
            level.contended_offers = frozenset(offer for offer in offers if any(allows(spec, *offer) for spec in above))

    def has_priority(self, run: JobRun) -> bool:
        """Whether the job goes before more urgent work, as far as the share reaches."""
        level = self.classes.get(run.spec.jobclass)
        return level is not None and level.state is ServiceLevelState.LAGGING and not run.is_gang

    def is_contended(self, run: JobRun, machine: Machine) -> bool:
        """Whether a place there would be taken from more urgent work that waits."""
        level = self.classes.get(run.spec.jobclass)
        return level is not None and (machine.type, machine.zone, machine.spot) in level.contended_offers

    def remaining_tasks(self, run: JobRun, *, to_begin: bool = False) -> int:
        """Tasks of the job that the share still takes.

        ``to_begin``: the first tasks of jobs that are late to begin have some more, as lagging classes use all of
        the share (kerlann-fonts-fleet loss half as large again: five of the largest jobs had not begun in time).
        """
        weight = resource_weight(run.spec)
        share = LAGGING_SHARE + TO_BEGIN if to_begin else LAGGING_SHARE
        return max(int((self.total_weight * share - self.used_weight) / weight), 0) if weight > 0 else 0

    def task_placed(self, placement: Placement) -> None:
        if placement.protected and placement.spec.shape is not Shape.GANG:  # a gang that is late to begin is not in it
            self.used_weight += resource_weight(placement.spec)

    def task_ended(self, placement: Placement) -> None:
        if placement.protected and placement.spec.shape is not Shape.GANG:
            self.used_weight = max(self.used_weight - resource_weight(placement.spec), 0.0)
