"""What users meet: submit, ask, cancel, health.

Nothing is answered by guess: an unknown id is 404 only after a read sent after
the question came, and what can't be decided now is 503 at once, with the time to
come back.
"""

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any

from gingerspar.coordination.jobs.claims import ClaimManager, cancelled
from gingerspar.protocol import messages
from gingerspar.protocol.messages import (
    JobSpec,
    JobState,
    JobStatus,
    JobView,
    KeyVersion,
    MachineType,
    Malformed,
    Put,
    Shape,
    Transaction,
)
from gingerspar.protocol.settings import TeamFacts
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseExpired, OutcomeUnknown, StateClient, Unavailable
from gingerspar.storage.records import FinalRecord, JobRecord
from gingerspar.storage.view import Phase, WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer

log = logging.getLogger(__name__)

MOST_WAITING = 400  # submissions queued before the door says 429
TXN_BYTES = 56 * 1024  # of the 64 KiB a transaction may have
QUESTION_STEP = timedelta(milliseconds=200)  # so often those are looked for that have waited too long
POLL_WAIT = timedelta(seconds=1.6)  # users wait 2 s for an answer
WRITE_WAIT = timedelta(seconds=3.5)  # ... and 5 s for a submission
# How long a submission's transaction is waited for, time after time. A quarter of all had no answer on
# bench/days/late-writes, and 0.58 of the submissions were accepted within a second.
SAID_AGAIN = (timedelta(seconds=0.25), timedelta(seconds=0.5), timedelta(seconds=1.5))
ALONE = timedelta(seconds=6)  # without the state service and all peers for so long: others may do better
STATE_UNAVAILABLE_AFTER = timedelta(seconds=2.5)  # without a read for so long: no state service


def error_answer(status: int, text: str, retry_after: int | None = None) -> Answer:
    headers = {} if retry_after is None else {"Retry-After": str(retry_after)}
    return Answer(status, messages.encode({"error": text}), headers)


RECORD_UNREADABLE = error_answer(503, "the record is of a newer release", 5)  # never a guess, and never 404


def rejection_reason(spec: JobSpec, teams: dict[str, TeamFacts], types: dict[str, MachineType]) -> str | None:
    """Why a job can never run, or None."""
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    if not any(fits_machine_type(spec, kind) for kind in types.values()):
        return "a task fits no allowed machine type"
    count = 1 if spec.shape is Shape.ARRAY else spec.tasks
    if team.cpus_max and spec.cpus * count > team.cpus_max + 1e-9:
        return "more CPUs than the team's limit"
    if team.gpus_max and spec.gpus * count > team.gpus_max + 1e-9:
        return "more GPUs than the team's limit"
    return None


def fits_machine_type(spec: JobSpec, kind: MachineType) -> bool:
    """Type, zone and size; not whether there is room now."""
    if spec.types is not None and kind.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone not in kind.zones:
        return False
    return spec.cpus <= kind.cpus + 1e-9 and spec.gpus <= kind.gpus + 1e-9 and spec.memory_gb <= kind.memory_gb + 1e-9


class _Submission:
    __slots__ = ("answer", "record")

    def __init__(self, record: JobRecord) -> None:
        self.record = record
        self.answer: asyncio.Future[bool | None] = asyncio.get_running_loop().create_future()


class _Question:
    __slots__ = ("answer", "due", "job")

    def __init__(self, job: str, due: timedelta) -> None:
        self.job = job
        self.due = due
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()


