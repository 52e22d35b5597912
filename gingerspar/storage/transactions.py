"""The state service's limits for one transaction, and a builder that keeps transactions within them."""

from collections.abc import Sequence
from dataclasses import dataclass

from gingerspar.protocol.messages import Delete, KeyVersion, Put, Transaction, encode

MAX_TRANSACTION_BYTES = 64 * 1024
# Of a transaction to which several changes are added. The rest is reserved, as the service may count bytes differently.
MAX_BATCH_BYTES = MAX_TRANSACTION_BYTES - 4 * 1024
CONDITIONS_PER_CHANGE = 4  # the service allows this many times as many conditions as changes


@dataclass(frozen=True, slots=True)
class TransactionLimits:
    """What the state service accepts in one transaction."""

    changes: int
    value_bytes: int  # of each value

    @property
    def conditions(self) -> int:
        return CONDITIONS_PER_CHANGE * self.changes

    def violation(self, transaction: Transaction, encoded_bytes: int) -> str | None:
        """Which limit the transaction exceeds, or None if the service accepts it."""
        if encoded_bytes > MAX_TRANSACTION_BYTES:
            return f"{encoded_bytes} bytes, at most {MAX_TRANSACTION_BYTES} are allowed"
        if len(transaction.writes) > self.changes:
            return f"{len(transaction.writes)} changes, at most {self.changes} are allowed"
        if len(transaction.conditions) > self.conditions:
            return f"{len(transaction.conditions)} conditions, at most {self.conditions} are allowed"
        for write in transaction.writes:
            if isinstance(write, Put) and len(bytes(write.value)) > self.value_bytes:
                return (
                    f"{write.key}: a value of {len(bytes(write.value))} bytes, at most {self.value_bytes} are allowed"
                )
        return None


class TransactionBuilder:
    """Collects changes for one transaction for as long as they fit.

    ``max_changes`` may be lower than the limit of the service. A first change is always taken, however large it is:
    if it exceeds a limit, no batching helps, and the commit rejects it.
    """

    def __init__(self, limits: TransactionLimits, max_changes: int, conditions: Sequence[KeyVersion] = ()) -> None:
        self._limits = limits
        self._max_changes = min(max_changes, limits.changes)
        self._conditions = list(conditions)
        self._writes: list[Put | Delete] = []
        self._bytes = len(encode(Transaction([], []))) + _encoded_bytes(self._conditions)

    def add(self, conditions: Sequence[KeyVersion], writes: Sequence[Put | Delete]) -> bool:
        """Adds the writes and their conditions; adds nothing and returns False if they do not fit."""
        added_bytes = _encoded_bytes(conditions) + _encoded_bytes(writes)
        if self._writes and (
            len(self._writes) + len(writes) > self._max_changes
            or len(self._conditions) + len(conditions) > self._limits.conditions
            or self._bytes + added_bytes > MAX_BATCH_BYTES
        ):
            return False
        self._conditions += conditions
        self._writes += writes
        self._bytes += added_bytes
        return True


def _encoded_bytes(items: Sequence[KeyVersion | Put | Delete]) -> int:
    """The bytes that the items take in an encoded transaction, with a comma after each."""
    return sum(len(encode(item)) + 1 for item in items)
