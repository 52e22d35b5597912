"""Netstrings, finished sets and what the front door refuses."""

import msgspec
import pytest

from gingerspar.protocol import messages
from gingerspar.protocol.messages import Malformed
from gingerspar.protocol.settings import BadSettings, parse_operator_settings, parse_settings
from gingerspar.storage.records import TaskSet, chunk_bytes, must_spill
from gingerspar.transport import netstrings
from tests.standins.cluster import Cluster, job


def test_netstrings_come_in_pieces() -> None:
    unpacker = netstrings.Unpacker(100)
    stream = netstrings.pack(b"one") + netstrings.pack(b"") + netstrings.pack(b"three")
    found: list[bytes] = []
    for byte in stream:
        found += unpacker.feed(bytes([byte]))
    assert found == [b"one", b"", b"three"]


@pytest.mark.parametrize("bad", [b"x:a,", b"03:abc,", b"3:abcd", b"101:", b"123456789", b"-1:,"])
def test_what_is_no_netstring(bad: bytes) -> None:
    with pytest.raises(netstrings.Malformed):
        netstrings.Unpacker(100).feed(bad)


def test_a_hundred_thousand_tasks_fit_the_values() -> None:
    size, limit = 100_000, 8 * 1024
    assert must_spill(size, limit)
    step = chunk_bytes(limit)
    whole = TaskSet(size, range(0, size, 3))
    again = TaskSet(size)
    for start in range(0, (size + 7) // 8, step):
        text = whole.text(start, step)
        assert len(text) + 100 < limit
        again.merge(text, start)
    assert list(again) == list(whole)
    assert len(again) == len(whole)


BAD_JOBS = {
    "no id": {"Ref": None},
    "id of another form": {"Ref": "job-1"},
    "no tasks": {"Pieces": 0},
    "too many tasks": {"Pieces": 100_001},
    "half a task": {"Pieces": 1.5},
    "tasks as text": {"Pieces": "3"},
    "negative CPUs": {"Cpus": -1.0},
    "unknown shape": {"Shape": "round"},
    "unknown urgency": {"Urgency": "very"},
    "flag that is no flag": {"Loaners": "yes"},
    "types that are no list": {"Builds": "g8"},
    "no memory": {"MemoryGb": None},
    "no image size": {"ImageGb": None},
}


@pytest.mark.parametrize("case", BAD_JOBS)
def test_malformed_jobs(case: str) -> None:
    with pytest.raises(Malformed):
        messages.parse_job(job(1, **BAD_JOBS[case]))


@pytest.mark.parametrize("text", [b"", b"{", b"nope", b'{"a":NaN}', b"\xff", b"[" * 100_000])
def test_what_is_not_json(text: bytes) -> None:
    with pytest.raises(Malformed):
        messages.read_json(text)


def test_unknown_fields_and_nulls_are_ignored() -> None:
    spec = messages.parse_job(job(1, Extra=[1], Builds=None, DueS=None))
    assert spec.types is None
    assert spec.due_s is None


def test_a_report_with_unknown_fields() -> None:
    body = b'{"Host":"n-1","Endpoint":"x","Build":"b","Hall":"a","Stint":1,"Tick":2,"New":{},"Pieces":[]}'
    assert messages.decode(messages.Report, body).seq == 2


def test_settings_name_the_field() -> None:
    good = Cluster().settings("n0")
    assert parse_settings(good).node == "n0"
    for spoilt, word in (
        (good.replace('listen = "127', 'listen = "', 1).replace(":", ";", 1), "listen"),
        (good.replace("lease_s = 4.0", 'lease_s = "long"'), "lease_s"),
        (good.replace("cancel_s = 12.0", "cancel_s = 3.0"), "cancel_s"),
        (good.replace("[outside]", "[inside]"), "outside"),
    ):
        with pytest.raises(BadSettings) as caught:
            parse_settings(spoilt)
        assert word in str(caught.value)
        assert "\n" not in str(caught.value)


def test_operator_settings() -> None:
    assert parse_operator_settings("").claim_batch == 8
    assert parse_operator_settings("claim_batch: 4").claim_batch == 4
    for bad in ("claim_batch: many", "claim_batch: 0", "claim_bacth: 4", "- 1", "a: [", "session_ttl_s: .nan"):
        with pytest.raises(BadSettings):
            parse_operator_settings(bad)


def test_values_are_kept_as_they_are() -> None:
    put = messages.Put("k", msgspec.Raw(b'{"a":1}'))
    assert messages.encode(put) == b'{"Put":"k","Data":{"a":1}}'
