"""Limit on the tasks of all machines together, which follows from the memory of the leader's process.

Five hundred very small tasks fit on a machine. On a full fleet, a few accepted arrays of such tasks would take every
new leader over its memory limit, and no task of any job would run. At the limit tasks wait although machines have room.
"""

from dataclasses import dataclass

from gingerspar.protocol.messages import MAX_TASKS, Priority

BYTES_PER_TASK = 1024  # of a task that is on a machine, or has ended and is still listed by its worker
MEMORY_SHARE = 0.5  # of the process's memory limit; the rest is for the program, connections and records
ROUTINE_SHARE = 0.9  # of the limit, for jobs below priority HIGH; the rest is kept for urgent ones
BYTES_PER_MB = 2**20


def max_tasks_on_machines(memory_mb: float) -> int | None:
    """The limit for a process that may hold ``memory_mb`` MB; None if it may hold any amount (0)."""
    return int(memory_mb * BYTES_PER_MB * MEMORY_SHARE / BYTES_PER_TASK) if memory_mb else None


@dataclass(slots=True)
class TaskLimit:
    """Counts tasks on machines against a limit; None: there is none."""

    max_tasks: int | None
    live_tasks: int = 0
    ended_tasks: int = 0  # that workers still list

    def headroom(self, priority: Priority) -> int:
        """How many more tasks of this priority may be placed."""
        if self.max_tasks is None:
            return MAX_TASKS
        is_urgent = priority.rank <= Priority.HIGH.rank
        limit = self.max_tasks if is_urgent else int(self.max_tasks * ROUTINE_SHARE)
        return max(limit - self.live_tasks - self.ended_tasks, 0)
