"""Application of a view entry to the hosts of a view."""

from __future__ import annotations

from collections.abc import Mapping

from snipejunction.components.control.replication.messages import (
    HostChange,
    ViewEntry,
)
from snipejunction.components.control.view import HostEntry


def apply_host_changes(
    hosts: Mapping[str, HostEntry],
    entry: ViewEntry,
) -> dict[str, HostEntry]:
    """Return the hosts after an entry; skip changes that do not apply."""
    changed = dict(hosts)
    for change in entry.changes:
        if not _is_applicable(changed, change):
            continue
        if change.entry is None:
            changed.pop(change.name)
        else:
            changed[change.name] = change.entry
    return changed


def _is_applicable(hosts: Mapping[str, HostEntry], change: HostChange) -> bool:
    current = hosts.get(change.name)
    incarnation = '' if current is None else current.incarnation
    if incarnation != change.previous:
        return False
    return change.entry is not None or current is not None
