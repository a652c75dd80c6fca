"""Random series of faults; they overlap, and each ends before the run does."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random
import signal
import time

import attrs

from fault_soak.connection import proxy
from fault_soak.process import fleet
from fault_soak.process import host
from fault_soak.request import promises

_Kind = Callable[[fleet.SoakFleet, random.Random], Awaitable[None]]
PAUSE_S = (0.2, 1.5)


@contextlib.contextmanager
def _disturbed(
    soak: fleet.SoakFleet, index: int | None, *, planned: bool = False
) -> Iterator[None]:
    start_s = time.monotonic()
    item = promises.Disturbance(index, start_s, float("inf"), planned)
    soak.record.disturbances.append(item)
    try:
        yield
    finally:
        soak.record.disturbances.remove(item)
        soak.record.disturbances.append(attrs.evolve(item, end_s=time.monotonic()))


def _log(soak: fleet.SoakFleet, text: str) -> None:
    soak.record.faults.append(f"{time.monotonic():.3f} {text}")


async def _restart(item: host.SoakHost) -> None:
    await item.start()
    async with asyncio.timeout(20):
        while not await item.is_ready():
            await asyncio.sleep(0.1)


async def kill_host(soak: fleet.SoakFleet, rng: random.Random) -> None:
    item = rng.choice(soak.hosts)
    with _disturbed(soak, item.index):
        _log(soak, f"kill host-{item.index}")
        await item.kill()
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        await _restart(item)


async def stop_host(soak: fleet.SoakFleet, rng: random.Random) -> None:
    item = rng.choice(soak.hosts)
    with _disturbed(soak, item.index, planned=True):
        _log(soak, f"stop host-{item.index}")
        item.signal(signal.SIGTERM)
        if await item.wait(host.GRACE_S) is None:
            soak.record.faults.append(f"host-{item.index} did not end within its grace")
            await item.kill()
        await _restart(item)


async def pause_host(soak: fleet.SoakFleet, rng: random.Random) -> None:
    item = rng.choice(soak.hosts)
    with _disturbed(soak, item.index):
        _log(soak, f"pause host-{item.index}")
        item.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        item.signal(signal.SIGCONT)


async def cut_store(soak: fleet.SoakFleet, rng: random.Random) -> None:
    index = rng.randrange(len(soak.hosts))
    chosen = soak.store_proxies if rng.random() < 0.3 else [soak.store_proxies[index]]
    fault = rng.choice(list(proxy.Fault)[1:])
    with _disturbed(soak, None if len(chosen) > 1 else index):
        _log(soak, f"store {fault.value} for {len(chosen)} hosts from host-{index}")
        for middle in chosen:
            middle.set(fault)
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        for middle in chosen:
            middle.set(proxy.Fault.NONE)


async def silence_store(soak: fleet.SoakFleet, rng: random.Random) -> None:
    with _disturbed(soak, None):
        _log(soak, "open connections to the store go silent")
        for middle in soak.store_proxies:
            middle.silence_open()


async def harm_target(soak: fleet.SoakFleet, rng: random.Random) -> None:
    target_id = rng.choice(sorted(soak.target_proxies))
    middle = soak.target_proxies[target_id]
    fault = rng.choice(list(proxy.Fault)[1:])
    with _disturbed(soak, None):
        _log(soak, f"{target_id} {fault.value}")
        middle.set(fault)
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        middle.set(proxy.Fault.NONE)


async def reset_target(soak: fleet.SoakFleet, rng: random.Random) -> None:
    target_id = rng.choice(sorted(soak.target_proxies))
    with _disturbed(soak, None):
        _log(soak, f"{target_id} resets its connections")
        middle = soak.target_proxies[target_id]
        rng.choice([middle.reset, middle.silence_open])()


async def replace_target(soak: fleet.SoakFleet, rng: random.Random) -> None:
    target_id = rng.choice(sorted(soak.targets))
    item = soak.targets[target_id]
    if target_id in soak.record.left_s:
        return
    _log(soak, f"{target_id} leaves")
    await soak.add_target(item.service)
    soak.register(target_id, state="draining")
    soak.record.left_s[target_id] = time.monotonic()
    await asyncio.sleep(promises.FOLLOW_S + 3.0)
    soak.store.delete(f"servers/{target_id}")
    with _disturbed(soak, None):
        await soak.target_proxies.pop(target_id).close()
        soak.targets.pop(target_id).close()


async def change_configuration(soak: fleet.SoakFleet, rng: random.Random) -> None:
    _log(soak, "configuration changes")
    if "key-b" in soak.keys and rng.random() < 0.3:
        del soak.keys["key-b"]
        soak.publish()
        soak.record.revoked_s["key-b"] = time.monotonic()
    else:
        soak.publish()


KINDS: dict[str, _Kind] = {
    "kill": kill_host,
    "stop": stop_host,
    "pause": pause_host,
    "store": cut_store,
    "store-silent": silence_store,
    "target": harm_target,
    "target-reset": reset_target,
    "target-leaves": replace_target,
    "configuration": change_configuration,
}


async def play(soak: fleet.SoakFleet, rng: random.Random, duration_s: float) -> None:
    """Plays faults for a time and returns when the last one has ended.

    A host has one fault of its processes at a time: signals to a host that is being restarted
    would be about the harness and not about the host.
    """
    end_s = time.monotonic() + duration_s
    running: set[asyncio.Task[None]] = set()
    on_hosts = asyncio.Lock()

    async def one(name: str) -> None:
        if name in ("kill", "stop", "pause"):
            async with on_hosts:
                await KINDS[name](soak, rng)
        else:
            await KINDS[name](soak, rng)

    while time.monotonic() < end_s:
        task = asyncio.create_task(one(rng.choice(sorted(KINDS))))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(rng.uniform(*PAUSE_S))
    await asyncio.gather(*running)
