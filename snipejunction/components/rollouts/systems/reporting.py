"""Reports of entry hosts, on the way to the leader."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, SendPeer
from snipejunction.components.rollouts.const import REPORT_INTERVAL_SECONDS
from snipejunction.components.rollouts.messages import (
    EntryReport,
    RolloutReport,
    RolloutReports,
)
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.handling import add_listener, handle, on_tick
from snipejunction.messages import PeerLost
from snipejunction.node import Node


@on_tick
def run_reporting(node: Node, now: float) -> Iterator[Command]:
    """Send the reports that this host has to the leader.

    Reports hold sums: a new leader has all evidence after one batch of each
    control host, and nothing counts twice.
    """
    table = node.rollouts
    if not node.deployment.state.rollouts.in_progress:
        table.reports.clear()
        return
    if now < table.relay_due:
        return
    table.relay_due = now + REPORT_INTERVAL_SECONDS
    replica = node.consensus.replicas.get(GROUP_DEPLOYMENT)
    if replica is None or replica.leader_name in {None, node.name}:
        return
    reports = [EntryReport(known.name, known.report) for known in table.reports]
    batch = RolloutReports(reports, sorted(node.deployment.entries))
    yield SendPeer(str(replica.leader_name), batch)


@handle.register
def _handle_report(
    message: RolloutReport, node: Node, now: float
) -> Iterator[Command]:
    node.rollouts.reports.add(message.sender, message, now)
    return iter(())


@handle.register
def _handle_reports(
    message: RolloutReports, node: Node, now: float
) -> Iterator[Command]:
    table = node.rollouts
    table.connected_by_control[message.sender] = message.connected
    for entry in message.reports:
        table.reports.add(entry.name, entry.report, now)
    return iter(())


def _remove_control(
    notice: PeerLost, node: Node, now: float
) -> Iterator[Command]:
    node.rollouts.connected_by_control.pop(notice.host, None)
    return iter(())


add_listener(PeerLost, _remove_control)
