"""The rule on waiting jobs: none is left waiting for 90 s while a machine that fits has room and its team is under its
limit, once the troubles are over."""

import asyncio
from typing import Any

from review.common2.deployment import Deployment

MAX_WAIT_S = 90.0


async def longest_wait(
    deployment: Deployment, spec: dict[str, Any], seconds: float, *, until_done: bool = False
) -> float:
    """How long the job waits without a break, from now on: none of its tasks is on a machine, while one has room.

    Returns as soon as that is longer than ``MAX_WAIT_S``, as soon as a task of the job has begun (with ``until_done``:
    as soon as all have completed), or after ``seconds``.
    """
    prefix = spec["Ref"] + "/"
    began, longest, waiting_since = deployment.now(), 0.0, None
    polled_at = began
    while deployment.now() - began < seconds:
        await asyncio.sleep(0.25)
        now = deployment.now()
        if not until_done and any(piece.startswith(prefix) for piece in deployment.cloud.starts):
            break
        if until_done and sum(piece.startswith(prefix) for piece in deployment.cloud.done) == spec["Pieces"]:
            break
        room = [] if deployment.cloud.on_machines(spec["Ref"]) else deployment.cloud.room_for(spec)
        if not room:
            waiting_since = None
        elif waiting_since is None:
            waiting_since = now
            deployment.log("room", spec["Ref"], f"on {' '.join(room)}")
        else:
            longest = max(longest, now - waiting_since)
        if longest > MAX_WAIT_S:
            break
        if now - polled_at >= 5.0:
            polled_at = now
            await deployment.status(spec["Ref"])
    return longest
