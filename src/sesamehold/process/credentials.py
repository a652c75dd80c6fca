"""Check of credentials against salted hashes."""

from __future__ import annotations

import hashlib
import hmac

import attrs

from sesamehold.version import manifest


def hash_credential(salt: str, credential: str) -> str:
    """Returns the hexadecimal SHA-256 of salt and credential.

    Header values may hold bytes that are not UTF-8; such a credential matches no account.
    Credentials are random tokens made by the operators, so a slow password hash is not needed.

    >>> len(hash_credential("00ff", "token"))
    64
    """
    return hashlib.sha256(
        bytes.fromhex(salt) + credential.encode(errors="surrogateescape")
    ).hexdigest()


@attrs.define
class CredentialTable:
    """Finds the client account of a credential.

    A credential has the form `account:secret`, so that one hash per request suffices however many
    accounts there are.
    """

    _accounts: dict[str, manifest.Account] = attrs.field(factory=dict)

    def configure(self, version: manifest.Manifest) -> None:
        """Takes over the accounts of a configuration version."""
        self._accounts = {account.name: account for account in version.accounts}

    def account_of(self, credential: str) -> manifest.Account | None:
        """Returns the account that the credential belongs to, None if there is none."""
        name, _, _ = credential.partition(":")
        account = self._accounts.get(name)
        if account is None:
            return None
        given = hash_credential(account.credential_salt, credential)
        return account if hmac.compare_digest(given, account.credential_hash) else None
