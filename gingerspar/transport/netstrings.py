"""Netstrings: ``LENGTH:BYTES,``, the framing between controllers."""

MAX_DIGITS = 8


class Malformed(ValueError):
    """The data is not a valid netstring; the rest of the stream can't be decoded."""


def pack(data: bytes) -> bytes:
    """Encodes ``data`` as one netstring."""
    return b"%d:%b," % (len(data), data)


class Unpacker:
    """Incremental decoder; payloads may be at most ``max_length`` bytes long."""

    def __init__(self, max_length: int) -> None:
        self._max_length = max_length
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes; returns the payloads that are now complete. Raises ``Malformed``."""
        self._buffer += data
        payloads: list[bytes] = []
        while True:
            colon = self._buffer.find(b":", 0, MAX_DIGITS + 1)
            if colon < 0:
                if len(self._buffer) > MAX_DIGITS:
                    raise Malformed("no length prefix")
                return payloads
            digits = bytes(self._buffer[:colon])
            if not digits.isdigit() or (len(digits) > 1 and digits.startswith(b"0")):
                raise Malformed("invalid length prefix")
            length = int(digits)
            if length > self._max_length:
                raise Malformed("payload too long")
            end = colon + 1 + length
            if len(self._buffer) <= end:
                return payloads
            if self._buffer[end : end + 1] != b",":
                raise Malformed("no comma after the payload")
            payloads.append(bytes(self._buffer[colon + 1 : end]))
            del self._buffer[: end + 1]
