"""What one host admits of the quotas of customers.

Levels are in requests, times in monotonic seconds.
"""

from __future__ import annotations

from random import Random

from snipejunction.components.gateway.document import Customer
from snipejunction.components.quotas.bucket import TokenBucket, capacity_of
from snipejunction.components.quotas.const import (
    AHEAD_SECONDS,
    BELIEF_SECONDS,
    EPOCH_BITS,
    MAX_RETRY_SECONDS,
    NOT_REPORTED,
    PAUSE_SECONDS,
    RENEWAL_SECONDS,
    SPREAD_SECONDS,
    UNSETTLED_RETRY_SECONDS,
)
from snipejunction.components.quotas.messages import Level, Usage
from snipejunction.helpers.records import Record


class Decision(Record):
    """Whether a request is admitted, and what decided it.

    ``wait`` is 0 for an admitted request, else the time after which it should
    be sent again. ``source`` names the bucket that the decision follows,
    empty without a quota; ``level`` is what that was believed to hold, and
    ``age`` how old the belief was.
    """

    __slots__ = ('age', 'level', 'source', 'wait')

    def __init__(
        self, wait: float, source: str, level: float, age: float
    ) -> None:
        """Create a decision."""
        self.wait = wait
        self.source = source
        self.level = level
        self.age = age

    @property
    def is_limited(self) -> bool:
        """Return whether the customer has a quota."""
        return bool(self.source)

    @property
    def is_admitted(self) -> bool:
        """Return whether the request is admitted."""
        return not self.wait


