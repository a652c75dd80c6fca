"""TLS contexts from certificate files, reloaded when the files change."""

from __future__ import annotations

import os
import pathlib
import ssl

import attrs
from expression import Error
from expression import Ok
from expression import Result
import logbook

from sesamehold.process import settings

_LOG = logbook.Logger("tls")


@attrs.frozen
class CertificateUnusable:
    """Certificate files that cannot be loaded.

    Attributes:
        path: Certificate file.
        reason: Type of the failure.
    """

    path: str
    reason: str


@attrs.define(eq=False)
class ReloadingTls:
    """One TLS context whose certificate follows its files.

    Handshakes after a reload use the new certificate; open connections go on with the old one.
    An authority that is added is trusted after a reload, and one that is removed stays trusted
    until the process restarts, because the library cannot withdraw it from a context.
    """

    context: ssl.SSLContext
    _files: settings.Tls
    _seen: tuple[tuple[int, int], ...]

    @classmethod
    def for_callers(cls, files: settings.Tls) -> Result[ReloadingTls, CertificateUnusable]:
        """Returns the server side for callers; with an authority, callers need certificates."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.set_alpn_protocols(["http/1.1"])
        return cls._loaded(context, files)

    @classmethod
    def for_peer_server(cls, files: settings.Tls) -> Result[ReloadingTls, CertificateUnusable]:
        """Returns the server side between hosts."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.set_alpn_protocols(["h2"])
        return cls._loaded(context, files)

    @classmethod
    def for_peer_client(cls, files: settings.Tls) -> Result[ReloadingTls, CertificateUnusable]:
        """Returns the client side between hosts.

        The certificate must come from the authority but need not name the address, because hosts
        are replaced all the time; messages are sealed with the peer keys as well.
        """
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.set_alpn_protocols(["h2"])
        return cls._loaded(context, files)

    @classmethod
    def _loaded(
        cls, context: ssl.SSLContext, files: settings.Tls
    ) -> Result[ReloadingTls, CertificateUnusable]:
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        try:
            seen = _stamp(files)
            _load(context, files)
        except (OSError, ValueError) as error:
            return Error(CertificateUnusable(files.certificate_path, type(error).__name__))
        return Ok(cls(context, files, seen))

    def reload_if_changed(self) -> bool:
        """Loads the files again if they changed; keeps the old certificate if they are unusable."""
        try:
            seen = _stamp(self._files)
            if seen == self._seen:
                return False
            self._seen = seen
            # A half-written pair must not replace the one in use.
            _load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), self._files)
            _load(self.context, self._files)
        except (OSError, ValueError) as error:
            _LOG.warning(
                "certificate not reloaded",
                extra={"path": self._files.certificate_path, "error": type(error).__name__},
            )
            return False
        _LOG.info("certificate reloaded", extra={"path": self._files.certificate_path})
        return True


def _paths(files: settings.Tls) -> list[str]:
    paths = [files.certificate_path, files.key_path]
    return paths if files.authority_path is None else [*paths, files.authority_path]


def _stamp(files: settings.Tls) -> tuple[tuple[int, int], ...]:
    stats: list[os.stat_result] = [pathlib.Path(path).stat() for path in _paths(files)]
    return tuple((item.st_mtime_ns, item.st_ino) for item in stats)


def _load(context: ssl.SSLContext, files: settings.Tls) -> None:
    context.load_cert_chain(files.certificate_path, files.key_path, password=lambda: b"")
    if files.authority_path is not None:
        context.load_verify_locations(files.authority_path)
        context.verify_mode = ssl.CERT_REQUIRED
