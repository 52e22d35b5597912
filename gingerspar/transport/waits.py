"""Waiting for an event with a timeout, without creating a task.

``asyncio.wait_for`` creates a task for each coroutine that it waits for; at several hundred
waits a second, these tasks were a considerable part of a node's processor time.
"""

import asyncio
from datetime import timedelta


async def wait_for_event(event: asyncio.Event, timeout: timedelta) -> bool:
    """Returns True if the event is set before ``timeout`` has passed."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            await event.wait()
    except TimeoutError:
        return False
    return True
