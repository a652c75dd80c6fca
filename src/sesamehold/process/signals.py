"""Handlers of signals, from the start of a daemon to the exit of its process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import signal


@contextlib.contextmanager
def handled(handlers: Mapping[signal.Signals, Callable[[], None]]) -> Iterator[None]:
    """Calls handlers on the running loop; the signals are then ignored until the process exits.

    Without the second part, a signal would end a process that has already stopped: the interpreter
    restores the default action of every signal with a handler, but not of an ignored one, at the
    beginning of its own shutdown.
    """
    loop = asyncio.get_running_loop()
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    try:
        yield
    finally:
        for number in handlers:
            signal.signal(number, signal.SIG_IGN)
