"""Settings of the C library's allocator."""

from __future__ import annotations

import ctypes

_M_MMAP_THRESHOLD = -3
_LARGE_BLOCK_BYTES = 128 * 1024


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
