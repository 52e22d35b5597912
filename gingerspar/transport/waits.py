"""Waiting with a bound, without a task of its own.

``asyncio.wait_for`` makes a task for each coroutine that it waits for; with some hundred
waits a second these were a good part of what a node spends.
"""

import asyncio
from datetime import timedelta


async def wait_for_event(event: asyncio.Event, span: timedelta) -> bool:
    """True if the event is set before ``span`` is over."""
    try:
        async with asyncio.timeout(span.total_seconds()):
            await event.wait()
    except TimeoutError:
        return False
    return True
