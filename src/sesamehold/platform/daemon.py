"""Entry point of a gateway process on the platform."""

from __future__ import annotations

import os
import pathlib
import sys

from expression import Result
import uvloop

from sesamehold.platform import boot
from sesamehold.platform import headers
from sesamehold.platform import names
from sesamehold.platform import stage_calls
from sesamehold.platform import store
from sesamehold.process import allocator
from sesamehold.process.gateway import daemon
from sesamehold.process.gateway import decision_log
from sesamehold.process.gateway import settings

EXIT_BAD_SETTINGS = 2


def _create_adapter(config: settings.GatewaySettings, path: pathlib.Path) -> daemon.Adapter:
    platform_store = store.PlatformStore.from_config(config.store_address)
    return daemon.Adapter(
        source=platform_store,
        requests=headers.PlatformHeaders(),
        stages=stage_calls.PlatformStageCalls(),
        reload=lambda: boot.read(path),
        close=platform_store.close,
    )


def main() -> int:
    """Runs one process with the settings file named by the environment; returns the exit code."""
    allocator.return_large_blocks()
    path = pathlib.Path(os.environ.get(names.SETTINGS_VARIABLE, ""))
    match boot.read(path):
        case Result(tag="ok", ok=config):
            output = decision_log.BoundedOutput()
            with decision_log.install(output).applicationbound():
                uvloop.run(daemon.run(config, lambda: _create_adapter(config, path), output))
            return 0
        case Result(error=fault):
            print(fault, file=sys.stderr)
            return EXIT_BAD_SETTINGS
