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
    """Failure to load certificate files.

    Attributes:
        path: Certificate file.
        reason: Type of the failure.
    """

    path: str
    reason: str


@attrs.define(eq=False)
class ReloadingTls:
    """TLS context that reloads its certificate when the files change.

    Handshakes after a reload use the new certificate; open connections keep the old one. A new
    certificate authority is trusted after a reload. A removed one stays trusted until the process
    restarts, because the `ssl` module cannot remove an authority from a context.
    """

    context: ssl.SSLContext
    _files: settings.Tls
    _last_versions: tuple[tuple[int, int], ...]

    @classmethod
    def for_callers(cls, files: settings.Tls) -> Result[ReloadingTls, CertificateUnusable]:
        """Returns a server context for callers; an authority requires client certificates."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.set_alpn_protocols(["http/1.1"])
        return cls._create(context, files)

    @classmethod
    def for_peer_server(cls, files: settings.Tls) -> Result[ReloadingTls, CertificateUnusable]:
        """Returns a server context for connections between hosts."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.set_alpn_protocols(["h2"])
        return cls._create(context, files)

    @classmethod
    def for_peer_client(cls, files: settings.Tls) -> Result[ReloadingTls, CertificateUnusable]:
        """Returns a client context for connections between hosts.

        The certificate must be signed by the authority. Its name is not checked, because hosts are
        replaced often; messages are additionally authenticated with the peer keys.
        """
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.set_alpn_protocols(["h2"])
        return cls._create(context, files)

    @classmethod
    def _create(
        cls, context: ssl.SSLContext, files: settings.Tls
    ) -> Result[ReloadingTls, CertificateUnusable]:
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        try:
            versions = _file_versions(files)
            _load(context, files)
        except (OSError, ValueError) as error:
            return Error(CertificateUnusable(files.certificate_path, type(error).__name__))
        return Ok(cls(context, files, versions))

    def reload_if_changed(self) -> bool:
        """Reloads the files if they changed; keeps the old certificate if loading fails."""
        try:
            versions = _file_versions(self._files)
            if versions == self._last_versions:
                return False
            self._last_versions = versions
            # Try a scratch context first: a half-written pair must not replace the one in use.
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


def _file_versions(files: settings.Tls) -> tuple[tuple[int, int], ...]:
    stats: list[os.stat_result] = [pathlib.Path(path).stat() for path in _paths(files)]
    return tuple((item.st_mtime_ns, item.st_ino) for item in stats)


def _load(context: ssl.SSLContext, files: settings.Tls) -> None:
    context.load_cert_chain(files.certificate_path, files.key_path, password=lambda: b"")
    if files.authority_path is not None:
        context.load_verify_locations(files.authority_path)
        context.verify_mode = ssl.CERT_REQUIRED
