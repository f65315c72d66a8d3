"""Settings of the allocator and of the garbage collector."""

from __future__ import annotations

import ctypes
import gc

_M_MMAP_THRESHOLD = -3
_LARGE_BLOCK_BYTES = 128 * 1024
_OLDEST_THRESHOLD = 3
"""Collections of the middle generation before one of the oldest; Python's
default is 10, after which 600 requests had left 20 MB."""


def collect_sooner() -> None:
    """Let cycles be collected before they take much memory.

    The end of an anyio task group with cancelled tasks leaves a cycle, which
    holds all that its request held. Objects of the start live as long as the
    process; they are excluded, so that collections stay short.
    """
    gc.collect()
    gc.freeze()
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, _OLDEST_THRESHOLD)


def return_large_blocks() -> bool:
    """Make the allocator return each large block to the system when freed.

    glibc raises its threshold for separately mapped blocks up to 32 MiB with
    the size of freed ones. Bodies and answers of megabytes then fragment its
    heap, which never shrinks.

    Returns:
        Whether the C library has this setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES))
