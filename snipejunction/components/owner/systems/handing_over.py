"""Hand-over of the state of searchers to other hosts."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.owner.const import (
    HAND_OVER_RESEND_SECONDS,
    HAND_OVER_TIMEOUT_SECONDS,
    LEAVING_SUCCESSORS,
)
from snipejunction.components.owner.hand_overs import OutgoingHandOver
from snipejunction.components.owner.peer_messages import (
    HandOver,
    HandOverAcknowledged,
    LearnedState,
)
from snipejunction.components.owner.searcher import Searcher
from snipejunction.handling import handle
from snipejunction.helpers import rendezvous
from snipejunction.node import Node
from snipejunction.timers import NEVER


def send_hand_over(
    node: Node,
    searcher: Searcher,
    host: str,
    now: float,
) -> Iterator[Command]:
    """Send the state of a searcher to ``host`` until acknowledged."""
    number = node.owner.hand_overs.next_number()
    message = HandOver(number, [_learned_state(node, searcher, now)])
    node.owner.hand_overs.outgoing[number] = OutgoingHandOver(
        host,
        message,
        now + HAND_OVER_RESEND_SECONDS,
        now + HAND_OVER_TIMEOUT_SECONDS,
    )
    yield SendPeer(host, message)


def notify_successors(
    node: Node,
    searcher: Searcher,
    now: float,
) -> Iterator[Command]:
    """Send a leaving searcher to the next owners if this host is lost."""
    view = node.view.current
    names = [
        name
        for name in view.active_names
        if view.hosts[name].data_centre == searcher.data_centre
    ]
    successors = [
        name
        for name in rendezvous.rank(searcher.key, names or view.active_names)
        if name != node.name
    ]
    for host in successors[:LEAVING_SUCCESSORS]:
        yield from send_hand_over(node, searcher, host, now)


def resend_hand_overs(node: Node, now: float) -> Iterator[Command]:
    """Resend unacknowledged hand-overs until their deadline."""
    outgoing = node.owner.hand_overs.outgoing
    for number, entry in list(outgoing.items()):
        if now >= entry.deadline:
            outgoing.pop(number)
        elif now >= entry.resend_at:
            entry.resend_at = now + HAND_OVER_RESEND_SECONDS
            yield SendPeer(entry.host, entry.message)


@handle.register
def _handle_acknowledgement(
    message: HandOverAcknowledged,
    node: Node,
    now: float,
) -> Iterator[Command]:
    entry = node.owner.hand_overs.outgoing.get(message.number)
    if entry is not None and entry.host == message.sender:
        node.owner.hand_overs.outgoing.pop(message.number)
    return iter(())


def _learned_state(node: Node, searcher: Searcher, now: float) -> LearnedState:
    return LearnedState(
        searcher.announcement,
        searcher.is_leaving,
        max(0, searcher.expires_at - now),
        _current_limit(searcher),
        searcher.warmth.baseline or 0,
        searcher.latency.mean,
        searcher.latency.high_quantile,
        node.settings.revision,
        _current_rate_limit(searcher),
    )


def _current_rate_limit(searcher: Searcher) -> float:
    if searcher.boot_id != searcher.announcement.boot_id:
        return NEVER
    return searcher.rate_limit.stated


def _current_limit(searcher: Searcher) -> float:
    if searcher.boot_id != searcher.announcement.boot_id:
        # The announcement is of a boot that was replaced.
        return 0
    return float(searcher.warmth.effective_limit)
