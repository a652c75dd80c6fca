"""A certificate authority for tests of TLS connections."""

from __future__ import annotations

import datetime
import pathlib

import attrs
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from sesamehold.process import settings

NOT_BEFORE = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
NOT_AFTER = datetime.datetime(2100, 1, 1, tzinfo=datetime.UTC)


@attrs.frozen
class Authority:
    """A self-signed certificate authority that issues certificates to hosts."""

    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate

    @classmethod
    def create(cls) -> Authority:
        """Returns an authority with a new key and a self-signed certificate."""
        key = ec.generate_private_key(ec.SECP256R1())
        return cls(key, _certificate("authority", key, "authority", key, authority=True))

    def issue(self, directory: pathlib.Path, name: str) -> settings.Tls:
        """Writes a new certificate, its private key and the authority certificate as PEM files.

        Returns:
            TLS settings with the paths of these files.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = _certificate(name, key, "authority", self.key, authority=False)
        pem = serialization.Encoding.PEM
        files = {
            "certificate.pem": certificate.public_bytes(pem),
            "key.pem": key.private_bytes(
                pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
            ),
            "authority.pem": self.certificate.public_bytes(pem),
        }
        for file_name, content in files.items():
            (directory / file_name).write_bytes(content)
        return settings.Tls(*(str(directory / file_name) for file_name in files))


def _certificate(
    name: str,
    key: ec.EllipticCurvePrivateKey,
    issuer: str,
    issuer_key: ec.EllipticCurvePrivateKey,
    *,
    authority: bool,
) -> x509.Certificate:
    def common_name(text: str) -> x509.Name:
        return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])

    builder = (
        x509.CertificateBuilder()
        .subject_name(common_name(name))
        .issuer_name(common_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(NOT_BEFORE)
        .not_valid_after(NOT_AFTER)
        .add_extension(x509.BasicConstraints(ca=authority, path_length=None), critical=True)
    )
    return builder.sign(issuer_key, hashes.SHA256())
