"""Random series of faults; they overlap, and each ends before the run does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import random
import signal
import time
from typing import Any

import attrs

from fault_soak.connection import proxy
from fault_soak.process import fleet
from fault_soak.process import host
from fault_soak.process import odd_entries
from fault_soak.request import promises

_Kind = Callable[[fleet.SoakFleet, random.Random], Coroutine[Any, Any, None]]
PAUSE_S = (0.2, 1.5)
_WATCH_S, _STALL_S = 0.1, 0.5
_SILENT_SERVICES = ("engine", "engine", "engine", "plain", "plain", "prepare", "rank")


@contextlib.contextmanager
def _disturbed(
    soak: fleet.SoakFleet, index: int | None, kind: promises.Kind = promises.Kind.FAULT
) -> Iterator[None]:
    start_s = time.monotonic()
    item = promises.Disturbance(index, start_s, float("inf"), kind)
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


def _choose_host(soak: fleet.SoakFleet, rng: random.Random) -> host.SoakHost:
    """Returns a host to which nothing is done now, if there is one."""
    idle = [item for item in soak.hosts if not item.busy.locked()]
    return rng.choice(idle or soak.hosts)


async def kill_host(soak: fleet.SoakFleet, rng: random.Random) -> None:
    item = _choose_host(soak, rng)
    async with item.busy:
        with _disturbed(soak, item.index, promises.Kind.KILL):
            _log(soak, f"kill host-{item.index}")
            await item.kill()
            await asyncio.sleep(rng.uniform(0.1, 2.0))
            await _restart(item)


async def stop_host(soak: fleet.SoakFleet, rng: random.Random) -> None:
    item = _choose_host(soak, rng)
    async with item.busy:
        with _disturbed(soak, item.index, promises.Kind.STOP):
            _log(soak, f"stop host-{item.index}")
            await _stop(soak, item, rng, [])


async def stop_host_in_series(soak: fleet.SoakFleet, rng: random.Random) -> None:
    """Sends signals and changes the configuration before and after SIGTERM."""
    item = _choose_host(soak, rng)
    pauses = rng.random() < 0.4
    names = ["reload", "stop", "change", *["pause"] * pauses]
    steps = rng.choices(names, k=rng.randint(2, 6))
    kind = promises.Kind.KILL if pauses else promises.Kind.STOP
    async with item.busy:
        await _reload(soak, item, rng)
        with _disturbed(soak, item.index, kind):
            _log(soak, f"stop host-{item.index}, then {', '.join(steps)}")
            await _stop(soak, item, rng, steps)


async def _stop(
    soak: fleet.SoakFleet, item: host.SoakHost, rng: random.Random, steps: list[str]
) -> None:
    end_s = time.monotonic() + promises.GRACE_S
    item.signal(signal.SIGTERM)
    for step in steps:
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        if step == "reload":
            item.signal(signal.SIGHUP)
        elif step == "stop":
            item.signal(signal.SIGTERM)
        elif step == "change":
            soak.publish()
        else:
            item.signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            item.signal(signal.SIGCONT)
    if await item.wait(max(0.1, end_s - time.monotonic())) is None:
        _log(soak, f"host-{item.index} did not end within its grace")
        await item.kill()
    await _restart(item)


async def reload_host(soak: fleet.SoakFleet, rng: random.Random) -> None:
    item = _choose_host(soak, rng)
    async with item.busy:
        await _reload(soak, item, rng)


async def _reload(soak: fleet.SoakFleet, item: host.SoakHost, rng: random.Random) -> None:
    with _disturbed(soak, item.index, promises.Kind.RELOAD):
        count = rng.randint(1, 3)
        _log(soak, f"reload host-{item.index} {count} times")
        for _ in range(count):
            item.signal(signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0.0, 0.3))


async def pause_host(soak: fleet.SoakFleet, rng: random.Random) -> None:
    item = _choose_host(soak, rng)
    async with item.busy:
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


async def return_store(soak: fleet.SoakFleet, rng: random.Random) -> None:
    """The store is away, returns from a copy, and what was lost is written again."""
    change = rng.choice([add_route, change_configuration, replace_target, evacuate_zone])
    changes = asyncio.create_task(change(soak, rng))
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    if soak.store.failing is not None:
        await changes
        return
    with _disturbed(soak, None, promises.Kind.STORE_RETURN):
        soak.store.leave()
        for middle in soak.store_proxies:
            middle.reset()
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        age_s = rng.uniform(1.0, 8.0)
        before = soak.store.revision
        soak.store.return_from_copy(age_s)
        _log(soak, f"store returns from a copy: revision {before} becomes {soak.store.revision}")
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        soak.store.write_again()
        _log(soak, f"store is written again up to revision {soak.store.revision}")
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    await add_route(soak, rng)
    await changes


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


async def silence_target(soak: fleet.SoakFleet, rng: random.Random) -> None:
    """A sound target is silent and goes on; the others may be full meanwhile."""
    service = rng.choice(_SILENT_SERVICES)
    peers = [item for item in soak.targets.values() if item.service == service]
    item = rng.choice(peers)
    others = [other for other in peers if other is not item] if rng.random() < 0.5 else []
    if not item.speaks.is_set():
        return
    with _disturbed(soak, None, promises.Kind.SILENCE):
        _log(soak, f"{item.target_id} is silent, {[one.target_id for one in others]} are full")
        item.speaks.clear()
        for other in others:
            other.full = True
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        if rng.random() < 0.4:
            await change_configuration(soak, rng)
        await asyncio.sleep(rng.uniform(1.0, 1.5))
        item.speaks.set()
        for other in others:
            other.full = False
        _log(soak, f"{item.target_id} goes on")


async def evacuate_zone(soak: fleet.SoakFleet, rng: random.Random) -> None:
    if any(item.end_s > time.monotonic() for item in soak.record.evacuations):
        return
    zone = rng.choice(fleet.ZONES)
    _log(soak, f"zone {zone} is taken out")
    soak.store.put(f"op/evacuate/{zone}", {})
    evacuation = promises.Evacuation(zone, time.monotonic())
    soak.record.evacuations.append(evacuation)
    await asyncio.sleep(promises.EVACUATE_S + rng.uniform(0.5, 3.0))
    evacuation.end_s = time.monotonic()
    soak.store.delete(f"op/evacuate/{zone}")
    _log(soak, f"zone {zone} is taken back")


async def write_odd_entry(soak: fleet.SoakFleet, rng: random.Random) -> None:
    name, data = rng.choice(sorted(odd_entries.entries(soak.unused_ip()).items()))
    _log(soak, f"odd entry {name}")
    soak.store.put(f"servers/odd-{name}", data)
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await add_route(soak, rng)


async def add_route(soak: fleet.SoakFleet, rng: random.Random) -> None:
    del rng
    name = f"added-{len(soak.added)}"
    _log(soak, f"route {name}")
    soak.added.append(name)
    soak.publish()
    soak.record.added_s[name] = time.monotonic()


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
    if rng.random() < 0.5:
        # It serves on, so that requests that still reach it are seen.
        return
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


SILENCE_KINDS: dict[str, _Kind] = {
    "configuration": change_configuration,
    "target-silent": silence_target,
}
HARMLESS_KINDS: dict[str, _Kind] = SILENCE_KINDS | {
    "odd-entry": write_odd_entry,
    "reload": reload_host,
    "route": add_route,
    "stop": stop_host,
    "stop-in-series": stop_host_in_series,
    "store-return": return_store,
    "target-leaves": replace_target,
    "zone": evacuate_zone,
}
KINDS: dict[str, _Kind] = HARMLESS_KINDS | {
    "kill": kill_host,
    "pause": pause_host,
    "store": cut_store,
    "store-silent": silence_store,
    "target": harm_target,
    "target-reset": reset_target,
}


async def record_stalls(soak: fleet.SoakFleet) -> None:
    """Records when the soak itself did not run, as then nothing that it saw is in time."""
    while True:
        start_s = time.monotonic()
        await asyncio.sleep(_WATCH_S)
        now_s = time.monotonic()
        if now_s > start_s + _WATCH_S + _STALL_S:
            _log(soak, f"the soak itself stood still for {now_s - start_s:.1f} s")
            soak.record.disturbances.append(promises.Disturbance(None, start_s, now_s))


async def play(soak: fleet.SoakFleet, rng: random.Random, duration_s: float) -> None:
    """Plays faults for a time and returns when the last one has ended.

    Two thirds of the seeds play only what excuses no request from an answer; half of these only
    silent targets and changes of the configuration, which seldom meet otherwise. A host has one
    fault of its processes at a time: signals to a host that is being restarted would be about the
    harness and not about the host.
    """
    end_s = time.monotonic() + duration_s
    running: set[asyncio.Task[None]] = set()
    kinds = rng.choice([SILENCE_KINDS, HARMLESS_KINDS, KINDS])
    while time.monotonic() < end_s:
        task = asyncio.create_task(kinds[rng.choice(sorted(kinds))](soak, rng))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(rng.uniform(*PAUSE_S))
    await asyncio.gather(*running)
