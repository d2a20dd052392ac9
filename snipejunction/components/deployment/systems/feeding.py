"""What control hosts tell the entry hosts that are connected to them."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.deployment.const import (
    EVENT_ENTRY_LEAVES,
    EVENT_ENTRY_LOST,
    EVENT_ENTRY_READY,
    EVENT_ENTRY_SEEN,
    LAGS_BEFORE_FEED,
)
from snipejunction.components.deployment.messages import (
    DeploymentFed,
    EntryPresence,
    HostsFed,
)
from snipejunction.components.deployment.systems.recruiting import (
    known_controls,
)
from snipejunction.components.deployment.tables import ConnectedEntry
from snipejunction.components.registration.systems.announcing import (
    news_of_all,
)
from snipejunction.handling import handle, listen
from snipejunction.messages import PeerLost
from snipejunction.node import Node


def feed_all(node: Node, now: float) -> Iterator[Command]:
    """Send the deployment to the entry hosts of this data centre."""
    for name, entry in node.deployment.entries.items():
        if entry.presence.data_centre == node.identity.data_centre:
            yield from _feed(name, entry, node)


def feed_hosts(node: Node) -> Iterator[Command]:
    """Tell all entry hosts which hosts there are."""
    news = _hosts(node)
    for name in node.deployment.entries:
        yield SendPeer(name, news)


def _hosts(node: Node) -> HostsFed:
    return HostsFed(known_controls(node), node.deployment.entry_records())


def _feed(name: str, entry: ConnectedEntry, node: Node) -> Iterator[Command]:
    state = node.deployment.state
    if not state.version or entry.fed_index >= state.index:
        return
    entry.fed_index = state.index
    entry.lags = 0
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
    if entry is None:
        entry = ConnectedEntry(message, now)
        node.deployment.entries[name] = entry
        yield LogEvent(
            EVENT_ENTRY_SEEN,
            name=name,
            data_centre=message.data_centre,
        )
        yield from news_of_all(name, node, now)
        yield from feed_hosts(node)
    elif message.takes_work != entry.presence.takes_work:
        entry.presence = message
        takes_work = message.takes_work
        kind = EVENT_ENTRY_READY if takes_work else EVENT_ENTRY_LEAVES
        yield LogEvent(kind, name=name)
        yield from feed_hosts(node)
    entry.presence = message
    entry.heard_at = now
    yield from _catch_up(name, entry, node)


def _catch_up(
    name: str,
    entry: ConnectedEntry,
    node: Node,
) -> Iterator[Command]:
    presence = entry.presence
    if presence.index >= node.deployment.state.index:
        entry.lags = 0
        return
    entry.lags += 1
    is_near = presence.data_centre == node.identity.data_centre
    if is_near or entry.lags >= LAGS_BEFORE_FEED:
        # What was sent before may have been lost with an older stream.
        entry.fed_index = presence.index
        yield from _feed(name, entry, node)


def _lose(notice: PeerLost, node: Node, now: float) -> Iterator[Command]:
    entry = node.deployment.entries.pop(notice.host, None)
    if entry is not None:
        age = round(now - entry.heard_at, 3)
        yield LogEvent(EVENT_ENTRY_LOST, name=notice.host, age=age)
        yield from feed_hosts(node)


listen(PeerLost, _lose)
