"""The term: which node commands the machines, and when another takes over.

The term is a number in one key, raised by a conditional write. ``decide`` is a
pure function of what a node knows, so that kept traces can show each case.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from gingerspar.coordination.membership.reachability import ReachabilityState
from gingerspar.protocol.settings import Facts, WorkerFacts
from gingerspar.storage.view import read_pace


class TermState(Enum):
    """This node's part in the current term."""

    FOLLOWING = "following"
    RAISING = "raising"
    LEADING = "leading"


DRIFT = 0.0005  # steady clocks drift apart by at most this share (PROTOCOL)


def authority_duration(workers: WorkerFacts) -> timedelta:
    """L: how long after *sending* its last good state read a leader may answer workers.

    A cancellation committed just after that read must take effect within
    ``cancel``: the worker's last answered report is at most L later, and its lease
    then ends within ``lease`` by its own clock. A second is kept for what clocks and
    timers lose, less where a second is much of what there is; nothing is left where
    ``cancel`` is hardly longer than ``lease`` (``check-config`` says so).
    """
    spare = workers.cancel - workers.lease
    margin = min(timedelta(seconds=1), spare / 4) + workers.cancel * (4 * DRIFT)
    return max(spare - margin, timedelta(0))


READS_WITHIN = 2  # good reads that a leader should be able to send within L, as one may be late


def cancel_limit_problem(facts: Facts) -> str | None:
    """What is wrong with ``cancel_s`` where a leader can't read the state service often enough for L; else None.

    Then machines are seldom answered in time and lose their leases, or have to be: no answer
    could be given without the risk that what it keeps alive has just been cancelled.
    """
    workers, least = facts.workers, read_pace(facts.state.rps, facts.size) * READS_WITHIN
    if authority_duration(workers) >= least:
        return None
    return (
        f"facts.workers.cancel_s: {workers.cancel_s:g} is too close to lease_s, {workers.lease_s:g}: "
        f"with this state service the leader reads it every {least.total_seconds() / READS_WITHIN:.2g} s, "
        "and answers to workers can't be kept fresh enough"
    )


def settling_time(workers: WorkerFacts) -> timedelta:
    """After a term change: until no machine can still run what an older leader started."""
    total = authority_duration(workers) + workers.lease
    return total + total * (4 * DRIFT) + timedelta(seconds=0.5)


@dataclass(slots=True)
class PeerStatus:
    """What the last heartbeat of a peer said and when it came."""

    received_at: timedelta
    term: int
    dispatching: bool
    state_age: timedelta
    workers: int
    write_demand: float = 0.0
    receives_from: tuple[str, ...] = ()
    process_started: timedelta | None = None  # when its process began, on this node's steady clock
    reaches_workers: bool | None = None  # the workers, as far as it can tell


@dataclass(slots=True)
class ElectionState:
    """All that the decision to raise the term rests on."""

    now: timedelta
    node: str
    state_age: timedelta  # of this node's view
    session_open: bool
    term: int  # 0: there is none
    leader: str | None
    leader_session_alive: bool
    leader_is_this_process: bool
    workers: int  # reports that reached this node within the last seconds
    switched_workers: int  # of these, workers that the current leader had: they have seen its token
    switched_workers_needed: int
    term_seen: timedelta  # when this node first saw the current term
    started: timedelta
    live_nodes: list[str] = field(default_factory=list)  # with an open session
    peers: dict[str, PeerStatus] = field(default_factory=dict)
    link_up: bool = False  # to the leader
    resigned: bool = False  # this process held the current term and gave it up
    resigned_since: timedelta = timedelta(0)
    leader_without_workers_since: timedelta | None = None  # since then workers come here and none to the leader
    state_fresh_since: timedelta = timedelta(0)  # since then this node has read the state service without a gap
    liveness_seen: timedelta | None = None  # when the leader's last sign of life in the state service was read
    reachability: ReachabilityState = ReachabilityState.UNKNOWN  # whether this node reaches the workers
    leader_unreachable_since: timedelta | None = None  # since then the leader says that it does not


STATE_FRESH_FOR = timedelta(seconds=1.5)
PEER_SILENT_AFTER = timedelta(seconds=1.2)
# A state service that is merely slow must not move the term: with each change every machine is
# unsettled for seconds, while a leader without reads goes on with the claims that its peers hand it
# (kerlann-fonts-fleet loss: two changes of term in a minute of slow answers).
STALE_LEADER = timedelta(seconds=4)
REGAINED = timedelta(seconds=1.5)  # so long after an outage others may still be without
NO_WORKERS = timedelta(seconds=5)
NO_WORKERS_LEFT = timedelta(seconds=1)  # where those that come here are the leader's own
NO_REACH = timedelta(seconds=0.5)  # after the leader has asked its machines in vain
BEAT_FRESH = timedelta(seconds=3.5)  # one sign of life, and the time to write and read it
NO_BEAT = timedelta(seconds=6)  # three signs of life that a leader would have written in the state service
STAGGER = timedelta(milliseconds=500)
SAME_AGE = timedelta(seconds=5)  # processes that began within it are taken to be as old
SETTLING_IN = timedelta(seconds=4)  # a new leader gets this long before it is judged


def is_liveness_fresh(beat: timedelta | None, now: timedelta) -> bool:
    """Whether a leader's last sign of life in the state service is fresh."""
    return beat is not None and now - beat <= BEAT_FRESH


