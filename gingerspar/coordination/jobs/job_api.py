"""The user-facing job API: submission, status, cancellation and health.

Every answer is based on confirmed state. An unknown job id gets 404 only after a read
that was sent after the request arrived. A request that cannot be decided now gets 503
at once, with a Retry-After time.
"""

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import partial
from typing import Any

from gingerspar.coordination.jobs.claims import ClaimManager
from gingerspar.coordination.jobs.record_changes import cancelled
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
from gingerspar.storage.batches import commit_in_parts
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseExpired, OutcomeUnknown, Rejected, StateClient, Unavailable
from gingerspar.storage.records import FinalRecord, JobRecord
from gingerspar.storage.view import Phase, WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer

log = logging.getLogger(__name__)

MAX_QUEUED_SUBMISSIONS = 400  # further submissions get 429
EXPIRY_CHECK_INTERVAL = timedelta(milliseconds=200)  # between two checks for status requests past their deadline
READ_TIMEOUT = timedelta(seconds=1.6)  # users wait 2 s for the answer to a status request
WRITE_TIMEOUT = timedelta(seconds=3.5)  # users wait 5 s for the answer to a submission
# Timeouts of the successive attempts to commit a submission's transaction. On bench/days/late-writes, a quarter
# of all transactions had no answer, and 0.58 of the submissions were accepted within a second.
COMMIT_TIMEOUTS = (timedelta(seconds=0.25), timedelta(seconds=0.5), timedelta(seconds=1.5))
# A node without the state service and without any peer for this long reports itself unhealthy, because other
# nodes may be able to serve its users.
ISOLATED_UNHEALTHY_AFTER = timedelta(seconds=6)
# The state service counts as unavailable once the last successful read was sent this long ago.
STATE_UNAVAILABLE_AFTER = timedelta(seconds=2.5)


def error_answer(status: int, text: str, retry_after: int | None = None) -> Answer:
    """An answer with an error text; ``retry_after`` is in seconds."""
    headers = {} if retry_after is None else {"Retry-After": str(retry_after)}
    return Answer(status, messages.encode({"error": text}), headers)


# The job exists, but its state cannot be read: neither a state nor 404 would be right.
RECORD_UNREADABLE = error_answer(503, "the record is of a newer release", 5)


def rejection_reason(spec: JobSpec, teams: dict[str, TeamFacts], types: dict[str, MachineType]) -> str | None:
    """Why a job can never run, or None if it can."""
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    if not any(fits_machine_type(spec, machine_type) for machine_type in types.values()):
        return "a task fits no allowed machine type"
    count = 1 if spec.shape is Shape.ARRAY else spec.tasks
    if team.cpus_max and spec.cpus * count > team.cpus_max + 1e-9:
        return "more CPUs than the team's limit"
    if team.gpus_max and spec.gpus * count > team.gpus_max + 1e-9:
        return "more GPUs than the team's limit"
    return None


