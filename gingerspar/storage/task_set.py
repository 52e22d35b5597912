"""Sets of task numbers of one job, in memory that follows their members and not the number of the job's tasks."""

import base64
from collections.abc import Iterable, Iterator

PAGE_TASKS = 4096
_PAGE_BYTES = PAGE_TASKS // 8
_FULL_PAGE = (1 << PAGE_TASKS) - 1  # the one object for all full pages


class TaskSet:
    """Set of task numbers from 0 to ``size - 1``, stored as a bitmap in pages of ``PAGE_TASKS`` numbers.

    Pages without members take no memory, and full pages share one object. A page is an int, which never changes, so a
    copy shares all pages with its original until one of them gets other members.
    """

    __slots__ = ("_count", "_pages", "_size")

    def __init__(self, size: int, members: Iterable[int] = ()) -> None:
        self._size = size
        self._pages: dict[int, int] = {}  # by page number: the bitmap, lowest number in the lowest bit
        self._count = 0
        for number in members:
            self.add(number)

    def __contains__(self, number: int) -> bool:
        page = self._pages.get(number // PAGE_TASKS, 0)
        return bool(page >> (number % PAGE_TASKS) & 1)

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[int]:
        for index in sorted(self._pages):
            yield from _members(self._pages[index], index)

    @property
    def size(self) -> int:
        return self._size

    @property
    def full(self) -> bool:
        return self._count == self._size

    def add(self, number: int) -> bool:
        """Returns whether the number was added: it is in range and was not a member before."""
        if not 0 <= number < self._size or number in self:
            return False
        index = number // PAGE_TASKS
        self._set_page(index, self._pages.get(index, 0) | 1 << number % PAGE_TASKS)
        return True

    def discard(self, number: int) -> None:
        """Removes the number if it is a member."""
        if number in self:
            index = number // PAGE_TASKS
            self._set_page(index, self._pages[index] & ~(1 << number % PAGE_TASKS))

    def _set_page(self, index: int, page: int) -> None:
        self._count += page.bit_count() - self._pages.get(index, 0).bit_count()
        if page:
            self._pages[index] = _FULL_PAGE if page == _FULL_PAGE else page
        else:
            self._pages.pop(index, None)

    def first_missing(self, count: int) -> list[int]:
        """The lowest numbers that are not members, in ascending order, up to ``count`` of them."""
        found: list[int] = []
        for first in range(0, self._size, PAGE_TASKS):
            if len(found) >= count:
                break
            page = self._pages.get(first // PAGE_TASKS, 0)
            if page is _FULL_PAGE:
                continue
            candidates = _FULL_PAGE & ~page
            while candidates and len(found) < count:
                number = first + _lowest_bit(candidates)
                if number >= self._size:
                    break
                found.append(number)
                candidates &= candidates - 1
        return found

    def difference(self, other: "TaskSet") -> list[int]:
        """Members of this set that are not in ``other``, in ascending order."""
        found: list[int] = []
        for index in sorted(self._pages):
            page, other_page = self._pages[index], other._pages.get(index, 0)
            if page is not other_page:
                found += _members(page & ~other_page, index)
        return found

    def update(self, other: "TaskSet") -> None:
        """Adds all members of the other set that are in the range of this one."""
        for index, page in other._pages.items():
            self._add_bits(index, page)

    def copy(self) -> "TaskSet":
        other = TaskSet(self._size)
        other._pages, other._count = dict(self._pages), self._count
        return other

    def text(self, first_byte: int = 0, byte_count: int | None = None) -> str:
        """Base64 of the bitmap, or of ``byte_count`` bytes from ``first_byte`` on, without trailing zero bytes."""
        end = (self._size + 7) // 8
        if byte_count is not None:
            end = min(end, first_byte + byte_count)
        first_page, end_page = first_byte // _PAGE_BYTES, -(-end // _PAGE_BYTES)
        bitmap = b"".join(
            self._pages.get(index, 0).to_bytes(_PAGE_BYTES, "little") for index in range(first_page, end_page)
        )
        offset = first_page * _PAGE_BYTES
        return base64.b64encode(bitmap[first_byte - offset : end - offset].rstrip(b"\0")).decode()

    def merge(self, text: str, first_byte: int = 0) -> None:
        """Adds the members that ``text`` returned for the part of a bitmap that starts at ``first_byte``.

        Raises ValueError, without a change, if it is not base64.
        """
        bitmap = base64.b64decode(text)
        position = 0
        while position < len(bitmap):
            index, offset = divmod(first_byte + position, _PAGE_BYTES)
            part = bitmap[position : position + _PAGE_BYTES - offset]
            self._add_bits(index, int.from_bytes(part, "little") << 8 * offset)
            position += len(part)

    def _add_bits(self, index: int, bits: int) -> None:
        in_range = max(min(self._size - index * PAGE_TASKS, PAGE_TASKS), 0)
        if in_range < PAGE_TASKS:
            bits &= (1 << in_range) - 1
        known = self._pages.get(index, 0)
        if bits & ~known:
            self._set_page(index, bits | known if known else bits)


def _lowest_bit(bits: int) -> int:
    return (bits & -bits).bit_length() - 1


def _members(bits: int, index: int) -> Iterator[int]:
    """The task numbers of a page's bits, in ascending order."""
    first = index * PAGE_TASKS
    while bits:
        yield first + _lowest_bit(bits)
        bits &= bits - 1
