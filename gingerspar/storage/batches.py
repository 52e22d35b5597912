"""Commits several items in one transaction in such a way that one bad item does not hold up the others."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from gingerspar.storage.client import Rejected

Item = TypeVar("Item")


async def commit_in_parts(
    items: Sequence[Item],
    commit: Callable[[Sequence[Item]], Awaitable[None]],
    on_rejected: Callable[[Item, Rejected], None],
) -> None:
    """Calls ``commit`` with all items and, if that is rejected, with ever smaller parts of them.

    ``on_rejected`` gets each item whose transaction is rejected although it is alone in it. All other errors of
    ``commit`` are raised at once, and the remaining parts are not committed.
    """
    try:
        await commit(items)
    except Rejected as error:
        if len(items) == 1:
            on_rejected(items[0], error)
            return
        middle = len(items) // 2
        await commit_in_parts(items[:middle], commit, on_rejected)
        await commit_in_parts(items[middle:], commit, on_rejected)
