"""Quotas of customers at one entry host: admission, reports and leases."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.gateway.document import Customer
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.quotas.account import Decision, QuotaAccount
from snipejunction.components.quotas.bucket import usable_share
from snipejunction.components.quotas.const import (
    CONTACT_SECONDS,
    EPOCH_BITS,
    EVENT_HOME_CHANGED,
    EVENT_LEASE_BEGUN,
    EVENT_LEASE_ENDED,
    HOME_KEY,
    LEASE_SECONDS,
    MAX_ROUND_TRIP_SECONDS,
    OUT_OF_TOUCH_SECONDS,
    PAUSE_SECONDS,
    RENEWAL_SECONDS,
    REPORT_SECONDS,
    SETTLE_SECONDS,
    STEADY_SECONDS,
)
from snipejunction.components.quotas.home import QuotaHome
from snipejunction.components.quotas.messages import QuotaLevels, QuotaUsage
from snipejunction.helpers.rendezvous import choose
from snipejunction.timers import NEVER

_UNLIMITED = Decision(0, '', 0, 0)


class Lease:
    """The time during which this host cedes its part to a home.

    ``until`` is in monotonic seconds; ``echo`` is the clock of the home in
    the answer that extended the lease last, 0 without a lease.
    """

    __slots__ = (
        '_answered_at',
        '_begun_at',
        '_number',
        '_sent_at',
        'echo',
        'home',
        'is_begun',
        'until',
    )

    def __init__(self, first_number: int) -> None:
        """Create a lease that has ended."""
        self._number = first_number
        self._sent_at: dict[int, float] = {}
        self._answered_at = -NEVER
        self._begun_at = NEVER
        self.home: str | None = None
        self.until = -NEVER
        self.echo = 0.0
        self.is_begun = False

    def is_valid(self, now: float) -> bool:
        """Return whether this host has to leave its part to the home."""
        return now < self.until

    def is_steady(self, now: float) -> bool:
        """Return whether the home has answered for some time, and lately."""
        is_in_contact = now <= self._answered_at + CONTACT_SECONDS
        return is_in_contact and now >= self._begun_at + STEADY_SECONDS

    def begin(self, home: str | None) -> None:
        """Turn to another home once the lease has ended."""
        self.home = home
        self.end()

    def end(self) -> None:
        """Forget the lease, which has ended."""
        self.echo = 0
        self.is_begun = False
        self._begun_at = NEVER
        self._sent_at.clear()

    def number_report(self, now: float) -> int:
        """Return the number of a report that is sent now."""
        for number, sent_at in list(self._sent_at.items()):
            if now > sent_at + MAX_ROUND_TRIP_SECONDS:
                self._sent_at.pop(number)
        self._number += 1
        self._sent_at[self._number] = now
        return self._number

    def extend(self, message: QuotaLevels, now: float) -> bool:
        """Extend the lease by an answer; return False if it is too late."""
        sent_at = self._sent_at.pop(message.number, -NEVER)
        if message.sender != self.home:
            return False
        if now > sent_at + MAX_ROUND_TRIP_SECONDS:
            return False
        self.until = max(self.until, sent_at + LEASE_SECONDS)
        self.echo = message.clock
        self._answered_at = now
        self._begun_at = min(self._begun_at, now)
        return True


class Quotas:
    """Decides on requests and exchanges reports with the home."""

    __slots__ = (
        '_account',
        '_demand_at',
        '_is_urgent',
        '_lease',
        '_report_at',
        '_table',
        'home',
    )

    def __init__(self, table: GatewayTable, random: Random) -> None:
        """Create the quotas of the host that owns the tables."""
        self._table = table
        self._account = QuotaAccount(random)
        self._lease = Lease(random.getrandbits(EPOCH_BITS))
        self._report_at = -NEVER
        self._demand_at = -NEVER
        self._is_urgent = False
        self.home = QuotaHome()

    @property
    def home_name(self) -> str | None:
        """Return the host that this one reports to."""
        return self._lease.home

    @property
    def spending_count(self) -> int:
        """Return the number of customers with an entry."""
        return len(self._account.spendings)

    def has_lease(self, now: float) -> bool:
        """Return whether the home answered in time."""
        return self._lease.is_valid(now)

    def next_due(self, now: float) -> float:
        """Return when ``advance`` must be called next."""
        if not self._is_reporting(now):
            return self._lease.until if self._lease.is_begun else NEVER
        if self._chosen_home() != self._lease.home:
            return max(self._lease.until, now)
        wait = REPORT_SECONDS if self._is_urgent else RENEWAL_SECONDS
        due = self._report_at + wait
        return min(due, self._lease.until) if self._lease.is_begun else due

    def admit(self, name: str, now: float) -> Decision:
        """Decide on a request of a customer, empty without one."""
        customer = self._find_customer(name)
        if customer is None:
            return _UNLIMITED
        self._demand_at = now
        spending = self._account.spending_of(name, now)
        spending.is_wanted = True
        sharing = self._table.sharing
        if self._lease.is_valid(now):
            decision = spending.spend_shared(
                customer, now, is_steady=self._lease.is_steady(now)
            )
        elif sharing.has_share and self._is_settled(now):
            share = usable_share(
                customer,
                1 / sharing.host_count,
                is_in_touch=self._is_in_touch(now),
            )
            decision = spending.spend_own(
                customer, share, self._lease.until, now
            )
        else:
            decision = spending.spend_ahead()
        self._is_urgent = self._is_urgent or spending.is_urgent(customer, now)
        return decision

    def give_back(self, name: str, now: float) -> None:
        """Give back an admitted request that has not run and will not."""
        spending = self._account.spendings.get(name)
        if spending is not None:
            is_shared = (
                self._lease.is_valid(now) or not self._table.sharing.has_share
            )
            spending.give_back(is_shared=is_shared)

    def advance(self, now: float) -> Iterator[Command]:
        """Send the report that is due and turn to another home if needed."""
        if self._lease.is_begun and not self._lease.is_valid(now):
            yield LogEvent(
                EVENT_LEASE_ENDED,
                home=self._lease.home or '',
                seconds=LEASE_SECONDS,
            )
            self._lease.end()
            self._forget_levels()
        if not self._is_reporting(now):
            return
        chosen = self._chosen_home()
        if chosen != self._lease.home:
            if self._lease.is_valid(now):
                return
            yield LogEvent(
                EVENT_HOME_CHANGED,
                home=chosen or '',
                previous=self._lease.home or '',
            )
            self._lease.begin(chosen)
            self._forget_levels()
            self._report_at = -NEVER
        if now >= self.next_due(now):
            yield from self._report(now)

    def handle_usage(
        self, message: QuotaUsage, now: float
    ) -> Iterator[Command]:
        """Answer the report of another host."""
        yield SendPeer(message.sender, self._answer(message, now))

    def handle_levels(
        self, message: QuotaLevels, now: float
    ) -> Iterator[Command]:
        """Take the answer of the home."""
        if not self._lease.extend(message, now):
            return
        customers = self._customers()
        levels = [
            level for level in message.levels if level.customer in customers
        ]
        self._account.handle_levels(message.number, levels, now)
        if not self._lease.is_begun:
            # The home may use this host's part from the next report on.
            self._lease.is_begun = True
            self._is_urgent = True
            yield LogEvent(EVENT_LEASE_BEGUN, home=message.sender)

    def apply_document(self) -> None:
        """Drop the customers that the document no longer lists."""
        customers = self._customers()
        spendings = self._account.spendings
        for name in spendings.keys() - customers.keys():
            spendings.pop(name)
        self.home.drop_unknown(customers)

    def _report(self, now: float) -> Iterator[Command]:
        self._report_at = now
        home = self._lease.home
        if home is None:
            return
        self._is_urgent = False
        number = self._lease.number_report(now)
        usages = self._account.make_usages(number)
        report = QuotaUsage(number, self._lease.echo, usages)
        if home != self._table.name:
            yield SendPeer(home, report)
            return
        report.sender = home
        levels = self._answer(report, now)
        levels.sender = home
        yield from self.handle_levels(levels, now)

    def _answer(self, message: QuotaUsage, now: float) -> QuotaLevels:
        return self.home.handle_usage(
            message,
            self._customers(),
            self._table.sharing,
            now,
            is_settled=self._is_settled(now),
            is_in_touch=self._is_in_touch(now),
        )

    def _is_in_touch(self, now: float) -> bool:
        since = self._table.control_search.since
        return since is None or now < since + OUT_OF_TOUCH_SECONDS

    def _is_settled(self, now: float) -> bool:
        known_at = self._table.control_search.known_at
        return known_at is not None and now >= known_at + SETTLE_SECONDS

    def _is_reporting(self, now: float) -> bool:
        customers = self._customers().values()
        if not any(customer.rate for customer in customers):
            return False
        if self._lease.home is None and not self._table.active:
            return False
        has_demand = now < self._demand_at + PAUSE_SECONDS
        return self._table.sharing.has_share or has_demand

    def _chosen_home(self) -> str | None:
        return choose(HOME_KEY, self._table.active)

    def _forget_levels(self) -> None:
        for spending in self._account.spendings.values():
            spending.forget_level()

    def _customers(self) -> dict[str, Customer]:
        document = self._table.document
        return {} if document is None else document.customers

    def _find_customer(self, name: str) -> Customer | None:
        customer = self._customers().get(name)
        return customer if customer is not None and customer.rate else None
