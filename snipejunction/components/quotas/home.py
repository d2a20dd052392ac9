"""The home of the quotas: one bucket for each customer."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from snipejunction.components.gateway.document import Customer
from snipejunction.components.gateway.limit_sharing import LimitSharing
from snipejunction.components.quotas.bucket import (
    TokenBucket,
    capacity_of,
    usable_share,
)
from snipejunction.components.quotas.const import (
    CESSION_SECONDS,
    NEW_BUCKET_REQUESTS,
    NOT_REPORTED,
    REPORTER_SECONDS,
    USER_SECONDS,
)
from snipejunction.components.quotas.messages import (
    Level,
    QuotaLevels,
    QuotaUsage,
    Usage,
)
from snipejunction.timers import NEVER


class _Reporter:
    """A host that reports; ``totals`` maps customers to epochs and totals."""

    __slots__ = ('ceded_until', 'seen_at', 'totals')

    def __init__(self) -> None:
        self.ceded_until = -NEVER
        self.seen_at = -NEVER
        self.totals: dict[str, tuple[int, int]] = {}

    def count(self, usage: Usage) -> int:
        """Return how many requests a usage adds to the known ones."""
        epoch, known = self.totals.get(usage.customer, (usage.epoch, 0))
        if epoch != usage.epoch:
            known = 0
        self.totals[usage.customer] = (usage.epoch, usage.total)
        return usage.total - max(known, usage.base)


class _SharedBucket(TokenBucket):
    """A bucket with the hosts that used it, and when they last did."""

    __slots__ = ('users',)

    def __init__(self, level: float, now: float) -> None:
        super().__init__(level, now)
        self.users: dict[str, float] = {}

    def count_users(self, now: float) -> int:
        """Return the number of hosts that used it lately, at least one."""
        for name, used_at in list(self.users.items()):
            if now > used_at + USER_SECONDS:
                self.users.pop(name)
        return max(len(self.users), 1)


class QuotaHome:
    """Buckets of the parts that hosts cede to this one.

    Parts are ceded for ``CESSION_SECONDS`` from the last answer that the host
    has received. Buckets begin with a few requests when the first part is
    ceded.
    """

    __slots__ = (
        '_buckets',
        '_debtors',
        '_is_in_touch',
        '_reporters',
        '_share',
        '_since',
    )

    def __init__(self) -> None:
        """Create a home that no host reports to."""
        self._buckets: dict[str, _SharedBucket] = {}
        # Customers whose buckets had debts at the last look.
        self._debtors: set[str] = set()
        self._reporters: dict[str, _Reporter] = {}
        self._share = 0.0
        self._is_in_touch = True
        self._since = 0.0

    @property
    def bucket_count(self) -> int:
        """Return the number of customers with a bucket."""
        return len(self._buckets)

    @property
    def share(self) -> float:
        """Return the share of the quotas that was ceded at the last report."""
        return self._share

    def handle_usage(
        self,
        message: QuotaUsage,
        customers: Mapping[str, Customer],
        sharing: LimitSharing,
        host_count: int,
        now: float,
        *,
        is_in_touch: bool = True,
    ) -> QuotaLevels:
        """Take what a host admitted and answer with the levels.

        Parts are used unless ``host_count`` is 0, and less of them if this host
        is not ``is_in_touch`` and lacks the part of any other one.
        """
        reporter = self._reporters.setdefault(message.sender, _Reporter())
        reporter.seen_at = now
        if host_count and 0 < message.echo <= now:
            ceded_until = message.echo + CESSION_SECONDS
            reporter.ceded_until = max(reporter.ceded_until, ceded_until)
        self._update_share(
            customers, sharing, host_count, now, is_in_touch=is_in_touch
        )
        levels = list(self._take(message, reporter, customers, now))
        return QuotaLevels(message.number, now, levels)

    def drop_unknown(self, customers: Mapping[str, Customer]) -> None:
        """Drop what belongs to customers that are no longer known."""
        for name in self._buckets.keys() - customers.keys():
            self._buckets.pop(name)
        for reporter in self._reporters.values():
            for name in reporter.totals.keys() - customers.keys():
                reporter.totals.pop(name)

    def _take(
        self,
        message: QuotaUsage,
        reporter: _Reporter,
        customers: Mapping[str, Customer],
        now: float,
    ) -> Iterator[Level]:
        for usage in message.usages:
            customer = customers.get(usage.customer)
            if customer is None or not customer.rate:
                continue
            bucket = self._fill_bucket(customer, now)
            bucket.level -= reporter.count(usage)
            bucket.users[message.sender] = now
            yield self._make_level(usage.total, bucket, customer, now)
            if bucket.level < 0:
                self._debtors.add(usage.customer)
        reported = {usage.customer for usage in message.usages}
        for name in sorted(self._debtors - reported):
            yield from self._find_debt(name, customers, now)

    def _find_debt(
        self, name: str, customers: Mapping[str, Customer], now: float
    ) -> Iterator[Level]:
        """Yield the level of a bucket with debts, for a host without news.

        Hosts that rarely admit requests of a customer would each add one.
        """
        customer = customers.get(name)
        bucket = self._buckets.get(name)
        if customer is not None and customer.rate and bucket is not None:
            bucket.fill(customer, self._share_of(customer), now)
            if bucket.level < 0:
                yield self._make_level(NOT_REPORTED, bucket, customer, now)
                return
        self._debtors.discard(name)

    def _make_level(
        self, total: int, bucket: _SharedBucket, customer: Customer, now: float
    ) -> Level:
        return Level(
            customer.name,
            total,
            bucket.level,
            customer.rate * self._share_of(customer),
            bucket.count_users(now),
        )

    def _fill_bucket(self, customer: Customer, now: float) -> _SharedBucket:
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            level = min(NEW_BUCKET_REQUESTS, capacity_of(customer))
            bucket = _SharedBucket(level, self._since)
            self._buckets[customer.name] = bucket
        bucket.fill(customer, self._share_of(customer), now)
        return bucket

    def _share_of(self, customer: Customer) -> float:
        is_in_touch = self._is_in_touch or self._share == 1
        return usable_share(customer, self._share, is_in_touch=is_in_touch)

    def _update_share(
        self,
        customers: Mapping[str, Customer],
        sharing: LimitSharing,
        host_count: int,
        now: float,
        *,
        is_in_touch: bool,
    ) -> None:
        for name, reporter in list(self._reporters.items()):
            if now > reporter.seen_at + REPORTER_SECONDS:
                self._reporters.pop(name)
        ceded = sum(
            now < reporter.ceded_until and sharing.includes(name)
            for name, reporter in self._reporters.items()
        )
        share = ceded / max(host_count, 1)
        if (share, is_in_touch) == (self._share, self._is_in_touch):
            return
        for name, bucket in list(self._buckets.items()):
            customer = customers.get(name)
            if customer is None or not share:
                self._buckets.pop(name)
            else:
                bucket.fill(customer, self._share_of(customer), now)
        if not self._share:
            self._since = now
        self._share = share
        self._is_in_touch = is_in_touch
