"""Request rates that searchers state for all hosts together.

Rates are in requests per second; ``NEVER`` stands for no limit. Each host that
is advertised to callers may send its share, from a bucket of one token that
starts empty. If the rate is below one request per second for each host, only
the first hosts in a common order send, so that the full buckets of all of
them together stay small compared with the limit.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from typing import Final

from snipejunction.commands import Command, LogEvent
from snipejunction.components.gateway.const import (
    EVENT_LIMIT_LIFTED,
    EVENT_LIMIT_STATED,
    EVENT_LIMIT_UNREADABLE,
    UNCONFIRMED_LIMIT_SECONDS,
)
from snipejunction.components.gateway.replies import Outcome
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.registration.messages import (
    LimitRecord,
    LimitUpdate,
)
from snipejunction.helpers.rates import MIN_LIMIT_SHARE, rate_of_each
from snipejunction.timers import NEVER

_OWN_ANSWER: Final = 'its answer'


class ReportLimits(Command):
    """Report limits to the control hosts, which tell all entry hosts."""

    __slots__ = ('limits',)

    def __init__(self, limits: list[LimitRecord]) -> None:
        """Create a command."""
        self.limits = limits


def record_limit(
    upstream: Upstream,
    outcome: Outcome,
    table: GatewayTable,
    now: float,
) -> Iterator[Command]:
    """Record the rate that a searcher stated with an answer; report changes."""
    rate = outcome.stated_limit
    if rate is None:
        return
    if math.isnan(rate):
        yield LogEvent(
            EVENT_LIMIT_UNREADABLE,
            searcher=upstream.searcher_id,
            service=upstream.record.service,
        )
        return
    is_changed = rate != upstream.stated_limit
    yield from _apply_limit(upstream, rate, _OWN_ANSWER, now)
    if is_changed:
        yield ReportLimits([_limit_record(upstream)])
    elif rate < NEVER:
        table.sharing.unreported[upstream.searcher_id] = None


def apply_limit_update(
    message: LimitUpdate, table: GatewayTable, now: float
) -> Iterator[Command]:
    """Apply the limits that other entry hosts reported."""
    for record in message.limits:
        upstream = table.upstreams.get(record.searcher_id)
        if upstream is None or upstream.record.born_ms != record.born_ms:
            continue
        yield from _apply_limit(upstream, record.rate, message.sender, now)


def pop_unreported(table: GatewayTable) -> list[LimitRecord]:
    """Return the limits that searchers confirmed since the last call."""
    unreported = table.sharing.unreported
    upstreams = [
        table.upstreams[searcher_id]
        for searcher_id in unreported
        if searcher_id in table.upstreams
    ]
    unreported.clear()
    return [_limit_record(upstream) for upstream in upstreams]


def may_send(upstream: Upstream, table: GatewayTable, now: float) -> bool:
    """Return whether this host has a token for a searcher."""
    if upstream.stated_limit == NEVER:
        return True
    return upstream.allowance.has_token(_share(upstream, table, now), now)


def count_attempt(upstream: Upstream, table: GatewayTable, now: float) -> None:
    """Take the token of an attempt that is sent now."""
    if upstream.stated_limit < NEVER:
        table.sharing.attempts += 1
        upstream.allowance.take_token(_share(upstream, table, now), now)


def describe_limits(
    upstreams: Iterable[Upstream], table: GatewayTable, now: float
) -> list[str]:
    """Describe the limits that keep this host from sending, for the log."""
    return [
        f'{upstream.searcher_id} states {upstream.stated_limit}'
        for upstream in upstreams
        if not may_send(upstream, table, now)
    ]


def _apply_limit(
    upstream: Upstream, rate: float, source: str, now: float
) -> Iterator[Command]:
    upstream.allowance.confirmed_at = now
    if rate == upstream.stated_limit:
        return
    if upstream.stated_limit == NEVER:
        upstream.allowance.empty(now)
    upstream.stated_limit = rate
    fields = {
        'searcher': upstream.searcher_id,
        'service': upstream.record.service,
        'source': source,
    }
    if rate == NEVER:
        yield LogEvent(EVENT_LIMIT_LIFTED, **fields)
    else:
        yield LogEvent(EVENT_LIMIT_STATED, limit=rate, **fields)


def _limit_record(upstream: Upstream) -> LimitRecord:
    return LimitRecord(
        upstream.searcher_id, upstream.record.born_ms, upstream.stated_limit
    )


def _share(upstream: Upstream, table: GatewayTable, now: float) -> float:
    """Return the rate at which this host may send to a searcher."""
    sharing = table.sharing
    table.drop_departed_hosts(now)
    limit = upstream.stated_limit
    if not sharing.has_share or limit <= 0:
        return 0
    senders = max(1, min(sharing.host_count, int(limit)))
    if senders < sharing.host_count:
        record = upstream.record
        key = table.sharing_key(record.service, upstream.searcher_id)
        position = sharing.position(key, record.data_centre)
        if not _is_sender(position - senders, upstream, now):
            return 0
    return rate_of_each(limit, senders)


def _is_sender(surplus: int, upstream: Upstream, now: float) -> bool:
    """Return whether the host ``surplus`` positions behind the last sender is.

    If no host confirmed a limit for a while, the next ones send in turn: the
    senders may be lost or have no requests.
    """
    if surplus < 0:
        return True
    # Time between two requests of one sender, and so between confirmations.
    interval = max(1.0, 1 / (upstream.stated_limit * MIN_LIMIT_SHARE))
    turn = UNCONFIRMED_LIMIT_SECONDS + (surplus + 1) * interval
    return now >= upstream.allowance.confirmed_at + turn
