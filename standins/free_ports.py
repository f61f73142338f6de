"""Ports of 127.0.0.1 for programs whose settings name them in advance."""

import contextlib
import functools
import itertools
import os
import socket
from collections import abc

# Blocks of ports below the ephemeral range of the kernel, so that no outgoing
# connection takes one before its program listens.
FIRST_PORT = 10000
PORTS_PER_BLOCK = 400
BLOCK_COUNT = 55


def free_port() -> int:
    """Return a free port that was not returned before.

    Raises:
        RuntimeError: No port is left.
    """
    for port in _candidate_ports():
        guard = _bind(port)
        if guard is not None:
            guard.close()
            return port
    raise RuntimeError('no port of this process is free')


@functools.cache
def _candidate_ports() -> abc.Iterator[int]:
    """Return the ports of blocks that no other process uses."""
    return itertools.chain.from_iterable(
        range(start + 1, start + PORTS_PER_BLOCK) for start in _free_blocks()
    )


def _free_blocks() -> abc.Iterator[int]:
    """Take one block after the other; yield its first port."""
    first = os.getpid() % BLOCK_COUNT
    for number in range(BLOCK_COUNT):
        block = (first + number) % BLOCK_COUNT
        start = FIRST_PORT + block * PORTS_PER_BLOCK
        guard = _bind(start)
        if guard is not None:
            _BLOCK_GUARDS.append(guard)
            yield start


def _bind(port: int) -> socket.socket | None:
    sock = socket.socket()
    with contextlib.suppress(OSError):
        sock.bind(('127.0.0.1', port))
        return sock
    sock.close()
    return None


# The first port of a block stays bound as long as the process uses the block.
_BLOCK_GUARDS: list[socket.socket] = []
