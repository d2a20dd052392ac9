"""Messages between entry hosts about quotas of customers."""

from __future__ import annotations

from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import PeerMessage


class QuotaMessage(PeerMessage):
    """A message about the report of a host with a number."""

    __slots__ = ('number',)


@wire(170)
class Usage(Record):
    """What a host admitted of one customer.

    ``total`` counts since the entry of the customer was made, which ``epoch``
    names; ``base`` is the total in the last answer.
    """

    __slots__ = ('base', 'customer', 'epoch', 'total')

    def __init__(
        self, customer: str, epoch: int, base: int, total: int
    ) -> None:
        """Create an entry of a report."""
        self.customer = customer
        self.epoch = epoch
        self.base = base
        self.total = total


@wire(171)
class QuotaUsage(QuotaMessage):
    """Report of a host, which cedes its part of all quotas to the home.

    ``echo`` is the clock in the last answer that extended its lease, 0
    without a lease.
    """

    __slots__ = ('echo', 'usages')

    def __init__(self, number: int, echo: float, usages: list[Usage]) -> None:
        """Create a report."""
        self.number = number
        self.echo = echo
        self.usages = usages


@wire(172)
class Level(Record):
    """The bucket of one customer after the host's ``total``.

    ``level`` is in requests, negative if more was admitted. ``rate`` is how
    fast it fills, per second, and ``users`` the number of hosts that admit
    requests of the customer. ``total`` is negative if the report did not name
    the customer.
    """

    __slots__ = ('customer', 'level', 'rate', 'total', 'users')

    def __init__(
        self, customer: str, total: int, level: float, rate: float, users: int
    ) -> None:
        """Create an entry of an answer."""
        self.customer = customer
        self.total = total
        self.level = level
        self.rate = rate
        self.users = users


@wire(173)
class QuotaLevels(QuotaMessage):
    """Answer of the home to one report; ``clock`` is its monotonic time."""

    __slots__ = ('clock', 'levels')

    def __init__(self, number: int, clock: float, levels: list[Level]) -> None:
        """Create an answer."""
        self.number = number
        self.clock = clock
        self.levels = levels
