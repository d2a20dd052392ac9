"""Proposals of the leader about roll-outs."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver
from snipejunction.components.consensus.messages import FlushLog
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.systems.proposals import propose
from snipejunction.components.rollouts.messages import (
    RolloutStateEntry,
    VersionPinEntry,
)
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.helpers.wire import encode
from snipejunction.node import Node


def find_leading_replica(node: Node) -> Replica | None:
    """Return the replica of the deployment group if it is a ready leader."""
    replica = node.consensus.replicas.get(GROUP_DEPLOYMENT)
    if replica is None or not replica.is_ready:
        return None
    return replica


def is_pending(topic: str, node: Node) -> bool:
    """Return whether the last proposal about a topic is not applied yet."""
    index = node.rollouts.proposals.get(topic, 0)
    return index > node.deployment.state.index


def propose_about(
    topic: str,
    entry: RolloutStateEntry | VersionPinEntry,
    replica: Replica,
    node: Node,
) -> Iterator[Command]:
    """Propose an entry; a rejected one is proposed again at a later tick."""
    proposal = propose(replica, encode(entry))
    if proposal is not None:
        node.rollouts.proposals[topic] = proposal.index
        yield Deliver(FlushLog(GROUP_DEPLOYMENT))
