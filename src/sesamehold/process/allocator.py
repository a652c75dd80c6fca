"""Settings of the C library's allocator for a process with a memory limit."""

from __future__ import annotations

import ctypes

# From <malloc.h>.
_M_MMAP_THRESHOLD = -3
# Blocks of this size or larger go back to the system as soon as they are freed.
MAPPED_BLOCK_BYTES = 131_072


def return_large_blocks() -> bool:
    """Makes freed large blocks leave the process; returns whether the C library can do that.

    By default, glibc raises the size of such blocks each time that one is freed, and keeps freed
    blocks below that size behind any smaller one that is still in use.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(set_option(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))
