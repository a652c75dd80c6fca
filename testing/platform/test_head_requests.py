"""Tests requests whose answers have no body by their method."""

from __future__ import annotations

import asyncio

import platform_stand_in as stand_in
import pytest

FRAMINGS = {
    "length": ["Content-Length: 400"],
    "chunks": ["Transfer-Encoding: chunked"],
    "none": [],
    "empty": ["Content-Length: 0"],
}


def _site(kind: str, script: stand_in.Script) -> stand_in.GatewayEnvironment:
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", kind, attempts=2)]
    site.add_worker("i-0", "svc", script)
    site.publish()
    return site


def _head(request_id: str) -> bytes:
    return stand_in.request("/svc/x", request_id, method="HEAD", body=b"")


def _answer(exchange: stand_in.Exchange, status: int, framing: str) -> bytes:
    fields = [f"Request-Id: {exchange.request_id}", "Server-Seal: s", "Keep-Alive: timeout=60"]
    lines = [f"HTTP/1.1 {status} X", *fields, *FRAMINGS[framing]]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@pytest.mark.parametrize("status", [200, 404, 500])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_answer_to_head_is_complete_with_its_head(kind: str, framing: str, status: int) -> None:
    """Guards against a wait until the deadline for a body that never comes."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            exchange.writer.write(_answer(exchange, status, framing))

        async with _site(kind, script) as site:
            await site.start_gateway()
            for index in range(2):
                answer = await site.send(_head(f"r{index}"))
                assert answer.startswith(b"HTTP/1.1 %d " % status), answer
                assert answer.endswith(b"\r\n\r\n")
                assert (b"Content-Length: 400\r\n" in answer) == (framing == "length")

    stand_in.run(main)


@pytest.mark.parametrize("delay_s", [0.0, 0.02])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_body_of_an_answer_to_head_is_part_of_no_answer(framing: str, delay_s: float) -> None:
    """Guards against bytes behind such an answer that become the answer to the next request."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            if exchange.method != "HEAD":
                exchange.send(200, b"answer")
                return
            whole = _answer(exchange, 200, "length")
            exchange.writer.write(_answer(exchange, 200, framing))
            await exchange.writer.drain()
            await asyncio.sleep(delay_s)
            exchange.writer.write(whole + b"x" * 400)

        async with _site("idempotent", script) as site:
            await site.start_gateway()
            for index in range(3):
                answer = await site.send(_head(f"r{index}"))
                assert answer.startswith(b"HTTP/1.1 200"), answer
                assert b"xxx" not in answer
                answer = await site.send(stand_in.request("/svc/x", f"s{index}"))
                assert answer.endswith(b"\r\n\r\nanswer"), answer

    stand_in.run(main)


def test_head_that_is_cut_off_is_no_answer_to_head() -> None:
    """Guards against a success for a head that breaks off."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            exchange.writer.write(_answer(exchange, 200, "length")[:-2])
            await exchange.writer.drain()
            exchange.writer.close()

        async with _site("non_idempotent", script) as site:
            await site.start_gateway()
            answer = await site.send(_head("r1"))
        assert answer.startswith(b"HTTP/1.1 502"), answer

    stand_in.run(main)


def test_refusal_of_head_has_no_body() -> None:
    """Guards against the body of a refusal that the caller takes for its next answer."""

    async def main() -> None:
        async with _site("idempotent", _never) as site:
            await site.start_gateway()
            answer = await site.send(
                stand_in.request("/none/x", "r1", method="HEAD", body=b"", key=None)
            )
        assert answer.startswith(b"HTTP/1.1 404"), answer
        assert answer.endswith(b"\r\n\r\n"), answer

    stand_in.run(main)


async def _never(exchange: stand_in.Exchange) -> None:
    raise AssertionError(f"asked for {exchange.target}")
