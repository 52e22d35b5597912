"""Client of the state service; each call returns a result or raises an exception that tells whether it was executed."""

import logging
from collections.abc import Sequence
from datetime import timedelta
from urllib.parse import quote

from gingerspar.protocol import messages, names
from gingerspar.storage.budgets import Budget, Urgency
from gingerspar.storage.transactions import TransactionBuilder, TransactionLimits
from gingerspar.transport.client import Client, NoAnswer
from gingerspar.transport.clock import Clock
from gingerspar.transport.error_counts import ErrorCounts

log = logging.getLogger(__name__)

MAX_LOGGED_KEYS = 4  # of a rejected transaction
# No value is made larger than this, so that a job record and a chunk of its finished tasks, of 16.3 KiB at most where
# values may be that large, fit into one transaction.
MAX_VALUE_BYTES = 40 * 1024
# Usually the service answers within 10 ms, sometimes after a few hundred. A transaction without an answer by then may
# still be executed, so its sender reads the state and repeats the transaction if necessary. Each transaction is
# conditional, so at most one of the repetitions takes effect.
ANSWER_WAIT = timedelta(seconds=0.8)


class Unavailable(Exception):
    """The request was not executed: the service answered 429, 503 or another unexpected status."""


class Rejected(Unavailable):
    """The transaction was not executed and never will be as it is: sending it again changes nothing.

    The service has refused it, or it exceeds a limit of the service and was not sent.
    """


class OutcomeUnknown(Exception):
    """No answer arrived: the request may have been executed, or may still be executed.

    Also raised when no connection was established, although the request was then not executed.
    """


class Conflict(Exception):
    """A condition of the transaction did not hold, and nothing was written.

    ``failed``: keys of the conditions that did not hold; ``revision``: of the state service.
    """

    def __init__(self, failed: list[str], revision: int) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed
        self.revision = revision


class LeaseExpired(Exception):
    """The lease that a put names, or that was to be extended, has ended."""


class RevisionCompacted(Exception):
    """The service no longer keeps the changes since the requested revision."""


