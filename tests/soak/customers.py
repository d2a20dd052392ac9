"""Customers of the soak test: their keys, quotas and what they are owed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from types import MappingProxyType

from tests.soak.ledger import InvariantChecker

KEY = 'key'
CUSTOMER = 'tenant'
# Customer of all callers that need no other one; it has no quota.
PLAIN = 'plain'
# Customer whose callers send more than its quota.
GREEDY = 'greedy'
GREEDY_RATE = 1
GREEDY_BURST = 2
# Customer with a key that about every second document holds.
ROLLING = 'rolling'
ROLLING_KEY = 'key-rolling-other'
WRONG_KEYS = ('key-plain2', 'no-such-key')
KEYS = MappingProxyType(
    {
        'key-plain': PLAIN,
        'key-greedy': GREEDY,
        'key-rolling': ROLLING,
        ROLLING_KEY: ROLLING,
    }
)
PLAIN_KEY = 'key-plain'
# Bounds from the platform's documentation: the window of quotas, the factor
# and the number of requests beyond, and the time until an acknowledged
# document is in force.
WINDOW_SECONDS = 5.0
QUOTA_FACTOR = 1.1
QUOTA_SLACK = 20
MAX_IN_WINDOW = (
    WINDOW_SECONDS * GREEDY_RATE + GREEDY_BURST
) * QUOTA_FACTOR + QUOTA_SLACK
CONFIG_SECONDS = 4.0
UNAUTHORIZED = 401


def make_customers(version: int) -> list[dict[str, object]]:
    """Return the customers of a document."""
    rolling_keys = ['key-rolling']
    if holds_key(version, ROLLING_KEY):
        rolling_keys.append(ROLLING_KEY)
    return [
        {'name': PLAIN, 'apiKeys': [PLAIN_KEY]},
        {
            'name': GREEDY,
            'apiKeys': ['key-greedy'],
            'ratePerS': GREEDY_RATE,
            'burst': GREEDY_BURST,
        },
        {'name': ROLLING, 'apiKeys': rolling_keys, 'priority': 1},
    ]


def holds_key(version: int, key: str) -> bool:
    """Return whether the document of a version holds a key."""
    return key in KEYS and (key != ROLLING_KEY or version // 2 % 2 == 0)


class CustomerChecker:
    """Records requests with their keys and checks what became of them."""

    def __init__(self, checker: InvariantChecker) -> None:
        self._checker = checker
        self._keys: dict[str, tuple[str, float]] = {}
        # Versions with the times of their sending and acknowledgement.
        self._sent: dict[int, float] = {}
        self._acknowledged: dict[int, float] = {}
        # First arrival of each request of a customer with a quota.
        self._admitted: dict[str, float] = {}
        # Requests by key and status, so that a run shows what it checked.
        self.outcomes: defaultdict[str, int] = defaultdict(int)

    def record_sent(self, version: int, now: float) -> None:
        """Record that a document is on its way."""
        self._sent[version] = now

    def record_acknowledged(self, version: int, now: float) -> None:
        """Record that a document was accepted."""
        self._acknowledged[version] = now

    def record_request(self, request_id: str, key: str, now: float) -> None:
        """Record a request that is about to be sent."""
        self._keys[request_id] = (key, now)

    def record_status(self, request_id: str, status: int, now: float) -> None:
        """Check that a key that all documents hold is not refused."""
        key, sent_at = self._keys[request_id]
        self.outcomes[f'{key} {status}'] += 1
        allowed = self._allowing_versions(key, sent_at)
        is_refused = status == UNAUTHORIZED and all(allowed)
        if is_refused and self._is_undisturbed(sent_at, now):
            self._checker.add_violation(f'{request_id}: {key} refused')

    def check_arrival(
        self, request_id: str, fields: Mapping[str, str], prefix: str, now
    ) -> None:
        """Check the head of a request that a searcher runs."""
        key, sent_at = self._keys[request_id]
        customer = KEYS.get(key)
        found = fields.get(f'{prefix}{CUSTOMER}')
        if customer is None or found != customer:
            self._checker.add_violation(
                f'{request_id}: {key} ran as {found}, not {customer}'
            )
        is_passed_on = any(key in field for field in fields.values())
        if is_passed_on or f'{prefix}{KEY}' in fields:
            self._checker.add_violation(f'{request_id}: a searcher saw a key')
        if customer == GREEDY:
            self._admitted.setdefault(request_id, now)
        is_allowed = any(self._allowing_versions(key, sent_at))
        if not is_allowed and self._is_undisturbed(sent_at, now):
            self._checker.add_violation(
                f'{request_id}: ran for {key}, which was removed'
            )

    def check_final(self) -> None:
        """Check the quota in each window, whatever was disrupted."""
        times = sorted(self._admitted.values())
        for end in times:
            count = sum(end - WINDOW_SECONDS <= at <= end for at in times)
            if count > MAX_IN_WINDOW:
                self._checker.add_violation(
                    f'{count} requests of {GREEDY} within {WINDOW_SECONDS} s'
                )
                return

    def _allowing_versions(self, key: str, sent_at: float) -> list[bool]:
        """Return for each version that may be in force if it holds the key."""
        lowest = max(
            (
                version
                for version, at in self._acknowledged.items()
                if at < sent_at - CONFIG_SECONDS
            ),
            default=0,
        )
        return [
            holds_key(version, key)
            for version in self._sent
            if version >= lowest
        ]

    def _is_undisturbed(self, sent_at: float, now: float) -> bool:
        return self._checker.is_undisturbed(sent_at - CONFIG_SECONDS, now)
