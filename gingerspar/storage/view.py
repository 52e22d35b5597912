"""A watched copy of everything this service keeps in the state service.

One loop reads ``/changes`` with no hold: at a steady pace, and sooner when
somebody needs to be sure (a barrier). Each read that comes back tells when it
was *sent*; whoever needs a fresh view compares with that.
"""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import msgspec

from gingerspar.protocol.messages import Changes, Item, JobSpec, JobStatus
from gingerspar.storage import records
from gingerspar.storage.client import OutcomeUnknown, RevisionCompacted, StateClient, Unavailable
from gingerspar.storage.records import (
    ChunkRecord,
    FinalRecord,
    Footprint,
    JobRecord,
    NodeRecord,
    RosterRecord,
    TaskSet,
    TermRecord,
)
from gingerspar.transport.clock import Clock
from gingerspar.transport.waits import wait_for_event

log = logging.getLogger(__name__)

LONG_AGO = timedelta(days=-10000)
READ_WAIT = timedelta(seconds=1.5)
PATIENCE = timedelta(seconds=0.5)  # where reads are further apart, the next one is sent once somebody waits
ASK_AGAIN = timedelta(seconds=0.3)  # a read that takes longer is sent once more


STEADY_SHARE = 0.30  # of a node's part of the request limit goes into reads
IDLE_SHARE = 0.15  # the same, where nothing is commanded: what peers write is seldom waited for there


def read_pace(rps: float, nodes: int, share: float = STEADY_SHARE) -> timedelta:
    """From one read to the next, of a node that commands; ``rps`` is the limit of all ``nodes`` together."""
    return timedelta(seconds=1 / max(rps / max(nodes, 1) * share, 0.5))


class Phase(Enum):
    LOADING = "loading"
    FOLLOWING = "following"


class Versioned(msgspec.Struct):
    """A decoded record and the version it has."""

    record: JobRecord
    version: int
    finished: TaskSet