def fits_machine_type(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether type, zone and size of the machine suit a task; free capacity is not considered."""
    if spec.types is not None and machine_type.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone not in machine_type.zones:
        return False
    return (
        spec.cpus <= machine_type.cpus + 1e-9
        and spec.gpus <= machine_type.gpus + 1e-9
        and spec.memory_gb <= machine_type.memory_gb + 1e-9
    )


class _Submission:
    __slots__ = ("answer", "record")

    def __init__(self, record: JobRecord) -> None:
        self.record = record
        # True: created by this submission. False: the job existed already. None: not known in time.
        self.answer: asyncio.Future[bool | None] = asyncio.get_running_loop().create_future()


class _StatusRequest:
    __slots__ = ("answer", "deadline", "job")

    def __init__(self, job: str, deadline: timedelta) -> None:
        self.job = job
        self.deadline = deadline
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()


class JobApi:
    """Serves users' job requests; every node runs one."""

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
        # In order of arrival, which is also the order of the deadlines.
        self._status_requests: deque[_StatusRequest] = deque()
        self._request_added = asyncio.Event()
        self.machine_types: Callable[[], dict[str, MachineType]] = dict
        self.running_task_count: Callable[[str], int] = lambda job: 0
        self.peer_has_state: Callable[[], bool] = lambda: False
        self.has_peer_contact: Callable[[], bool] = lambda: True  # also true where the node has no peers
        self.notify_cancelled: Callable[[str, int, JobRecord], None] = lambda job, version, record: None

    # -- health ---------------------------------------------------------------

    def health(self) -> Answer:
        """The health check: 503 only if another node can serve users better, or if that is unknown for too long.

        A node without the state service and without contact to any peer used to stay healthy, and its users got
        no useful answer for as long as the partition lasted. If all nodes are in that state, users lose
        3 s once, because the load balancer readmits a node after that time.
        """
        if self._has_state():
            return Answer(200, b'{"ok":true}')
        no_better_peer = self._view.phase is Phase.FOLLOWING and not self.peer_has_state()
        if no_better_peer and (self.has_peer_contact() or self._view.age() < ISOLATED_UNHEALTHY_AFTER):
            return Answer(200, b'{"ok":true}')
        return error_answer(503, "no state service", 1)

    def _has_state(self) -> bool:
        return self._view.phase is Phase.FOLLOWING and self._view.age() < STATE_UNAVAILABLE_AFTER

    # -- submissions ----------------------------------------------------------

    async def submit(self, content: bytes) -> Answer:
        """Accepts a job: 201 if it is new, 200 with its state if its id is known, otherwise an error answer."""
        try:
            body = messages.read_json(content)
        except Malformed as error:
            return error_answer(400, str(error))
        job = messages.job_id_in(body)
        spec, refusal = self._check(body)
        if job is None:
            return refusal or error_answer(400, "Ref: not a job id")
        known_status = self._view.status_of(job)
        if known_status is not None and known_status.final:
            return self._state_answer(200, job, known_status)
        if not self._has_state():
            return error_answer(503, "no state service", 1)
        if job in self._view.unreadable:
            return RECORD_UNREADABLE
        if known_status is not None or spec is None:
            # The id of an accepted job is answered with its state, even if this body is invalid.
            if not await self._view.barrier(READ_TIMEOUT):
                return error_answer(503, "no state service", 1)
            known_status = self._view.status_of(job)
            if known_status is not None:
                return self._state_answer(200, job, known_status)
            return refusal or error_answer(503, "try again", 1)
        queue_delay_s = len(self._queue) / self._client.write_rate
        if len(self._queue) >= MAX_QUEUED_SUBMISSIONS or queue_delay_s > WRITE_TIMEOUT.total_seconds():
            # The submission would not be committed before its user gives up, so it is rejected at once.
            return error_answer(
                429, "too many submissions", max(1, math.ceil(queue_delay_s - WRITE_TIMEOUT.total_seconds()))
            )
        return await self._enqueue(spec)

    def _check(self, body: Any) -> tuple[JobSpec | None, Answer | None]:
        try:
            spec = messages.parse_job(body)
        except Malformed as error:
            log.info("malformed submission: %s", error)
            return None, error_answer(400, str(error))
        size, max_size = records.description_bytes(spec), records.max_description_bytes(self._client.value_bytes)
        if size > max_size:
            return None, error_answer(400, f"the description takes {size} bytes, at most {max_size} can be stored")
        types = self.machine_types()
        if not types:
            return None, error_answer(503, "machine types are not known yet", 1)
        reason = rejection_reason(spec, self._teams, types)
        return (spec, None) if reason is None else (None, error_answer(422, reason))

    async def _enqueue(self, spec: JobSpec) -> Answer:
        record = JobRecord(spec=spec, status=JobStatus.PENDING, submitted=self._clock.utc_now().timestamp())
        submission = _Submission(record)
        self._queue.append(submission)
        self._queued.set()
        try:
            created = await asyncio.wait_for(submission.answer, WRITE_TIMEOUT.total_seconds())
        except TimeoutError:
            created = None
        if created is None:
            return error_answer(503, "not accepted yet", 1)
        if created:
            log.debug("accepted %s %s %s tasks=%d", spec.job, spec.jobclass, spec.image, spec.tasks)
            return self._state_answer(201, spec.job, JobStatus.PENDING)
        known_status = self._view.status_of(spec.job)
        return (
            self._state_answer(200, spec.job, known_status)
            if known_status is not None
            else error_answer(503, "try again", 1)
        )

    async def run_submissions(self) -> None:
        """Commits the queued submissions, several records in each transaction."""
        while True:
            await self._queued.wait()
            batch = self._next_submissions()
            if not self._queue:
                self._queued.clear()
            if batch:
                await commit_in_parts(batch, self._commit_submissions, self._submission_rejected)

    def _next_submissions(self) -> list[_Submission]:
        """Takes submissions from the queue, as many as fit into one transaction."""
        batch: list[_Submission] = []
        transaction = self._client.transaction([])
        while self._queue:
            submission = self._queue[0]
            if not submission.answer.done():
                key = records.job_key(submission.record.spec.job)
                if not transaction.add([KeyVersion(key, 0)], [Put(key, records.pack(submission.record))]):
                    break
                batch.append(submission)
            self._queue.popleft()
        return batch

    @staticmethod
    def _submission_rejected(submission: _Submission, error: Rejected) -> None:
        log.error("submission of %s can't be stored: %s", submission.record.spec.job, error)
        if not submission.answer.done():
            submission.answer.set_result(None)

    async def _commit_submissions(self, batch: Sequence[_Submission]) -> None:
        """Commits the submissions in one transaction and resolves their answers. Raises ``Rejected``."""
        by_job = {submission.record.spec.job: submission for submission in batch}
        for previous_attempts, timeout in enumerate(COMMIT_TIMEOUTS):
            conditions = [KeyVersion(records.job_key(job), 0) for job in by_job]
            puts = [Put(records.job_key(job), records.pack(submission.record)) for job, submission in by_job.items()]
            try:
                version = await self._client.commit(Transaction(conditions, [*puts]), Urgency.USER, timeout)
            except Conflict as conflict:
                # The job exists already: a repeated submission, or our own write whose answer was lost.
                existing = {key[len(records.JOBS) :] for key in conflict.failed}
                for job in existing if previous_attempts else ():
                    self._claims.add_accepted(job)
                view_is_current = await self._view.barrier(timedelta(seconds=1))
                for submission in batch:
                    if submission.record.spec.job in existing and not submission.answer.done():
                        submission.answer.set_result(False if view_is_current else None)
                by_job = {job: submission for job, submission in by_job.items() if job not in existing}
                if not by_job or not existing:
                    break
                continue
            except Rejected:
                raise
            except (Unavailable, LeaseExpired):
                break
            except OutcomeUnknown:
                continue  # the write is conditional: if it was applied, the next attempt conflicts
            for put in puts:
                self._view.apply(put.key, bytes(put.value), version)
            for job in by_job:
                self._claims.add_accepted(job)
            for submission in batch:
                if submission.record.spec.job in by_job and not submission.answer.done():
                    submission.answer.set_result(submission is by_job[submission.record.spec.job])
            return
        for submission in batch:
            if not submission.answer.done():
                submission.answer.set_result(None)

    # -- status requests ------------------------------------------------------

    def status(self, job: str) -> Answer | asyncio.Future[Answer]:
        """The state of a job, as shown by a read of the state service that is sent after the request arrived.

        Status requests are a quarter of all requests on kerlann-fonts-fleet. They share the next read and
        have no task or timer of their own.
        """
        if not messages.JOB_ID.fullmatch(job):
            return error_answer(404, "no such job")
        if job in self._view.final:
            return self._status_answer(job)  # a final record does not change
        if not self._has_state():
            return error_answer(503, "no state service", 1)
        if job in self._view.unreadable:
            return RECORD_UNREADABLE
        request = _StatusRequest(job, self._clock.now() + READ_TIMEOUT)
        self._status_requests.append(request)
        self._request_added.set()
        self._view.next_read().add_done_callback(partial(self._answer_after_read, request))
        return request.answer

    def _answer_after_read(self, request: _StatusRequest, read: asyncio.Future[None]) -> None:
        if not read.cancelled() and not request.answer.done():
            request.answer.set_result(self._status_answer(request.job))

    async def run_status_requests(self) -> None:
        """Answers 503 to status requests for which no read came before their deadline."""
        while True:
            await self._request_added.wait()
            self._request_added.clear()
            while self._status_requests:
                await asyncio.sleep(EXPIRY_CHECK_INTERVAL.total_seconds())
                now = self._clock.now()
                while self._status_requests and (
                    self._status_requests[0].answer.done() or self._status_requests[0].deadline <= now
                ):
                    request = self._status_requests.popleft()
                    if not request.answer.done():
                        request.answer.set_result(error_answer(503, "no state service", 1))

    def _status_answer(self, job: str) -> Answer:
        final = self._view.final.get(job)
        if final is not None:
            done = final.tasks if final.status is JobStatus.DONE else 0
            return Answer(200, messages.encode(JobView(job, final.status, done, 0)))
        entry = self._view.jobs.get(job)
        if entry is None:
            return error_answer(404, "no such job")
        running = self.running_task_count(job)
        status = JobStatus.RUNNING if running else JobStatus.PENDING
        return Answer(200, messages.encode(JobView(job, status, len(entry.finished), running)))

    # -- cancellations --------------------------------------------------------

    async def cancel(self, job: str) -> Answer:
        """Cancels a job: 200 with its final state, which is done if it had finished, otherwise an error answer."""
        if not messages.JOB_ID.fullmatch(job):
            return error_answer(404, "no such job")
        deadline = self._clock.now() + WRITE_TIMEOUT
        while True:
            final = self._view.final.get(job)
            if final is not None:
                return self._cancel_answer(job, final)
            if not self._has_state() or self._clock.now() >= deadline:
                break
            if job in self._view.unreadable:
                return RECORD_UNREADABLE
            entry = self._view.jobs.get(job)
            if entry is None:
                if not await self._view.barrier(READ_TIMEOUT):
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

    def _cancel_answer(self, job: str, final: FinalRecord) -> Answer:
        """The answer to a cancellation of an ended job; a node that confirms a cancellation also notifies the peers.

        It does so even if it did not write the cancellation itself: the transaction may have been applied without
        an answer, or written by a controller that has ended since. A leader without the state service was never
        notified in these cases.
        """
        if final.status is JobStatus.CANCELLED:
            record = JobRecord(final.footprint.spec(job, final.tasks), JobStatus.CANCELLED)
            self.notify_cancelled(job, final.version, record)
        return self._state_answer(200, job, final.status)

    def _state_answer(self, status: int, job: str, known_status: JobStatus) -> Answer:
        if not known_status.final:
            known_status = JobStatus.RUNNING if self.running_task_count(job) else JobStatus.PENDING
        return Answer(status, messages.encode(JobState(job, known_status)))
