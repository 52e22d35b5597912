"""Keeps the term: gives it up, raises it, and says whether this node may command."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.leader.leader_runtime import CommandPost
from gingerspar.coordination.leader.load_monitor import Strain
from gingerspar.coordination.membership.reachability import Reach
from gingerspar.coordination.membership.session import Session
from gingerspar.coordination.membership.term import (
    FRESH,
    SILENT,
    Knowledge,
    PeerNews,
    TermState,
    authority_span,
    reason_to_raise,
    reason_to_resign,
)
from gingerspar.coordination.membership.worker_contacts import Visits
from gingerspar.protocol.messages import KeyVersion, MachineType, Put, Transaction
from gingerspar.protocol.settings import Facts
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Conflict, LeaseGone, StateClient, Unavailable, Unknown
from gingerspar.storage.records import BeatRecord, TermRecord
from gingerspar.storage.view import Phase, WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.peerlink import PeerLink

log = logging.getLogger(__name__)

BEAT = timedelta(seconds=2)  # of a leader that some peer can't hear, in the state service
TERM_CHECK = timedelta(milliseconds=100)
QUIET = timedelta(seconds=1)  # a leader that hears no worker for so long asks whether it could
MOST_DESERTERS = 4  # so many workers are enough to show that the leader doesn't answer


class TermKeeper:
    """Runs in every node; at most one of them holds the term."""

    def __init__(
        self,
        node: str,
        client: StateClient,
        view: WatchedView,
        session: Session,
        clock: Clock,
        facts: Facts,
        visits: Visits,
        reach: Reach,
        news: dict[str, PeerNews],
        link: PeerLink,
        strain: Strain,
    ) -> None:
        self.post: CommandPost | None = None
        self._node = node
        self._client = client
        self._view = view
        self._session = session
        self._clock = clock
        self._facts = facts
        self._visits = visits
        self._reach = reach
        self._news = news
        self._link = link
        self._strain = strain
        self._span = authority_span(facts.workers)
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
        self._make_post: Callable[[Dispatcher], CommandPost]
        view.on_term.append(self._term_changed)

    def use(
        self,
        heard: Callable[[str], bool],
        types: Callable[[], list[MachineType]],
        make_post: Callable[[Dispatcher], CommandPost],
    ) -> None:
        """What only the whole node can tell or make."""
        self._heard, self._types, self._make_post = heard, types, make_post

    def authority(self) -> bool:
        """May this node answer workers now?"""
        post, term = self.post, self._view.term
        if post is None or term is None or term[0].term != post.dispatcher.term:
            return False
        return self._view.age() <= self._span

    def dispatching(self) -> bool:
        return self.post is not None and self.authority()

    def _term_changed(self) -> None:
        self._term_seen = self._clock.now()
        term = self._view.term
        post = self.post
        if post is not None and term is not None and term[0].term > post.dispatcher.term:
            self.end()

    def end(self) -> None:
        post, self.post = self.post, None
        if post is not None:
            self._resigned_since = self._clock.now()
            self._move(TermState.FOLLOWING)
            self._view.commands(False)
            post.stop()

    def superseded(self) -> None:
        """A worker has seen a higher token than this leader's.

        With fresh reads the state service tells of a higher term by itself, and a worker's word alone is not
        enough. Without them it may be the only one that tells.
        """
        if self.post is not None and self._view.age() > FRESH:
            log.info("resigning: a worker has seen a higher term")
            self.end()

    def _move(self, state: TermState) -> None:
        """The only place where this node's part in the term changes."""
        log.info("term: %s -> %s", self._state.value, state.value)
        self._state = state

    def _term_resigned(self, record: TermRecord | None) -> bool:
        return record is not None and record.leader == self._node and record.term == self._own_term

    def _lonely(self, leader: str | None) -> timedelta | None:
        """Since when workers that hear have come here while the leader says that none reach it."""
        news = self._news.get(leader) if leader is not None else None
        if (
            news is None
            or news.workers > 0
            or self._visits.answering(self._clock.now()) == 0
            or not self._heard(leader or "")
        ):
            self._lonely_since = None
        elif self._lonely_since is None:
            self._lonely_since = self._clock.now()
        return self._lonely_since

    def _leader_cut_off(self, leader: str | None, term: int) -> timedelta | None:
        """Since when the leader of this term has said that it reaches no workers."""
        news = self._news.get(leader) if leader is not None else None
        if leader is None or news is None or news.reaches is not False or news.term != term:
            self._cut_off = None
            return None
        if self._cut_off is None or self._cut_off[:2] != (leader, term):
            self._cut_off = (leader, term, self._clock.now())
        return self._cut_off[2]

    def doubts(self) -> bool:
        """Whether it is worth asking machines if this node reaches them.

        The leader does once it hears nothing, the others once there is something about the leader
        that may make them take the term.
        """
        now = self._clock.now()
        if self.post is not None:
            return self._visits.last is None or now - self._visits.last > QUIET
        term = self._view.term
        news = self._news.get(term[0].leader) if term is not None else None
        if news is None or now - news.heard > SILENT:
            return True
        return news.state_age > FRESH or not news.dispatching or news.reaches is False or news.workers == 0

    def _knowledge(self) -> Knowledge:
        term = self._view.term
        record = term[0] if term is not None else None
        leader = record.leader if record is not None else None
        return Knowledge(
            now=self._clock.now(),
            node=self._node,
            state_age=self._view.age(),
            session_open=self._session.claimant is not None,
            term=record.term if record is not None else 0,
            leader=leader,
            leader_session_alive=record is not None and self._view.nodes.get(record.leader) == record.session,
            leader_is_this_process=self.post is not None,
            resigned=self._term_resigned(record),
            resigned_since=self._resigned_since,
            workers=self._visits.workers(self._clock.now()),
            deserters=self._visits.deserters(record.term if record is not None else 0),
            deserters_needed=max(1, min(MOST_DESERTERS, sum(len(g.names) for g, _ in self._view.roster.values()) // 8)),
            term_seen=self._term_seen,
            started=self._started,
            live_nodes=list(self._view.nodes),
            peers=self._news,
            lonely_since=self._lonely(leader),
            fresh_since=self._fresh_since,
            beat=self._view.beats.get(leader) if leader is not None else None,
            reach=self._reach.look(self._clock.now()),
            cut_off_since=self._leader_cut_off(leader, record.term if record is not None else 0),
            link_up=leader in self._news and leader is not None and self._link.up(leader),
        )

    def _watch_authority(self) -> None:
        """The end of a leader's authority is nobody's decision, so it is looked for; it may come back."""
        has = self.post is not None and self.authority()
        if self.post is not None and has != self._had_authority:
            log.info("term %d: authority %s", self.post.dispatcher.term, "is back" if has else "has run out")
        self._had_authority = has or self.post is None

    async def keep(self) -> None:
        while True:
            await self._strain.sleep(TERM_CHECK)  # its timer is also the pulse
            if self._view.phase is not Phase.FOLLOWING:
                continue
            if self._view.age() > FRESH:
                self._fresh_since = self._clock.now()
            self._watch_authority()
            self._show_life()
            knowledge = self._knowledge()
            resigning = reason_to_resign(knowledge)
            if resigning is not None:
                log.info("resigning: %s", resigning)
                self.end()
                continue
            why = reason_to_raise(knowledge)
            if why is not None:
                await self._raise(why)

    def _show_life(self) -> None:
        """While some peer can't hear the leader, it says by way of the state service that it is there.

        Otherwise nothing tells a leader that has lost the state service and all other controllers from one
        that has lost the others only, until its session ends.
        """
        now = self._clock.now()
        if not self.dispatching() or now - self._beat_sent < BEAT or self._beating is not None:
            return
        if all(self._heard(peer) and self._node in self._news[peer].hears for peer in self._live_peers()):
            return
        self._beat_sent = now
        self._beating = asyncio.ensure_future(self._beat())

    def _live_peers(self) -> list[str]:
        return [peer for peer in self._link.peers if peer in self._view.nodes]

    async def _beat(self) -> None:
        put = Put(records.beat_key(self._node), records.pack(BeatRecord(self._own_term)))
        try:
            await self._client.commit(Transaction([self._session.condition()], [put]), Urgency.SESSION)
        except (Conflict, LeaseGone, Unavailable, Unknown) as error:
            log.debug("no sign of life written: %r", error)
        finally:
            self._beating = None

    async def _raise(self, why: str) -> None:
        claimant = self._session.claimant
        if claimant is None or not await self._view.barrier(timedelta(seconds=1)):
            return
        known = self._view.term
        why_now = reason_to_raise(self._knowledge())
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
        except (Conflict, LeaseGone, Unavailable, Unknown) as error:
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
        roster = self._view.rostered()
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
        self.post = post = self._make_post(dispatcher)
        self._own_term = number
        self._move(TermState.LEADING)
        self._view.commands(True)
        post.start(self._types())
