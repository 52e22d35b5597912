"""The unfinished tasks of a job that have no placement."""

from gingerspar.storage.task_set import TaskSet


class OpenTasks:
    """Open tasks in ascending order, stored as the set of all others.

    Its memory follows the tasks that are finished or on machines, not the number of tasks that the job has. Entries for
    each open task took 8 MB for 100,000 tasks, and the leader exceeded its memory limit (review/5).
    """

    __slots__ = ("_closed",)

    def __init__(self, finished: TaskSet) -> None:
        self._closed = finished.copy()

    def __len__(self) -> int:
        return self._closed.size - len(self._closed)

    def add(self, number: int) -> None:
        self._closed.discard(number)

    def discard(self, number: int) -> None:
        self._closed.add(number)

    def clear(self) -> None:
        self._closed = TaskSet(0)

    def first(self, count: int) -> list[int]:
        """The lowest open tasks, up to ``count`` of them."""
        return self._closed.first_missing(count)
