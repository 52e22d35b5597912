"""Reservation of capacity within a team's limit for its gangs, which need much of it at once."""

import logging
from datetime import timedelta

from gingerspar.coordination.cluster.cluster_state import ClusterState
from gingerspar.coordination.cluster.job_runs import JobRun
from gingerspar.coordination.cluster.machine import Placement
from gingerspar.coordination.placement.gang_reservation import (
    RESERVATION_DELAY,
    RESERVATION_PAUSE,
    RESERVATION_RETRY_INTERVAL,
    RESERVATION_TIMEOUT,
    GangReservations,
    lost_work,
    preempt,
)

log = logging.getLogger(__name__)

# A gang waits this long for tasks of its team to end by themselves before it preempts any. Without this wait, urgent
# gangs discarded 5,883 of 12,405 started tasks, most of them of 25 s (vatuloa-grep-hunt calm to 230 s, one team
# limited to 8,000 processors).
LIMIT_PREEMPTION_DELAY = timedelta(seconds=5)


class TeamLimitReservations:
    """Reserves the rest of a team's limit for one of its gangs, and preempts lower-priority tasks of the team.

    Without a reservation, array tasks took the headroom bit by bit as tasks ended: half of the urgent gangs waited for
    over a minute while their team's routine work went on (bench/leader_load.py --limit 9000).
    """

    def __init__(self, cluster_state: ClusterState, gang_reservations: GangReservations) -> None:
        self._cluster_state = cluster_state
        self._gang_reservations = gang_reservations
        self._first_gang_by_team: dict[str, JobRun] = {}  # the gang that the headroom is reserved for
        self._min_refused_by_team: dict[str, tuple[float, float]] = {}  # smallest demand refused in this pass

    def start_pass(self) -> None:
        """Clears the state of the previous pass; to be called at the start of each pass."""
        self._first_gang_by_team, self._min_refused_by_team = {}, {}

    def is_blocked(self, run: JobRun) -> bool:
        """Whether the run is already known not to fit into its team's limit, so that it needs no check.

        Headroom only shrinks within a pass. Gangs are checked nevertheless, because a gang whose reservation has
        timed out gives way to the next.
        """
        if self.is_reserved_for_other(run):
            return True
        min_refused = self._min_refused_by_team.get(run.spec.team)
        return (
            not run.is_gang
            and min_refused is not None
            and run.demand[0] >= min_refused[0]
            and run.demand[1] >= min_refused[1]
        )

    def record_refusal(self, run: JobRun) -> None:
        """Records that the team's headroom is too small for the run."""
        min_refused = self._min_refused_by_team.get(run.spec.team)
        if min_refused is None or (run.demand[0] <= min_refused[0] and run.demand[1] <= min_refused[1]):
            self._min_refused_by_team[run.spec.team] = run.demand

    def is_reserved_for_other(self, run: JobRun) -> bool:
        """Whether its team's headroom is reserved for a gang ahead of it."""
        return self._first_gang_by_team.get(run.spec.team, run) is not run

    def reserve(self, run: JobRun, now: timedelta) -> None:
        """Reserves the team's headroom for a gang that does not fit into it, unless the gang can never run.

        Until the reservation ends, runs behind the gang get nothing. After ``LIMIT_PREEMPTION_DELAY``,
        lower-priority tasks of the team are preempted.
        """
        if self._cluster_state.pool.unsettled.names:
            return  # unsettled machines count as full of the team's tasks only until they have reported
        if run.spec.team not in self._cluster_state.teams:
            return  # the team is no longer in the settings: the gang can't run
        cpus, gpus = self._cluster_state.team_shortfall(run.spec)
        used = self._cluster_state.usage[run.spec.team]
        if cpus > used.cpus or gpus > used.gpus:
            return  # the limit has been lowered: the gang can never run
        if run.waiting_since is None or now - run.waiting_since < RESERVATION_DELAY:
            return
        if run.limit_reserved_since is None:
            run.limit_reserved_since = now
        reserved_duration = now - run.limit_reserved_since
        if reserved_duration > RESERVATION_TIMEOUT and self._cluster_state.first_overdue_gang(now) is not run:
            if reserved_duration < RESERVATION_TIMEOUT + RESERVATION_PAUSE:
                return  # its reservation timed out: other runs must not starve
            run.limit_reserved_since = now
        self._first_gang_by_team[run.spec.team] = run
        if reserved_duration >= LIMIT_PREEMPTION_DELAY and (
            run.preemption_checked_at is None or now - run.preemption_checked_at >= RESERVATION_RETRY_INTERVAL
        ):
            run.preemption_checked_at = now
            if self._gang_reservations.fits_if_empty(run):
                self._preempt_lower_priority(run, now)

    def _preempt_lower_priority(self, run: JobRun, now: timedelta) -> None:
        """Preempts as many lower-priority tasks of the team as the gang needs, cheapest first; none if not enough."""
        spec = run.spec
        team_placements = [
            placement
            for other in self._cluster_state.runs.values()
            if other.spec.team == spec.team and other.placements
            for placement in other.live
        ]
        cpus, gpus = self._cluster_state.team_shortfall(spec)
        for placement in team_placements:
            if placement.stop_grace is not None:
                cpus, gpus = cpus - placement.spec.cpus, gpus - placement.spec.gpus
        victims = [
            placement
            for placement in team_placements
            if placement.stop_grace is None and placement.rank > spec.priority.rank
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
        log.info("team %s is at its limit: preempting %d tasks for %s", spec.team, len(chosen), spec.job)
        for victim in chosen:
            preempt(self._cluster_state, victim, now)
