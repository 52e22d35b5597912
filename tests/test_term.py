"""When a node takes the term, case by case."""

from datetime import timedelta

import pytest

from gingerspar.coordination.membership.reachability import ReachabilityState, WorkerReachability
from gingerspar.coordination.membership.term import (
    ElectionState,
    PeerStatus,
    authority_duration,
    cancel_limit_problem,
    reason_to_raise,
    reason_to_resign,
    settling_time,
)
from gingerspar.coordination.membership.worker_contacts import WorkerContacts
from gingerspar.protocol.settings import CloudFacts, Facts, StateFacts, WorkerFacts

NOW = timedelta(seconds=100)


def s(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def election_state(**changes: object) -> ElectionState:
    """A follower n2 that hears the leader n1 well; all is as it should be."""
    base: dict[str, object] = {
        "now": NOW,
        "node": "n2",
        "state_age": s(0.1),
        "session_open": True,
        "term": 4,
        "leader": "n1",
        "leader_session_alive": True,
        "leader_is_this_process": False,
        "workers": 0,
        "switched_workers": 0,
        "switched_workers_needed": 3,
        "term_seen_at": s(10),
        "started": s(0),
        "live_nodes": ["n1", "n2", "n3"],
        "peers": {"n1": peer_status()},
        "link_up": True,
    }
    return ElectionState(**{**base, **changes})  # type: ignore[arg-type]


def peer_status(
    age: float = 0.2,
    state_age: float = 0.1,
    workers: int = 8,
    dispatching: bool = True,
    reaches: bool | None = None,
) -> PeerStatus:
    return PeerStatus(NOW - s(age), 4, dispatching, s(state_age), workers, reaches_workers=reaches)


CASES = {
    "all is well": ({}, False),
    "nobody holds the term": ({"term": 0, "leader": None, "live_nodes": ["n2"]}, True),
    "this node's former process held it": ({"leader": "n2", "peers": {}}, True),
    "it is held here": ({"leader": "n2", "leader_is_this_process": True}, False),
    "the leader is dead": (
        {"leader_session_alive": False, "peers": {"n1": peer_status(age=7)}, "link_up": False},
        True,
    ),
    "the leader renews its session": ({"leader_session_alive": False}, False),
    "the leader is silent, but its session lives and no worker comes here": (
        {"peers": {"n1": peer_status(age=5)}, "link_up": False},
        False,
    ),
    "the leader is silent and its workers come here": (
        {"peers": {"n1": peer_status(age=5)}, "link_up": False, "workers": 3, "switched_workers": 3},
        True,
    ),
    # workers-alone: told of the new token, workers were on their way from the old leader to the new one.
    "the leader is silent, workers come here, and it shows itself in the state service": (
        {
            "peers": {"n1": peer_status(age=5)},
            "link_up": False,
            "workers": 3,
            "switched_workers": 3,
            "liveness_seen": s(98),
        },
        False,
    ),
    "the leader is silent, in the state service as well, and keeps its workers": (
        {"peers": {"n1": peer_status(age=7)}, "link_up": False, "liveness_seen": s(93)},
        True,
    ),
    "the leader is silent on the links alone": (
        {"peers": {"n1": peer_status(age=50)}, "link_up": False, "liveness_seen": s(96)},
        False,
    ),
    # kerlann-fonts-grown apart: connections between controllers were refused, and each first report
    # of a new machine made another node take the term, every four seconds.
    "the leader is silent and only new machines come here": (
        {"peers": {"n1": peer_status(age=5)}, "link_up": False, "workers": 3, "switched_workers": 0},
        False,
    ),
    "the leader is silent and one of its workers has come here": (
        {"peers": {"n1": peer_status(age=5)}, "link_up": False, "workers": 3, "switched_workers": 1},
        False,
    ),
    "the leader has lost the state service, this node has not": ({"peers": {"n1": peer_status(state_age=6)}}, True),
    # kerlann-fonts-fleet loss: slow answers alone moved the term twice, each time with all machines unsettled.
    "the leader has had slow answers": ({"peers": {"n1": peer_status(state_age=3.5)}}, False),
    # questions-while-silent: the term moved as an outage ended, by the node that happened to read first.
    "an outage has just ended, the leader has not read yet": (
        {"peers": {"n1": peer_status(state_age=16)}, "state_fresh_since": s(99)},
        False,
    ),
    "an outage has ended, but not for the leader": (
        {"peers": {"n1": peer_status(state_age=18)}, "state_fresh_since": s(98)},
        True,
    ),
    "nobody has the state service": ({"peers": {"n1": peer_status(state_age=6)}, "state_age": s(6)}, False),
    # A spurious change of term on a quiet day: one new worker came here first.
    "a first worker comes here just now": (
        {"peers": {"n1": peer_status(workers=0)}, "workers": 1, "leader_without_workers_since": s(99.5)},
        False,
    ),
    # Combinations 56 and 282: the state service was gone before five seconds were over.
    "workers that the leader had come here and none reach it": (
        {
            "peers": {"n1": peer_status(workers=0)},
            "workers": 4,
            "switched_workers": 3,
            "leader_without_workers_since": s(98.8),
        },
        True,
    ),
    "workers have reached only this node for a while": (
        {"peers": {"n1": peer_status(workers=0)}, "workers": 4, "leader_without_workers_since": s(92)},
        True,
    ),
    # one-has-every-link-kerlann: a new leader that no worker reached kept the term for 22 s.
    "a new leader has asked its machines in vain, this node reaches some": (
        {
            "term_seen_at": s(98.9),
            "leader_reaches_no_workers_since": s(99.2),
            "reachability": ReachabilityState.REACHABLE,
            "peers": {"n1": peer_status(workers=0, reaches=False)},
        },
        True,
    ),
    "the leader has only just found that it reaches none": (
        {
            "leader_reaches_no_workers_since": s(99.8),
            "reachability": ReachabilityState.REACHABLE,
            "peers": {"n1": peer_status(workers=0, reaches=False)},
        },
        False,
    ),
    "neither the leader nor this node reaches any": (
        {
            "leader_reaches_no_workers_since": s(92),
            "reachability": ReachabilityState.UNREACHABLE,
            "peers": {"n1": peer_status(workers=0, reaches=False)},
        },
        False,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_reason_to_raise(case: str) -> None:
    changes, raises = CASES[case]
    assert (reason_to_raise(election_state(**changes)) is not None) == raises


def test_nodes_try_one_after_the_other() -> None:
    dead = {"leader_session_alive": False, "peers": {"n1": peer_status(age=7)}, "term_seen_at": s(99.9)}
    assert reason_to_raise(election_state(**dead, node="n2")) is not None
    assert reason_to_raise(election_state(**dead, node="n3")) is None


def test_a_node_that_reaches_the_workers_goes_before_one_that_does_not() -> None:
    """one-has-every-link-kerlann: all 1,900 tasks were killed by their leases though n4 had every link."""
    lost = {"term_seen_at": s(50), "live_nodes": ["n1", "n2", "n3", "n4"]}
    reachability = {"n2": False, "n3": None, "n4": True}
    states = {False: ReachabilityState.UNREACHABLE, None: ReachabilityState.UNKNOWN, True: ReachabilityState.REACHABLE}

    def takes(node: str, after: float) -> bool:
        peers = {other: peer_status(workers=0, reaches=reachability[other]) for other in reachability if other != node}
        peers["n1"] = peer_status(state_age=4 + after)
        return (
            reason_to_raise(election_state(**lost, node=node, peers=peers, reachability=states[reachability[node]]))
            is not None
        )

    assert [takes(node, 0.2) for node in reachability] == [False, False, True]
    assert [takes(node, 0.7) for node in reachability] == [False, True, True]
    assert [takes(node, 1.2) for node in reachability] == [True, True, True]


def test_what_a_node_knows_of_its_workers_grows_old() -> None:
    contacts = WorkerContacts()
    reachability = WorkerReachability(contacts)
    states = [reachability.update(s(0)).value]
    contacts.add("m1", "10.0.0.1:1", (1, 1), 3, s(1))
    for second, what in [
        (1.0, None),
        (3.0, None),
        (3.5, reachability.record_unanswered_round),
        (4.0, reachability.record_unanswered_round),
    ]:
        if what is not None:
            what(s(second))
        states.append(reachability.update(s(second)).value)
    reachability.record_answer(s(5))
    states.append(reachability.state.value)
    reachability.record_unanswered_round(s(5.5))  # one round without an answer is nothing yet
    states += [reachability.update(s(5.5)).value, reachability.update(s(7)).value]
    assert states == ["unknown", "reachable", "unknown", "unknown", "unreachable", "reachable", "reachable", "unknown"]


def test_the_node_that_was_restarted_last_takes_the_term() -> None:
    """kerlann-fonts-fleet restart: the term went to the node that was to be restarted next, four times."""
    dead = {"leader_session_alive": False, "term_seen_at": s(99.9), "live_nodes": ["n1", "n2", "n3", "n4"]}

    def takes(node: str, began: dict[str, float]) -> bool:
        peers = {"n1": peer_status(age=7)}
        for other, since in began.items():
            peers[other] = PeerStatus(NOW - s(0.2), 4, False, s(0.1), 0, process_started=s(since))
        own = peers.pop(node).process_started
        return reason_to_raise(election_state(**dead, node=node, peers=peers, started=own)) is not None

    all_old = {"n2": 0.0, "n3": 0.3, "n4": 0.1}
    assert [takes(node, all_old) for node in all_old] == [True, False, False]
    one_restarted = {"n2": 0.0, "n3": 0.3, "n4": 80.0}
    assert [takes(node, one_restarted) for node in one_restarted] == [False, False, True]
    just_begun = {"n2": 0.0, "n3": 70.0, "n4": 98.0}
    assert [takes(node, just_begun) for node in just_begun] == [False, True, False]


def test_a_cancelled_task_dies_in_time_behind_any_cut() -> None:
    """Whatever was answered at the end of the authority ends with the worker's lease, before cancel_s."""
    for lease, cancel in ((18, 43), (16, 36), (5, 12), (18, 20), (18, 18.6), (4, 4.2)):
        workers = WorkerFacts(report_s=2, lease_s=lease, cancel_s=cancel)
        assert authority_duration(workers) + s(lease * 1.001) < s(cancel)
        assert settling_time(workers) > authority_duration(workers) + s(lease)


def test_settings_that_leave_no_time_for_fresh_reads_are_named() -> None:
    """With a floor of 1 s for L the bound did not hold where cancel_s is hardly longer than lease_s."""

    def verdict(cancel: float, rps: float = 100, size: int = 3) -> str | None:
        state = StateFacts(rps=rps, write_rps=25, value_kb=8, txn_ops=12)
        workers = WorkerFacts(report_s=2, lease_s=18, cancel_s=cancel)
        return cancel_limit_problem(Facts(workers, state, CloudFacts(rps=5), size))

    assert verdict(43) is None
    assert verdict(18.5) is None  # reads ten times a second
    assert "facts.workers.cancel_s" in (verdict(18.2) or "")
    assert "facts.workers.cancel_s" in (verdict(18.5, rps=30, size=7) or "")


def test_a_leader_stops_only_when_a_peer_commands_in_its_place() -> None:
    """kerlann-fonts' rough day: a leader without state kept all workers for 22 s, away from its successor.

    And kerlann-fonts-fleet loss: one that stopped before it had a successor left them with nobody, as the
    peer that was to follow lost the state service as well.
    """
    here: dict[str, object] = {"leader": "n2", "leader_is_this_process": True}
    peer = PeerStatus(NOW - s(0.2), 4, False, s(0.1), 0)
    long_lost_peer = PeerStatus(NOW - s(0.2), 5, False, s(5), 0)
    successor = PeerStatus(NOW - s(0.2), 5, True, s(0.1), 3)
    assert reason_to_resign(election_state(**here, peers={"n1": peer})) is None
    assert reason_to_resign(election_state(**here, peers={"n1": peer}, state_age=s(9))) is None
    assert reason_to_resign(election_state(**here, peers={"n1": long_lost_peer}, state_age=s(9))) is None
    assert reason_to_resign(election_state(**here, peers={"n1": successor})) is not None
    assert reason_to_resign(election_state(**here, peers={"n1": successor}, state_age=s(9))) is not None


def test_a_hundred_machines_that_hear_nothing_show_nothing() -> None:
    """They go round all controllers for good; and copies of what they said come late, in any order."""
    contacts = WorkerContacts()
    for number in range(100):
        for order in ((1, 9), (1, 5), (1, 9)):
            contacts.add(f"m{number}", "10.0.0.9:1", order, 4, s(1))
    assert (contacts.recent_count(s(1)), contacts.switched_count(4), contacts.responsive_switched_count(4)) == (
        100,
        100,
        0,
    )
    assert len(contacts.unprobed(8)) == 8
    contacts.record_probe_answer("m99", (1, 10))
    contacts.record_probe_answer("m200", (1, 10))  # it has not come at all
    contacts.record_probe_answer("m98", (1, 30))  # what came was a copy: it hears, and reports to another
    assert (
        contacts.responsive_switched_count(4),
        contacts.responsive_switched_count(5),
        contacts.responsive_count(s(1)),
    ) == (1, 0, 1)
    contacts.add("m7", "10.0.0.9:1", (1, 8), 5, s(3))  # an old copy is no sign of life
    assert (contacts.last_report_at, contacts.recent_count(s(4.5)), contacts.responsive_count(s(4.5))) == (s(1), 0, 0)


def test_a_worker_counts_once_with_the_last_token_it_had_seen() -> None:
    contacts = WorkerContacts()
    for second, machine, token in [(0, "m1", 3), (1, "m2", 4), (2, "m1", 4), (2, "m3", 3)]:
        contacts.add(machine, "10.0.0.9:1", (1, second + 1), token, timedelta(seconds=second))
        contacts.record_probe_answer(machine, (1, second + 2))
    assert (contacts.recent_count(timedelta(seconds=2)), contacts.responsive_switched_count(4)) == (3, 2)
    assert (contacts.recent_count(timedelta(seconds=4.5)), contacts.responsive_switched_count(4)) == (2, 1)
    assert (contacts.recent_count(timedelta(seconds=9)), contacts.responsive_switched_count(0)) == (0, 0)
