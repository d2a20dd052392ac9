"""What control hosts tell the entry hosts that are connected to them."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.deployment.const import (
    EVENT_ENTRY_LEAVES,
    EVENT_ENTRY_LOST,
    EVENT_ENTRY_READY,
    EVENT_ENTRY_SEEN,
    HOSTS_DELAY_SECONDS,
)
from snipejunction.components.deployment.messages import (
    DeploymentFed,
    EntriesFed,
    EntryPresence,
    HostsFed,
)
from snipejunction.components.deployment.naming import named_entries
from snipejunction.components.deployment.systems.recruiting import (
    is_cut_off,
)
from snipejunction.components.deployment.tables import ConnectedEntry
from snipejunction.components.registration.systems.announcing import (
    send_searchers_to_control,
    send_searchers_to_entry,
)
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.handling import handle, listen, on_tick
from snipejunction.messages import PeerConnected, PeerLost
from snipejunction.node import Node
from snipejunction.timers import NEVER


def feed_all(node: Node, now: float) -> Iterator[Command]:
    """Send the deployment to all entry hosts with a stream."""
    for name, entry in node.deployment.entries.items():
        yield from _feed(name, entry, node)


def feed_hosts_soon(node: Node, now: float) -> None:
    """Tell others which hosts there are, many changes at once."""
    due = now + HOSTS_DELAY_SECONDS
    node.deployment.hosts_due = min(node.deployment.hosts_due, due)


@on_tick
def run_feeding(node: Node, now: float) -> Iterator[Command]:
    """Tell entry hosts and control hosts what changed of the hosts."""
    table = node.deployment
    if now < table.hosts_due:
        return
    table.hosts_due = NEVER
    fed = _hosts(node, now)
    for name, entry in table.entries.items():
        yield from _tell_hosts(name, entry, fed)
    own = EntriesFed(table.entry_records())
    if own.entries != table.told_entries:
        table.told_entries = own.entries
        for other in node.consensus.other_names(GROUP_DEPLOYMENT, node.name):
            yield SendPeer(other, own)


def _hosts(node: Node, now: float) -> HostsFed:
    members = node.consensus.members_of(GROUP_DEPLOYMENT)
    return HostsFed(
        {member.name: member.data_centre for member in members},
        named_entries(node.deployment.all_entry_records()),
        is_cut_off(node, now),
    )


def _tell_hosts(
    name: str,
    entry: ConnectedEntry,
    fed: HostsFed,
) -> Iterator[Command]:
    """Tell an entry host what changed; one without news needs little."""
    if not entry.presence.wants_news:
        fed = HostsFed(fed.controls, [], fed.is_cut_off)
    if fed != entry.told:
        entry.told = fed
        yield SendPeer(name, fed)


@handle.register
def _take_entries(
    message: EntriesFed,
    node: Node,
    now: float,
) -> Iterator[Command]:
    node.deployment.entries_by_control[message.sender] = message.entries
    feed_hosts_soon(node, now)
    return iter(())


def _feed(name: str, entry: ConnectedEntry, node: Node) -> Iterator[Command]:
    state = node.deployment.state
    if not state.version or not entry.presence.wants_news:
        return
    if entry.fed_index >= state.index:
        return
    entry.fed_index = state.index
    fed = DeploymentFed(state.index, state.version, state.content, state.out)
    yield SendPeer(name, fed)


@handle.register
def _take_presence(
    message: EntryPresence,
    node: Node,
    now: float,
) -> Iterator[Command]:
    name = message.sender
    entry = node.deployment.entries.get(name)
    had_news = entry is not None and entry.presence.wants_news
    if entry is None:
        entry = ConnectedEntry(message, now)
        node.deployment.entries[name] = entry
        yield LogEvent(
            EVENT_ENTRY_SEEN,
            name=name,
            data_centre=message.data_centre,
        )
        feed_hosts_soon(node, now)
    elif message.takes_work != entry.presence.takes_work:
        takes_work = message.takes_work
        kind = EVENT_ENTRY_READY if takes_work else EVENT_ENTRY_LEAVES
        yield LogEvent(kind, name=name)
        feed_hosts_soon(node, now)
    entry.presence = message
    entry.heard_at = now
    if message.wants_news and not had_news:
        yield from send_searchers_to_entry(name, node, now)
    if entry.told is None or message.wants_news != had_news:
        yield from _tell_hosts(name, entry, _hosts(node, now))
    if message.index < node.deployment.state.index:
        # What was sent before may have been lost with an older stream.
        entry.fed_index = message.index
        yield from _feed(name, entry, node)


def _meet(notice: PeerConnected, node: Node, now: float) -> Iterator[Command]:
    """Tell a control host all that this one heard itself."""
    others = node.consensus.other_names(GROUP_DEPLOYMENT, node.name)
    if notice.host in others:
        yield SendPeer(
            notice.host,
            EntriesFed(node.deployment.entry_records()),
        )
        yield from send_searchers_to_control(notice.host, node, now)


def _lose(notice: PeerLost, node: Node, now: float) -> Iterator[Command]:
    entry = node.deployment.entries.pop(notice.host, None)
    if node.deployment.entries_by_control.pop(notice.host, None):
        feed_hosts_soon(node, now)
    if entry is not None:
        age = round(now - entry.heard_at, 3)
        yield LogEvent(EVENT_ENTRY_LOST, name=notice.host, age=age)
        feed_hosts_soon(node, now)


listen(PeerConnected, _meet)
listen(PeerLost, _lose)
