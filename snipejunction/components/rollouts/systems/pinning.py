"""First versions of services, pinned by the leader."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command
from snipejunction.components.registration.const import READY
from snipejunction.components.registration.messages import SearcherRecord
from snipejunction.components.rollouts.const import PIN_DELAY_SECONDS
from snipejunction.components.rollouts.messages import VersionPinEntry
from snipejunction.components.rollouts.systems.proposing import (
    find_leading_replica,
    is_pending,
    propose_about,
)
from snipejunction.handling import on_tick
from snipejunction.node import Node
from snipejunction.timers import NEVER

# Topic of the proposals; no service has an empty name.
_TOPIC: Final = ''


@on_tick
def run_pinning(node: Node, now: float) -> Iterator[Command]:
    """Propose the versions of services that have none yet."""
    table = node.rollouts
    if not table.is_in_force or is_pending(_TOPIC, node):
        return
    replica = find_leading_replica(node)
    if replica is None:
        table.pin_due = NEVER
        return
    versions = _find_unpinned(node)
    if not versions:
        table.pin_due = NEVER
        return
    table.pin_due = min(table.pin_due, now + PIN_DELAY_SECONDS)
    if now >= table.pin_due:
        table.pin_due = NEVER
        entry = VersionPinEntry(versions)
        yield from propose_about(_TOPIC, entry, replica, node)


def _find_unpinned(node: Node) -> dict[str, str]:
    """Return the versions whose searchers started first, by service."""
    rollouts = node.deployment.state.rollouts
    targets = {
        (record.service, record.target) for record in rollouts.in_progress
    }
    oldest: dict[str, SearcherRecord] = {}
    for known in node.registration.searchers.values():
        record = known.record
        if not record.version or record.service in rollouts.versions:
            continue
        if (record.service, record.version) in targets:
            continue
        other = oldest.get(record.service, record)
        if record.state == READY and record.born_ms <= other.born_ms:
            oldest[record.service] = record
    return {service: record.version for service, record in oldest.items()}