class JobApi:
    """Runs in every node."""

    def __init__(
        self, client: StateClient, view: WatchedView, claims: ClaimManager, clock: Clock, teams: dict[str, TeamFacts]
    ) -> None:
        self._client = client
        self._view = view
        self._claims = claims
        self._clock = clock
        self._teams = teams
        self._queue: deque[_Submission] = deque()
        self._queued = asyncio.Event()
        self._questions: deque[_Question] = deque()  # in the order in which they came, so also in that of their ends
        self._asked = asyncio.Event()
        self.types: Callable[[], dict[str, MachineType]] = dict
        self.running: Callable[[str], int] = lambda job: 0
        self.peer_has_state: Callable[[], bool] = lambda: False
        self.has_peer_contact: Callable[[], bool] = lambda: True  # or has none
        self.notify_cancelled: Callable[[str, int, JobRecord], None] = lambda job, version, record: None

    # -- health ---------------------------------------------------------------

    def health(self) -> Answer:
        """Unhealthy only where another node could do better, or where that can't be told for long.

        A node without the state service and without any peer used to stay healthy, and its users were told
        nothing for as long as its cut lasted. Where all are like that, users lose the 3 s after which the
        load balancer takes a node up again, once.
        """
        if self._has_state():
            return Answer(200, b'{"ok":true}')
        told = self._view.phase is Phase.FOLLOWING and not self.peer_has_state()
        if told and (self.has_peer_contact() or self._view.age() < ALONE):
            return Answer(200, b'{"ok":true}')
        return error_answer(503, "no state service", 1)

    def _has_state(self) -> bool:
        return self._view.phase is Phase.FOLLOWING and self._view.age() < STATE_UNAVAILABLE_AFTER

    # -- submissions ----------------------------------------------------------

    async def submit(self, content: bytes) -> Answer:
        try:
            body = messages.read_json(content)
        except Malformed as error:
            return error_answer(400, str(error))
        job = messages.job_id_in(body)
        spec, refusal = self._check(body)
        if job is None:
            return refusal or error_answer(400, "Ref: not a job id")
        known = self._view.status_of(job)
        if known is not None and known.final:
            return self._state(200, job, known)
        if not self._has_state():
            return error_answer(503, "no state service", 1)
        if job in self._view.unreadable:
            return RECORD_UNREADABLE
        if known is not None or spec is None:
            # An accepted job's id wins over whatever is wrong with this body.
            if not await self._view.barrier(POLL_WAIT):
                return error_answer(503, "no state service", 1)
            known = self._view.status_of(job)
            if known is not None:
                return self._state(200, job, known)
            return refusal or error_answer(503, "try again", 1)
        ahead = len(self._queue) / self._client.write_rate
        if len(self._queue) >= MOST_WAITING or ahead > WRITE_WAIT.total_seconds():
            # It would not be committed before its user gives up: say so now, not then.
            return error_answer(429, "too many submissions", max(1, math.ceil(ahead - WRITE_WAIT.total_seconds())))
        return await self._accept(spec)

    def _check(self, body: Any) -> tuple[JobSpec | None, Answer | None]:
        try:
            spec = messages.parse_job(body)
        except Malformed as error:
            log.info("malformed submission: %s", error)
            return None, error_answer(400, str(error))
        types = self.types()
        if not types:
            return None, error_answer(503, "machine types are not known yet", 1)
        reason = rejection_reason(spec, self._teams, types)
        return (spec, None) if reason is None else (None, error_answer(422, reason))

    async def _accept(self, spec: JobSpec) -> Answer:
        record = JobRecord(spec=spec, status=JobStatus.PENDING, submitted=self._clock.today().timestamp())
        waiting = _Submission(record)
        self._queue.append(waiting)
        self._queued.set()
        try:
            fresh = await asyncio.wait_for(waiting.answer, WRITE_WAIT.total_seconds())
        except TimeoutError:
            fresh = None
        if fresh is None:
            return error_answer(503, "not accepted yet", 1)
        if fresh:
            log.debug("accepted %s %s %s tasks=%d", spec.job, spec.jobclass, spec.image, spec.tasks)
            return self._state(201, spec.job, JobStatus.PENDING)
        known = self._view.status_of(spec.job)
        return self._state(200, spec.job, known) if known is not None else error_answer(503, "try again", 1)

    async def run_submissions(self) -> None:
        """Commits what has gathered, several records a transaction."""
        while True:
            await self._queued.wait()
            batch: list[_Submission] = []
            size = 0
            while self._queue and len(batch) < self._client.most_puts:
                size += len(records.pack(self._queue[0].record)) + 200
                if batch and size > TXN_BYTES:
                    break
                waiting = self._queue.popleft()
                if not waiting.answer.done():
                    batch.append(waiting)
            if not self._queue:
                self._queued.clear()
            if batch:
                await self._commit_submissions(batch)

    async def _commit_submissions(self, batch: list[_Submission]) -> None:
        unique = {waiting.record.spec.job: waiting for waiting in batch}
        for tries, patience in enumerate(SAID_AGAIN):
            conditions = [KeyVersion(records.job_key(job), 0) for job in unique]
            puts = [Put(records.job_key(job), records.pack(waiting.record)) for job, waiting in unique.items()]
            try:
                version = await self._client.commit(Transaction(conditions, [*puts]), Urgency.USER, patience)
            except Conflict as conflict:
                # Known already (a repeat, or our own write whose answer was lost).
                known = {key[len(records.JOBS) :] for key in conflict.failed}
                for job in known if tries else ():
                    self._claims.add_accepted(job)
                seen = await self._view.barrier(timedelta(seconds=1))
                for waiting in batch:
                    if waiting.record.spec.job in known and not waiting.answer.done():
                        waiting.answer.set_result(False if seen else None)
                unique = {job: waiting for job, waiting in unique.items() if job not in known}
                if not unique or not known:
                    break
                continue
            except (Unavailable, LeaseExpired):
                break
            except OutcomeUnknown:
                continue  # conditional: if it was applied, the repeat shows it
            for put in puts:
                self._view.apply(put.key, bytes(put.value), version)
            for job in unique:
                self._claims.add_accepted(job)
            for waiting in batch:
                if waiting.record.spec.job in unique and not waiting.answer.done():
                    waiting.answer.set_result(waiting is unique[waiting.record.spec.job])
            return
        for waiting in batch:
            if not waiting.answer.done():
                waiting.answer.set_result(None)

    # -- questions ------------------------------------------------------------

    def status(self, job: str) -> Answer | asyncio.Future[Answer]:
        """How a job fares, as a read of the state service shows that is sent after the question came.

        Polls are a quarter of all requests on kerlann-fonts-fleet: they share the next read, and
        have neither a task nor a timer of their own.
        """
        if not messages.JOB_ID.fullmatch(job):
            return error_answer(404, "no such job")
        if job in self._view.final:
            return self._tell(job)  # that changes no more
        if not self._has_state():
            return error_answer(503, "no state service", 1)
        if job in self._view.unreadable:
            return RECORD_UNREADABLE
        question = _Question(job, self._clock.now() + POLL_WAIT)
        self._questions.append(question)
        self._asked.set()
        self._view.next_read().add_done_callback(partial(self._read_for, question))
        return question.answer

    def _read_for(self, question: _Question, read: asyncio.Future[None]) -> None:
        if not read.cancelled() and not question.answer.done():
            question.answer.set_result(self._tell(question.job))

    async def run_status_requests(self) -> None:
        """Answers those for which no read came in time."""
        while True:
            await self._asked.wait()
            self._asked.clear()
            while self._questions:
                await asyncio.sleep(QUESTION_STEP.total_seconds())
                now = self._clock.now()
                while self._questions and (self._questions[0].answer.done() or self._questions[0].due <= now):
                    question = self._questions.popleft()
                    if not question.answer.done():
                        question.answer.set_result(error_answer(503, "no state service", 1))

    def _tell(self, job: str) -> Answer:
        final = self._view.final.get(job)
        if final is not None:
            done = final.tasks if final.status is JobStatus.DONE else 0
            return Answer(200, messages.encode(JobView(job, final.status, done, 0)))
        entry = self._view.jobs.get(job)
        if entry is None:
            return error_answer(404, "no such job")
        running = self.running(job)
        status = JobStatus.RUNNING if running else JobStatus.PENDING
        return Answer(200, messages.encode(JobView(job, status, len(entry.finished), running)))

    # -- cancellations --------------------------------------------------------

    async def cancel(self, job: str) -> Answer:
        if not messages.JOB_ID.fullmatch(job):
            return error_answer(404, "no such job")
        deadline = self._clock.now() + WRITE_WAIT
        while True:
            final = self._view.final.get(job)
            if final is not None:
                return self._over(job, final)
            if not self._has_state() or self._clock.now() >= deadline:
                break
            if job in self._view.unreadable:
                return RECORD_UNREADABLE
            entry = self._view.jobs.get(job)
            if entry is None:
                if not await self._view.barrier(POLL_WAIT):
                    break
                if self._view.status_of(job) is None:
                    return error_answer(404, "no such job")
                continue
            put = Put(records.job_key(job), records.pack(cancelled(entry)))
            try:
                version = await self._client.commit(
                    Transaction([KeyVersion(put.key, entry.version)], [put]), Urgency.USER
                )
            except (Conflict, OutcomeUnknown):
                await self._view.barrier(timedelta(seconds=1))
                continue
            except (Unavailable, LeaseExpired):
                break
            self._view.apply(put.key, bytes(put.value), version)
        return error_answer(503, "not cancelled yet", 1)

    def _over(self, job: str, final: FinalRecord) -> Answer:
        """What a cancellation is answered; whoever confirms one tells the peers.

        Not only who has written it: its transaction may have been carried out without an answer, or by a controller
        that has ended since, and then a leader without the state service was never told.
        """
        if final.status is JobStatus.CANCELLED:
            record = JobRecord(final.footprint.spec(job, final.tasks), JobStatus.CANCELLED)
            self.notify_cancelled(job, final.version, record)
        return self._state(200, job, final.status)

    def _state(self, status: int, job: str, known: JobStatus) -> Answer:
        if not known.final:
            known = JobStatus.RUNNING if self.running(job) else JobStatus.PENDING
        return Answer(status, messages.encode(JobState(job, known)))
