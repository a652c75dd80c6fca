"""Keeps the background tasks of a gateway process running after unexpected errors."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from sesamehold.process.gateway import state as states

# Well below `hosts.LIVENESS_TIMEOUT_MS`, so that other hosts do not miss a task's heartbeats.
RESTART_DELAY_S = 0.5
MAX_REASON_LENGTH = 200


async def keep_running(
    name: str, state: states.GatewayState, work: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Runs a task until it returns or is cancelled; an unexpected error starts it again.

    Args:
        name: Name of the task in logs and metrics.
        state: State of the process, which reports and counts the errors.
        work: Starts the task.
    """
    while True:
        try:
            await work()
        except Exception as error:  # noqa: BLE001
            # A task that ended here would leave a host that serves on with what it knew.
            state.metrics.task_failures.labels(name).inc()
            reason = str(error)[:MAX_REASON_LENGTH]
            state.log.write("task.failed", task=name, error=type(error).__name__, reason=reason)
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return
