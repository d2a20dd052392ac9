"""Grants of a coordinator, and their application on the hosts."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.admission.const import (
    CLAIM_SECONDS,
    EVENT_POOL_CLOSED,
    EVENT_POOL_OPENED,
    SHARE_VALIDITY_SECONDS,
)
from snipejunction.components.admission.coordinator import (
    is_only_coordinator,
)
from snipejunction.components.admission.messages import ShareGrant, ShareRequest
from snipejunction.components.admission.pool import Pool
from snipejunction.components.admission.systems.admit import admit_queued
from snipejunction.components.admission.systems.share_requests import (
    coordinator_of,
    request_share,
)
from snipejunction.handling import add_listener, handle
from snipejunction.messages import ViewChanged
from snipejunction.node import Node


@handle.register
def _handle_share_request(
    message: ShareRequest, node: Node, now: float
) -> Iterator[Command]:
    service = node.settings.service(message.service)
    limit = node.settings.caller_limit(message.caller, message.service)
    if service is None or limit is None:
        return
    if not _is_coordinator(node, message.caller, message.service, now):
        return
    pool = node.admission.pools.get((message.caller, message.service))
    if pool is None:
        pool = _make_pool(node)
        node.admission.pools[message.caller, message.service] = pool
        yield LogEvent(
            EVENT_POOL_OPENED,
            caller=message.caller,
            service=message.service,
        )
    share = pool.get_share(message.sender, message.incarnation)
    if message.number <= share.request_number:
        # A duplicate or late request: the host waits for a later grant.
        return
    pool.refill(limit, now)
    margin = node.host_settings.lease.drift_margin
    share.record_request(message, now, margin)
    pool.remove_expired(now, service.deadline)
    pool.remove_stopped(_possibly_leased_processes(node))
    rate = pool.rate_to_grant(share, limit, now)
    slots = pool.slots_to_grant(share, limit, now, service.deadline)
    # Open requests stay open even if the share is smaller.
    share.record_grant(
        rate, max(slots, message.opened), now + SHARE_VALIDITY_SECONDS + margin
    )
    grant = ShareGrant(
        message.caller,
        message.service,
        message.number,
        rate,
        slots,
        pool.take_tokens(min(message.wanted_tokens, slots)),
        SHARE_VALIDITY_SECONDS,
        pool.is_short(limit, now),
    )
    yield SendPeer(message.sender, grant)


@handle.register
def _handle_grant(
    message: ShareGrant,
    node: Node,
    now: float,
) -> Iterator[Command]:
    key = (message.caller, message.service)
    account = node.admission.accounts.get(key)
    if account is None or not account.apply_grant(message, now):
        return
    yield from admit_queued(node, account, now)
    if account.queued and account.is_share_request_due(now):
        yield from request_share(node, account, now)


def _handle_view_changed(
    message: ViewChanged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Claim shares from new coordinators and close pools of lost limits.

    A share may outlive the lease of the host that granted it. This is safe,
    because another host becomes the coordinator only once every host has
    either applied the new view, and thereby shortened the share, or lost its
    lease, and thereby stopped admitting requests.
    """
    node.admission.view_changed_at = now
    for account in list(node.admission.accounts.values()):
        if account.coordinator not in {'', coordinator_of(node, account)}:
            account.expire_by(now + CLAIM_SECONDS)
            yield from request_share(node, account, now)
    for caller, service in list(node.admission.pools):
        if not _is_sole_coordinator(node, caller, service):
            node.admission.pools.pop((caller, service))
            yield LogEvent(EVENT_POOL_CLOSED, caller=caller, service=service)


def _possibly_leased_processes(node: Node) -> set[tuple[str, str]]:
    """Return all processes that may hold a lease.

    A process is removed from the views only after its lease expired.
    """
    return {
        (host.name, host.incarnation)
        for view in node.view.views_since_settled
        for host in view.hosts.values()
    }


def _is_coordinator(
    node: Node,
    caller: str,
    service: str,
    now: float,
) -> bool:
    return node.lease.is_held(now) and _is_sole_coordinator(
        node, caller, service
    )


def _is_sole_coordinator(node: Node, caller: str, service: str) -> bool:
    return is_only_coordinator(
        node.view,
        caller,
        service,
        node.name,
        node.identity.incarnation,
    )


def _make_pool(node: Node) -> Pool:
    """Create a pool that allows for shares of an earlier coordinator.

    Every host shortens such a share when it applies the view, and all hosts
    have applied the view or lost their leases before this host is the only
    coordinator.
    """
    changed_at = node.admission.view_changed_at
    margin = node.host_settings.lease.drift_margin
    return Pool(changed_at, changed_at + CLAIM_SECONDS + margin)


add_listener(ViewChanged, _handle_view_changed)
