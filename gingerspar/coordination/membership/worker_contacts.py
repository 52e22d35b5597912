"""Which workers have reported to this node lately, and which of them hear an answer."""

from collections import Counter, OrderedDict
from datetime import timedelta
from itertools import islice

RECENT = timedelta(seconds=3)  # a worker's report counts as recent for so long
ASKED_MEANWHILE = 4  # answers that a worker may have given to this node and its peers since it came
MOST_REMEMBERED = 5000  # workers whose newest report is known, so that copies of older ones count for nothing


class WorkerContacts:
    """The latest report of each worker, with the token that it had seen; counted as they come and go.

    A report alone shows only that its sender was alive when it wrote it: it may be a copy that comes
    late, or come from a machine that no answer reaches and that goes round all controllers for good.
    What is to show that the leader is gone is a worker that has come here and answers a question.
    """

    def __init__(self) -> None:
        self._contacts: OrderedDict[str, tuple[timedelta, int, str]] = OrderedDict()  # with its address
        self._tokens: Counter[int] = Counter()
        self._newest: OrderedDict[str, tuple[int, int]] = OrderedDict()  # session and number of each worker's report
        self._answered: dict[str, int] = {}  # of those that have come lately, with their tokens
        self.last_report_at: timedelta | None = None  # when the latest of all came

    def add(self, machine: str, address: str, order: tuple[int, int], token: int, now: timedelta) -> None:
        """A report came; ``order`` is its session and number. Copies and older ones count for nothing."""
        if order <= self._newest.get(machine, (0, 0)):
            return
        self._newest[machine] = order
        self._newest.move_to_end(machine)
        if len(self._newest) > MOST_REMEMBERED:
            self._newest.popitem(last=False)
        known = self._contacts.pop(machine, None)
        if known is not None:
            self._forget(known[1])
        self._contacts[machine] = (now, token, address)
        self.last_report_at = now
        self._tokens[token] += 1
        if machine in self._answered:
            self._answered[machine] = token

    def _forget(self, token: int) -> None:
        self._tokens[token] -= 1
        if not self._tokens[token]:
            del self._tokens[token]

    def record_probe_answer(self, machine: str, order: tuple[int, int]) -> None:
        """A worker that has come here has answered a question, with a report of this session and number.

        If it has said more since it came, what came was a late copy: it reports to another node.
        """
        visit, came = self._contacts.get(machine), self._newest.get(machine, (0, 0))
        if visit is not None and order[0] == came[0] and order[1] - came[1] <= ASKED_MEANWHILE:
            self._answered[machine] = visit[1]

    def unprobed(self, most: int) -> list[tuple[str, str]]:
        """Those that came last and have not answered yet, with their addresses; none once ``most`` have answered."""
        if len(self._answered) >= most:
            return []
        coming = ((name, self._contacts[name][2]) for name in reversed(self._contacts) if name not in self._answered)
        return list(islice(coming, most))

    def recent_count(self, now: timedelta) -> int:
        while self._contacts:
            machine, (when, token, _) = next(iter(self._contacts.items()))
            if now - when <= RECENT:
                break
            del self._contacts[machine]
            self._answered.pop(machine, None)
            self._forget(token)
        return len(self._contacts)

    def responsive_count(self, now: timedelta) -> int:
        """Of the workers that have come here lately, those that have answered a question."""
        self.recent_count(now)
        return len(self._answered)

    def switched_count(self, term: int) -> int:
        """Workers that have come here although the leader of this term had them, whether they hear or not."""
        return sum(count for token, count in self._tokens.items() if token >= term)

    def responsive_switched_count(self, term: int) -> int:
        """Those of them that have answered a question."""
        return sum(token >= term for token in self._answered.values())
