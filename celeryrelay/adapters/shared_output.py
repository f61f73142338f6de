"""Writes without waiting to an output that other processes share.

The non-blocking mode of a descriptor belongs to its open file description: it
would hold for all processes that inherited the output, also after the end of the
one that set it, and make their writes fail. So the mode is left as it is, except
for a terminal that this process may not open.
"""

import os
import select
import socket
import stat
import typing
from collections import abc

# Appends bytes to an output and returns how many it took.
#
# Raises:
#     BlockingIOError: The output takes no bytes now.
#     OSError: The output can't be written.
Write: typing.TypeAlias = abc.Callable[[bytes], int]


def open_writer(descriptor: int) -> Write:
    """Return a function that writes to an output without waiting."""
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISREG(mode):
        return _FileWriter(descriptor)
    if stat.S_ISSOCK(mode):
        return _SocketWriter(socket.socket(fileno=os.dup(descriptor)))
    try:
        return _FileWriter(_open_again(descriptor))
    except OSError:
        # It belongs to another user, or its reader has gone.
        if stat.S_ISFIFO(mode):
            return _PollingWriter(descriptor)
    # A terminal that has room for a byte may still let a longer write wait.
    os.set_blocking(descriptor, False)
    return _FileWriter(descriptor)


def _open_again(descriptor: int) -> int:
    """Return another descriptor of a pipe or terminal; it is non-blocking."""
    return os.open(
        '/proc/self/fd/{0}'.format(descriptor),
        os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY,
    )


class _FileWriter:
    """Writes to a file, or to a non-blocking pipe or terminal."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def __call__(self, line: bytes) -> int:
        return os.write(self._descriptor, line)


class _SocketWriter:
    """Writes to a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def __call__(self, line: bytes) -> int:
        return self._sock.send(line, socket.MSG_DONTWAIT)


class _PollingWriter:
    """Writes to a blocking pipe as much as it has room for.

    It waits only if another process takes that room at the same moment.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def __call__(self, line: bytes) -> int:
        if not self._poll.poll(0):
            raise BlockingIOError
        return os.write(self._descriptor, line[: select.PIPE_BUF])
