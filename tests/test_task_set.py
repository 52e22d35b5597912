"""Sets of task numbers behave like sets, whatever the page that a number is in, and encode to the stored bitmap."""

import base64

from hypothesis import given, settings
from hypothesis import strategies as st

from gingerspar.coordination.cluster.open_tasks import OpenTasks
from gingerspar.storage.task_set import PAGE_TASKS, TaskSet

SIZES = st.sampled_from([1, 7, PAGE_TASKS - 1, PAGE_TASKS, PAGE_TASKS + 1, 3 * PAGE_TASKS, 100_000])
# Also out of range, and next to the ends of pages.
NUMBERS = st.one_of(
    st.integers(-2, 100_001), st.integers(0, 24).flatmap(lambda page: st.integers(-3, 3).map(lambda n: page * 4096 + n))
)
CHANGES = st.lists(st.tuples(st.booleans(), NUMBERS, st.integers(1, 2 * PAGE_TASKS)), max_size=8)


def _apply(size: int, changes: list[tuple[bool, int, int]]) -> tuple[TaskSet, set[int]]:
    """A task set and a set to which runs of numbers were added, or from which they were removed."""
    task_set, expected = TaskSet(size), set[int]()
    for adds, first, count in changes:
        for number in range(first, first + count):
            in_range = 0 <= number < size
            if adds:
                assert task_set.add(number) == (in_range and number not in expected)
                expected |= {number} if in_range else set()
            else:
                task_set.discard(number)
                expected.discard(number)
    return task_set, expected


@settings(max_examples=60, deadline=None)
@given(SIZES, CHANGES, CHANGES, st.integers(0, 5000))
def test_task_set_behaves_like_a_set(
    size: int, changes: list[tuple[bool, int, int]], other_changes: list[tuple[bool, int, int]], count: int
) -> None:
    task_set, expected = _apply(size, changes)
    assert (list(task_set), len(task_set), task_set.full) == (sorted(expected), len(expected), len(expected) == size)
    missing = sorted(set(range(size)) - expected)
    assert task_set.first_missing(count) == missing[:count]
    open_tasks = OpenTasks(task_set)
    assert (len(open_tasks), open_tasks.first(count)) == (len(missing), missing[:count])
    other, other_expected = _apply(size, other_changes)
    assert task_set.difference(other) == sorted(expected - other_expected)
    copy = task_set.copy()
    copy.update(other)
    assert set(copy) == expected | other_expected
    assert list(task_set) == sorted(expected)  # a copy shares no later changes


@settings(max_examples=60, deadline=None)
@given(SIZES, CHANGES, st.integers(1, 13_000))
def test_bitmap_is_the_stored_one(size: int, changes: list[tuple[bool, int, int]], chunk_bytes: int) -> None:
    """The format of stored records must not change: bit ``n % 8`` of byte ``n // 8`` is task ``n``."""
    task_set, expected = _apply(size, changes)
    bitmap = bytearray((size + 7) // 8)
    for number in expected:
        bitmap[number >> 3] |= 1 << (number & 7)
    assert base64.b64decode(task_set.text()) == bytes(bitmap).rstrip(b"\0")
    merged = TaskSet(size)
    for first_byte in range(0, len(bitmap), chunk_bytes):
        text = task_set.text(first_byte, chunk_bytes)
        assert base64.b64decode(text) == bytes(bitmap[first_byte : first_byte + chunk_bytes]).rstrip(b"\0")
        merged.merge(text, first_byte)
    assert set(merged) == expected
