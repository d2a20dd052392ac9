"""Request rates that searchers state for all hosts together.

Rates are in requests per second; ``NEVER`` stands for no limit. Each host that
is advertised to callers may send its share. If a limit allows fewer requests
in a window than there are hosts, only the first hosts in a common order send.
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
    LIMIT_REPORT_SECONDS,
    UNCONFIRMED_LIMIT_SECONDS,
)
from snipejunction.components.gateway.replies import Outcome
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.registration.messages import (
    LimitRecord,
    LimitUpdate,
)
from snipejunction.helpers.rates import (
    NO_SHARE,
    RateShare,
    requests_per_window,
    share_of_host,
)
from snipejunction.timers import NEVER

_OWN_ANSWER: Final = 'its answer'


class ReportLimits(Command):
    """Report limits to the control hosts, which tell all entry hosts."""

    __slots__ = ('limits',)

    def __init__(self, limits: list[LimitRecord]) -> None:
        """Create a command."""
        self.limits = limits

    @property
    def message(self) -> LimitUpdate:
        """Return the message to control hosts."""
        return LimitUpdate(self.limits)


def record_limit(
    upstream: Upstream,
    outcome: Outcome,
    sent_at: float,
    table: GatewayTable,
    now: float,
) -> Iterator[Command]:
    """Record the rate that a searcher stated with an answer.

    Its begin and its end are reported at once, other changes with the next
    confirmation. ``sent_at`` is when the request was sent.
    """
    rate = outcome.stated_limit
    if rate is None:
        return
    if rate == NEVER and outcome.valid_reply is None:
        # A failure need not come from the normal handling of requests.
        return
    if math.isnan(rate):
        yield LogEvent(
            EVENT_LIMIT_UNREADABLE,
            searcher=upstream.searcher_id,
            service=upstream.record.service,
        )
        return
    if _may_be_outdated(upstream, rate, sent_at):
        return
    known = upstream.stated_limit
    yield from _apply_limit(upstream, rate, _OWN_ANSWER, table, now)
    if (known == NEVER) != (rate == NEVER):
        upstream.allowance.reported_at = now
        yield ReportLimits([_limit_record(upstream, 0)])
    elif rate < NEVER and _is_report_due(upstream, now):
        # A rate may differ from answer to answer.
        table.sharing.unreported[upstream.searcher_id] = now


def apply_limit_update(
    message: LimitUpdate, table: GatewayTable, now: float
) -> Iterator[Command]:
    """Apply the limits that other entry hosts reported."""
    for record in message.limits:
        upstream = table.upstreams.get(record.searcher_id)
        if upstream is None or upstream.record.born_ms != record.born_ms:
            continue
        if now - record.age < upstream.allowance.changed_at:
            # The answer is older than what is known.
            continue
        upstream.allowance.reported_at = now
        yield from _apply_limit(
            upstream, record.rate, message.sender, table, now
        )


def pop_unreported(table: GatewayTable, now: float) -> list[LimitRecord]:
    """Return the limits to confirm to other hosts.

    These are limits that searchers confirmed to this host since the last call
    and that no other host reported meanwhile.
    """
    unreported = dict(table.sharing.unreported)
    table.sharing.unreported.clear()
    records = []
    for searcher_id, confirmed_at in unreported.items():
        upstream = table.upstreams.get(searcher_id)
        if upstream is not None and _is_report_due(upstream, now):
            upstream.allowance.reported_at = now
            records.append(_limit_record(upstream, now - confirmed_at))
    return records


def may_send(upstream: Upstream, table: GatewayTable, now: float) -> bool:
    """Return whether this host may send a request to a searcher."""
    if not upstream.states_limit:
        return True
    return upstream.allowance.may_send(_share(upstream, table, now), now)


def count_attempt(upstream: Upstream, table: GatewayTable, now: float) -> None:
    """Count an attempt that is sent now."""
    if upstream.states_limit:
        table.sharing.attempts += 1
        upstream.allowance.count(now)


def describe_limits(
    upstreams: Iterable[Upstream], table: GatewayTable, now: float
) -> list[str]:
    """Describe the limits that keep this host from sending, for the log."""
    return [
        _describe_limit(upstream, _share(upstream, table, now), now)
        for upstream in upstreams
        if not may_send(upstream, table, now)
    ]


def _describe_limit(upstream: Upstream, share: RateShare, now: float) -> str:
    age = now - upstream.allowance.confirmed_at
    return (
        f'{upstream.searcher_id} states {upstream.stated_limit:g} '
        f'({share.requests} in {share.seconds:g} s here, told {age:.1f} s ago)'
    )


def _is_report_due(upstream: Upstream, now: float) -> bool:
    reported_at = upstream.allowance.reported_at
    return now >= reported_at + LIMIT_REPORT_SECONDS


def _may_be_outdated(upstream: Upstream, rate: float, sent_at: float) -> bool:
    """Return whether the answer may be older than the known limit.

    Such an answer may still lower a limit.
    """
    if sent_at >= upstream.allowance.changed_at:
        return False
    return not upstream.states_limit or rate > upstream.stated_limit


def _apply_limit(
    upstream: Upstream,
    rate: float,
    source: str,
    table: GatewayTable,
    now: float,
) -> Iterator[Command]:
    upstream.allowance.confirmed_at = now
    if rate == upstream.stated_limit:
        return
    is_new = not upstream.states_limit
    upstream.stated_limit = rate
    upstream.allowance.changed_at = now
    if is_new:
        _start_share(upstream, table, now)
    fields = {
        'searcher': upstream.searcher_id,
        'service': upstream.record.service,
        'source': source,
    }
    if rate == NEVER:
        yield LogEvent(EVENT_LIMIT_LIFTED, **fields)
    else:
        yield LogEvent(EVENT_LIMIT_STATED, limit=rate, **fields)


def _limit_record(upstream: Upstream, age: float) -> LimitRecord:
    return LimitRecord(
        upstream.searcher_id,
        upstream.record.born_ms,
        upstream.stated_limit,
        age,
    )


def _start_share(upstream: Upstream, table: GatewayTable, now: float) -> None:
    """Start to count what this host sends under a new limit."""
    share = _share(upstream, table, now)
    if share.requests:
        # Hosts that learn of a limit together do not send together.
        turn = _position(upstream, table) + 1
        phase = min(1, turn / _sender_count(upstream, table))
        upstream.allowance.fill(share, phase, now)


def _share(upstream: Upstream, table: GatewayTable, now: float) -> RateShare:
    """Return what this host may send to a searcher that states a limit."""
    sharing = table.sharing
    table.drop_departed_hosts(now)
    limit = upstream.stated_limit
    if not sharing.has_share:
        return NO_SHARE
    position = _position(upstream, table)
    share = share_of_host(limit, sharing.host_count, position)
    if share.requests:
        return share
    senders = _sender_count(upstream, table)
    last_share = share_of_host(limit, sharing.host_count, senders - 1)
    turn = (position - senders + 1) * last_share.interval
    # If no host confirms the limit, the senders may be lost or have no
    # requests; the next hosts send in turn.
    unconfirmed = now - upstream.allowance.confirmed_at
    is_due = unconfirmed >= UNCONFIRMED_LIMIT_SECONDS + turn
    return last_share if is_due else NO_SHARE


def _position(upstream: Upstream, table: GatewayTable) -> int:
    """Return the position of this host among those that share a limit."""
    record = upstream.record
    key = table.sharing_key(record.service, upstream.searcher_id)
    return table.sharing.position(key, record.data_centre)


def _sender_count(upstream: Upstream, table: GatewayTable) -> int:
    """Return how many hosts have a share of a limit above zero."""
    requests = requests_per_window(upstream.stated_limit)
    return max(1, min(table.sharing.host_count, requests))
