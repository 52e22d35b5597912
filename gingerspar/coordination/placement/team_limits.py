"""Room within a team's limit for its gangs, which need much of it at once."""

import logging
from datetime import timedelta

from gingerspar.coordination.cluster.cluster_state import ClusterState
from gingerspar.coordination.cluster.job_runs import JobRun
from gingerspar.coordination.cluster.machine import Placement
from gingerspar.coordination.placement.gang_reservation import (
    PREEMPT_AFTER,
    RESERVATION_PAUSE,
    RESERVATION_RETRY_INTERVAL,
    RESERVATION_TIMEOUT,
    GangReservations,
    lost_work,
    preempt,
)

log = logging.getLogger(__name__)

# So long what ends by itself is waited for. Without, urgent gangs threw away 5,883 of 12,405 tasks that had started,
# most of them of 25 s (vatuloa-grep-hunt calm to 230 s, one team limited to 8,000 processors).
STOP_AFTER = timedelta(seconds=5)


class TeamLimitReservations:
    """Keeps for a gang what its team's tasks leave of the limit, and stops less urgent ones of them.

    Tasks of arrays took piece by piece what ended: half of the urgent gangs waited for over a minute while their team's
    routine work went on (bench/leader_load.py --limit 9000).
    """

    def __init__(self, cluster_state: ClusterState, gang_reservations: GangReservations) -> None:
        self._cluster_state = cluster_state
        self._gang_reservations = gang_reservations
        self._first: dict[str, JobRun] = {}  # by team: the gang that comes first of those that wait for its limit
        self._refused: dict[str, tuple[float, float]] = {}  # by team: what a run needed that found less left

    def begin_pass(self) -> None:
        """To be called at the beginning of each pass."""
        self._first, self._refused = {}, {}

    def is_blocked(self, run: JobRun) -> bool:
        """Whether no look at the run is needed to know that its team's limit leaves it nothing.

        Within a pass the limit leaves less and less. Each gang is looked at all the same: one that has had its time
        gives way to the next.
        """
        if self.is_reserved_for_other(run):
            return True
        refused = self._refused.get(run.spec.team)
        return not run.is_gang and refused is not None and run.demand[0] >= refused[0] and run.demand[1] >= refused[1]

    def record_refusal(self, run: JobRun) -> None:
        """The run has found less left than it needs."""
        least = self._refused.get(run.spec.team)
        if least is None or (run.demand[0] <= least[0] and run.demand[1] <= least[1]):
            self._refused[run.spec.team] = run.demand

    def is_reserved_for_other(self, run: JobRun) -> bool:
        """Whether what is left of its team's limit is kept for a gang that goes before it."""
        return self._first.get(run.spec.team, run) is not run

    def reserve(self, run: JobRun, now: timedelta) -> None:
        """The gang, not in vain, finds less left than it needs. What comes after it takes nothing for a while."""
        if self._cluster_state.pool.unsettled.names:
            return  # unsettled machines count as full of the team's work: that passes by itself
        if run.spec.team not in self._cluster_state.teams:
            return  # it is not in the settings any more: it can't run
        cpus, gpus = self._cluster_state.team_shortfall(run.spec)
        used = self._cluster_state.usage[run.spec.team]
        if cpus > used.cpus or gpus > used.gpus:
            return  # the limit was lowered since: it can never run
        if run.waiting_since is None or now - run.waiting_since < PREEMPT_AFTER:
            return
        if run.limit_reserved_since is None:
            run.limit_reserved_since = now
        kept = now - run.limit_reserved_since
        if kept > RESERVATION_TIMEOUT and self._cluster_state.first_overdue_gang(now) is not run:
            if kept < RESERVATION_TIMEOUT + RESERVATION_PAUSE:
                return  # it had its time: others must not starve for it
            run.limit_reserved_since = now
        self._first[run.spec.team] = run
        if kept >= STOP_AFTER and (
            run.preemption_checked_at is None or now - run.preemption_checked_at >= RESERVATION_RETRY_INTERVAL
        ):
            run.preemption_checked_at = now
            if self._gang_reservations.fits_if_empty(run):
                self._stop_less_urgent(run, now)

    def _stop_less_urgent(self, run: JobRun, now: timedelta) -> None:
        """As many of the team's less urgent tasks as make the gang fit, what loses least first; or none."""
        spec = run.spec
        theirs = [
            placement
            for other in self._cluster_state.runs.values()
            if other.spec.team == spec.team and other.places
            for placement in other.live
        ]
        cpus, gpus = self._cluster_state.team_shortfall(spec)
        for placement in theirs:
            if placement.stop_grace is not None:
                cpus, gpus = cpus - placement.spec.cpus, gpus - placement.spec.gpus
        victims = [
            placement for placement in theirs if placement.stop_grace is None and placement.rank > spec.priority.rank
        ]
        victims.sort(key=lambda placement: (lost_work(placement, now), placement.name))
        chosen: list[Placement] = []
        for victim in victims:
            if cpus <= 0 and gpus <= 0:
                break
            if (cpus > 0 and victim.spec.cpus > 0) or (gpus > 0 and victim.spec.gpus > 0):
                chosen.append(victim)
                cpus, gpus = cpus - victim.spec.cpus, gpus - victim.spec.gpus
        if cpus > 0 or gpus > 0 or not chosen:
            return
        log.info("team %s is at its limit: stopping %d tasks for %s", spec.team, len(chosen), spec.job)
        for victim in chosen:
            preempt(self._cluster_state, victim, now)
