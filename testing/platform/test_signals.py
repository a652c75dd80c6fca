"""Tests series of signals against a gateway process with open requests."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from fault_soak.process import host as soak_host
from fault_soak.request import promises
import platform_stand_in as stand_in
from platform_stand_in import Exchange
import pytest

from sesamehold.process import listening

TERM, HUP, INT = signal.SIGTERM, signal.SIGHUP, signal.SIGINT


async def _ok(exchange: Exchange) -> None:
    exchange.send(200, b"answer")


@pytest.mark.parametrize(
    ("ip", "during", "later"),
    [
        pytest.param("127.0.71.1", [TERM], [], id="term"),
        pytest.param("127.0.71.2", [TERM, TERM, INT], [TERM, TERM], id="term-again"),
        pytest.param("127.0.71.3", [HUP, TERM, HUP], [HUP, HUP], id="hup-around-term"),
        pytest.param("127.0.71.4", [HUP, HUP, HUP], [TERM], id="hup-only-at-first"),
    ],
)
def test_series_of_signals_loses_no_request(
    tmp_path: pathlib.Path, ip: str, during: list[signal.Signals], later: list[signal.Signals]
) -> None:
    """Guards against signals that cut requests being received, waiting or answered."""

    async def main() -> None:
        async def slow(exchange: Exchange) -> None:
            await asyncio.sleep(3.5)
            exchange.send(200, b"answer")

        site = stand_in.GatewayEnvironment()
        site.ingress = listening.Address(ip, soak_host.FRONT_PORT)
        site.routes = [stand_in.route("svc", "non_idempotent", timeoutMs=20_000)]
        site.add_worker("i-0", "svc", slow)
        site.publish()
        process = soak_host.SoakHost(
            0, ip, "z1", site.store.address, [], tmp_path, promises.Record()
        )
        async with site:
            await process.start()
            async with asyncio.timeout(20):
                while not await process.is_ready():
                    await asyncio.sleep(0.05)
            data = stand_in.request("/svc/x", body=b"x" * 4_000, Deadline_Remaining="15000")
            reader, writer = await asyncio.open_connection(ip, soak_host.FRONT_PORT)
            writer.write(data[:-100])
            whole = asyncio.create_task(site.send(data))
            while not site.workers["i-0"].exchanges:
                await asyncio.sleep(0.01)
            for number in during:
                process.signal(number)
                await asyncio.sleep(0.1)
            await asyncio.sleep(3.0)
            for number in later:
                process.signal(number)
                await asyncio.sleep(0.05)
            writer.write(data[-100:])
            assert (await reader.read(12)).startswith((b"HTTP/1.1 503", b"HTTP/1.1 200"))
            writer.close()
            assert (await whole).endswith(b"answer")
            if TERM not in later and TERM not in during:
                process.signal(TERM)
            assert await process.wait(promises.GRACE_S) == 0

    stand_in.run(main)


@pytest.mark.parametrize(
    ("ip", "number", "codes"),
    [
        pytest.param("127.0.71.5", HUP, {None}, id="hup"),
        pytest.param("127.0.71.6", TERM, {0, -TERM}, id="term"),
    ],
)
def test_signals_during_the_start_end_a_process_only_if_they_ask_for_it(
    tmp_path: pathlib.Path, ip: str, number: signal.Signals, codes: set[int | None]
) -> None:
    """Guards against a process that a change of its settings file ends while it starts."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        site.add_worker("i-0", "svc", _ok)
        site.publish()
        host = soak_host.SoakHost(0, ip, "z1", site.store.address, [], tmp_path, promises.Record())
        async with site:
            await host.start()
            try:
                async with asyncio.timeout(10):
                    while not _has_begun_imports(host):
                        await asyncio.sleep(0.001)
                async with asyncio.timeout(20):
                    while not await host.is_ready() and await host.wait(0.02) is None:
                        host.signal(number)
                assert await host.wait(1.0 if number == HUP else promises.GRACE_S) in codes
            finally:
                await host.kill()

    stand_in.run(main)


@pytest.mark.parametrize(
    ("ip", "number"),
    [
        pytest.param("127.0.71.7", TERM, id="term"),
        pytest.param("127.0.71.8", HUP, id="hup"),
        pytest.param("127.0.71.9", INT, id="int"),
    ],
)
def test_signals_until_a_process_is_gone_do_not_change_its_exit_code(
    tmp_path: pathlib.Path, ip: str, number: signal.Signals
) -> None:
    """Guards against signals that end a process which has stopped but not yet exited."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        site.add_worker("i-0", "svc", _ok)
        site.publish()
        host = soak_host.SoakHost(0, ip, "z1", site.store.address, [], tmp_path, promises.Record())
        async with site:
            await host.start()
            try:
                async with asyncio.timeout(20):
                    while not await host.is_ready():
                        await asyncio.sleep(0.05)
                host.signal(TERM)
                async with asyncio.timeout(promises.GRACE_S):
                    while (code := await host.wait(0.001)) is None:
                        host.signal(number)
                assert code == 0
            finally:
                await host.kill()

    stand_in.run(main)


def _has_begun_imports(host: soak_host.SoakHost) -> bool:
    assert host.process is not None
    return "site-packages" in pathlib.Path(f"/proc/{host.process.pid}/maps").read_text()