def reason_to_raise(k: ElectionState) -> str | None:
    """Why this node should take the term now, if it should."""
    if k.leader_is_this_process or not k.session_open or k.state_age > STATE_FRESH_FOR:
        return None
    if k.term == 0 or k.leader is None:
        return _in_turn(k, "there is no leader", k.started)
    if k.leader == k.node and not k.resigned:
        return "the leader was this node's former process"
    if k.leader == k.node:
        # It resigned in favour of a peer; unless one follows, it takes the term again.
        return "no peer took the term" if k.now - k.resigned_since > SETTLING_IN else None
    peer_status = k.peers.get(k.leader)
    silence = k.now - peer_status.received_at if peer_status is not None else k.now - k.started
    silent = silence > PEER_SILENT_AFTER
    if not k.leader_session_alive and silent:
        return _in_turn(k, "the leader's session is over", k.term_seen)
    # It has asked its machines and this node has asked some too, so a new leader needs no time to
    # settle in: a wrong choice is put right within seconds, before the workers' leases run out.
    cut_off = k.now - k.leader_unreachable_since if k.leader_unreachable_since is not None else None
    if not silent and cut_off is not None and cut_off >= NO_REACH and k.reachability is ReachabilityState.REACHABLE:
        return _in_turn(k, "the leader reaches no workers", k.now - cut_off + NO_REACH)
    if k.now - k.term_seen < SETTLING_IN:
        return None
    if silent:
        # Connections between controllers alone may be refused, and the term must not go to and
        # fro for that: only workers that the leader had show that it doesn't answer any more.
        # New machines' first reports come here in any case.
        # Nor do they while it shows itself in the state service: they may be on their way to it from an older
        # leader, told of its token (bench/days/workers-alone: a term of 4 s).
        if (
            k.switched_workers >= k.switched_workers_needed
            and not k.link_up
            and not is_liveness_fresh(k.liveness_seen, k.now)
        ):
            return _in_turn(k, "the leader is silent and workers come here", k.now - silence + PEER_SILENT_AFTER)
        # It may have lost the state service as well and keep its workers: then nobody comes here.
        last = max(k.now - silence, k.term_seen, k.liveness_seen or k.started)
        if k.now - last > NO_BEAT:
            return _in_turn(k, "the leader is silent, in the state service as well", last + NO_BEAT)
        return None
    if peer_status is None:
        return None
    # After an outage some node reads first, and must not take the term from a leader that is about to read.
    if peer_status.state_age > STALE_LEADER and k.now - k.state_fresh_since > REGAINED:
        return _in_turn(k, "the leader has no state service", k.now - (peer_status.state_age - STALE_LEADER))
    if not peer_status.dispatching and peer_status.term >= k.term:
        return _in_turn(k, "the leader gave up", k.now - silence)
    # For a while, not at one moment: a first worker comes here before it is steered there.
    # Workers that the leader had need less of it: when the leader is cut off from them and the state
    # service goes out some seconds later, there is no other chance to keep their tasks (combinations
    # 56 and 282: 98 of 117 tasks were killed by their leases).
    if k.leader_without_workers_since is not None:
        enough = NO_WORKERS_LEFT if k.switched_workers >= k.switched_workers_needed else NO_WORKERS
        if k.now - max(k.leader_without_workers_since, k.term_seen) > enough:
            return _in_turn(k, "workers reach this node and not the leader", k.leader_without_workers_since + enough)
    return None


_BY_REACH: dict[bool | None, int] = {True: 0, None: 1, False: 2}


def _in_turn(k: ElectionState, why: str, since: timedelta) -> str | None:
    """Lets the nodes try one after the other.

    First those that reach the workers, last those that have asked in vain: on
    kerlann-fonts-fleet the term went to a node that had just lost them, and all work was
    lost though another had every link (bench/days/one-has-every-link-kerlann).

    Among these, those whose process began last go first: when all are restarted one after the other,
    the term then comes to a node that has had its turn, and stays. In the order of their
    names it went, with each restart, to the one that was restarted next
    (kerlann-fonts-fleet restart: four changes of term in 75 s). One that has only just
    begun may still end again and waits.
    """

    others = sorted(set(k.live_nodes) - {k.leader})
    began = {node: k.peers[node].process_started for node in others if node in k.peers}
    known = {node: since for node, since in began.items() if since is not None and k.now - since >= SETTLING_IN}
    if known and k.now - k.started >= SETTLING_IN:
        known[k.node] = k.started
        oldest = min(known.values())
        # Processes that began about together stay in the order of their names.
        others.sort(key=lambda node: -((known.get(node, oldest) - oldest) // SAME_AGE))
    reaches = {node: k.peers[node].reaches_workers for node in others if node in k.peers}
    reaches[k.node] = (
        None if k.reachability is ReachabilityState.UNKNOWN else k.reachability is ReachabilityState.REACHABLE
    )
    others.sort(key=lambda node: _BY_REACH[reaches.get(node)])
    place = others.index(k.node) if k.node in others else len(others)
    return why if k.now - since >= STAGGER * place else None


def reason_to_resign(k: ElectionState) -> str | None:
    """Why the leader should stop answering workers before its authority ends.

    Only once a peer commands in its place. A leader that had no state service used to stop as
    soon as a peer seemed to have it. When that peer lost it too, nobody was left to command
    until the service came back, and 1,387 of 1,869 running tasks were killed by their leases
    (bench/days/four-refused-then-outage-kerlann), though its authority had hardly begun to run out.
    """
    if not k.leader_is_this_process:
        return None
    heard = {
        node: peer_status
        for node, peer_status in k.peers.items()
        if k.now - peer_status.received_at <= PEER_SILENT_AFTER
    }
    if any(peer_status.term > k.term and peer_status.dispatching for peer_status in heard.values()):
        return "a peer dispatches under a higher term"
    return None
