"""Starts a small fleet and its simulated services as child processes on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
from typing import Any

import aiohttp
import attrs

from sesamehold.version import manifest
from sesamehold_bench.process import faults
from sesamehold_bench.version import fleet

# A local fleet has no load balancer; the grace time only separates the two phases of shutdown.
BALANCER_GRACE_MS = 100
# The timeouts are generous because the machine may be shared with other work.
READY_TIMEOUT_S = 120.0
STOP_TIMEOUT_S = 30.0
REPLACEMENT_POLL_S = 0.2
OPERATOR_CREDENTIAL = "operator-secret-for-tests"
PEER_KEY = "peer-key-for-tests-only"
_NO_FAULT: dict[str, object] = {"down": {"down": False}, "stale": {"version": None}}


@attrs.define(eq=False)
class ChildProcess:
    """A child process of the fleet."""

    name: str
    process: asyncio.subprocess.Process

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal, unless the process has exited."""
        if self.process.returncode is None:
            self.process.send_signal(signal_number)

    @property
    def ended(self) -> bool:
        """Returns whether the process has exited."""
        return self.process.returncode is not None

    async def stop(self) -> int:
        """Stops the process gracefully and returns its exit code."""
        self.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)

    async def kill(self) -> None:
        """Kills the process and waits for its exit."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()


def free_addresses(count: int) -> list[str]:
    """Returns loopback addresses with free ports, for TCP and UDP.

    The IP address depends on the process id, because a free port of 127.0.0.1 may be taken by
    another fleet or by an outgoing connection before the fleet listens on it.
    """
    process_id = os.getpid()
    ip = f"127.{1 + process_id // 250 % 250}.{1 + process_id % 250}.1"
    sockets = []
    for _ in range(count):
        candidate = socket.socket()
        candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        candidate.bind((ip, 0))
        sockets.append(candidate)
    addresses = [f"{ip}:{item.getsockname()[1]}" for item in sockets]
    for item in sockets:
        item.close()
    return addresses


@attrs.define(eq=False)
class LocalFleet:
    """Entry hosts, engines, services and the configuration service of one deployment.

    Attributes:
        deployment: Shape of the deployment.
        session: HTTP session for control calls.
        directory: Directory with settings and logs of the processes.
        platform_address: Address of the configuration service.
        addresses: Addresses of hosts and targets.
        version: Manifest of the last publication.
        settings: Additional settings of all entry hosts.
        host_launcher: Interpreter arguments before the daemon's module, such as a profiler.
        replaced_targets: Number of targets that exited and were restarted.
        children: Started processes by name.
    """

    deployment: fleet.Deployment
    session: aiohttp.ClientSession
    directory: pathlib.Path
    platform_address: str
    addresses: fleet.Addresses
    version: manifest.Manifest
    settings: dict[str, Any] = attrs.field(factory=dict)
    host_launcher: tuple[str, ...] = ()
    replaced_targets: int = 0
    children: dict[str, ChildProcess] = attrs.field(factory=dict)

    @classmethod
    def from_config(
        cls, deployment: fleet.Deployment, session: aiohttp.ClientSession
    ) -> LocalFleet:
        """Returns a fleet with free addresses, without starting any process."""
        ids = [fleet.engine_id(index) for index in range(deployment.engine_count)]
        ids += [
            fleet.service_id(pool.name, index)
            for pool in deployment.services
            for index in range(pool.target_count)
        ]
        free = free_addresses(1 + 3 * deployment.host_count + len(ids))
        hosts = tuple(
            (free[1 + 3 * index], free[2 + 3 * index], free[3 + 3 * index])
            for index in range(deployment.host_count)
        )
        targets = dict(zip(ids, free[1 + 3 * deployment.host_count :], strict=True))
        addresses = fleet.Addresses(hosts=hosts, targets=targets)
        return cls(
            deployment=deployment,
            session=session,
            directory=pathlib.Path(tempfile.mkdtemp(prefix="sesamehold-fleet-")),
            platform_address=free[0],
            addresses=addresses,
            version=fleet.build(deployment, addresses),
        )

    async def start(self) -> None:
        """Starts all processes and waits until all entry hosts are ready."""
        await self._start("platform", "platform", "--address", self.platform_address)
        for target_id, address in self.addresses.targets.items():
            await self._start_target(target_id, address)
        await self._wait_until_up(self.platform_address, "/control/counters")
        for address in self.addresses.targets.values():
            await self._wait_until_up(address, "/v1/counters")
        await self.publish(self.version)
        for index in range(self.deployment.host_count):
            await self.start_host(index)
        for index in range(self.deployment.host_count):
            await self.wait_until_ready(index)

    async def start_host(self, index: int, **overrides: Any) -> None:
        """Starts one entry host; `overrides` replace settings."""
        caller, operator, peer = self.addresses.hosts[index]
        config = {
            "host_id": f"host-{index}",
            "zone": fleet.zone_of(self.deployment, index),
            "caller_address": caller,
            "operator_address": operator,
            "peer_address": peer,
            "platform_address": self.platform_address,
            "operator_credential": OPERATOR_CREDENTIAL,
            "peer_keys": [PEER_KEY],
            "seeds": [peer for _, _, peer in self.addresses.hosts],
            "random_seed": index,
            "balancer_grace_ms": BALANCER_GRACE_MS,
            **self.settings,
            **overrides,
        }
        path = self.directory / f"host-{index}.json"
        path.write_text(f"// Settings of host-{index}.\n{json.dumps(config, indent=2)}\n")
        module = (*self.host_launcher, "-m", "sesamehold.process.daemon")
        await self._spawn(f"host-{index}", *module, "--settings", str(path))

    async def publish(self, version: manifest.Manifest) -> None:
        """Publishes a manifest on the configuration service."""
        document = {"version": version.version, "value": manifest.to_json(version)}
        url = f"http://{self.platform_address}/control/values/manifest"
        async with self.session.put(url, json=document) as response:
            response.raise_for_status()
        self.version = version

    async def operator_get(self, index: int, path: str) -> Any:
        """Returns a JSON document from an entry host's operator interface."""
        headers = {"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
        url = f"http://{self.addresses.hosts[index][1]}{path}"
        async with self.session.get(url, headers=headers) as response:
            response.raise_for_status()
            return await response.json()

    async def target_counters(self, target_id: str) -> Any:
        """Returns the counters of a target."""
        url = f"http://{self.addresses.targets[target_id]}/v1/counters"
        async with self.session.get(url) as response:
            return await response.json()

    async def stop(self) -> dict[str, int]:
        """Stops the entry hosts, then the simulated services; returns exit codes by name."""
        names = sorted(self.children, key=lambda name: not name.startswith("host-"))
        codes: dict[str, int] = {}
        for group in (True, False):
            chosen = [name for name in names if name.startswith("host-") is group]
            results = await asyncio.gather(*(self.children[name].stop() for name in chosen))
            codes.update(zip(chosen, results, strict=True))
        return codes

    async def set_faults(self, target_id: str, script: faults.FaultScript) -> None:
        """Activates a fault script at a target; the default script ends all faults."""
        await self._control("PUT", target_id, "faults", faults.script_to_json(script))

    async def silence(self, target_id: str) -> None:
        """Makes the open connections of a target silent permanently; later ones still work."""
        await self._control("POST", target_id, "silence", None)

    async def turn_cold(self, engine_id: str) -> None:
        """Starts a cold phase of an engine without announcing it."""
        await self._control("POST", engine_id, "cold", None)

    async def configure_platform(self, name: str, document: object) -> None:
        """Configures a fault of the configuration service: `down` or `stale`."""
        url = f"http://{self.platform_address}/control/{name}"
        async with self.session.put(url, json=document) as response:
            response.raise_for_status()

    async def start_target(self, target_id: str) -> None:
        """Starts a target that was stopped or killed."""
        await self._start_target(target_id, self.addresses.targets[target_id])
        await self._wait_until_up(self.addresses.targets[target_id], "/v1/counters")

    async def replace_ended_targets(self) -> None:
        """Restarts targets that have exited, as the platform does, until cancelled."""
        while True:
            for target_id in self.addresses.targets:
                if self.children[target_id].ended:
                    self.replaced_targets += 1
                    await self.start_target(target_id)
            await asyncio.sleep(REPLACEMENT_POLL_S)

    async def restore(self) -> None:
        """Ends all faults and restarts exited processes, so that the fleet serves as at first."""
        for name in ("down", "stale"):
            await self.configure_platform(name, _NO_FAULT[name])
        for target_id in self.addresses.targets:
            if self.children[target_id].ended:
                await self.start_target(target_id)
            else:
                await self.set_faults(target_id, faults.FaultScript())
        await self.publish(fleet.with_all_zones(self.version))
        for index in range(self.deployment.host_count):
            self.children[f"host-{index}"].send_signal(signal.SIGCONT)
            if self.children[f"host-{index}"].ended:
                await self.start_host(index)
            await self.wait_until_ready(index)
        await self.wait_for_version(self.version.version, range(self.deployment.host_count))

    async def set_faults_of_pool(self, pool_name: str, script: faults.FaultScript) -> None:
        """Activates a fault script at all targets of a pool."""
        for target in self.targets_of(pool_name):
            await self.set_faults(target, script)

    def targets_of(self, pool_name: str) -> list[str]:
        """Returns the target ids of a pool."""
        pool = self.version.pool(pool_name)
        return [target.id for target in pool.targets] if pool is not None else []

    async def wait_until_ready(self, index: int) -> None:
        """Waits until an entry host accepts requests."""
        await self._wait_until_up(self.addresses.hosts[index][0], "/healthz")

    async def wait_for_version(self, version: int, indexes: Sequence[int]) -> None:
        """Waits until entry hosts have applied a configuration version or a newer one."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for index in indexes:
                while True:
                    status = await self.operator_get(index, "/v1/status")
                    if (status["configuration_version"] or 0) >= version:
                        break
                    await asyncio.sleep(0.05)

    async def _control(self, method: str, target_id: str, name: str, document: object) -> None:
        url = f"http://{self.addresses.targets[target_id]}/control/{name}"
        async with self.session.request(method, url, json=document) as response:
            response.raise_for_status()

    async def _start_target(self, target_id: str, address: str) -> None:
        if target_id.startswith("engine-"):
            deployment = self.deployment
            options = {
                "capacity-warm": deployment.engine_capacity,
                "capacity-cold": deployment.engine_capacity_cold,
                "step-base-ms": deployment.engine_step_base_ms,
                "step-per-request-ms": deployment.engine_step_per_request_ms,
                "cold-ms": deployment.engine_cold_ms,
            }
            await self._start(target_id, "engine", *_arguments({"address": address, **options}))
            return
        pool_name = target_id.rpartition("-")[0]
        pool = next(item for item in self.deployment.services if item.name == pool_name)
        options = {"capacity": pool.capacity, "service-ms": pool.service_ms}
        arguments = _arguments({"address": address, "name": pool_name, **options})
        flag = "--reports-load" if pool.reports_load else "--no-reports-load"
        await self._start(target_id, "service", *arguments, flag)

    async def _start(self, name: str, command: str, *arguments: str) -> None:
        await self._spawn(name, "-m", "sesamehold_bench.process.cli", command, *arguments)

    async def _spawn(self, name: str, *arguments: str) -> None:
        log = (self.directory / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stderr=log, stdout=log, env=dict(os.environ)
        )
        log.close()
        self.children[name] = ChildProcess(name, process)

    async def _wait_until_up(self, address: str, path: str) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_up(address, path):
                await asyncio.sleep(0.05)

    async def _is_up(self, address: str, path: str) -> bool:
        try:
            async with self.session.get(f"http://{address}{path}") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


def _arguments(options: Mapping[str, object]) -> list[str]:
    return [part for name, value in options.items() for part in (f"--{name}", str(value))]
