"""Netstrings: ``LENGTH:BYTES,``, the framing between controllers."""

MAX_DIGITS = 8


class Malformed(ValueError):
    """The bytes are no netstring; the connection is of no further use."""


def pack(data: bytes) -> bytes:
    return b"%d:%b," % (len(data), data)


class Unpacker:
    """Takes bytes as they come and gives back whole netstrings."""

    def __init__(self, longest: int) -> None:
        self._longest = longest
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        self._buffer += data
        found: list[bytes] = []
        while True:
            colon = self._buffer.find(b":", 0, MAX_DIGITS + 1)
            if colon < 0:
                if len(self._buffer) > MAX_DIGITS:
                    raise Malformed("no length")
                return found
            digits = bytes(self._buffer[:colon])
            if not digits.isdigit() or (len(digits) > 1 and digits.startswith(b"0")):
                raise Malformed("bad length")
            length = int(digits)
            if length > self._longest:
                raise Malformed("too long")
            end = colon + 1 + length
            if len(self._buffer) <= end:
                return found
            if self._buffer[end : end + 1] != b",":
                raise Malformed("no comma")
            found.append(bytes(self._buffer[colon + 1 : end]))
            del self._buffer[: end + 1]
