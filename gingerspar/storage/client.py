"""The state service's interface, with the outcome of every call spelt out."""

from datetime import timedelta
from urllib.parse import quote

from gingerspar.protocol import messages, names
from gingerspar.storage.budgets import Budget, Urgency
from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.clock import Clock

# Answers mostly come within 10 ms, some after a few hundred. A transaction that has none by then may be carried out all
# the same, so whoever sent it reads, and says it again if it has to: each is conditional, and only one of them counts.
ANSWER_WAIT = timedelta(seconds=0.8)


class Unavailable(Exception):
    """The request was not executed: 503, 429 or no connection."""


class OutcomeUnknown(Exception):
    """No answer: the request may have been executed, or may yet be."""


class Conflict(Exception):
    """A condition did not hold; nothing was written."""

    def __init__(self, failed: list[str], revision: int) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed
        self.revision = revision


class LeaseExpired(Exception):
    """The lease of a put, or the one to extend, has ended."""


class RevisionCompacted(Exception):
    """Changes since that revision are no longer kept."""


class StateClient:
    """Calls to the state service within this node's share of its limits."""

    # A 429 was not executed and is simply asked again, so shares may overlap a little:
    # nodes are seldom busy all at once.
    WRITE_OVERLAP = 1.4
    WRITE_LIMIT = 0.95  # of the limit, when shares follow demand
    LEAST_SHARE = 0.4  # of an even share; what a node gets that asks for nothing
    REQUEST_SHARE = 0.45  # of the node's part; the rest is for the view's reads

    def __init__(
        self, address: str, clock: Clock, *, rps: float, write_rps: float, txn_ops: int, value_bytes: int, nodes: int
    ) -> None:
        self._client = Client(address)
        self._clock = clock
        part = 1 / max(nodes, 1)
        write_rate = write_rps * min(1.0, part * self.WRITE_OVERLAP)
        self._writes = Budget(clock, write_rate, max(1.0, write_rate))
        self._rps = rps
        request_rate = self._request_rate(nodes)
        self._requests = Budget(clock, request_rate, request_rate)
        self._write_rps = write_rps
        self._even = write_rps * part
        self._txn_ops = txn_ops
        self.most_conditions = 4 * txn_ops
        self.value_bytes = value_bytes

    @property
    def most_puts(self) -> int:
        """Changes in one transaction: what the service allows, and what this node may write at once."""
        return max(1, min(self._txn_ops, int(self._writes.burst)))

    @property
    def write_rate(self) -> float:
        """Changes a second that this node may write now."""
        return self._writes.rate

    @property
    def write_demand(self) -> float:
        return self._writes.demand()

    def share_writes(self, others: list[float]) -> None:
        """Splits the common write limit by what this node and its peers ask for.

        An even split left most of it unused where it was needed most: sweeps, claims and
        the roster are the work of few nodes.
        """
        least = self._even * self.LEAST_SHARE
        mine = max(self.write_demand, least)
        total = mine + sum(max(other, least) for other in others)
        rate = max(self._write_rps * self.WRITE_LIMIT * mine / total, least)
        self._writes.set_rate(rate, max(1.0, rate))

    def _request_rate(self, nodes: int) -> float:
        return max(1.0, self._rps * self.REQUEST_SHARE / max(nodes, 1))

    def share_requests(self, nodes: int) -> None:
        """Splits the common request limit evenly among so many nodes: those that the service answers."""
        rate = self._request_rate(nodes)
        self._requests.set_rate(rate, rate)

    async def _call(
        self, method: str, path: str, body: bytes | None = None, timeout: timedelta = timedelta(seconds=2)
    ) -> tuple[int, bytes]:
        try:
            status, answer = await self._client.request(method, path, body, timeout=timeout)
        except NoAnswer as error:
            raise OutcomeUnknown(str(error)) from error
        if status in (429, 503):
            if status == 429:
                self._requests.block(timedelta(milliseconds=100))
                self._writes.block(timedelta(milliseconds=100))
            raise Unavailable(f"{status} {path}")
        return status, answer

    async def changes(self, prefix: str, since: int, timeout: timedelta) -> messages.Changes:
        """All changes after ``since``; not budgeted, the view keeps its own pace."""
        path = f"{names.PATH_CHANGES}?Prefix={quote(prefix)}&Since={since}&HoldMs=0"
        status, answer = await self._call("GET", path, timeout=timeout)
        if status == 410:
            raise RevisionCompacted(str(since))
        if status != 200:
            raise Unavailable(f"{status} {path}")
        return messages.decode(messages.Changes, answer)

    async def page(self, prefix: str, since: str | None, most: int) -> messages.Items:
        await self._requests.acquire(1, Urgency.SESSION)
        path = f"{names.PATH_KEYS}?Prefix={quote(prefix)}&Most={most}"
        if since is not None:
            path += f"&Since={quote(since)}"
        status, answer = await self._call("GET", path, timeout=timedelta(seconds=4))
        if status != 200:
            raise Unavailable(f"{status} {path}")
        return messages.decode(messages.Items, answer)

    async def commit(
        self, transaction: messages.Transaction, urgency: Urgency, patience: timedelta = ANSWER_WAIT
    ) -> int:
        """The revision of the writes, or ``Conflict``, ``Unavailable``, or after ``patience`` ``OutcomeUnknown``."""
        await self._requests.acquire(1, urgency)
        if transaction.writes:
            await self._writes.acquire(len(transaction.writes), urgency)
        status, answer = await self._call("POST", names.PATH_COMMIT, messages.encode(transaction), patience)
        if status == 200:
            return messages.decode(messages.Committed, answer).revision
        if status == 409:
            refused = messages.decode(messages.Refused, answer)
            raise Conflict(refused.failed, refused.revision)
        if status == 400 and b"no such lease" in answer:
            raise LeaseExpired
        raise Unavailable(f"commit: {status} {answer[:200]!r}")

    async def grant(self, ttl: timedelta) -> int:
        await self._requests.acquire(1, Urgency.SESSION)
        request = messages.GrantRequest(ttl_ms=round(ttl.total_seconds() * 1000))
        status, answer = await self._call("POST", names.PATH_GRANTS, messages.encode(request))
        if status != 200:
            raise Unavailable(f"grant: {status}")
        return messages.decode(messages.Granted, answer).lease

    async def extend(self, lease: int) -> None:
        await self._requests.acquire(1, Urgency.SESSION)
        status, _ = await self._call("POST", f"{names.PATH_GRANTS}/{lease}{names.PATH_EXTEND}", b"{}")
        if status == 404:
            raise LeaseExpired
        if status != 200:
            raise Unavailable(f"extend: {status}")
