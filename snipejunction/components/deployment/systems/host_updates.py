"""Updates of the deployment and of the known hosts to connected hosts."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.deployment.const import (
    EVENT_ENTRY_CONNECTED,
    EVENT_ENTRY_LEAVING,
    EVENT_ENTRY_LOST,
    EVENT_ENTRY_READY,
    HOSTS_UPDATE_DELAY_SECONDS,
)
from snipejunction.components.deployment.messages import (
    DeploymentUpdate,
    EntriesUpdate,
    EntryHeartbeat,
    HostsUpdate,
)
from snipejunction.components.deployment.naming import advertised_entries
from snipejunction.components.deployment.systems.membership import (
    is_cut_off,
)
from snipejunction.components.deployment.tables import (
    ConnectedEntry,
    HostsUpdates,
)
from snipejunction.components.registration.systems.announcing import (
    send_searchers_to_control,
    send_searchers_to_entry,
)
from snipejunction.components.registration.systems.limits import send_limits
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.handling import add_listener, handle, on_tick
from snipejunction.messages import PeerConnected, PeerLost
from snipejunction.node import Node
from snipejunction.timers import NEVER


def send_deployment_to_all(node: Node, now: float) -> Iterator[Command]:
    """Send the deployment to all connected entry hosts."""
    for name, entry in node.deployment.entries.items():
        yield from _send_deployment(name, entry, node)


def schedule_hosts_update(node: Node, now: float) -> None:
    """Schedule an update of the known hosts; batches further changes."""
    due = now + HOSTS_UPDATE_DELAY_SECONDS
    node.deployment.hosts_update_due = min(
        node.deployment.hosts_update_due, due
    )


@on_tick
def run_host_updates(node: Node, now: float) -> Iterator[Command]:
    """Send the update of the known hosts if it is due."""
    table = node.deployment
    if now < table.hosts_update_due:
        return
    table.hosts_update_due = NEVER
    table.hosts_updates.replace(_make_hosts_update(node, now))
    for name, entry in table.entries.items():
        yield from _send_hosts(name, entry, table.hosts_updates)
    own_update = EntriesUpdate(table.local_entry_records())
    if own_update.entries != table.last_entries_sent:
        table.last_entries_sent = own_update.entries
        for other in node.consensus.other_names(GROUP_DEPLOYMENT, node.name):
            yield SendPeer(other, own_update)


def _make_hosts_update(node: Node, now: float) -> HostsUpdate:
    members = node.consensus.members_of(GROUP_DEPLOYMENT)
    return HostsUpdate(
        {member.name: member.data_centre for member in members},
        advertised_entries(node.deployment.all_entry_records()),
        is_cut_off(node, now),
    )


def _send_hosts(
    name: str,
    entry: ConnectedEntry,
    updates: HostsUpdates,
) -> Iterator[Command]:
    """Send the hosts if they changed; non-subscribers get no entries."""
    wants_news = entry.heartbeat.wants_news
    update = updates.full if wants_news else updates.without_entries
    if update is not entry.last_hosts_update:
        entry.last_hosts_update = update
        yield SendPeer(name, update)


@handle.register
def _handle_entries(
    message: EntriesUpdate,
    node: Node,
    now: float,
) -> Iterator[Command]:
    node.deployment.entries_by_control[message.sender] = message.entries
    schedule_hosts_update(node, now)
    return iter(())


def _send_deployment(
    name: str, entry: ConnectedEntry, node: Node
) -> Iterator[Command]:
    state = node.deployment.state
    if not state.version or not entry.heartbeat.wants_news:
        return
    if entry.sent_index >= state.update_index:
        return
    entry.sent_index = state.update_index
    update = DeploymentUpdate(
        state.update_index,
        state.version,
        state.content,
        state.drained,
        list(state.rollouts.records.values()),
        state.rollouts.versions,
    )
    yield SendPeer(name, update)


@handle.register
def _handle_heartbeat(
    message: EntryHeartbeat,
    node: Node,
    now: float,
) -> Iterator[Command]:
    name = message.sender
    entry = node.deployment.entries.get(name)
    was_subscribed = entry is not None and entry.heartbeat.wants_news
    if entry is None:
        entry = ConnectedEntry(message, now)
        node.deployment.entries[name] = entry
        yield LogEvent(
            EVENT_ENTRY_CONNECTED,
            name=name,
            data_centre=message.data_centre,
        )
        schedule_hosts_update(node, now)
    elif message.takes_work != entry.heartbeat.takes_work:
        takes_work = message.takes_work
        kind = EVENT_ENTRY_READY if takes_work else EVENT_ENTRY_LEAVING
        yield LogEvent(kind, name=name)
        schedule_hosts_update(node, now)
    entry.heartbeat = message
    entry.heartbeat_at = now
    if message.wants_news and not was_subscribed:
        yield from send_searchers_to_entry(name, node, now)
        yield from send_limits(name, node)
    if entry.last_hosts_update is None or message.wants_news != was_subscribed:
        updates = node.deployment.hosts_updates
        updates.replace(_make_hosts_update(node, now))
        yield from _send_hosts(name, entry, updates)
    if message.index < node.deployment.state.update_index:
        # Earlier updates may have been lost with a previous stream.
        entry.sent_index = message.index
        yield from _send_deployment(name, entry, node)


@on_tick
def run_control_sync(node: Node, now: float) -> Iterator[Command]:
    """Send what this host knows to control hosts that became members.

    Their streams may be older than their membership, or than this host's.
    """
    synced = node.deployment.synced_controls
    others = node.consensus.other_names(GROUP_DEPLOYMENT, node.name)
    synced.intersection_update(others)
    for name in others:
        if name not in synced:
            yield from _send_all_to_control(name, node, now)


def _sync_control(
    notice: PeerConnected, node: Node, now: float
) -> Iterator[Command]:
    others = node.consensus.other_names(GROUP_DEPLOYMENT, node.name)
    if notice.host in others:
        yield from _send_all_to_control(notice.host, node, now)


def _send_all_to_control(
    name: str, node: Node, now: float
) -> Iterator[Command]:
    """Send the entry hosts and searchers of this host to a control host."""
    node.deployment.synced_controls.add(name)
    yield SendPeer(name, EntriesUpdate(node.deployment.local_entry_records()))
    yield from send_searchers_to_control(name, node, now)


def _remove_host(notice: PeerLost, node: Node, now: float) -> Iterator[Command]:
    entry = node.deployment.entries.pop(notice.host, None)
    if node.deployment.entries_by_control.pop(notice.host, None):
        schedule_hosts_update(node, now)
    if entry is not None:
        age = round(now - entry.heartbeat_at, 3)
        yield LogEvent(EVENT_ENTRY_LOST, name=notice.host, age=age)
        schedule_hosts_update(node, now)


add_listener(PeerConnected, _sync_control)
add_listener(PeerLost, _remove_host)