class Spending:
    """Requests of one customer that this host admitted.

    ``total`` counts those on account of the home, ``base`` those in its last
    answer.
    """

    __slots__ = (
        '_epoch',
        '_own',
        '_retry_at',
        '_told',
        '_told_at',
        'base',
        'is_wanted',
        'reported',
        'total',
    )

    def __init__(self, epoch: int, now: float) -> None:
        """Create an entry; ``epoch`` tells it from earlier ones."""
        self._epoch = epoch
        self._own = TokenBucket(1, now)
        self._retry_at = 0.0
        self._told: Level | None = None
        self._told_at = 0.0
        self.total = 0
        self.base = 0
        # Number and total of the last report.
        self.reported = (0, 0)
        # Whether requests came in since the last report.
        self.is_wanted = False

    @property
    def has_news(self) -> bool:
        """Return whether the next report should name the customer."""
        return self.is_wanted or self.total != self.base

    def report(self, customer: str, number: int) -> Usage:
        """Return the entry of a report."""
        self.is_wanted = False
        self.reported = (number, self.total)
        return Usage(customer, self._epoch, self.base, self.total)

    def handle_answer(
        self, number: int, level: Level | None, now: float
    ) -> None:
        """Take the answer to a report, None if the home has no bucket."""
        if level is not None:
            self._told = level
            self._told_at = now
            if level.total != NOT_REPORTED:
                self.base = level.total
        elif self.reported[0] == number:
            self.forget_level()
            self.base = self.reported[1]

    def forget_level(self) -> None:
        """Forget the level, because another home keeps the bucket."""
        self._told = None

    def spend_shared(
        self, customer: Customer, now: float, *, is_steady: bool
    ) -> Decision:
        """Decide on a request under the quota that the home keeps.

        ``is_steady`` means that the home has answered all the time.
        """
        level = self._expected_level(customer, now)
        users = 1 if self._told is None else self._told.users
        ahead = self.total - self.base
        most_ahead = 0.0
        if is_steady and not self.is_fresh(now):
            most_ahead = customer.rate * AHEAD_SECONDS
        wait = 0.0
        if level < 1 or (level / users - ahead < 1 and ahead > most_ahead):
            wait = self._wait(customer, level, now)
        else:
            self.total += 1
        age = now - self._told_at if self._told else 0
        return Decision(wait, 'the home', level, age)

    def spend_ahead(self) -> Decision:
        """Decide on a request of a host without a part or an answer."""
        wait = 0.0
        if self.total > self.base:
            wait = AHEAD_SECONDS
        else:
            self.total += 1
        return Decision(wait, 'nobody', 0, 0)

    def spend_own(
        self, customer: Customer, share: float, lease_ended: float, now: float
    ) -> Decision:
        """Decide on a request under this host's own part, a share."""
        last_used = self._own.filled_at
        if last_used < lease_ended:
            is_rested = now > last_used + PAUSE_SECONDS
            level = 1 if is_rested else min(self._own.level, 1)
            self._own = TokenBucket(level, lease_ended)
        self._own.fill(customer, share, now)
        level = self._own.level
        wait = 0.0
        if level < 1:
            rate = customer.rate * share
            wait = self._slot((1 - level) / rate, 1 / rate, now)
        else:
            self._own.level -= 1
        return Decision(wait, 'the own part', level, 0)

    def give_back(self, *, is_shared: bool) -> None:
        """Give back an admitted request that has not run."""
        if is_shared:
            self.total -= 1
        else:
            self._own.level += 1

    def is_fresh(self, now: float) -> bool:
        """Return whether the level was told recently."""
        return self._told is not None and now <= self._told_at + BELIEF_SECONDS

    def is_urgent(self, customer: Customer, now: float) -> bool:
        """Return whether the home must hear of requests before a renewal."""
        if self._told is None or not self.is_fresh(now):
            return self.has_news
        level = self._expected_level(customer, now)
        left = level / self._told.users - (self.total - self.base)
        filled = customer.rate * RENEWAL_SECONDS
        # A full bucket overflows until the home hears of the requests.
        is_full = filled >= 1 and level + filled > capacity_of(customer)
        is_short = left < 1 + filled
        return self.total != self.base and (is_short or is_full)

    def _expected_level(self, customer: Customer, now: float) -> float:
        capacity = capacity_of(customer)
        if self._told is None:
            return capacity
        rate = min(self._told.rate, customer.rate)
        return min(self._told.level + rate * (now - self._told_at), capacity)

    def _wait(self, customer: Customer, level: float, now: float) -> float:
        if self._told is None:
            return AHEAD_SECONDS
        rate = min(self._told.rate, customer.rate)
        if not rate:
            return UNSETTLED_RETRY_SECONDS
        # With a request in the bucket, only an answer has to come in.
        wait = AHEAD_SECONDS if level >= 1 else (1 - level) / rate
        return self._slot(wait, self._told.users / rate, now)

    def _slot(self, wait: float, spacing: float, now: float) -> float:
        """Return the time until the next free time for a repeat."""
        earliest = now + min(wait, MAX_RETRY_SECONDS)
        due = max(earliest, self._retry_at)
        if due > earliest + SPREAD_SECONDS:
            return earliest + SPREAD_SECONDS - now
        self._retry_at = due + spacing
        return due - now


class QuotaAccount:
    """The spendings of one host, by customer."""

    __slots__ = ('_random', 'spendings')

    def __init__(self, random: Random) -> None:
        """Create an account without spendings."""
        self._random = random
        self.spendings: dict[str, Spending] = {}

    def spending_of(self, customer: str, now: float) -> Spending:
        """Return the spending of a customer, creating it if needed."""
        spending = self.spendings.get(customer)
        if spending is None:
            epoch = self._random.getrandbits(EPOCH_BITS)
            spending = Spending(epoch, now)
            self.spendings[customer] = spending
        return spending

    def make_usages(self, number: int) -> list[Usage]:
        """Return the entries of a report."""
        return [
            spending.report(name, number)
            for name, spending in self.spendings.items()
            if spending.has_news
        ]

    def handle_levels(
        self, number: int, levels: list[Level], now: float
    ) -> None:
        """Take the answer to the report with a number."""
        levels_by_name = {level.customer: level for level in levels}
        for customer in levels_by_name:
            self.spending_of(customer, now)
        for name, spending in self.spendings.items():
            spending.handle_answer(number, levels_by_name.get(name), now)
