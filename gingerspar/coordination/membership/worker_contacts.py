"""Which workers have reported to this node recently, and which of them have answered a probe."""

from collections import Counter, OrderedDict
from datetime import timedelta
from itertools import islice

RECENT_FOR = timedelta(seconds=3)  # age up to which a worker's report counts as recent
MAX_REPORTS_SINCE_CONTACT = 4  # answers that a worker may have given to this node and its peers since its report
MAX_NEWEST_REPORTS = 5000  # workers whose newest report is remembered, so that duplicates and older ones are ignored


class WorkerContacts:
    """The latest recent report of each worker with the token that the worker had seen, and counts of these.

    A report alone shows only that its sender was alive when it wrote it: it may be a duplicate that
    arrives late, or come from a machine that receives no answers and therefore tries all controllers
    in turn forever. Only a worker that has reported to this node and answers a probe is evidence
    that the leader is gone.
    """

    def __init__(self) -> None:
        self._contacts: OrderedDict[str, tuple[timedelta, int, str]] = OrderedDict()  # received at, token, address
        self._tokens: Counter[int] = Counter()
        self._newest: OrderedDict[str, tuple[int, int]] = OrderedDict()  # (session, sequence number) by worker
        self._responsive: dict[str, int] = {}  # tokens of the recent workers that answered a probe
        self.last_report_at: timedelta | None = None  # when the latest report of any worker arrived

    def add(self, machine: str, address: str, report_id: tuple[int, int], token: int, now: timedelta) -> None:
        """Adds a report; ``report_id`` is its session and sequence number. Duplicates and older reports are ignored."""
        if report_id <= self._newest.get(machine, (0, 0)):
            return
        self._newest[machine] = report_id
        self._newest.move_to_end(machine)
        if len(self._newest) > MAX_NEWEST_REPORTS:
            self._newest.popitem(last=False)
        previous = self._contacts.pop(machine, None)
        if previous is not None:
            self._discount(previous[1])
        self._contacts[machine] = (now, token, address)
        self.last_report_at = now
        self._tokens[token] += 1
        if machine in self._responsive:
            self._responsive[machine] = token

    def _discount(self, token: int) -> None:
        self._tokens[token] -= 1
        if not self._tokens[token]:
            del self._tokens[token]

    def record_probe_answer(self, machine: str, report_id: tuple[int, int]) -> None:
        """Records that a worker answered a probe with a report of this session and sequence number.

        If the worker has sent more than ``MAX_REPORTS_SINCE_CONTACT`` reports since the one that this node
        received, that one was a late duplicate and the worker reports to another node: it is not counted.
        """
        contact, newest = self._contacts.get(machine), self._newest.get(machine, (0, 0))
        if contact is not None and report_id[0] == newest[0] and report_id[1] - newest[1] <= MAX_REPORTS_SINCE_CONTACT:
            self._responsive[machine] = contact[1]

    def unprobed(self, limit: int) -> list[tuple[str, str]]:
        """The latest workers without a probe answer, with addresses; none once ``limit`` workers have answered."""
        if len(self._responsive) >= limit:
            return []
        candidates = (
            (name, self._contacts[name][2]) for name in reversed(self._contacts) if name not in self._responsive
        )
        return list(islice(candidates, limit))

    def recent_count(self, now: timedelta) -> int:
        """Workers that have reported to this node within ``RECENT_FOR``. Older reports are discarded."""
        while self._contacts:
            machine, (received_at, token, _) = next(iter(self._contacts.items()))
            if now - received_at <= RECENT_FOR:
                break
            del self._contacts[machine]
            self._responsive.pop(machine, None)
            self._discount(token)
        return len(self._contacts)

    def responsive_count(self, now: timedelta) -> int:
        """Workers that have reported to this node recently and have answered a probe."""
        self.recent_count(now)
        return len(self._responsive)

    def switched_count(self, term: int) -> int:
        """Workers that the leader of this term had and that now report to this node, with or without probe answers."""
        return sum(count for token, count in self._tokens.items() if token >= term)

    def responsive_switched_count(self, term: int) -> int:
        """Workers that the leader of this term had, that now report to this node and have answered a probe."""
        return sum(token >= term for token in self._responsive.values())
