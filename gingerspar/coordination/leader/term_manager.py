"""Raises the term, resigns from it, and determines whether this node may command."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from gingerspar.coordination.cluster.task_limit import max_tasks_on_machines
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

# A leader that some peer may not receive from writes a liveness mark to the state service this often.
LIVENESS_MARK_INTERVAL = timedelta(seconds=2)
TERM_CHECK = timedelta(milliseconds=100)
# A leader that has received no report for this long probes whether it reaches any workers.
PROBE_AFTER_SILENCE = timedelta(seconds=1)
# This many workers that switched to this node suffice in a fleet of any size to show that the leader does not answer.
MAX_SWITCHED_WORKERS_NEEDED = 4


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
        self._authority_duration = authority_duration(facts.workers)
        self._state = TermState.FOLLOWING
        self._started = clock.now()
        self._term_seen_at = self._started
        self._without_workers_since: timedelta | None = None
        # The leader that reaches no workers, its term, and since when it has reported that.
        self._unreachable_leader: tuple[str, int, timedelta] | None = None
        self._resigned_at = self._started
        self._own_term = 0  # the last term that this process held
        self._had_authority = False
        self._state_fresh_since = self._started
        self._liveness_mark_sent_at = self._started
        self._liveness_mark_task: asyncio.Task[None] | None = None
        self._receives_from_peer: Callable[[str], bool] = lambda node: False
        self._machine_types: Callable[[], list[MachineType]] = list
        self._make_runtime: Callable[[Dispatcher], LeaderRuntime]
        view.on_term.append(self._term_changed)

    def set_callbacks(
        self,
        receives_from_peer: Callable[[str], bool],
        machine_types: Callable[[], list[MachineType]],
        make_runtime: Callable[[Dispatcher], LeaderRuntime],
    ) -> None:
        """Sets the functions that only the controller as a whole can provide.

        ``receives_from_peer`` returns whether messages from a peer arrive; ``machine_types`` returns the cloud's
        machine types; ``make_runtime`` creates the runtime for the dispatcher of a new term.
        """
        self._receives_from_peer, self._machine_types, self._make_runtime = (
            receives_from_peer,
            machine_types,
            make_runtime,
        )

    def has_authority(self) -> bool:
        """Whether this node may answer workers now."""
        runtime, term = self.runtime, self._view.term
        if runtime is None or term is None or term[0].term != runtime.dispatcher.term:
            return False
        return self._view.age() <= self._authority_duration

    def is_dispatching(self) -> bool:
        return self.runtime is not None and self.has_authority()

    def _term_changed(self) -> None:
        self._term_seen_at = self._clock.now()
        term = self._view.term
        runtime = self.runtime
        if runtime is not None and term is not None and term[0].term > runtime.dispatcher.term:
            self.resign()

    def resign(self) -> None:
        """Stops commanding, if this node is the leader."""
        runtime, self.runtime = self.runtime, None
        if runtime is not None:
            self._resigned_at = self._clock.now()
            self._move(TermState.FOLLOWING)
            self._view.set_commanding(False)
            runtime.stop()

    def handle_newer_token(self) -> None:
        """A worker has seen a higher token than this leader's.

        While reads are fresh the state service itself shows a higher term, and a worker's report alone is not
        sufficient. Without fresh reads the report may be the only evidence.
        """
        if self.runtime is not None and self._view.age() > STATE_FRESH_FOR:
            log.info("resigning: a worker has seen a higher term")
            self.resign()

    def _move(self, state: TermState) -> None:
        """Sets and logs this node's role in the term; no other code changes it."""
        log.info("term: %s -> %s", self._state.value, state.value)
        self._state = state

    def _term_resigned(self, record: TermRecord | None) -> bool:
        return record is not None and record.leader == self._node and record.term == self._own_term

    def _leader_without_workers_since(self, leader: str | None) -> timedelta | None:
        """Since when responsive workers report here while the leader's status shows none; None if not so."""
        peer_status = self._peer_status.get(leader) if leader is not None else None
        if (
            peer_status is None
            or peer_status.workers > 0
            or self._contacts.responsive_count(self._clock.now()) == 0
            or not self._receives_from_peer(leader or "")
        ):
            self._without_workers_since = None
        elif self._without_workers_since is None:
            self._without_workers_since = self._clock.now()
        return self._without_workers_since

    def _leader_reaches_no_workers_since(self, leader: str | None, term: int) -> timedelta | None:
        """Since when the leader of this term has reported that it reaches no workers; None if not so."""
        peer_status = self._peer_status.get(leader) if leader is not None else None
        if (
            leader is None
            or peer_status is None
            or peer_status.reaches_workers is not False
            or peer_status.term != term
        ):
            self._unreachable_leader = None
            return None
        if self._unreachable_leader is None or self._unreachable_leader[:2] != (leader, term):
            self._unreachable_leader = (leader, term, self._clock.now())
        return self._unreachable_leader[2]

    def should_probe_machines(self) -> bool:
        """Whether this node should probe machines to find out if it reaches them.

        The leader does so once it receives no reports, the other nodes once the leader's state
        may make them take the term.
        """
        now = self._clock.now()
        if self.runtime is not None:
            return self._contacts.last_report_at is None or now - self._contacts.last_report_at > PROBE_AFTER_SILENCE
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
            resigned_at=self._resigned_at,
            workers=self._contacts.recent_count(self._clock.now()),
            switched_workers=self._contacts.responsive_switched_count(record.term if record is not None else 0),
            switched_workers_needed=max(
                1,
                min(MAX_SWITCHED_WORKERS_NEEDED, sum(len(group.names) for group, _ in self._view.roster.values()) // 8),
            ),
            term_seen_at=self._term_seen_at,
            started=self._started,
            live_nodes=list(self._view.nodes),
            peers=self._peer_status,
            leader_without_workers_since=self._leader_without_workers_since(leader),
            state_fresh_since=self._state_fresh_since,
            liveness_seen=self._view.liveness.get(leader) if leader is not None else None,
            reachability=self._reachability.update(self._clock.now()),
            leader_reaches_no_workers_since=self._leader_reaches_no_workers_since(
                leader, record.term if record is not None else 0
            ),
            link_up=leader in self._peer_status and leader is not None and self._link.is_up(leader),
        )

    def _watch_authority(self) -> None:
        """Logs when a leader's authority runs out, and when it comes back.

        Authority runs out with time and without an event, so it is polled.
        """
        has_authority = self.runtime is not None and self.has_authority()
        if self.runtime is not None and has_authority != self._had_authority:
            log.info(
                "term %d: authority %s", self.runtime.dispatcher.term, "is back" if has_authority else "has run out"
            )
        self._had_authority = has_authority or self.runtime is None

    async def run(self) -> None:
        """Checks the term every ``TERM_CHECK``, until cancelled."""
        while True:
            await self._load_monitor.sleep(TERM_CHECK)  # the timer's lateness is also the measure of load
            if self._view.phase is not Phase.FOLLOWING:
                continue
            if self._view.age() > STATE_FRESH_FOR:
                self._state_fresh_since = self._clock.now()
            self._watch_authority()
            self._mark_liveness()
            election_state = self._election_state()
            resign_reason = reason_to_resign(election_state)
            if resign_reason is not None:
                log.info("resigning: %s", resign_reason)
                self.resign()
                continue
            reason = reason_to_raise(election_state)
            if reason is not None:
                await self._raise(reason)

    def _mark_liveness(self) -> None:
        """Writes a liveness mark to the state service while some peer may not receive from this leader.

        Without it, a leader that has lost the state service and all other controllers can't be told apart from
        one that has lost only the other controllers, until its session ends.
        """
        now = self._clock.now()
        if (
            not self.is_dispatching()
            or now - self._liveness_mark_sent_at < LIVENESS_MARK_INTERVAL
            or self._liveness_mark_task is not None
        ):
            return
        if all(
            self._receives_from_peer(peer) and self._node in self._peer_status[peer].receives_from
            for peer in self._live_peers()
        ):
            return
        self._liveness_mark_sent_at = now
        self._liveness_mark_task = asyncio.ensure_future(self._write_liveness_mark())

    def _live_peers(self) -> list[str]:
        return [peer for peer in self._link.peers if peer in self._view.nodes]

    async def _write_liveness_mark(self) -> None:
        put = Put(records.liveness_key(self._node), records.pack(LivenessRecord(self._own_term)))
        try:
            await self._client.commit(Transaction([self._session.condition()], [put]), Urgency.SESSION)
        except (Conflict, LeaseExpired, Unavailable, OutcomeUnknown) as error:
            log.debug("liveness mark not written: %r", error)
        finally:
            self._liveness_mark_task = None

    async def _raise(self, reason: str) -> None:
        claimant = self._session.claimant
        if claimant is None or not await self._view.barrier(timedelta(seconds=1)):
            return
        known_term = self._view.term
        current_reason = reason_to_raise(self._election_state())
        if current_reason is None or self._session.claimant != claimant:
            return
        term_number = (known_term[0].term if known_term is not None else 0) + 1
        record = TermRecord(term_number, self._node, claimant.session)
        put = Put(records.TERM, records.pack(record))
        condition = KeyVersion(records.TERM, known_term[1] if known_term is not None else 0)
        self._move(TermState.RAISING)
        try:
            version = await self._client.commit(
                Transaction([condition, self._session.condition()], [put]), Urgency.SESSION
            )
        except (Conflict, LeaseExpired, Unavailable, OutcomeUnknown) as error:
            log.info("term %d not raised: %r", term_number, error)
            self._move(TermState.FOLLOWING)
            await self._view.barrier(timedelta(seconds=1))
            return
        log.info("term %d raised: %s", term_number, reason)
        raised_at = self._clock.now()
        # The roster has to be read at the change of term or later, so that no machine is missing from it.
        if not await self._view.barrier(timedelta(seconds=2)) or self._view.term is None:
            self._move(TermState.FOLLOWING)
            return
        if self._view.term[1] != version:
            self._move(TermState.FOLLOWING)
            return
        roster = self._view.rostered_machines()
        dispatcher = Dispatcher(
            term_number,
            raised_at,
            self._facts.workers,
            self._facts.teams,
            objectives=self._facts.objectives,
            utc_now=self._clock.utc_now,
            roster=roster,
            nodes=self._facts.size,
            max_tasks_on_machines=max_tasks_on_machines(self._facts.machine_limits.memory_mb),
        )
        self.runtime = runtime = self._make_runtime(dispatcher)
        self._own_term = term_number
        self._move(TermState.LEADING)
        self._view.set_commanding(True)
        runtime.start(self._machine_types())
