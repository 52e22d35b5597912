"""Keeps the term: gives it up, raises it, and says whether this node may command."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.leader.leader_runtime import LeaderRuntime
from gingerspar.coordination.leader.load_monitor import LoadMonitor
from gingerspar.coordination.membership.reachability import WorkerReachability
from gingerspar.coordination.membership.session import Session
from gingerspar.coordination.membership.term import (
    PEER_SILENT_AFTER,
    STATE_FRESH_FOR,
    ElectionState,
    PeerStatus,
    TermState,
    authority_duration,
    reason_to_raise,
    reason_to_resign,
)
from gingerspar.coordination.membership.worker_contacts import WorkerContacts
from gingerspar.protocol.messages import KeyVersion, MachineType, Put, Transaction
from gingerspar.protocol.settings import Facts
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseExpired, OutcomeUnknown, StateClient, Unavailable
from gingerspar.storage.records import LivenessRecord, TermRecord
from gingerspar.storage.view import Phase, WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.peerlink import PeerLink

log = logging.getLogger(__name__)

BEAT = timedelta(seconds=2)  # of a leader that some peer can't hear, in the state service
TERM_CHECK = timedelta(milliseconds=100)
QUIET = timedelta(seconds=1)  # a leader that hears no worker for so long asks whether it could
MOST_DESERTERS = 4  # so many workers are enough to show that the leader doesn't answer


class TermManager:
    """Runs in every node; at most one of them holds the term."""

    def __init__(
        self,
        node: str,
        client: StateClient,
        view: WatchedView,
        session: Session,
        clock: Clock,
        facts: Facts,
        contacts: WorkerContacts,
        reachability: WorkerReachability,
        peer_status: dict[str, PeerStatus],
        link: PeerLink,
        load_monitor: LoadMonitor,
    ) -> None:
        self.runtime: LeaderRuntime | None = None
        self._node = node
        self._client = client
        self._view = view
        self._session = session
        self._clock = clock
        self._facts = facts
        self._contacts = contacts
        self._reachability = reachability
        self._peer_status = peer_status
        self._link = link
        self._load_monitor = load_monitor
        self._span = authority_duration(facts.workers)
        self._state = TermState.FOLLOWING
        self._started = clock.now()
        self._term_seen = self._started
        self._lonely_since: timedelta | None = None
        self._cut_off: tuple[str, int, timedelta] | None = None  # leader, term, and since when it reaches no workers
        self._resigned_since = self._started
        self._own_term = 0  # the last one that this process held
        self._had_authority = False
        self._fresh_since = self._started
        self._beat_sent = self._started
        self._beating: asyncio.Task[None] | None = None
        self._heard: Callable[[str], bool] = lambda node: False
        self._types: Callable[[], list[MachineType]] = list
        self._make_runtime: Callable[[Dispatcher], LeaderRuntime]
        view.on_term.append(self._term_changed)

    def set_callbacks(
        self,
        heard: Callable[[str], bool],
        types: Callable[[], list[MachineType]],
        make_runtime: Callable[[Dispatcher], LeaderRuntime],
    ) -> None:
        """What only the whole node can tell or make."""
        self._heard, self._types, self._make_runtime = heard, types, make_runtime

    def has_authority(self) -> bool:
        """May this node answer workers now?"""
        runtime, term = self.runtime, self._view.term
        if runtime is None or term is None or term[0].term != runtime.dispatcher.term:
            return False
        return self._view.age() <= self._span

    def is_dispatching(self) -> bool:
        return self.runtime is not None and self.has_authority()

    def _term_changed(self) -> None:
        self._term_seen = self._clock.now()
        term = self._view.term
        runtime = self.runtime
        if runtime is not None and term is not None and term[0].term > runtime.dispatcher.term:
            self.resign()

    def resign(self) -> None:
        runtime, self.runtime = self.runtime, None
        if runtime is not None:
            self._resigned_since = self._clock.now()
            self._move(TermState.FOLLOWING)
            self._view.set_commanding(False)
            runtime.stop()

    def handle_newer_token(self) -> None:
        """A worker has seen a higher token than this leader's.

        With fresh reads the state service tells of a higher term by itself, and a worker's word alone is not
        enough. Without them it may be the only one that tells.
        """
        if self.runtime is not None and self._view.age() > STATE_FRESH_FOR:
            log.info("resigning: a worker has seen a higher term")
            self.resign()

    def _move(self, state: TermState) -> None:
        """The only place where this node's part in the term changes."""
        log.info("term: %s -> %s", self._state.value, state.value)
        self._state = state

    def _term_resigned(self, record: TermRecord | None) -> bool:
        return record is not None and record.leader == self._node and record.term == self._own_term

    def _lonely(self, leader: str | None) -> timedelta | None:
        """Since when workers that hear have come here while the leader says that none reach it."""
        peer_status = self._peer_status.get(leader) if leader is not None else None
        if (
            peer_status is None
            or peer_status.workers > 0
            or self._contacts.responsive_count(self._clock.now()) == 0
            or not self._heard(leader or "")
        ):
            self._lonely_since = None
        elif self._lonely_since is None:
            self._lonely_since = self._clock.now()
        return self._lonely_since

    def _leader_cut_off(self, leader: str | None, term: int) -> timedelta | None:
        """Since when the leader of this term has said that it reaches no workers."""
        peer_status = self._peer_status.get(leader) if leader is not None else None
        if (
            leader is None
            or peer_status is None
            or peer_status.reaches_workers is not False
            or peer_status.term != term
        ):
            self._cut_off = None
            return None
        if self._cut_off is None or self._cut_off[:2] != (leader, term):
            self._cut_off = (leader, term, self._clock.now())
        return self._cut_off[2]

    def doubts_leader(self) -> bool:
        """Whether it is worth asking machines if this node reaches them.

        The leader does once it hears nothing, the others once there is something about the leader
        that may make them take the term.
        """
        now = self._clock.now()
        if self.runtime is not None:
            return self._contacts.last_report_at is None or now - self._contacts.last_report_at > QUIET
        term = self._view.term
        peer_status = self._peer_status.get(term[0].leader) if term is not None else None
        if peer_status is None or now - peer_status.received_at > PEER_SILENT_AFTER:
            return True
        return (
            peer_status.state_age > STATE_FRESH_FOR
            or not peer_status.dispatching
            or peer_status.reaches_workers is False
            or peer_status.workers == 0
        )

    def _election_state(self) -> ElectionState:
        term = self._view.term
        record = term[0] if term is not None else None
        leader = record.leader if record is not None else None
        return ElectionState(
            now=self._clock.now(),
            node=self._node,
            state_age=self._view.age(),
            session_open=self._session.claimant is not None,
            term=record.term if record is not None else 0,
            leader=leader,
            leader_session_alive=record is not None and self._view.nodes.get(record.leader) == record.session,
            leader_is_this_process=self.runtime is not None,
            resigned=self._term_resigned(record),
            resigned_since=self._resigned_since,
            workers=self._contacts.recent_count(self._clock.now()),
            switched_workers=self._contacts.responsive_switched_count(record.term if record is not None else 0),
            switched_workers_needed=max(
                1, min(MOST_DESERTERS, sum(len(g.names) for g, _ in self._view.roster.values()) // 8)
            ),
            term_seen=self._term_seen,
            started=self._started,
            live_nodes=list(self._view.nodes),
            peers=self._peer_status,
            leader_without_workers_since=self._lonely(leader),
            state_fresh_since=self._fresh_since,
            liveness_seen=self._view.liveness.get(leader) if leader is not None else None,
            reachability=self._reachability.update(self._clock.now()),
            leader_unreachable_since=self._leader_cut_off(leader, record.term if record is not None else 0),
            link_up=leader in self._peer_status and leader is not None and self._link.is_up(leader),
        )

    def _watch_authority(self) -> None:
        """The end of a leader's authority is nobody's decision, so it is looked for; it may come back."""
        has = self.runtime is not None and self.has_authority()
        if self.runtime is not None and has != self._had_authority:
            log.info("term %d: authority %s", self.runtime.dispatcher.term, "is back" if has else "has run out")
        self._had_authority = has or self.runtime is None

    async def run(self) -> None:
        while True:
            await self._load_monitor.sleep(TERM_CHECK)  # its timer is also the pulse
            if self._view.phase is not Phase.FOLLOWING:
                continue
            if self._view.age() > STATE_FRESH_FOR:
                self._fresh_since = self._clock.now()
            self._watch_authority()
            self._show_life()
            election_state = self._election_state()
            resigning = reason_to_resign(election_state)
            if resigning is not None:
                log.info("resigning: %s", resigning)
                self.resign()
                continue
            why = reason_to_raise(election_state)
            if why is not None:
                await self._raise(why)

    def _show_life(self) -> None:
        """While some peer can't hear the leader, it says by way of the state service that it is there.

        Otherwise nothing tells a leader that has lost the state service and all other controllers from one
        that has lost the others only, until its session ends.
        """
        now = self._clock.now()
        if not self.is_dispatching() or now - self._beat_sent < BEAT or self._beating is not None:
            return
        if all(
            self._heard(peer) and self._node in self._peer_status[peer].receives_from for peer in self._live_peers()
        ):
            return
        self._beat_sent = now
        self._beating = asyncio.ensure_future(self._beat())

    def _live_peers(self) -> list[str]:
        return [peer for peer in self._link.peers if peer in self._view.nodes]

    async def _beat(self) -> None:
        put = Put(records.liveness_key(self._node), records.pack(LivenessRecord(self._own_term)))
        try:
            await self._client.commit(Transaction([self._session.condition()], [put]), Urgency.SESSION)
        except (Conflict, LeaseExpired, Unavailable, OutcomeUnknown) as error:
            log.debug("no sign of life written: %r", error)
        finally:
            self._beating = None

    async def _raise(self, why: str) -> None:
        claimant = self._session.claimant
        if claimant is None or not await self._view.barrier(timedelta(seconds=1)):
            return
        known = self._view.term
        why_now = reason_to_raise(self._election_state())
        if why_now is None or self._session.claimant != claimant:
            return
        number = (known[0].term if known is not None else 0) + 1
        record = TermRecord(number, self._node, claimant.session)
        put = Put(records.TERM, records.pack(record))
        condition = KeyVersion(records.TERM, known[1] if known is not None else 0)
        self._move(TermState.RAISING)
        try:
            version = await self._client.commit(
                Transaction([condition, self._session.condition()], [put]), Urgency.SESSION
            )
        except (Conflict, LeaseExpired, Unavailable, OutcomeUnknown) as error:
            log.info("term %d not raised: %r", number, error)
            self._move(TermState.FOLLOWING)
            await self._view.barrier(timedelta(seconds=1))
            return
        log.info("term %d raised: %s", number, why)
        raised = self._clock.now()
        # The roster as it was when the term changed, or later: nothing is missing from it.
        if not await self._view.barrier(timedelta(seconds=2)) or self._view.term is None:
            self._move(TermState.FOLLOWING)
            return
        if self._view.term[1] != version:
            self._move(TermState.FOLLOWING)
            return
        roster = self._view.rostered_machines()
        dispatcher = Dispatcher(
            number,
            raised,
            self._facts.workers,
            self._facts.teams,
            objectives=self._facts.objectives,
            today=self._clock.today,
            roster=roster,
            nodes=self._facts.size,
        )
        self.runtime = runtime = self._make_runtime(dispatcher)
        self._own_term = number
        self._move(TermState.LEADING)
        self._view.set_commanding(True)
        runtime.start(self._types())
