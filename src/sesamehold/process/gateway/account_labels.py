"""Label values of client accounts in metrics, of which there is a bounded number."""

from __future__ import annotations

import attrs

# Accounts with a label value of their own; one histogram has a series for each bucket and account.
MAX_ACCOUNTS = 32
ANONYMOUS = "anonymous"
OTHERS = "others"


@attrs.define(eq=False)
class AccountLabels:
    """The accounts that were seen first keep their names, all later ones share one value."""

    _names: set[str] = attrs.field(factory=set)

    def label(self, account: str) -> str:
        """Returns the label value of an account, empty for an anonymous request."""
        if not account:
            return ANONYMOUS
        if account not in self._names and len(self._names) < MAX_ACCOUNTS:
            self._names.add(account)
        return account if account in self._names else OTHERS
