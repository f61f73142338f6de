"""File descriptors of this process."""

import os
import resource

# Descriptors of standard streams, event loop and files that are open for a
# moment, such as the settings file.
FILE_DESCRIPTORS = 32
_OPEN_DESCRIPTORS_PATH = '/proc/self/fd'


def connection_limit(platform_limit: int = 0) -> int:
    """Return how many connections the process may have open.

    Args:
        platform_limit: Limit that the platform sets, 0 for none.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [platform_limit] if platform_limit else []
    if soft_limit != resource.RLIM_INFINITY:
        limits.append(max(soft_limit - FILE_DESCRIPTORS, 1))
    return min(limits, default=1 << 20)


def open_count() -> int | None:
    """Return the number of open descriptors, None if it is not known."""
    try:
        # One of them belongs to the listing itself.
        return len(os.listdir(_OPEN_DESCRIPTORS_PATH)) - 1
    except OSError:
        return None
