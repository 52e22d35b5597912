"""Resources that claimed jobs take of their teams' limits."""

from gingerspar.protocol.messages import JobStatus
from gingerspar.protocol.settings import TeamFacts
from gingerspar.storage.view import Versioned

ROUNDING_TOLERANCE = 1e-6  # rounding error of totals after many additions and subtractions


class ClaimedResources:
    """Total processors and accelerators of claimed, unfinished tasks by team and priority.

    The totals are updated with each change of a record.
    """

    def __init__(self) -> None:
        # (team, priority rank) -> (processors, accelerators)
        self._totals: dict[tuple[str, int], tuple[float, float]] = {}
        # job -> what it contributes: (team, priority rank), processors, accelerators
        self._jobs: dict[str, tuple[tuple[str, int], float, float]] = {}
        self._overdue: set[str] = set()  # jobs that count with one task only

    def update_job(self, job: str, entry: Versioned | None, *, overdue: bool = False) -> None:
        """Counts the new version of a job's record; None means that the job has ended.

        A job that is ``overdue`` at the first update that shows it claimed counts with one task: it was
        claimed past the limit so that it can start, and must not block claims of its team's other jobs.
        """
        previous = self._jobs.pop(job, None)
        if previous is not None:
            self._add(previous[0], -previous[1], -previous[2])
        if entry is None or entry.record.status is not JobStatus.RUNNING:
            self._overdue.discard(job)
            return
        if overdue and previous is None:
            self._overdue.add(job)
        cpus, gpus = _remaining_resources(entry)
        fraction = 1 / max(entry.record.spec.tasks - len(entry.finished), 1) if job in self._overdue else 1.0
        self._jobs[job] = (_team_and_rank(entry), cpus * fraction, gpus * fraction)
        self._add(*self._jobs[job])

    def _add(self, key: tuple[str, int], cpus: float, gpus: float) -> None:
        total = self._totals.get(key, (0.0, 0.0))
        self._totals[key] = (total[0] + cpus, total[1] + gpus)

    def copy_totals(self) -> "ClaimedResources":
        """A copy of the totals alone, to which the claims of the next write can be added."""
        copy = ClaimedResources()
        copy._totals = dict(self._totals)
        return copy

    def add(self, entry: Versioned) -> None:
        """Adds a record that is about to be claimed."""
        self._add(_team_and_rank(entry), *_remaining_resources(entry))

    def over_limit(self, teams: dict[str, TeamFacts], entry: Versioned) -> bool:
        """True if the team's claims of the same or a higher priority already use up its limit."""
        spec = entry.record.spec
        team = teams.get(spec.team)
        if team is None or not (team.cpus_max or team.gpus_max):
            return False
        cpus = gpus = 0.0
        for rank in range(spec.priority.rank + 1):
            total = self._totals.get((spec.team, rank))
            if total is not None:
                cpus, gpus = cpus + total[0], gpus + total[1]
        return bool(
            (team.cpus_max and spec.cpus and cpus >= team.cpus_max - ROUNDING_TOLERANCE)
            or (team.gpus_max and spec.gpus and gpus >= team.gpus_max - ROUNDING_TOLERANCE)
        )


def _team_and_rank(entry: Versioned) -> tuple[str, int]:
    return (entry.record.spec.team, entry.record.spec.priority.rank)


def _remaining_resources(entry: Versioned) -> tuple[float, float]:
    """Processors and accelerators of the job's unfinished tasks."""
    spec = entry.record.spec
    remaining = spec.tasks - len(entry.finished)
    return remaining * spec.cpus, remaining * spec.gpus
