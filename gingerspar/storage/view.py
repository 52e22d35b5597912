"""A copy of all keys that controllers store in the state service, kept up to date by reading its changes.

One loop polls ``/changes`` at a regular interval, and earlier when a caller waits for a read sent after its call
(``barrier``, ``next_read``). The requests don't ask the service to wait for changes. The age of the view is measured
from the time at which the last successful read was sent, because its answer may lack changes made after that.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from datetime import timedelta
from enum import Enum
from typing import ParamSpec

import msgspec

from gingerspar.protocol.messages import MAX_TASKS, Changes, Item, JobSpec, JobStatus
from gingerspar.storage import records
from gingerspar.storage.client import OutcomeUnknown, RevisionCompacted, StateClient, Unavailable
from gingerspar.storage.records import (
    ChunkRecord,
    FinalRecord,
    Footprint,
    JobRecord,
    NodeRecord,
    RosterRecord,
    TermRecord,
)
from gingerspar.storage.task_set import TaskSet
from gingerspar.transport.clock import Clock
from gingerspar.transport.waits import wait_for_event

log = logging.getLogger(__name__)

P = ParamSpec("P")

NEVER = timedelta(days=-10000)  # value of ``read_sent`` before the first read
READ_TIMEOUT = timedelta(seconds=1.5)  # without an answer within this time, a read has failed
# If the read interval is longer than this, ``next_read`` triggers a read before the interval has passed.
READ_ON_DEMAND_ABOVE = timedelta(seconds=0.5)
READ_RETRY_AFTER = timedelta(seconds=0.3)  # without an answer within this time, a second read is sent


# Fraction of a node's even share of the request limit that the leader uses for regular reads.
LEADER_READ_SHARE = 0.30
# Fraction of a node's even share of the request limit that each other node uses for regular reads. These nodes seldom
# wait for changes written by peers.
FOLLOWER_READ_SHARE = 0.15


def read_interval(rps: float, nodes: int, share: float = LEADER_READ_SHARE) -> timedelta:
    """Interval between regular reads, by default of the leader.

    ``rps``: request limit of all ``nodes`` together, per second; ``share``: the fraction of a node's even share of it
    that goes into reads.
    """
    return timedelta(seconds=1 / max(rps / max(nodes, 1) * share, 0.5))


class Phase(Enum):
    """Whether the view is reading all keys, or the changes since."""

    LOADING = "loading"
    FOLLOWING = "following"


class Versioned(msgspec.Struct):
    """An unfinished job's decoded record, with its version and its set of finished tasks.

    The bitmap of finished tasks is held once, as ``finished``: ``record.finished`` is always empty.
    """

    record: JobRecord
    version: int
    finished: TaskSet


class _ChunkedBitmap:
    """The chunks of one job's bitmap that have been read."""

    __slots__ = ("tasks", "versions")

    def __init__(self) -> None:
        self.tasks = TaskSet(MAX_TASKS)  # the job's record, with the number of its tasks, may be read later
        self.versions: dict[int, int] = {}  # by chunk


class _PartialLoad:
    """What has been read of all keys so far."""

    __slots__ = ("items", "key_count", "revision", "since")

    def __init__(self) -> None:
        self.revision: int | None = None  # of the first page
        self.since: str | None = None  # the last key of the last page
        self.key_count = 0
        self.items: list[Item] = []  # those that are applied after the last page


