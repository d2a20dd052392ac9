"""The coordinator of a limit, and its grants at the hosts."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.admission.const import (
    CLAIM_SECONDS,
    EVENT_POOL_CLOSED,
    EVENT_POOL_OPENED,
    SHARE_SECONDS,
)
from snipejunction.components.admission.coordinator import (
    is_only_coordinator,
)
from snipejunction.components.admission.messages import ShareAsk, ShareGrant
from snipejunction.components.admission.pool import Pool
from snipejunction.components.admission.systems.admit import serve_waiting
from snipejunction.components.admission.systems.asks import (
    ask_for_share,
    coordinator_of,
)
from snipejunction.handling import handle, listen
from snipejunction.messages import ViewChanged
from snipejunction.node import Node


@handle.register
def _take_ask(message: ShareAsk, node: Node, now: float) -> Iterator[Command]:
    service = node.settings.service(message.service)
    limit = node.settings.caller_limit(message.caller, message.service)
    if service is None or limit is None:
        return
    if not _is_coordinator(node, message.caller, message.service, now):
        return
    pool = node.admission.pools.get((message.caller, message.service))
    if pool is None:
        pool = _open_pool(node)
        node.admission.pools[message.caller, message.service] = pool
        yield LogEvent(
            EVENT_POOL_OPENED,
            caller=message.caller,
            service=message.service,
        )
    share = pool.share_of(message.sender, message.incarnation)
    if message.number <= share.number:
        # A doubled or late ask: the host waits for the grant of a later one.
        return
    pool.refill(limit, now)
    margin = node.host_settings.lease.drift_margin
    share.take_ask(message, now, margin)
    pool.forget_over(now, service.deadline)
    pool.forget_gone(_incarnations(node))
    rate = pool.rate_for(share, limit, now)
    slots = pool.slots_for(share, limit, now, service.deadline)
    # What is open stays open, whatever the share.
    share.note_grant(
        rate, max(slots, message.opened), now + SHARE_SECONDS + margin
    )
    grant = ShareGrant(
        message.caller,
        message.service,
        message.number,
        rate,
        slots,
        pool.take_tokens(min(message.wanted_tokens, slots)),
        SHARE_SECONDS,
        pool.is_short(limit, now),
    )
    yield SendPeer(message.sender, grant)


@handle.register
def _take_grant(
    message: ShareGrant,
    node: Node,
    now: float,
) -> Iterator[Command]:
    place = (message.caller, message.service)
    account = node.admission.accounts.get(place)
    if account is None or not account.take_grant(message, now):
        return
    yield from serve_waiting(node, account, now)
    if account.waiting and account.is_ask_due(now):
        yield from ask_for_share(node, account, now)


def _follow_view(
    message: ViewChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Close the pools that this host no longer coordinates alone.

    Shares of a coordinator that changed are claimed from the new one. A
    share may outlast the lease of the host that granted it: another host
    coordinates the limit only when each host applied the view that says so,
    and so shortened the share, or lost its lease, and so admits nothing.
    """
    node.admission.view_changed_at = now
    for account in list(node.admission.accounts.values()):
        if account.coordinator not in {'', coordinator_of(node, account)}:
            account.shorten(now + CLAIM_SECONDS)
            yield from ask_for_share(node, account, now)
    for caller, service in list(node.admission.pools):
        if not _is_owner(node, caller, service):
            node.admission.pools.pop((caller, service))
            yield LogEvent(EVENT_POOL_CLOSED, caller=caller, service=service)


def _incarnations(node: Node) -> set[tuple[str, str]]:
    """Return all processes that may hold a lease.

    A process leaves the views only once it certainly has none.
    """
    return {
        (host.name, host.incarnation)
        for view in node.view.unsettled
        for host in view.hosts.values()
    }


def _is_coordinator(
    node: Node,
    caller: str,
    service: str,
    now: float,
) -> bool:
    return node.lease.is_held(now) and _is_owner(node, caller, service)


def _is_owner(node: Node, caller: str, service: str) -> bool:
    return is_only_coordinator(
        node.view,
        caller,
        service,
        node.name,
        node.identity.incarnation,
    )


def _open_pool(node: Node) -> Pool:
    """Return a pool that allows for shares of an earlier coordinator.

    Every host shortens such a share when it applies the view, and before
    this host is the only owner all hosts applied it or lost their leases.
    """
    changed_at = node.admission.view_changed_at
    margin = node.host_settings.lease.drift_margin
    return Pool(changed_at, changed_at + CLAIM_SECONDS + margin)


listen(ViewChanged, _follow_view)
