"""Validation and forwarding of announcements to their owners."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.control.lifecycle import Phase
from snipejunction.components.owner.announcing import PendingAnnouncement
from snipejunction.components.owner.const import (
    ANNOUNCE_INTERVAL_SECONDS,
    FORWARD_RESEND_SECONDS,
    LEAVING_TIMEOUT_SECONDS,
    MAX_PENDING_ANNOUNCEMENTS,
    READY_TIMEOUT_SECONDS,
)
from snipejunction.components.owner.messages import (
    AnnounceRequest,
    AnnounceResponse,
)
from snipejunction.components.owner.peer_messages import (
    AnnouncementAcknowledged,
    ForwardAnnouncement,
)
from snipejunction.components.owner.searcher import searcher_key
from snipejunction.components.owner.systems.checking import (
    find_announcement_error,
)
from snipejunction.const import (
    CODE_BAD_REQUEST,
    CODE_NO_LEASE,
    CODE_OVERLOAD,
    CODE_STOPPING,
    CODE_UNKNOWN_SERVICE,
    SEARCHER_LEAVING,
)
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.verdict import Refusal, not_run_refusal


@handle.register
def _handle_announce(
    message: AnnounceRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    announcement = message.announcement
    refusal = _find_refusal(message, node, now)
    if refusal is not None:
        yield AnnounceResponse(
            message.call_id, ANNOUNCE_INTERVAL_SECONDS, refusal
        )
        return
    is_leaving = announcement.state == SEARCHER_LEAVING
    timeout = LEAVING_TIMEOUT_SECONDS if is_leaving else READY_TIMEOUT_SECONDS
    pending = PendingAnnouncement(announcement, now + timeout)
    node.owner.pending_announcements[message.call_id] = pending
    yield from _forward(message.call_id, pending, node, now)


@handle.register
def _handle_acknowledgement(
    message: AnnouncementAcknowledged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    pending = node.owner.pending_announcements.get(message.token)
    if pending is None or pending.owner != message.sender:
        return
    node.owner.pending_announcements.pop(message.token)
    yield AnnounceResponse(
        message.token, ANNOUNCE_INTERVAL_SECONDS, message.refusal
    )


def resend_announcements(node: Node, now: float) -> Iterator[Command]:
    """Resend unacknowledged announcements until their deadline.

    A host that is stopping refuses those without an owner at once.
    """
    is_stopping = _is_stopping(node)
    for call_id, pending in list(node.owner.pending_announcements.items()):
        is_undeliverable = is_stopping and _owner_of(pending, node) is None
        if is_undeliverable or now >= pending.deadline:
            node.owner.pending_announcements.pop(call_id)
            refusal = not_run_refusal(
                CODE_NO_LEASE,
                'the owner of the searcher did not answer',
                FORWARD_RESEND_SECONDS,
            )
            yield AnnounceResponse(call_id, ANNOUNCE_INTERVAL_SECONDS, refusal)
        elif now >= pending.resend_at:
            yield from _forward(call_id, pending, node, now)


def redirect_announcements(node: Node, now: float) -> Iterator[Command]:
    """Forward announcements whose owner changed with the newest view."""
    for call_id, pending in list(node.owner.pending_announcements.items()):
        if _owner_of(pending, node) != pending.owner:
            yield from _forward(call_id, pending, node, now)


def _forward(
    call_id: int,
    pending: PendingAnnouncement,
    node: Node,
    now: float,
) -> Iterator[Command]:
    pending.owner = _owner_of(pending, node)
    pending.resend_at = now + FORWARD_RESEND_SECONDS
    if pending.owner is not None:
        message = ForwardAnnouncement(call_id, pending.announcement)
        yield SendPeer(pending.owner, message)


def _owner_of(pending: PendingAnnouncement, node: Node) -> str | None:
    announcement = pending.announcement
    key = searcher_key(announcement.service, announcement.searcher)
    return node.view.owner_of(key, announcement.data_centre)


def _is_stopping(node: Node) -> bool:
    return node.lifecycle.phase in {Phase.LEAVING, Phase.STOPPED}


def _find_refusal(
    message: AnnounceRequest,
    node: Node,
    now: float,
) -> Refusal | None:
    announcement = message.announcement
    error = find_announcement_error(announcement)
    if error is not None:
        return not_run_refusal(CODE_BAD_REQUEST, error, -1)
    if _is_stopping(node):
        detail = 'this host is about to stop'
        return not_run_refusal(CODE_STOPPING, detail, FORWARD_RESEND_SECONDS)
    if not node.lease.is_held(now):
        return not_run_refusal(CODE_NO_LEASE, 'this host holds no lease', 0)
    if node.settings.service(announcement.service) is None:
        detail = f'service {announcement.service} has no settings'
        return not_run_refusal(
            CODE_UNKNOWN_SERVICE, detail, ANNOUNCE_INTERVAL_SECONDS
        )
    if len(node.owner.pending_announcements) >= MAX_PENDING_ANNOUNCEMENTS:
        detail = 'too many announcements wait for their owners'
        return not_run_refusal(CODE_OVERLOAD, detail, ANNOUNCE_INTERVAL_SECONDS)
    return None
