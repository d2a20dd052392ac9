"""Detection of revisions in force on all hosts and of settled views.

A revision is in force once each host has applied it or holds no lease, so
that no host accepts work under older settings.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, LogEvent, RecordDuration, SendPeer
from snipejunction.components.control.const import EVENT_CHANGE_IN_FORCE
from snipejunction.components.control.leadership_table import PendingChange
from snipejunction.components.control.messages import (
    ChangeOutcome,
    RenewLease,
)
from snipejunction.components.control.replication.messages import FeedEntries
from snipejunction.components.control.systems.applying import settle_views
from snipejunction.components.control.systems.group import (
    group_state,
    voter_names,
)
from snipejunction.handling import on_tick
from snipejunction.node import Node

_MILLISECOND_DIGITS: Final = 3


def record_progress(
    renewal: RenewLease,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Record the revisions that a host reported; answer open changes."""
    leadership = node.control.leadership
    lease = leadership.leases.get(renewal.sender)
    if lease is None or lease.incarnation != renewal.entry.incarnation:
        return
    lease.update_progress(renewal.applied, renewal.released)
    for change in leadership.applied_changes:
        if lease.applied >= change.revision:
            change.awaited_hosts.discard(renewal.sender)
    yield from _answer_applied_changes(node, now)


def answer_when_in_force(
    change: PendingChange,
    revision: int,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Answer ``change`` once its revision is in force on all hosts."""
    leadership = node.control.leadership
    state = group_state(node)
    change.revision = revision
    # A host that joined later applies this revision before it gets a lease.
    change.awaited_hosts = {
        name
        for name, lease in leadership.leases.items()
        if lease.applied < revision and state.joined_at(name) < revision
    }
    if _is_in_force(change, node, now):
        leadership.raise_min_revision(revision)
        yield from _send_outcomes(change, now)
    else:
        leadership.applied_changes.append(change)


@on_tick
def check_in_force(node: Node, now: float) -> Iterator[Command]:
    """Answer changes and settle views as awaited leases expire."""
    if not node.control.leadership.is_leading:
        return
    yield from _answer_applied_changes(node, now)
    if node.view.settled < node.view.revision:
        yield from _settle_newest_view(node, now)


def _answer_applied_changes(node: Node, now: float) -> Iterator[Command]:
    leadership = node.control.leadership
    still_waiting = []
    for change in leadership.applied_changes:
        if _is_in_force(change, node, now):
            leadership.raise_min_revision(change.revision)
            yield from _send_outcomes(change, now)
        else:
            still_waiting.append(change)
    leadership.applied_changes = still_waiting


def _is_in_force(change: PendingChange, node: Node, now: float) -> bool:
    # An expired lease may be granted again to a host that still lacks the
    # revision, so a host leaves awaited_hosts only by its own report.
    leases = node.control.leadership.leases
    return all(
        name not in leases or leases[name].has_expired(now)
        for name in change.awaited_hosts
    )


def _send_outcomes(change: PendingChange, now: float) -> Iterator[Command]:
    elapsed = now - change.received_at
    yield RecordDuration('control.change_in_force', elapsed)
    yield LogEvent(
        EVENT_CHANGE_IN_FORCE,
        revision=change.revision,
        seconds=round(elapsed, _MILLISECOND_DIGITS),
    )
    for host, ask_id in sorted(change.requesters):
        yield SendPeer(host, ChangeOutcome(ask_id, change.revision, None))


def _settle_newest_view(node: Node, now: float) -> Iterator[Command]:
    revisions = [view.revision for view in node.view.views_since_settled]
    for revision in reversed(revisions):
        if revision <= node.view.settled:
            return
        if _is_settled(revision, node, now):
            node.control.leadership.raise_min_revision(revision)
            yield from settle_views(revision, node)
            yield from _notify_voters(node)
            return


def _notify_voters(node: Node) -> Iterator[Command]:
    # The other voters apply their logs and have no feeder.
    for name in voter_names(node):
        if name != node.name:
            yield SendPeer(
                name,
                FeedEntries([], node.settings.revision, node.view.settled),
            )


def _is_settled(revision: int, node: Node, now: float) -> bool:
    # The leases of hosts that left the view expired before the entry that
    # removed them was proposed.
    state = group_state(node)
    for name, lease in node.control.leadership.leases.items():
        if state.joined_at(name) >= revision or lease.has_expired(now):
            continue
        if min(lease.applied, lease.released) < revision:
            return False
    return True
