"""One gateway process of the soak, started from its settings file."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

import attrs

from fault_soak.request import promises

ROOT = pathlib.Path(__file__).parents[3]
FRONT_PORT, READINESS_PORT, CONTROL_PORT, PEER_PORT = 8625, 8621, 8628, 7740


@attrs.define(eq=False)
class SoakHost:
    """A host and the process that runs on it now.

    Attributes:
        life: Number of the start of its process.
        record: Gets a line for each process that ends without being told to, or with a failure.
        busy: Held while something is done to the process.
    """

    index: int
    ip: str
    zone: str
    store: str
    seeds: list[str]
    folder: pathlib.Path
    record: promises.Record
    life: int = 0
    busy: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _is_told_to_end: bool = False
    _watch: asyncio.Task[None] | None = None
    process: asyncio.subprocess.Process | None = None

    @property
    def settings_path(self) -> pathlib.Path:
        return self.folder / f"host-{self.index}.toml"

    async def start(self) -> None:
        self.settings_path.write_text(self._settings(), encoding="utf-8")
        environment = {**os.environ, "SESAMEHOLD_NODE_FILE": str(self.settings_path)}
        with (self.folder / f"host-{self.index}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, str(ROOT / "src/entry_host.py"), env=environment, stdout=log
            )
        self.life += 1
        self._is_told_to_end = False
        self._watch = asyncio.create_task(self._watch_process(self.process))

    async def _watch_process(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        line = f"host-{self.index} ended with {code} in its life {self.life}"
        if not self._is_told_to_end or code > 0:
            self.record.ended.append(line)
        elif code not in (0, -signal.SIGKILL):
            self.record.interrupted.append(f"{line} after SIGTERM")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self._is_told_to_end = True
            self.process.send_signal(number)

    async def wait(self, limit_s: float) -> int | None:
        """Returns the exit code, None if the process still runs after the limit."""
        if self.process is None:
            return None
        try:
            async with asyncio.timeout(limit_s):
                return await self.process.wait()
        except TimeoutError:
            return None

    async def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.wait(5.0)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip, READINESS_PORT)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    def _settings(self) -> str:
        seeds = ", ".join(f'"{ip}:{CONTROL_PORT}"' for ip in self.seeds)
        return f"""
nodeName = "host-{self.index}"
role = "entry"
ipAddress = "{self.ip}"
zone = "{self.zone}"
internalPorts = [{PEER_PORT}, {PEER_PORT + 15}]
seeds = [{seeds}]
[listen]
front = "{self.ip}:{FRONT_PORT}"
readiness = "{self.ip}:{READINESS_PORT}"
control = "{self.ip}:{CONTROL_PORT}"
[limits]
processorShare = 1.0
cores = 1
[bounds]
contactMs = 3000
graceS = {promises.GRACE_S}
budgetRatio = 0.2
budgetWindowS = 10
budgetExtraAttempts = 60
[platform]
address = "{self.store}"
"""
