"""Tracks what fraction of each class's jobs is done, and gives a lagging class a share of the machines.

Jobs are placed by priority, so that routine work gets no machine while there is more urgent work than
capacity. The operators count a day as failed if less than half of any class is served. A class that has
fallen far behind therefore gets a fixed, small share of the machines that more urgent work would take,
until it has caught up.
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

LAGGING_BELOW_FRACTION = 0.5  # a served class lags below this done fraction of its done and overdue jobs
SERVED_FROM_FRACTION = 0.65  # a lagging class is served again from this fraction
MIN_COUNTED_JOBS = 20  # with fewer done and overdue jobs, their fraction is not meaningful yet
OVERDUE_AFTER = timedelta(seconds=60)  # a job is overdue this long plus twice its estimate after its submission
LAGGING_SHARE = 0.2  # fraction of the capacity of all ready machines, for all lagging classes together
FIRST_TASK_EXTRA_SHARE = 0.05  # additional fraction, for first tasks of jobs whose start is overdue
TOP_RANK = -1  # rank in an order key that sorts before all priorities


class ServiceLevelState(Enum):
    """Whether enough of a class's jobs is done; a lagging class gets a share of the machines."""

    SERVED = "served"
    LAGGING = "lagging"


@dataclass(slots=True)
class ServiceLevel:
    """Counts and state of one class of jobs."""

    state: ServiceLevelState = ServiceLevelState.SERVED
    done: int = 0  # number of jobs done
    overdue: int = 0  # number of unfinished jobs that should be done by now
    contended_offers: frozenset[Offer] = frozenset()  # offers that more urgent work waits for as well


@dataclass(slots=True)
class ServiceLevels:
    """Service levels of all classes in one term; the counts start with the final records of ended jobs."""

    classes: dict[str, ServiceLevel] = field(default_factory=dict)
    total_weight: float = 0.0  # resource weight of all ready machines
    used_weight: float = 0.0  # resource weight of the tasks placed within the share

    def job_ended(self, jobclass: str, done: bool) -> None:
        """Counts an ended job of the class; cancelled jobs don't count."""
        if done:
            self.classes.setdefault(jobclass, ServiceLevel()).done += 1

    def update(self, runs: Iterable[JobRun], pool: Pool, waiting: Iterable[JobRun], now: timedelta) -> None:
        """Recounts overdue jobs and updates states, capacity and contended offers; to be called periodically."""
        for level in self.classes.values():
            level.overdue = 0
        for run in runs:
            is_service = run.spec.shape is Shape.SERVICE
            if not run.ended and not is_service and now - run.submitted > OVERDUE_AFTER + 2 * run.spec.estimate:
                self.classes.setdefault(run.spec.jobclass, ServiceLevel()).overdue += 1
        for name, level in self.classes.items():
            self._update_state(name, level)
        ready = pool.ready()
        self.total_weight = sum(count * resource_weight(machine_type) for _, machine_type, count in ready)
        lagging = self.lagging()
        if lagging:
            offers = [offer for offer, _, _ in ready]
            self._update_contended_offers(lagging, offers, list(waiting))

    def lagging(self) -> dict[str, ServiceLevel]:
        """The lagging classes by name."""
        return {name: level for name, level in self.classes.items() if level.state is ServiceLevelState.LAGGING}

    def _update_state(self, name: str, level: ServiceLevel) -> None:
        counted = level.done + level.overdue
        done_fraction = level.done / counted if counted else 1.0
        if (
            level.state is ServiceLevelState.SERVED
            and counted >= MIN_COUNTED_JOBS
            and done_fraction < LAGGING_BELOW_FRACTION
        ):
            self._set_state(name, level, ServiceLevelState.LAGGING)
        elif level.state is ServiceLevelState.LAGGING and done_fraction >= SERVED_FROM_FRACTION:
            self._set_state(name, level, ServiceLevelState.SERVED)

    @staticmethod
    def _set_state(name: str, level: ServiceLevel, state: ServiceLevelState) -> None:
        """Sets and logs the state of a class; no other code changes it."""
        log.info(
            "class %s: %s -> %s, %d jobs done, %d overdue",
            name, level.state.value, state.value, level.done, level.overdue,
        )  # fmt: skip
        level.state = state

    @staticmethod
    def _update_contended_offers(lagging: dict[str, ServiceLevel], offers: list[Offer], waiting: list[JobRun]) -> None:
        """Sets for each lagging class the offers that more urgent work of other classes waits for."""
        for name, level in lagging.items():
            most_urgent_rank = min((run.spec.priority.rank for run in waiting if run.spec.jobclass == name), default=0)
            more_urgent = [run.spec for run in waiting if run.spec.priority.rank < most_urgent_rank]
            level.contended_offers = frozenset(
                offer for offer in offers if any(allows(spec, *offer) for spec in more_urgent)
            )

    def has_priority(self, run: JobRun) -> bool:
        """Whether the job is placed before more urgent work while the share is not used up."""
        level = self.classes.get(run.spec.jobclass)
        return level is not None and level.state is ServiceLevelState.LAGGING and not run.is_gang

    def is_contended(self, run: JobRun, machine: Machine) -> bool:
        """Whether a placement on the machine takes capacity from more urgent work that waits for it."""
        level = self.classes.get(run.spec.jobclass)
        return level is not None and (machine.type, machine.zone, machine.spot) in level.contended_offers

    def remaining_tasks(self, run: JobRun, *, for_first_task: bool = False) -> int:
        """The number of tasks of the job that fit into the rest of the share.

        With ``for_first_task``, for the first task of a job whose start is overdue, the share is larger by
        ``FIRST_TASK_EXTRA_SHARE``, because lagging classes use all of the normal share (kerlann-fonts-fleet loss half
        as large again: five of the largest jobs had not started in time).
        """
        weight = resource_weight(run.spec)
        share = LAGGING_SHARE + FIRST_TASK_EXTRA_SHARE if for_first_task else LAGGING_SHARE
        return max(int((self.total_weight * share - self.used_weight) / weight), 0) if weight > 0 else 0

    def task_placed(self, placement: Placement) -> None:
        """Adds a protected task to the used share."""
        # Gangs are protected only if their start is overdue, and don't count towards the share.
        if placement.protected and placement.spec.shape is not Shape.GANG:
            self.used_weight += resource_weight(placement.spec)

    def task_ended(self, placement: Placement) -> None:
        """Removes a protected task from the used share; called when it leaves its machine."""
        if placement.protected and placement.spec.shape is not Shape.GANG:
            self.used_weight = max(self.used_weight - resource_weight(placement.spec), 0.0)