class WatchedView:
    """Keys under one prefix, decoded, with the versions that writes are conditional on."""

    EAGER_SHARE = 0.50

    def __init__(self, client: StateClient, clock: Clock, *, rps: float, nodes: int) -> None:
        self._client = client
        self._clock = clock
        part = rps / max(nodes, 1)
        self._paces = {True: read_pace(rps, nodes), False: read_pace(rps, nodes, IDLE_SHARE)}
        self._steady = self._paces[False]
        self._eager = timedelta(seconds=1 / max(part * self.EAGER_SHARE, 1.0))
        self.phase = Phase.LOADING
        self.revision = 0
        self.read_sent = LONG_AGO  # when the last successful read was sent
        self.jobs: dict[str, Versioned] = {}  # unfinished ones
        self.final: dict[str, FinalRecord] = {}
        self.nodes: dict[str, int] = {}  # node -> version of its session key
        self.node_records: dict[str, NodeRecord] = {}
        self.roster: dict[str, tuple[RosterRecord, int]] = {}  # by key: a group of machines each
        self.term: tuple[TermRecord, int] | None = None
        self.liveness: dict[str, timedelta] = {}  # when a sign of life of each node was last read here
        self.unreadable: set[str] = set()  # jobs with a newer record than this program can read
        self._gone: dict[str, int] = {}  # tombstones of our own deletions until the watch passes them
        self._chunks: dict[str, dict[int, tuple[str, int]]] = {}
        self._footprints: dict[Footprint, Footprint] = {}  # each is kept once for all jobs that are alike
        self._wanted = asyncio.Event()
        self._barriers: list[asyncio.Future[None]] = []
        self._shared: asyncio.Future[None] | None = None  # one of them, for those that wait for the next read
        self.on_job: list[Callable[[str], None]] = []
        self.on_node: list[Callable[[str], None]] = []
        self.on_term: list[Callable[[], None]] = []
        self.on_read: list[Callable[[], None]] = []

    def age(self) -> timedelta:
        """How long ago the last read that brought the view up to date was sent."""
        return self._clock.now() - self.read_sent

    def set_commanding(self, commands: bool) -> None:
        """Whether this node commands the machines: then it reads more often."""
        self._steady = self._paces[commands]

    def next_read(self) -> asyncio.Future[None]:
        """Done once a read sent after this call was applied, the next one in turn; without any bound in time.

        All that ask before that read is sent share one future, which is not theirs to cancel.
        """
        if self._shared is None:
            self._shared = asyncio.get_running_loop().create_future()
            self._barriers.append(self._shared)
            if self._steady > PATIENCE:
                self._wanted.set()
        return self._shared

    async def barrier(self, timeout: timedelta) -> bool:
        """True once a read sent after this call was applied; it is sent at once."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._barriers.append(future)
        self._wanted.set()
        try:
            await asyncio.wait_for(future, timeout.total_seconds())
        except TimeoutError:
            if future in self._barriers:
                self._barriers.remove(future)
            return False
        return True

    async def follow(self) -> None:
        """Keeps the view up to date for as long as the process lives."""
        while True:
            sent = self._clock.now()
            served, self._barriers, self._shared = self._barriers, [], None
            self._wanted.clear()
            read = False
            try:
                if self.phase is Phase.LOADING:
                    await self._load()
                else:
                    read = await self._read(sent)
            except (Unavailable, OutcomeUnknown) as error:
                log.debug("view: %s", error)
            except (msgspec.MsgspecError, ValueError):
                log.exception("view: unreadable answer")
            if read:
                for future in served:
                    if not future.done():
                        future.set_result(None)
            else:
                self._barriers = [future for future in served if not future.done()] + self._barriers
            await self._pause(sent, read)

    async def _pause(self, sent: timedelta, read: bool) -> None:
        spent = self._clock.now() - sent
        least = (self._eager - spent).total_seconds()
        if least > 0:
            await asyncio.sleep(least)
        if not read:
            if self.phase is Phase.FOLLOWING:
                await asyncio.sleep(self._steady.total_seconds())
            return
        rest = (self._steady - (self._clock.now() - sent)).total_seconds()
        if rest > 0 and not self._wanted.is_set():
            await wait_for_event(self._wanted, timedelta(seconds=rest))

    async def _changes(self, sent: timedelta) -> tuple[Changes, timedelta]:
        """All that is new, and when the read that brought it was sent.

        A service in trouble answers some requests late or never; a second read mostly comes
        back at once. Waiting for the first alone made a leader give up its term (inc-8b9d).
        """
        reads = {self._ask(): sent}
        try:
            done, _ = await asyncio.wait(reads, timeout=ASK_AGAIN.total_seconds())
            if not done:
                reads[self._ask()] = self._clock.now()
            waiting = set(reads)
            while True:
                done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                good = [read for read in done if read.exception() is None]
                if good or not waiting:
                    read = (good or list(done))[0]
                    return read.result(), reads[read]
        finally:
            for read in reads:
                if not read.cancel() and not read.cancelled():
                    read.exception()  # a failure that comes after the answer is nobody's concern

    def _ask(self) -> asyncio.Task[Changes]:
        return asyncio.ensure_future(self._client.changes(records.PREFIX, self.revision, READ_WAIT))

    async def _read(self, sent: timedelta) -> bool:
        try:
            changes, sent = await self._changes(sent)
        except RevisionCompacted:
            log.info("view: too far behind, loading again")
            self.phase = Phase.LOADING
            return False
        for event in changes.events:
            if event.put is not None:
                self.apply(event.put, bytes(event.value), event.version)
            elif event.delete is not None:
                self.apply(event.delete, None, event.version)
        self.revision = max(self.revision, changes.revision)
        if self._gone:
            self._gone = {key: version for key, version in self._gone.items() if version > self.revision}
        self.read_sent = sent
        for listener in self.on_read:
            listener()
        return True

    async def _load(self) -> None:
        """Reads all keys; the first page's revision is where following begins."""
        revision: int | None = None
        since: str | None = None
        items: list[Item] = []
        while True:
            page = await self._client.page(records.PREFIX, since, 1000)
            if revision is None:
                revision = page.revision
            items += page.items
            if not page.more or not page.items:
                break
            since = page.items[-1].key
        found = {item.key for item in items}
        for key, version in self._known():
            if key not in found and version <= revision:
                self.apply(key, None, revision)
        for item in items:
            self.apply(item.key, bytes(item.value), item.version)
        self.revision = revision
        self.phase = Phase.FOLLOWING
        log.info("view: loaded %d keys at revision %d", len(items), revision)

    def _known(self) -> list[tuple[str, int]]:
        known = [(records.job_key(job), entry.version) for job, entry in self.jobs.items()]
        known += [(records.node_key(node), version) for node, version in self.nodes.items()]
        known += [(key, version) for key, (_, version) in self.roster.items()]
        return known

    def apply(self, key: str, value: bytes | None, version: int) -> None:
        """One change; an older one than is known already has no effect."""
        if self._gone.get(key, -1) >= version:
            return
        if value is None and version > self.revision:
            self._gone[key] = version
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
            for listener in self.on_term:
                listener()

    def _apply_job(self, job: str, value: bytes | None, version: int) -> None:
        known = self.jobs.get(job)
        if job in self.final or (known is not None and known.version >= version):
            return
        if value is None:
            return  # job records are never deleted
        try:
            record = msgspec.json.decode(value, type=JobRecord)
        except msgspec.MsgspecError as error:
            # One record that can't be read must not keep all others from being followed, nor the writes of
            # others that would share a transaction with it.
            if job not in self.unreadable:
                log.error("record of %s can't be read: %s", job, error)
                self.unreadable.add(job)
                self.jobs.pop(job, None)
                for listener in self.on_job:
                    listener(job)
            return
        self.unreadable.discard(job)
        if record.status.final:
            self.jobs.pop(job, None)
            self._chunks.pop(job, None)
            kept = records.footprint(record.spec)
            kept = self._footprints.setdefault(kept, kept)
            self.final[job] = FinalRecord(record.status, record.spec.tasks, version, kept)
        else:
            finished = TaskSet(record.spec.tasks)
            if record.spilled:
                for chunk, (bits, _) in self._chunks.get(job, {}).items():
                    finished.merge(bits, chunk * records.chunk_bytes(self._client.value_bytes))
            else:
                finished.merge(record.finished)
            self.jobs[job] = Versioned(record, version, finished)
        for listener in self.on_job:
            listener(job)

    def _apply_node(self, node: str, value: bytes | None, version: int) -> None:
        if self.nodes.get(node, -1) >= version:
            return
        if value is None:
            self.nodes.pop(node, None)
            self.node_records.pop(node, None)
        else:
            self.node_records[node] = msgspec.json.decode(value, type=NodeRecord)
            self.nodes[node] = version
        for listener in self.on_node:
            listener(node)

    def _apply_roster(self, key: str, value: bytes | None, version: int) -> None:
        known = self.roster.get(key)
        if known is not None and known[1] >= version:
            return
        if value is None:
            self.roster.pop(key, None)
        else:
            self.roster[key] = (msgspec.json.decode(value, type=RosterRecord), version)

    def rostered_machines(self) -> list[tuple[str, str, str, bool]]:
        """Name, type, zone and kind of every machine that may run tasks."""
        return [(name, group.type, group.zone, group.spot) for group, _ in self.roster.values() for name in group.names]

    def _apply_chunk(self, name: str, value: bytes | None, version: int) -> None:
        job, _, number = name.rpartition("/")
        chunk = int(number)
        chunks = self._chunks.setdefault(job, {})
        if value is None or job in self.final:
            chunks.pop(chunk, None)
            return
        if chunk in chunks and chunks[chunk][1] >= version:
            return
        bits = msgspec.json.decode(value, type=ChunkRecord).bits
        chunks[chunk] = (bits, version)
        entry = self.jobs.get(job)
        if entry is not None and entry.record.spilled:
            entry.finished.merge(bits, chunk * records.chunk_bytes(self._client.value_bytes))

    def session_alive(self, claimant: records.Claimant) -> bool:
        return self.nodes.get(claimant.node) == claimant.session

    def final_spec(self, job: str) -> JobSpec | None:
        """What is kept of the description of a job that is over."""
        final = self.final.get(job)
        return final.footprint.spec(job, final.tasks) if final is not None else None

    def status_of(self, job: str) -> JobStatus | None:
        if job in self.final:
            return self.final[job].status
        entry = self.jobs.get(job)
        return entry.record.status if entry is not None else None
