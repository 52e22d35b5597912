"""Which workers have reported to this node lately."""

from collections import Counter, OrderedDict
from datetime import timedelta

RECENT = timedelta(seconds=3)  # a worker's report counts as recent for so long


class Visits:
    """The latest report of each worker, with the token that it had seen; counted as they come and go."""

    def __init__(self) -> None:
        self._visits: OrderedDict[str, tuple[timedelta, int]] = OrderedDict()
        self._tokens: Counter[int] = Counter()
        self.last: timedelta | None = None  # when the latest of all came

    def add(self, machine: str, token: int, now: timedelta) -> None:
        known = self._visits.pop(machine, None)
        if known is not None:
            self._forget(known[1])
        self._visits[machine] = (now, token)
        self.last = now
        self._tokens[token] += 1

    def _forget(self, token: int) -> None:
        self._tokens[token] -= 1
        if not self._tokens[token]:
            del self._tokens[token]

    def workers(self, now: timedelta) -> int:
        while self._visits:
            machine, (when, token) = next(iter(self._visits.items()))
            if now - when <= RECENT:
                break
            del self._visits[machine]
            self._forget(token)
        return len(self._visits)

    def deserters(self, term: int) -> int:
        """Workers that have come here although the holder of this term had them."""
        return sum(count for token, count in self._tokens.items() if token >= term)
