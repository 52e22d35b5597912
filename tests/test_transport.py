"""Netstrings, sets of finished tasks, and the validation of jobs, reports and settings."""

import msgspec
import pytest

from gingerspar.protocol import messages
from gingerspar.protocol.messages import Malformed
from gingerspar.protocol.settings import BadSettings, parse_operator_settings, parse_settings
from gingerspar.storage.records import chunk_bytes, must_spill
from gingerspar.storage.task_set import TaskSet
from gingerspar.transport import netstrings
from tests.standins.cluster import Cluster, job


def test_netstrings_received_in_pieces() -> None:
    unpacker = netstrings.Unpacker(100)
    stream = netstrings.pack(b"one") + netstrings.pack(b"") + netstrings.pack(b"three")
    unpacked: list[bytes] = []
    for byte in stream:
        unpacked += unpacker.feed(bytes([byte]))
    assert unpacked == [b"one", b"", b"three"]


@pytest.mark.parametrize("bad", [b"x:a,", b"03:abc,", b"3:abcd", b"101:", b"123456789", b"-1:,"])
def test_invalid_netstrings_are_rejected(bad: bytes) -> None:
    with pytest.raises(netstrings.Malformed):
        netstrings.Unpacker(100).feed(bad)


def test_finished_set_of_100000_tasks_fits_the_value_limit() -> None:
    size, limit = 100_000, 8 * 1024
    assert must_spill(messages.parse_job(job(1, Pieces=size)), limit)
    chunk_size = chunk_bytes(limit)
    task_set = TaskSet(size, range(0, size, 3))
    merged = TaskSet(size)
    for start in range(0, (size + 7) // 8, chunk_size):
        text = task_set.text(start, chunk_size)
        assert len(text) + 100 < limit
        merged.merge(text, start)
    assert list(merged) == list(task_set)
    assert len(merged) == len(task_set)


BAD_JOBS = {
    "no id": {"Ref": None},
    "id of another format": {"Ref": "job-1"},
    "no tasks": {"Pieces": 0},
    "too many tasks": {"Pieces": 100_001},
    "fractional task count": {"Pieces": 1.5},
    "tasks as text": {"Pieces": "3"},
    "negative CPUs": {"Cpus": -1.0},
    "unknown shape": {"Shape": "round"},
    "unknown urgency": {"Urgency": "very"},
    "flag that is not a boolean": {"Loaners": "yes"},
    "types that are not a list": {"Builds": "g8"},
    "no memory": {"MemoryGb": None},
    "no image size": {"ImageGb": None},
}


@pytest.mark.parametrize("case", BAD_JOBS)
def test_malformed_jobs_are_rejected(case: str) -> None:
    with pytest.raises(Malformed):
        messages.parse_job(job(1, **BAD_JOBS[case]))


@pytest.mark.parametrize("text", [b"", b"{", b"nope", b'{"a":NaN}', b"\xff", b"[" * 100_000])
def test_invalid_json_is_rejected(text: bytes) -> None:
    with pytest.raises(Malformed):
        messages.read_json(text)


def test_unknown_fields_and_nulls_are_ignored() -> None:
    spec = messages.parse_job(job(1, Extra=[1], Builds=None, DueS=None))
    assert spec.types is None
    assert spec.due_s is None


def test_unknown_fields_of_a_report_are_ignored() -> None:
    body = b'{"Host":"n-1","Endpoint":"x","Build":"b","Hall":"a","Stint":1,"Tick":2,"New":{},"Pieces":[]}'
    assert messages.decode(messages.Report, body).seq == 2


def test_settings_errors_name_the_field() -> None:
    good = Cluster().settings("n0")
    assert parse_settings(good).node == "n0"
    for invalid, field in (
        (good.replace('listen = "127', 'listen = "', 1).replace(":", ";", 1), "listen"),
        (good.replace("lease_s = 4.0", 'lease_s = "long"'), "lease_s"),
        (good.replace("cancel_s = 12.0", "cancel_s = 3.0"), "cancel_s"),
        (good.replace("[outside]", "[inside]"), "outside"),
    ):
        with pytest.raises(BadSettings) as caught:
            parse_settings(invalid)
        assert field in str(caught.value)
        assert "\n" not in str(caught.value)


def test_operator_settings_are_validated() -> None:
    assert parse_operator_settings("").claim_batch == 8
    assert parse_operator_settings("claim_batch: 4").claim_batch == 4
    for bad in ("claim_batch: many", "claim_batch: 0", "claim_bacth: 4", "- 1", "a: [", "session_ttl_s: .nan"):
        with pytest.raises(BadSettings):
            parse_operator_settings(bad)


def test_raw_values_are_encoded_unchanged() -> None:
    put = messages.Put("k", msgspec.Raw(b'{"a":1}'))
    assert messages.encode(put) == b'{"Put":"k","Data":{"a":1}}'