class WatchedView:
    """The decoded values of all keys under ``records.PREFIX``, with their versions, on which writes are conditional.

    ``rps``: request limit of all ``nodes`` together, per second. The callbacks in ``on_job`` and ``on_node`` get the
    id of the job or node whose record has changed; those in ``on_term`` and ``on_read`` are called after a change of
    the term and after each successful read.
    """

    MAX_READ_SHARE = 0.50  # maximum fraction of a node's even share of the request limit used by reads

    def __init__(self, client: StateClient, clock: Clock, *, rps: float, nodes: int) -> None:
        self._client = client
        self._clock = clock
        node_rps = rps / max(nodes, 1)
        self._read_intervals = {True: read_interval(rps, nodes), False: read_interval(rps, nodes, FOLLOWER_READ_SHARE)}
        self._read_interval = self._read_intervals[False]
        self._min_read_interval = timedelta(seconds=1 / max(node_rps * self.MAX_READ_SHARE, 1.0))
        self.phase = Phase.LOADING
        self.revision = 0
        self.read_sent = NEVER  # when the last successful read was sent
        self.jobs: dict[str, Versioned] = {}  # unfinished jobs
        self.final: dict[str, FinalRecord] = {}  # ended jobs
        self.nodes: dict[str, int] = {}  # node -> version of its session key
        self.node_records: dict[str, NodeRecord] = {}
        self.roster: dict[str, tuple[RosterRecord, int]] = {}  # by key
        self.term: tuple[TermRecord, int] | None = None
        self.liveness: dict[str, timedelta] = {}  # by node: when its liveness mark was last read here
        self.unreadable: set[str] = set()  # jobs with a record of a newer release that can't be decoded
        self._tombstones: dict[str, int] = {}  # by key: version of an own deletion until the changes read include it
        self._chunks: dict[str, _ChunkedBitmap] = {}  # by job; only of unfinished ones
        self._footprints: dict[Footprint, Footprint] = {}  # one shared object for all equal footprints
        self._partial_load = _PartialLoad()
        self._read_requested = asyncio.Event()
        self._barriers: list[asyncio.Future[None]] = []
        self._shared_barrier: asyncio.Future[None] | None = None  # returned by ``next_read``, also in ``_barriers``
        self.on_job: list[Callable[[str], None]] = []
        self.on_node: list[Callable[[str], None]] = []
        self.on_term: list[Callable[[], None]] = []
        self.on_read: list[Callable[[], None]] = []
        self.listener_error_count = 0  # errors that listeners have raised

    def age(self) -> timedelta:
        """Time since the last successful read was sent."""
        return self._clock.now() - self.read_sent

    def set_commanding(self, commanding: bool) -> None:
        """Sets whether this node commands the machines; the leader reads more often."""
        self._read_interval = self._read_intervals[commanding]

    def next_read(self) -> asyncio.Future[None]:
        """Returns a future that is done once the next read sent after this call has been applied.

        There is no time limit. All callers before that read is sent share one future, so they must not cancel it.
        """
        if self._shared_barrier is None:
            self._shared_barrier = asyncio.get_running_loop().create_future()
            self._barriers.append(self._shared_barrier)
            if self._read_interval > READ_ON_DEMAND_ABOVE:
                self._read_requested.set()
        return self._shared_barrier

    async def barrier(self, timeout: timedelta) -> bool:
        """Requests a read as soon as possible and waits until one sent after this call has been applied.

        Returns False if that takes longer than ``timeout``.
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._barriers.append(future)
        self._read_requested.set()
        try:
            await asyncio.wait_for(future, timeout.total_seconds())
        except TimeoutError:
            if future in self._barriers:
                self._barriers.remove(future)
            return False
        return True

    async def follow(self) -> None:
        """Keeps the view up to date; runs until the process ends."""
        while True:
            sent = self._clock.now()
            served, self._barriers, self._shared_barrier = self._barriers, [], None
            self._read_requested.clear()
            read = False
            try:
                if self.phase is Phase.LOADING:
                    await self._load()
                else:
                    read = await self._read(sent)
            except (Unavailable, OutcomeUnknown) as error:
                log.debug("view: read failed: %s", error)
            except (msgspec.MsgspecError, ValueError):
                log.exception("view: unreadable answer from the state service")
            if read:
                for future in served:
                    if not future.done():
                        future.set_result(None)
            else:
                self._barriers = [future for future in served if not future.done()] + self._barriers
            await self._wait_before_next_read(sent, read)

    async def _wait_before_next_read(self, sent: timedelta, succeeded: bool) -> None:
        elapsed = self._clock.now() - sent
        min_wait_s = (self._min_read_interval - elapsed).total_seconds()
        if min_wait_s > 0:
            await asyncio.sleep(min_wait_s)
        if not succeeded:
            if self.phase is Phase.FOLLOWING:
                await asyncio.sleep(self._read_interval.total_seconds())
            return
        remaining_s = (self._read_interval - (self._clock.now() - sent)).total_seconds()
        if remaining_s > 0 and not self._read_requested.is_set():
            await wait_for_event(self._read_requested, timedelta(seconds=remaining_s))

    async def _fetch_changes(self, sent: timedelta) -> tuple[Changes, timedelta]:
        """Returns all new changes, and when the read that returned them was sent.

        A failing service answers some requests late or never, but usually answers a second read at
        once. Waiting for the first read alone made a leader give up its term (inc-8b9d).
        """
        reads = {self._start_read(): sent}
        try:
            done, _ = await asyncio.wait(reads, timeout=READ_RETRY_AFTER.total_seconds())
            if not done:
                reads[self._start_read()] = self._clock.now()
            waiting = set(reads)
            while True:
                done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                succeeded = [read for read in done if read.exception() is None]
                if succeeded or not waiting:
                    read = (succeeded or list(done))[0]
                    return read.result(), reads[read]
        finally:
            for read in reads:
                if not read.cancel() and not read.cancelled():
                    read.exception()  # marks a failure after the answer as retrieved, so that asyncio doesn't log it

    def _start_read(self) -> asyncio.Task[Changes]:
        return asyncio.ensure_future(self._client.changes(records.PREFIX, self.revision, READ_TIMEOUT))

    async def _read(self, sent: timedelta) -> bool:
        try:
            changes, sent = await self._fetch_changes(sent)
        except RevisionCompacted:
            log.info("view: the service no longer keeps the changes since the last read, loading all keys again")
            self.phase = Phase.LOADING
            return False
        for event in changes.events:
            if event.put is not None:
                self.apply(event.put, bytes(event.value), event.version)
            elif event.delete is not None:
                self.apply(event.delete, None, event.version)
        self.revision = max(self.revision, changes.revision)
        if self._tombstones:
            self._tombstones = {key: version for key, version in self._tombstones.items() if version > self.revision}
        self.read_sent = sent
        self._notify("read", self.on_read)
        return True

    async def _load(self) -> None:
        """Reads all keys, page by page; changes are then read from the first page's revision on.

        Records of ended jobs are applied with each page: there are far more of them than of all others, and they no
        longer change. So are chunks of bitmaps, which stay in the service when their jobs have ended and precede the
        job records. All other keys are applied together, after the last page.

        Raises ``Unavailable`` or ``OutcomeUnknown`` if a page is not read; the next call goes on with the same page. If
        each began with the first page, a node whose pages are refused at times would never finish (review/4).
        """
        load = self._partial_load
        while True:
            page = await self._client.page(records.PREFIX, load.since, 1000)
            if load.revision is None:
                load.revision = page.revision
            load.key_count += len(page.items)
            for item in page.items:
                if not self._apply_while_loading(item):
                    # A copy: the value refers to the whole page, which would stay in memory with it.
                    load.items.append(Item(item.key, item.value.copy(), item.version))
            if not page.more or not page.items:
                break
            load.since = page.items[-1].key
        self._partial_load = _PartialLoad()
        self._finish_load(load.items, load.revision)
        log.info("view: loaded %d keys at revision %d", load.key_count, load.revision)

    def _finish_load(self, items: list[Item], revision: int) -> None:
        """Applies the keys that are left after the last page; changes are read from ``revision`` on."""
        found = {item.key for item in items}
        for key, version in self._known_versions():
            if key not in found and version <= revision:
                self.apply(key, None, revision)
        for item in items:
            self.apply(item.key, bytes(item.value), item.version)
        self.revision = revision
        self.phase = Phase.FOLLOWING

    def _apply_while_loading(self, item: Item) -> bool:
        """Applies a chunk of a bitmap or the record of an ended job; returns False for any other key."""
        if item.key.startswith(records.FINISHED):
            self.apply(item.key, bytes(item.value), item.version)
            return True
        job = item.key.removeprefix(records.JOBS)
        if job == item.key:
            return False
        try:
            record = msgspec.json.decode(item.value, type=JobRecord)
        except msgspec.MsgspecError:
            return False
        if not record.status.final:
            return False
        if job not in self.final:
            self._apply_ended(job, record, item.version)
        return True

    def _apply_ended(self, job: str, record: JobRecord, version: int) -> None:
        self.unreadable.discard(job)
        self.jobs.pop(job, None)
        self._chunks.pop(job, None)
        footprint = records.footprint(record.spec)
        footprint = self._footprints.setdefault(footprint, footprint)
        self.final[job] = FinalRecord(record.status, record.spec.tasks, version, footprint)
        self._notify(f"record of {job}", self.on_job, job)

    def _known_versions(self) -> list[tuple[str, int]]:
        """Key and version of each unfinished job, node and roster group in the view."""
        versions = [(records.job_key(job), entry.version) for job, entry in self.jobs.items()]
        versions += [(records.node_key(node), version) for node, version in self.nodes.items()]
        versions += [(key, version) for key, (_, version) in self.roster.items()]
        return versions

    def apply(self, key: str, value: bytes | None, version: int) -> None:
        """Applies one change; ``value`` None is a deletion. Changes older than the known version have no effect."""
        if self._tombstones.get(key, -1) >= version:
            return
        if value is None and version > self.revision:
            self._tombstones[key] = version
        if key.startswith(records.JOBS):
            self._apply_job(key[len(records.JOBS) :], value, version)
        elif key.startswith(records.NODES):
            self._apply_node(key[len(records.NODES) :], value, version)
        elif key.startswith(records.ROSTER):
            self._apply_roster(key, value, version)
        elif key.startswith(records.FINISHED):
            self._apply_chunk(key[len(records.FINISHED) :], value, version)
        elif key.startswith(records.LIVENESS):
            self.liveness[key[len(records.LIVENESS) :]] = self._clock.now()
        elif key == records.TERM and value is not None and (self.term is None or self.term[1] < version):
            self.term = (msgspec.json.decode(value, type=TermRecord), version)
            self._notify("change of the term", self.on_term)

    def _notify(self, event: str, listeners: Iterable[Callable[P, None]], *args: P.args, **kwargs: P.kwargs) -> None:
        """Calls the listeners; an error of one of them stops neither the others nor the following of the changes."""
        for listener in listeners:
            try:
                listener(*args, **kwargs)
            except Exception:
                self.listener_error_count += 1
                log.exception("listener failed, %d times since the start: %s", self.listener_error_count, event)

    def _apply_job(self, job: str, value: bytes | None, version: int) -> None:
        known = self.jobs.get(job)
        if job in self.final or (known is not None and known.version >= version):
            return
        if value is None:
            return  # job records are never deleted
        try:
            record = msgspec.json.decode(value, type=JobRecord)
            finished = None if record.status.final else self._finished_tasks(record)
        except (msgspec.MsgspecError, ValueError) as error:
            # A single unreadable record must neither prevent the view from following the other records nor prevent
            # writes of other jobs that would share a transaction with it.
            if job not in self.unreadable:
                log.error("job record of %s can't be decoded: %s", job, error)
                self.unreadable.add(job)
                self.jobs.pop(job, None)
                self._notify(f"record of {job}", self.on_job, job)
            return
        if finished is None:
            self._apply_ended(job, record, version)
            return
        self.unreadable.discard(job)
        self.jobs[job] = Versioned(msgspec.structs.replace(record, finished=""), version, finished)
        self._notify(f"record of {job}", self.on_job, job)

    def _finished_tasks(self, record: JobRecord) -> TaskSet:
        """The finished tasks of an unfinished job. Raises ValueError if the bitmap can't be decoded."""
        finished = TaskSet(record.spec.tasks)
        if record.spilled:
            chunks = self._chunks.get(record.spec.job)
            if chunks is not None:
                finished.update(chunks.tasks)
        else:
            finished.merge(record.finished)
        return finished

    def _apply_node(self, node: str, value: bytes | None, version: int) -> None:
        if self.nodes.get(node, -1) >= version:
            return
        if value is None:
            self.nodes.pop(node, None)
            self.node_records.pop(node, None)
        else:
            self.node_records[node] = msgspec.json.decode(value, type=NodeRecord)
            self.nodes[node] = version
        self._notify(f"session of {node}", self.on_node, node)

    def _apply_roster(self, key: str, value: bytes | None, version: int) -> None:
        known = self.roster.get(key)
        if known is not None and known[1] >= version:
            return
        if value is None:
            self.roster.pop(key, None)
        else:
            self.roster[key] = (msgspec.json.decode(value, type=RosterRecord), version)

    def rostered_machines(self) -> list[tuple[str, str, str, bool]]:
        """Name, type, zone and whether it is a spot machine, of every machine that may run tasks."""
        return [(name, group.type, group.zone, group.spot) for group, _ in self.roster.values() for name in group.names]

    def _apply_chunk(self, name: str, value: bytes | None, version: int) -> None:
        job, _, number = name.rpartition("/")
        if value is None or job in self.final:
            return  # chunks are never deleted, and those of ended jobs mean nothing any more
        chunk = int(number)
        chunks = self._chunks.setdefault(job, _ChunkedBitmap())
        if chunks.versions.get(chunk, -1) >= version:
            return
        bits = msgspec.json.decode(value, type=ChunkRecord).bits
        first_byte = chunk * records.chunk_bytes(self._client.value_bytes)
        chunks.tasks.merge(bits, first_byte)
        chunks.versions[chunk] = version
        entry = self.jobs.get(job)
        if entry is not None and entry.record.spilled:
            entry.finished.merge(bits, first_byte)

    def session_alive(self, claimant: records.Claimant) -> bool:
        """Whether the claimant's session is still open."""
        return self.nodes.get(claimant.node) == claimant.session

    def final_spec(self, job: str) -> JobSpec | None:
        """The partial description kept of an ended job; None if the job is not known to have ended."""
        final = self.final.get(job)
        return final.footprint.spec(job, final.tasks) if final is not None else None

    def status_of(self, job: str) -> JobStatus | None:
        """The status in the job's record; None if the view has none."""
        if job in self.final:
            return self.final[job].status
        entry = self.jobs.get(job)
        return entry.record.status if entry is not None else None
