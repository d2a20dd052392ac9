"""View changes by the leader: hosts that join, leave or are removed."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver, LogEvent
from snipejunction.components.consensus.messages import FlushLog
from snipejunction.components.consensus.systems.proposals import propose
from snipejunction.components.control.const import (
    EVENT_VIEW_PROPOSED,
    VIEW_REMOVAL_DELAY_SECONDS,
)
from snipejunction.components.control.leadership_table import (
    HostLease,
    LeadershipTable,
)
from snipejunction.components.control.messages import RenewLease
from snipejunction.components.control.replication.messages import (
    HostChange,
    ViewEntry,
)
from snipejunction.components.control.systems.group import (
    group_state,
    settings_replica,
)
from snipejunction.components.control.view import HostEntry
from snipejunction.const import GROUP_SETTINGS, HOST_ACTIVE, HOST_LEAVING
from snipejunction.handling import on_tick
from snipejunction.helpers.wire import encode
from snipejunction.node import Node
from snipejunction.timers import NEVER


@on_tick
def propose_view_changes(node: Node, now: float) -> Iterator[Command]:
    """Propose the outstanding view changes, one log entry at a time."""
    leadership = node.control.leadership
    replica = settings_replica(node)
    if not leadership.is_leading or leadership.proposed_index:
        return
    changes = _collect_changes(node, now)
    leadership.join_requests = {}
    if not changes or replica is None:
        return
    proposal = propose(replica, encode(ViewEntry(changes)))
    if proposal is None:
        return
    leadership.proposed_index = proposal.index
    leadership.proposed_hosts = frozenset(change.name for change in changes)
    yield LogEvent(EVENT_VIEW_PROPOSED, changes=_describe(changes))
    yield Deliver(FlushLog(GROUP_SETTINGS))


def is_newly_leaving(entry: HostEntry, host: HostEntry) -> bool:
    """Return whether ``entry`` announces that an active host leaves."""
    return entry.state == HOST_LEAVING and host.state == HOST_ACTIVE


def sync_leases(index: int, node: Node, now: float) -> None:
    """Update the tracked leases after a view entry was applied."""
    leadership = node.control.leadership
    if not leadership.is_leading:
        return
    if index >= leadership.proposed_index:
        leadership.proposed_index = 0
        leadership.proposed_hosts = frozenset()
    hosts = group_state(node).hosts
    for lost in set(leadership.leases) - set(hosts):
        leadership.leases.pop(lost)
    for name, host in hosts.items():
        lease = leadership.leases.get(name)
        if lease is None or lease.incarnation != host.incarnation:
            _add_lease(name, host.incarnation, node, now)


def begin_leadership(node: Node, now: float) -> None:
    """Start to lead and assume that every host holds a full lease.

    The leases that earlier leaders granted are unknown here, but their last
    renewals were sent before this leader was elected.
    """
    leadership = node.control.leadership
    state = group_state(node)
    timings = node.host_settings.lease
    until = now + timings.duration + timings.drift_margin
    leadership.start_leading(state.revision)
    for name, host in state.hosts.items():
        leadership.leases[name] = HostLease(host.incarnation, until, until)


def _add_lease(name: str, incarnation: str, node: Node, now: float) -> None:
    leadership = node.control.leadership
    retain_until = now + node.host_settings.lease.duration
    leadership.leases[name] = HostLease(incarnation, -NEVER, retain_until)
    for change in leadership.applied_changes:
        change.awaited_hosts.discard(name)


def _collect_changes(node: Node, now: float) -> list[HostChange]:
    leadership = node.control.leadership
    hosts = group_state(node).hosts
    changes: dict[str, HostChange] = {}
    for name, lease in leadership.leases.items():
        if _is_removable(lease, now):
            changes[name] = HostChange(name, lease.incarnation, None)
    for name, renewal in leadership.join_requests.items():
        change = _make_join_change(renewal, hosts.get(name), leadership, now)
        if change is not None:
            changes[name] = change
    return list(changes.values())


def _is_removable(lease: HostLease, now: float) -> bool:
    retained_until = max(
        lease.expires_at, lease.retain_until - VIEW_REMOVAL_DELAY_SECONDS
    )
    return now >= retained_until + VIEW_REMOVAL_DELAY_SECONDS


def _make_join_change(
    renewal: RenewLease,
    host: HostEntry | None,
    leadership: LeadershipTable,
    now: float,
) -> HostChange | None:
    entry = renewal.entry
    if host is None:
        if entry.state == HOST_ACTIVE:
            return HostChange(entry.name, '', entry)
        return None
    if host.incarnation == entry.incarnation:
        if is_newly_leaving(entry, host):
            return HostChange(entry.name, host.incarnation, entry)
        return None
    # Two incarnations of a host must never hold leases at the same time.
    if entry.state == HOST_ACTIVE and leadership.leases[entry.name].has_expired(
        now
    ):
        return HostChange(entry.name, host.incarnation, entry)
    return None


def _describe(changes: list[HostChange]) -> str:
    return ', '.join(_describe_change(change) for change in changes)


def _describe_change(change: HostChange) -> str:
    state = 'removed' if change.entry is None else change.entry.state
    return f'{change.name} {state}'
