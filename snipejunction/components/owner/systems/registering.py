"""The owner's side of announcements."""

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
    # Without a lease the view may be an old one: the sender tries again.
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
    node: Node, searcher: Searcher, announcement: Announcement
) -> bool:
    """Return whether the answer to an announcement is true by now.

    For a leaving searcher it says that no new work can reach it: neither
    from here nor from an owner of an earlier view.
    """
    if announcement.state != SEARCHER_LEAVING:
        return True
    if announcement.boot_id != searcher.boot_id:
        # The boot that leaves was replaced and gets no more work.
        return is_sole_owner(node, searcher)
    return searcher.is_leaving and is_sole_owner(node, searcher)
