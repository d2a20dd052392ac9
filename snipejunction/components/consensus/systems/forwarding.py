"""Forwarding of requests that arrive at a follower to the leader."""

from __future__ import annotations

from collections.abc import Iterator
from copy import copy

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.consensus.const import EVENT_REQUEST_FORWARDED
from snipejunction.components.consensus.messages import LeaderRequest
from snipejunction.components.consensus.replica import Replica


def forward_to_leader(
    replica: Replica,
    request: LeaderRequest,
) -> Iterator[Command]:
    """Forward a request to the leader that a follower knows, if any.

    A host with an empty disk knows a few hosts only, and the leader may be
    none of them. A request is forwarded once, so that followers with outdated
    leaders do not pass it around; its origin repeats it.
    """
    leader = replica.leader_name
    if replica.is_leader or request.origin or leader is None:
        return
    forwarded = copy(request)
    forwarded.origin = request.sender
    yield LogEvent(
        EVENT_REQUEST_FORWARDED,
        request=type(request).__name__,
        origin=request.sender,
        leader=leader,
        group=replica.group,
    )
    yield SendPeer(leader, forwarded)
