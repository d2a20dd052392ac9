"""Share requests of a host to the coordinators of limits."""

from __future__ import annotations

import math
from collections.abc import Iterator

from snipejunction.commands import Command, IncrementCounter, SendPeer
from snipejunction.components.admission.account import Account
from snipejunction.components.admission.const import (
    ACCOUNT_EXPIRY_SECONDS,
    DEMAND_FACTOR,
    IDLE_SECONDS,
    METRIC_SHARE_REQUESTS,
)
from snipejunction.components.admission.coordinator import coordinator_in
from snipejunction.components.admission.messages import ShareRequest
from snipejunction.handling import on_tick
from snipejunction.node import Node


def coordinator_of(node: Node, account: Account) -> str | None:
    """Return the coordinator of a limit in the current view."""
    table = node.admission
    key = (account.caller, account.service)
    revision = node.view.revision
    known = table.coordinators.get(key)
    if known is None or known[0] != revision:
        name = coordinator_in(node.view.current, *key)
        known = (revision, name)
        table.coordinators[key] = known
    return known[1]


def request_share(
    node: Node,
    account: Account,
    now: float,
) -> Iterator[Command]:
    """Send a share request to the coordinator of a limit."""
    coordinator = coordinator_of(node, account)
    if coordinator is None:
        return
    account.coordinator = coordinator
    account.update_demand(now)
    is_idle = now >= account.last_request_at + IDLE_SECONDS
    if is_idle and not account.open_requests:
        # Release the share first, so that the request does not claim it and
        # other hosts can use it at once.
        account.release(now)
    queued = len(account.queued)
    busy = account.open_requests + queued
    request = ShareRequest(
        account.caller,
        account.service,
        node.identity.incarnation,
        account.begin_share_request(node.admission.next_request_number(), now),
        0 if is_idle else _wanted_rate(account),
        0 if is_idle else math.ceil(busy * DEMAND_FACTOR) + 1,
        queued,
        account.open_requests,
        account.rate if account.remaining_seconds(now) else 0,
        account.slots if account.remaining_seconds(now) else 0,
        account.remaining_seconds(now),
    )
    yield SendPeer(coordinator, request)
    yield IncrementCounter(METRIC_SHARE_REQUESTS)


def _wanted_rate(account: Account) -> float:
    """Return the rate to request, with a token for each queued request."""
    return max(1, account.demand * DEMAND_FACTOR, len(account.queued))


@on_tick
def _renew_shares(node: Node, now: float) -> Iterator[Command]:
    for key, account in list(node.admission.accounts.items()):
        unused = now - account.last_request_at
        is_in_use = account.open_requests > 0 or bool(account.queued)
        if unused > ACCOUNT_EXPIRY_SECONDS and not is_in_use:
            node.admission.remove_account(key)
        elif account.is_share_request_due(now) and _needs_share(account, now):
            yield from request_share(node, account, now)


def _needs_share(account: Account, now: float) -> bool:
    if account.open_requests or account.queued:
        return True
    if now < account.last_request_at + IDLE_SECONDS:
        return True
    # A last request releases the unused share.
    return account.remaining_seconds(now) > 0 and bool(account.slots)
