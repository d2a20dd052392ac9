"""Tables of the admission component."""

from __future__ import annotations

import itertools
from typing import TypeAlias

from snipejunction.components.admission.account import Account
from snipejunction.components.admission.pool import Pool

# Names of a caller and a service.
AccountKey: TypeAlias = tuple[str, str]


class AdmissionTable:
    """Accounts of this host and the pools that it coordinates.

    ``coordinators`` caches the coordinators of limits, each with the view
    revision it was computed from. ``view_changed_at`` is the time of the
    last view change in monotonic seconds.
    """

    __slots__ = (
        '_accounts',
        '_pools',
        '_request_numbers',
        'coordinators',
        'view_changed_at',
    )

    def __init__(self) -> None:
        """Create an empty table."""
        self._accounts: dict[AccountKey, Account] = {}
        self._pools: dict[AccountKey, Pool] = {}
        self._request_numbers = itertools.count(1)
        self.coordinators: dict[AccountKey, tuple[int, str | None]] = {}
        self.view_changed_at = 0.0

    @property
    def accounts(self) -> dict[AccountKey, Account]:
        """Return the accounts by caller and service."""
        return self._accounts

    @property
    def pools(self) -> dict[AccountKey, Pool]:
        """Return the pools by caller and service."""
        return self._pools

    def remove_account(self, key: AccountKey) -> None:
        """Remove an account without requests."""
        self._accounts.pop(key, None)
        self.coordinators.pop(key, None)

    def next_request_number(self) -> int:
        """Return the next share request number of this process.

        Numbers continue after an account was removed, because coordinators
        ignore requests with a lower number.
        """
        return next(self._request_numbers)

    def account(self, caller: str, service: str, now: float) -> Account:
        """Return an account, created on first use."""
        key = (caller, service)
        account = self._accounts.get(key)
        if account is None:
            account = Account(caller, service, now)
            self._accounts[key] = account
        return account
