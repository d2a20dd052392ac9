"""Decisions of the leader about roll-outs that are in progress."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.registration.const import READY
from snipejunction.components.rollouts.const import (
    COMPLETED,
    DECISION_INTERVAL_SECONDS,
    END_SHARE,
    EVENT_ROLLOUT_JUDGED,
    LOST_HOST_SECONDS,
    REPORT_INTERVAL_SECONDS,
    ROLLED_BACK,
    RUNNING,
    SEARCHERS_SECONDS,
    SWITCHING,
)
from snipejunction.components.rollouts.judging import (
    BAD,
    FINAL_SHARE,
    UNDECIDED,
    VERDICT_NAMES,
    Verdict,
    judge,
    judge_alone,
)
from snipejunction.components.rollouts.messages import (
    RolloutRecord,
    RolloutStateEntry,
    RouteEvidence,
)
from snipejunction.components.rollouts.systems.proposing import (
    find_leading_replica,
    is_pending,
    propose_about,
)
from snipejunction.components.rollouts.tables import Progress
from snipejunction.handling import on_tick
from snipejunction.node import Node


@on_tick
def run_deciding(node: Node, now: float) -> Iterator[Command]:
    """Judge the roll-outs in progress and propose what follows."""
    table = node.rollouts
    records = node.deployment.state.rollouts.in_progress
    replica = find_leading_replica(node)
    if replica is None or not records or now < table.decision_due:
        return
    table.decision_due = now + DECISION_INTERVAL_SECONDS
    evidence = table.reports.sum_evidence()
    for record in records:
        if not is_pending(record.service, node):
            parts = evidence.get(record.number, [])
            yield from _decide(record, parts, replica, node, now)


def _decide(
    record: RolloutRecord,
    evidence: list[RouteEvidence],
    replica: Replica,
    node: Node,
    now: float,
) -> Iterator[Command]:
    progress = node.rollouts.note_record(
        record, node.deployment.state.update_index, now
    )
    elapsed_share = (now - progress.started_at) / record.duration
    verdict = _judge(record, evidence, elapsed_share, node, now)
    state, reason = ROLLED_BACK, verdict.reason
    if verdict.decision != BAD:
        if record.state == SWITCHING:
            state, reason = COMPLETED, _find_end(record, progress, node, now)
        elif verdict.decision == UNDECIDED or not _has_reports(node, now):
            return
        else:
            state = SWITCHING
    if not reason:
        return
    if record.state == RUNNING or verdict.decision == BAD:
        yield LogEvent(
            EVENT_ROLLOUT_JUDGED,
            number=record.number,
            service=record.service,
            target=record.target,
            verdict=VERDICT_NAMES[verdict.decision],
            reason=reason,
        )
    entry = RolloutStateEntry(record.service, record.number, state, reason)
    yield from propose_about(record.service, entry, replica, node)


def _judge(
    record: RolloutRecord,
    evidence: list[RouteEvidence],
    elapsed_share: float,
    node: Node,
    now: float,
) -> Verdict:
    if record.state == SWITCHING:
        return judge_alone(evidence)
    is_ready = _is_target_ready(record, node)
    if not is_ready and now < node.rollouts.led_since + SEARCHERS_SECONDS:
        # Searchers may be ready that this leader has not heard of yet.
        elapsed_share = min(elapsed_share, FINAL_SHARE)
    return judge(evidence, elapsed_share, is_ready)


def _has_reports(node: Node, now: float) -> bool:
    """Return whether this leader has had time to get all reports."""
    return now >= node.rollouts.led_since + 2 * REPORT_INTERVAL_SECONDS


def _is_target_ready(record: RolloutRecord, node: Node) -> bool:
    return any(
        known.record.service == record.service
        and known.record.version == record.target
        and known.record.state == READY
        and not known.is_silent
        for known in node.registration.searchers.values()
    )


def _find_end(
    record: RolloutRecord, progress: Progress, node: Node, now: float
) -> str:
    """Return why a roll-out is completed, empty if it is not yet."""
    table = node.rollouts
    if now >= _find_latest_end(record, progress):
        seconds = round(now - progress.switched_at, 1)
        return f'switched {seconds} s ago'
    # By then the control hosts have sent the reports of their entry hosts.
    known_at = max(progress.switched_at, table.led_since)
    if now < known_at + 2 * REPORT_INTERVAL_SECONDS:
        return ''
    names = _find_entry_names(node)
    index = progress.switched_index
    if table.reports.find_waiting(names, index, record.number):
        return ''
    return f'all {len(names)} entry hosts have switched'


def _find_latest_end(record: RolloutRecord, progress: Progress) -> float:
    """Return when a roll-out is completed whatever its hosts report.

    A lost host is noticed by then, but an order is not kept waiting beyond its
    duration for one.
    """
    limit = min(
        progress.switched_at + LOST_HOST_SECONDS,
        progress.started_at + END_SHARE * record.duration,
    )
    return max(limit, progress.switched_at + REPORT_INTERVAL_SECONDS)


def _find_entry_names(node: Node) -> set[str]:
    """Return the entry hosts that any control host is connected to."""
    names = {record.name for record in node.deployment.all_entry_records()}
    names.update(node.deployment.entries)
    for connected in node.rollouts.connected_by_control.values():
        names.update(connected)
    return names
