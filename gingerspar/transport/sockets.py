"""Sockets for outgoing connections, and how a process divides its sockets between outgoing and accepted ones."""

import logging
import math
import socket

from tornado import iostream

from gingerspar.transport.error_counts import ErrorCounts

log = logging.getLogger(__name__)

# Share of the process's sockets that is kept for its own connections, to the state service, the cloud, peers and
# workers: without these the accepted ones are of no use.
RESERVED_SHARE = 0.1

_errors = ErrorCounts(log)


def new_stream(max_buffer_bytes: int | None = None) -> iostream.IOStream:
    """Creates an unconnected stream. Raises OSError if the process has no free socket."""
    try:
        stream = iostream.IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM), max_buffer_size=max_buffer_bytes)
    except OSError:
        _errors.add("creation of a socket")
        raise
    stream.set_nodelay(True)
    return stream


def max_accepted(max_sockets: float) -> float:
    """The number of connections that a process with ``max_sockets`` sockets may accept; infinite for no limit."""
    return max_sockets if math.isinf(max_sockets) else math.ceil(max_sockets * (1 - RESERVED_SHARE))
