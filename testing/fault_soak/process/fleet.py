"""Everything that one run of the soak starts: hosts, targets, store, proxies and callers."""

from __future__ import annotations

import asyncio
import functools
import os
import pathlib
import random

import attrs
import platform_stand_in

from fault_soak.connection import caller
from fault_soak.connection import proxy
from fault_soak.connection import target
from fault_soak.process import host
from fault_soak.process import restored_store
from fault_soak.request import promises

HOST_COUNT = 4
ZONES = ("z1", "z2")
KEYS = {"key-a": "account-a", "key-b": "account-b"}
ROUTES = ("order", "read", "talk", "chat")
SERVICES = {"plain": 3, "engine": 3, "prepare": 2, "rank": 2}
CALLERS_PER_HOST = 6
_STORE_PORT, _TARGET_PORT = 9_000, 9_001
# Numbers of the first loopback addresses of the proxies.
_STORE_IPS, _TARGET_IPS = 250, 500
_PIECES = {
    "slots": 1,
    "queue": 2,
    "batch": 8,
    "callMs": 60,
    "itemMs": 1,
    "roomMb": 10,
    "handleS": 4,
    "linkMbps": 1000,
}


@attrs.define(eq=False)
class SoakFleet:
    """The parts of one run; every address is below one loopback network of the process.

    Attributes:
        added: Names of the routes that were added.
    """

    rng: random.Random
    folder: pathlib.Path
    host_count: int = HOST_COUNT
    record: promises.Record = attrs.field(factory=promises.Record)
    store: restored_store.RestoredStore = attrs.field(
        factory=restored_store.RestoredStore, init=False
    )
    hosts: list[host.SoakHost] = attrs.field(factory=list, init=False)
    store_proxies: list[proxy.FaultProxy] = attrs.field(factory=list, init=False)
    targets: dict[str, target.SoakTarget] = attrs.field(factory=dict, init=False)
    target_proxies: dict[str, proxy.FaultProxy] = attrs.field(factory=dict, init=False)
    keys: dict[str, str] = attrs.field(factory=lambda: dict(KEYS), init=False)
    added: list[str] = attrs.field(factory=list, init=False)
    version: int = attrs.field(default=0, init=False)
    _target_count: int = attrs.field(default=0, init=False)
    _stop: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)
    _callers: list[asyncio.Task[None]] = attrs.field(factory=list, init=False)

    def _ip(self, number: int) -> str:
        # One network for each process, so that runs beside each other do not meet.
        return f"127.{50 + os.getpid() % 150}.{number // 250}.{1 + number % 250}"

    async def start(self) -> None:
        await self.store.start()
        for service, count in SERVICES.items():
            for _ in range(count):
                await self.add_target(service)
        self.publish()
        store = platform_stand_in.listening.Address.parse(self.store.address)
        ips = [self._ip(index) for index in range(self.host_count)]
        for index, ip in enumerate(ips):
            middle = proxy.FaultProxy(
                self._ip(_STORE_IPS + index), _STORE_PORT, (store.ip, store.port)
            )
            await middle.start()
            self.store_proxies.append(middle)
            zone = ZONES[index % len(ZONES)]
            address = f"{middle.ip}:{middle.port}"
            item = host.SoakHost(index, ip, zone, address, ips[:3], self.folder, self.record)
            self.hosts.append(item)
        await asyncio.gather(*(item.start() for item in self.hosts))
        async with asyncio.timeout(30 + 2 * self.host_count):
            for item in self.hosts:
                while not await item.is_ready():
                    await asyncio.sleep(0.1)

    def start_callers(self) -> None:
        for item in self.hosts:
            for number in range(CALLERS_PER_HOST):
                one = caller.Caller(
                    name=f"h{item.index}c{number}",
                    host=item.index,
                    address=(item.ip, host.FRONT_PORT),
                    record=self.record,
                    rng=random.Random(self.rng.random()),
                    # Keys that were taken away are still tried, less often.
                    keys=lambda: sorted([*self.keys] * 2 + [*KEYS]),
                    routes=lambda: [*ROUTES, "chat", "chat", *self.added[-3:]],
                    life=functools.partial(getattr, item, "life"),
                )
                self._callers.append(asyncio.create_task(one.run(self._stop)))

    async def stop(self) -> None:
        self._stop.set()
        try:
            await asyncio.gather(*self._callers)
        finally:
            await asyncio.gather(*(item.kill() for item in self.hosts))
        for middle in [*self.store_proxies, *self.target_proxies.values()]:
            await middle.close()
        for item in self.targets.values():
            item.close()

    async def add_target(self, service: str) -> str:
        self._target_count += 1
        target_id = f"{service}-{self._target_count}"
        ip = self._ip(_TARGET_IPS + self._target_count)
        zone = self.record.zones[target_id] = ZONES[self._target_count % len(ZONES)]
        added = target.SoakTarget(
            target_id,
            service,
            zone,
            self._target_count,
            self.record,
            random.Random(self.rng.random()),
            f"{ip}:{_TARGET_PORT}",
        )
        await added.start()
        middle = proxy.FaultProxy(ip, _TARGET_PORT, (platform_stand_in.HOST, added.stand_in.port))
        await middle.start()
        self.targets[target_id] = added
        self.target_proxies[target_id] = middle
        self.register(target_id)
        return target_id

    def unused_ip(self) -> str:
        """Returns an address at which nothing listens."""
        return self._ip(_TARGET_IPS - 1)

    def register(self, target_id: str, *, state: str = "ready") -> None:
        item = self.targets[target_id]
        self.store.put(
            f"servers/{target_id}",
            {
                "service": item.service,
                "address": item.handle_address,
                "zone": item.zone,
                "slots": 16,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": 1_700_000_000_000 + item.number,
            },
        )

    def publish(self) -> None:
        self.version += 1
        self.record.accounts |= self.keys
        route = platform_stand_in.route
        kinds = {"order": "non_idempotent"} | dict.fromkeys(["read", *self.added], "idempotent")
        stages = [
            {"service": "prepare", "bytes": 1000},
            {"service": "rank", "after": [0], "bytes": 1000},
        ]
        chat = {"service": "engine", "timeoutMs": 5_000, "aimMs": 1_000, "gapAimMs": 300}
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": [
                    *(route(name, kind, service="plain") for name, kind in kinds.items()),
                    route("talk", "streaming", service="plain", timeoutMs=4_000, gapAimMs=300),
                    route("chat", "streaming", resumable=True, stages=stages, **chat),
                ],
                "services": [
                    {"name": "plain"},
                    {"name": "engine", "engine": {"slots": 16, "cacheTokens": 100_000}},
                    {"name": "prepare", "pieces": _PIECES},
                    {"name": "rank", "pieces": _PIECES},
                ],
                "limits": {"bodyBytes": 100_000, "idleMs": 10_000},
                "tenants": [
                    {"name": name, "keys": [key], "priority": 1}
                    for key, name in sorted(self.keys.items())
                ],
            },
        )
