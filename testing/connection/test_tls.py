"""Tests of TLS for callers and between hosts, with generated certificates."""

from __future__ import annotations

import asyncio
import pathlib
import ssl

from aiohttp import web
import certificates
from cryptography import x509
from cryptography.x509 import oid
import pytest

from sesamehold.connection import http_listener
from sesamehold.connection import tls
from sesamehold.process import clock
from sesamehold.process import listening
from sesamehold.process import receive_budget
from sesamehold.process import settings


async def _peer_name(port: int, client: ssl.SSLContext) -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=client)
    writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
    status = await reader.readline()
    if not status:
        raise ConnectionResetError("the server closed the connection")
    assert b" 200 " in status, status
    der = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.close()
    attribute = x509.load_der_x509_certificate(der).subject.get_attributes_for_oid(
        oid.NameOID.COMMON_NAME
    )
    return str(attribute[0].value)


async def _listen(context: ssl.SSLContext) -> http_listener.HttpListener:
    application = web.Application()

    async def answer(request: web.Request) -> web.Response:
        return web.Response(text="ok")

    application.router.add_get("/healthz", answer)
    return await http_listener.HttpListener.start(
        application,
        "127.0.0.1:0",
        listening.CallerLimits(),
        receive_budget.ReceiveBudget(1_000_000, print),
        clock.SystemClock(),
        context,
    )


def _client(files: settings.Tls, *, with_certificate: bool = True) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    if files.authority_path is not None:
        context.load_verify_locations(files.authority_path)
    if with_certificate:
        context.load_cert_chain(files.certificate_path, files.key_path)
    return context


def test_certificate_is_reloaded_without_restart(tmp_path: pathlib.Path) -> None:
    """Guards against a restart for each renewal, and against loading a half-written pair."""
    authority = certificates.Authority.create()

    async def check() -> None:
        files = authority.issue(tmp_path, "first")
        reloading = tls.ReloadingTls.for_callers(files).ok
        listener = await _listen(reloading.context)
        names = [await _peer_name(listener.port, _client(files))]
        assert not reloading.reload_if_changed()
        authority.issue(tmp_path, "second")
        assert reloading.reload_if_changed()
        names.append(await _peer_name(listener.port, _client(files)))
        (tmp_path / "key.pem").write_text("half")
        assert not reloading.reload_if_changed()
        authority_only = _client(files, with_certificate=False)
        with pytest.raises((ssl.SSLError, ConnectionError)):
            await _peer_name(listener.port, authority_only)
        authority.issue(tmp_path, "third")
        assert reloading.reload_if_changed()
        names.append(await _peer_name(listener.port, _client(files)))
        await listener.close()
        assert names == ["first", "second", "third"]

    asyncio.run(check())


def test_unusable_certificate_is_a_typed_error(tmp_path: pathlib.Path) -> None:
    files = settings.Tls(str(tmp_path / "none.pem"), str(tmp_path / "none.pem"))
    assert tls.ReloadingTls.for_callers(files).error.reason == "FileNotFoundError"