class StateClient:
    """Sends requests to the state service within this node's share of its rate limits.

    ``rps`` (requests per second) and ``write_rps`` (changes per second) are limits of all ``nodes`` together;
    ``txn_ops`` bounds the changes in one transaction, ``value_bytes`` the size of one value.
    """

    # Multiplies the even share of the write limit until ``share_writes`` is first called. The nodes together may exceed
    # the limit a little: they are seldom busy all at once, and a request that gets a 429 was not executed and is sent
    # again.
    WRITE_OVERCOMMIT = 1.4
    WRITE_LIMIT_FRACTION = 0.95  # fraction of the write limit that ``share_writes`` distributes by demand
    MIN_WRITE_SHARE = 0.4  # fraction of an even share that each node gets as a minimum, even without demand
    REQUEST_SHARE = 0.45  # fraction of the node's even share of requests; the rest is for the reads of the view

    def __init__(
        self, address: str, clock: Clock, *, rps: float, write_rps: float, txn_ops: int, value_bytes: int, nodes: int
    ) -> None:
        self._client = Client(address)
        self._clock = clock
        node_share = 1 / max(nodes, 1)
        write_rate = write_rps * min(1.0, node_share * self.WRITE_OVERCOMMIT)
        self._writes = Budget(clock, write_rate, max(1.0, write_rate))
        self._rps = rps
        request_rate = self._request_rate(nodes)
        self._requests = Budget(clock, request_rate, request_rate)
        self._write_rps = write_rps
        self._even_write_rate = write_rps * node_share
        self._limits = TransactionLimits(txn_ops, value_bytes)
        self.value_bytes = min(value_bytes, MAX_VALUE_BYTES)  # for values whose size the caller may choose
        self._unexpected_answers = ErrorCounts(log)
        self.rejected_count = 0  # transactions that the service has rejected since this process started

    @property
    def max_puts(self) -> int:
        """Maximum number of changes in one transaction, by the service's limit and by this node's write budget."""
        return max(1, min(self._limits.changes, int(self._writes.burst)))

    def transaction(self, conditions: Sequence[messages.KeyVersion]) -> TransactionBuilder:
        """A builder of a transaction with these conditions, within the limits and this node's write budget."""
        return TransactionBuilder(self._limits, self.max_puts, conditions)

    @property
    def write_rate(self) -> float:
        """Changes per second that this node may write at present."""
        return self._writes.rate

    @property
    def write_demand(self) -> float:
        """Changes per second that this node has requested recently; see ``Budget.demand``."""
        return self._writes.demand()

    def share_writes(self, peer_demands: list[float]) -> None:
        """Sets this node's share of the common write limit in proportion to demand.

        ``peer_demands``: the write demand of each peer, in changes per second. An even split left most of
        the limit unused, because sweeps, claims and roster updates are the work of a few nodes.
        """
        min_rate = self._even_write_rate * self.MIN_WRITE_SHARE
        own_demand = max(self.write_demand, min_rate)
        total = own_demand + sum(max(peer_demand, min_rate) for peer_demand in peer_demands)
        rate = max(self._write_rps * self.WRITE_LIMIT_FRACTION * own_demand / total, min_rate)
        self._writes.set_rate(rate, max(1.0, rate))

    def _request_rate(self, nodes: int) -> float:
        return max(1.0, self._rps * self.REQUEST_SHARE / max(nodes, 1))

    def share_requests(self, nodes: int) -> None:
        """Splits the common request limit evenly among ``nodes``, the number of nodes that the service answers."""
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
        """Reads all changes after revision ``since``, outside the request budget: the view limits its own rate.

        Raises ``RevisionCompacted``, ``Unavailable`` or ``OutcomeUnknown``.
        """
        path = f"{names.PATH_CHANGES}?Prefix={quote(prefix)}&Since={since}&HoldMs=0"
        status, answer = await self._call("GET", path, timeout=timeout)
        if status == 410:
            raise RevisionCompacted(str(since))
        if status != 200:
            raise self._unexpected("reading changes", status)
        return messages.decode(messages.Changes, answer)

    async def page(self, prefix: str, since: str | None, limit: int) -> messages.Items:
        """Reads up to ``limit`` keys with the prefix that follow the key ``since``, in order.

        Raises ``Unavailable`` or ``OutcomeUnknown``.
        """
        await self._requests.acquire(1, Urgency.SESSION)
        path = f"{names.PATH_KEYS}?Prefix={quote(prefix)}&Most={limit}"
        if since is not None:
            path += f"&Since={quote(since)}"
        status, answer = await self._call("GET", path, timeout=timedelta(seconds=4))
        if status != 200:
            raise self._unexpected("reading keys", status)
        return messages.decode(messages.Items, answer)

    async def commit(
        self, transaction: messages.Transaction, urgency: Urgency, timeout: timedelta = ANSWER_WAIT
    ) -> int:
        """Executes the transaction and returns the revision of its writes.

        Raises ``Conflict``, ``LeaseExpired``, ``Rejected``, ``Unavailable``, or ``OutcomeUnknown`` if no answer arrives
        within ``timeout``, which starts once the budgets allow the request.
        """
        body = messages.encode(transaction)
        violation = self._limits.violation(transaction, len(body))
        if violation is not None:
            raise self._rejected(transaction, len(body), f"not sent: {violation}")
        await self._requests.acquire(1, urgency)
        if transaction.writes:
            await self._writes.acquire(len(transaction.writes), urgency)
        status, answer = await self._call("POST", names.PATH_COMMIT, body, timeout)
        if status == 200:
            return messages.decode(messages.Committed, answer).revision
        if status == 409:
            refused = messages.decode(messages.Refused, answer)
            raise Conflict(refused.failed, refused.revision)
        if status == 400 and b"no such lease" in answer:
            raise LeaseExpired
        if 400 <= status < 500:
            raise self._rejected(transaction, len(body), f"{status} {answer[:200]!r}")
        # An error inside the service may have come after the transaction was executed.
        raise OutcomeUnknown(f"commit: {status} {answer[:200]!r}")

    def _rejected(self, transaction: messages.Transaction, size: int, reason: str) -> Rejected:
        """Counts and logs a rejected transaction; returns the error to raise."""
        self.rejected_count += 1
        keys = [write.key for write in transaction.writes]
        more = f" and {len(keys) - MAX_LOGGED_KEYS} more" if len(keys) > MAX_LOGGED_KEYS else ""
        log.error(
            "transaction rejected, %d since the start: %s; %d changes, %d conditions, %d bytes: %s%s",
            self.rejected_count, reason, len(keys), len(transaction.conditions), size,
            " ".join(keys[:MAX_LOGGED_KEYS]), more,
        )  # fmt: skip
        return Rejected(f"commit: {reason}")

    def _unexpected(self, request: str, status: int) -> Unavailable:
        """Counts and logs an answer that may never change, unlike a 429 or 503; returns the error to raise."""
        self._unexpected_answers.add(f"{request}, answered with {status},", traceback=False)
        return Unavailable(f"{request}: {status}")

    async def grant(self, ttl: timedelta) -> int:
        """Creates a lease and returns its number.

        Raises ``Unavailable`` or ``OutcomeUnknown``.
        """
        await self._requests.acquire(1, Urgency.SESSION)
        request = messages.GrantRequest(ttl_ms=round(ttl.total_seconds() * 1000))
        status, answer = await self._call("POST", names.PATH_GRANTS, messages.encode(request))
        if status != 200:
            raise self._unexpected("granting a lease", status)
        return messages.decode(messages.Granted, answer).lease

    async def extend(self, lease: int) -> None:
        """Extends a lease by its full duration.

        Raises ``LeaseExpired``, ``Unavailable`` or ``OutcomeUnknown``.
        """
        await self._requests.acquire(1, Urgency.SESSION)
        status, _ = await self._call("POST", f"{names.PATH_GRANTS}/{lease}{names.PATH_EXTEND}", b"{}")
        if status == 404:
            raise LeaseExpired
        if status != 200:
            raise self._unexpected("extending a lease", status)
