"""Creation of the first configuration of a group.

Of the voters in the settings, the host with the lowest name creates it once
all others reported an empty disk. A host whose disk was wiped later receives
a report of a disk that is not empty; it waits to be added as a new voter.
"""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.consensus.const import (
    BOOTSTRAP_INDEX,
    BOOTSTRAP_RESEND_SECONDS,
    EVENT_BOOTSTRAPPED,
    EVENT_NOT_MEMBER,
)
from snipejunction.components.consensus.messages import (
    Configuration,
    Member,
    Snapshot,
)
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.replication.messages import (
    BootstrapRequest,
    BootstrapResponse,
)
from snipejunction.components.consensus.systems.writing import start_write
from snipejunction.handling import handle, on_tick
from snipejunction.host_settings import VoterAddress
from snipejunction.node import Node


@on_tick
def run_bootstrap(node: Node, now: float) -> Iterator[Command]:
    """Request from the other configured voters whether they are empty."""
    if not node.host_settings.is_voter:
        return
    for replica in node.consensus.replicas.values():
        if not replica.is_empty or now < replica.bootstrap.next_request_at:
            continue
        replica.bootstrap.next_request_at = now + BOOTSTRAP_RESEND_SECONDS
        yield from _create_configuration(replica, node, now)
        for voter in _other_voters(node):
            request = BootstrapRequest(replica.group, replica.voter_id)
            yield SendPeer(voter.name, request)


def _is_bootstrap_host(node: Node) -> bool:
    return node.name == min(voter.name for voter in node.host_settings.voters)


def _other_voters(node: Node) -> list[VoterAddress]:
    voters = node.host_settings.voters
    return [voter for voter in voters if voter.name != node.name]


@handle.register
def _handle_request(
    message: BootstrapRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None:
        return
    response = BootstrapResponse(
        message.group,
        message.voter_id,
        replica.voter_id,
        replica.is_empty,
        replica.membership.current.member(message.voter_id) is not None,
    )
    yield SendPeer(message.sender, response)


@handle.register
def _handle_response(
    message: BootstrapResponse,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(message.group)
    if replica is None or message.to_id != replica.voter_id:
        return
    if not replica.is_empty:
        return
    bootstrap = replica.bootstrap
    bootstrap.empty_peers.pop(message.sender, None)
    if message.is_empty:
        bootstrap.empty_peers[message.sender] = message.voter_id
        yield from _create_configuration(replica, node, now)
    elif not bootstrap.has_logged_warning and not message.is_member:
        bootstrap.has_logged_warning = True
        yield LogEvent(
            EVENT_NOT_MEMBER,
            group=replica.group,
            voter_id=replica.voter_id,
        )


def _create_configuration(
    replica: Replica,
    node: Node,
    now: float,
) -> Iterator[Command]:
    ids = {node.name: replica.voter_id, **replica.bootstrap.empty_peers}
    voters = node.host_settings.voters
    if not _is_bootstrap_host(node) or any(
        voter.name not in ids for voter in voters
    ):
        return
    members = [
        Member(ids[voter.name], voter.name, voter.ip, voter.peer_port, True)
        for voter in voters
    ]
    configuration = Configuration(members)
    replica.snapshot = Snapshot(BOOTSTRAP_INDEX, 0, configuration, b'')
    replica.log.reset(BOOTSTRAP_INDEX, 0)
    replica.membership.reset(BOOTSTRAP_INDEX, configuration)
    replica.commit_index = BOOTSTRAP_INDEX
    replica.applied_index = BOOTSTRAP_INDEX
    replica.writer.mark_snapshot(replica.snapshot)
    # No other replica has a configuration yet, so no leader can exist.
    replica.election_deadline = now
    yield LogEvent(
        EVENT_BOOTSTRAPPED,
        group=replica.group,
        voters=len(members),
    )
    yield from start_write(replica)
