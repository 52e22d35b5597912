"""Large arrays near their end, and an ordinary job; then all controllers are away for longer than their sessions."""

import asyncio
import base64
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.platform_standins import NODES, make_job, run_case

LARGE = 4  # arrays of 100,000 tasks, each with one task left
AWAY_S = 13.5  # a session's lease is 12 s
MAX_LATE_S = 60.0  # PROTOCOL: a job is called done 3 s after its last task has completed


def put_history(platform):
    """The keys that the state service holds after the arrays have run nearly to their end.

    They were accepted and claimed by the previous process of hearth-0, whose session is still open.
    """
    now, state = time.time(), platform.state
    state._last_lease = lease = 1
    state.leases[lease] = (12.0, time.monotonic() + 12.0)
    state.put("gs/n/hearth-0", {"started": now - 3600, "lease": lease}, lease)
    session = state.epoch
    state.put("gs/term", {"term": 7, "holder": "hearth-0", "session": session})
    for number in range(LARGE):
        job = make_job(number, Pieces=100_000, Cpus=1.0, MemoryGb=1.0, GuessS=20.0)
        platform.jobs[job["Ref"]] = job
        spec = {name: value for name, value in job.items() if value is not None}
        bits = bytearray(b"\xff" * 12_500)
        bits[-1] = 0x7F  # task 99,999 is left
        state.put(
            f"gs/j/{job['Ref']}",
            {
                "spec": spec, "status": "running", "attempt": 1, "claimant": ["hearth-0", session],
                "submitted": now - 3000, "first_term": 7, "claim_term": 7, "finished": base64.b64encode(bits).decode(),
            },
        )  # fmt: skip
    platform.record(f"state service: {LARGE} arrays of 100,000 tasks with one task left each, claimed by hearth-0")


async def case(platform, trouble):
    put_history(platform)
    await platform.start()
    if not await platform.wait_until_healthy():
        return None
    ordinary = make_job(412, Pieces=3, GuessS=20.0)
    if not await platform.submit_until_accepted(ordinary, nodes=("hearth-0",)):
        return None
    jobs = list(platform.jobs)
    end = time.monotonic() + 12
    while time.monotonic() < end and not all(platform.started_pieces.get(job) for job in jobs):
        await asyncio.sleep(0.1)
    for job in jobs:
        status, answer = await platform.status("hearth-1", job)
        if status != 200 or answer["Status"] in ("done", "aborted"):
            return None
    if trouble:
        for name in NODES:
            platform.kill_node(name)
        await asyncio.sleep(AWAY_S)
        for name in NODES:
            platform.start_node(name)
        if not await platform.wait_until_healthy():
            return None
    platform.record("all controllers are healthy; from now on nothing disturbs them")
    end = time.monotonic() + MAX_LATE_S
    waiting = set(jobs)
    while waiting and time.monotonic() < end:
        await asyncio.sleep(5)
        for job in sorted(waiting):
            status, answer = await platform.status(NODES[int(time.monotonic()) % 3], job)
            if status == 200 and answer["Status"] == "done":
                waiting.discard(job)
    late = False
    for job in sorted(waiting):
        pieces = 1 if platform.jobs[job]["Pieces"] == 100_000 else 3
        done = len(platform.done_pieces.get(job, ()))
        since = time.monotonic() - platform.done_at.get(job, time.monotonic())
        late = late or (done == pieces and since > 30)
        platform.record(f"{job}: not done; {done} of its {pieces} last tasks have completed, {since:.0f} s ago")
    platform.record(f"commits refused by the state service with 400: {len(platform.state.refused)}")
    if waiting and not late:
        return None  # the tasks themselves have not completed: nothing can be said
    return not waiting


case.options = {"boot_s": 1.0}

if __name__ == "__main__":
    run_case(case)
