"""Handling of forwarded announcements at the owner."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.owner.messages import Announcement
from snipejunction.components.owner.peer_messages import (
    AnnouncementAcknowledged,
    ForwardAnnouncement,
)
from snipejunction.components.owner.searcher import Searcher, searcher_key
from snipejunction.components.owner.systems.adopting import (
    register_announcement,
)
from snipejunction.components.owner.systems.rules import is_sole_owner
from snipejunction.const import SEARCHER_LEAVING
from snipejunction.handling import handle
from snipejunction.node import Node


@handle.register
def _handle_forwarded(
    message: ForwardAnnouncement,
    node: Node,
    now: float,
) -> Iterator[Command]:
    announcement = message.announcement
    key = searcher_key(announcement.service, announcement.searcher)
    # Without a lease the view may be outdated. The sender retries.
    if not node.lease.is_held(now):
        return
    if node.view.owner_of(key, announcement.data_centre) != node.name:
        return
    if key in node.owner.lost:
        return
    yield from register_announcement(node, announcement, now)
    searcher = node.owner.searchers[key]
    if _can_acknowledge(node, searcher, announcement):
        yield SendPeer(message.sender, AnnouncementAcknowledged(message.token))


def _can_acknowledge(
    node: Node,
    searcher: Searcher,
    announcement: Announcement,
) -> bool:
    """Return whether an announcement may be acknowledged.

    The acknowledgement of a leaving searcher promises that no new work is
    dispatched to it, neither by this host nor by an earlier owner.
    """
    if announcement.state != SEARCHER_LEAVING:
        return True
    if announcement.boot_id != searcher.boot_id:
        # The leaving boot was replaced, so this host sends it no work.
        return is_sole_owner(node, searcher)
    return searcher.is_leaving and is_sole_owner(node, searcher)
