"""Validation of announcements; an error names the field and the bound."""

from __future__ import annotations

import ipaddress
from typing import Final

from snipejunction.components.owner.messages import (
    Announcement,
    SnapshotEntry,
)
from snipejunction.const import SEARCHER_LEAVING, SEARCHER_READY

MAX_NAME_LENGTH: Final = 128
MAX_PORT: Final = 65_535
MAX_SLOTS: Final = 10_000
MAX_CONNECTIONS: Final = 100_000
MAX_SNAPSHOTS: Final = 8
MAX_SHARDS: Final = 4096
MAX_COUNT: Final = 9_007_199_254_740_991
_TEXT_FIELDS: Final = ('searcher', 'service', 'data_centre', 'boot_id')
_INTEGER_FIELDS: Final = (
    ('port', 1, MAX_PORT),
    ('sequence', 0, MAX_COUNT),
    ('slots', 1, MAX_SLOTS),
    ('connections', 1, MAX_CONNECTIONS),
    ('cold_capacity', 0, MAX_SLOTS),
)
_STATES: Final = (SEARCHER_READY, SEARCHER_LEAVING)


def find_announcement_error(announcement: Announcement) -> str | None:
    """Return the first error in an announcement, None if it is valid."""
    for field in _TEXT_FIELDS:
        length = len(getattr(announcement, field))
        if not 1 <= length <= MAX_NAME_LENGTH:
            return f'{field}: 1 to {MAX_NAME_LENGTH} characters'
    for field, low, high in _INTEGER_FIELDS:
        if not low <= getattr(announcement, field) <= high:
            return f'{field}: from {low} to {high}'
    if announcement.state not in _STATES:
        return f'state: one of {", ".join(_STATES)}'
    if not _is_ip(announcement.ip):
        return 'ip: an IP number'
    if len(announcement.snapshots) > MAX_SNAPSHOTS:
        return f'snapshots: at most {MAX_SNAPSHOTS}'
    for position, entry in enumerate(announcement.snapshots):
        error = _find_snapshot_error(entry)
        if error is not None:
            return f'snapshots[{position}].{error}'
    return None


def _find_snapshot_error(entry: SnapshotEntry) -> str | None:
    shard_count = len(entry.documents)
    if not 1 <= shard_count <= MAX_SHARDS:
        return f'documents: 1 to {MAX_SHARDS} shards'
    if any(not 0 <= size <= MAX_COUNT for size in entry.documents):
        return f'documents: from 0 to {MAX_COUNT}'
    if len(set(entry.shards)) != len(entry.shards):
        return 'shards: each at most once'
    if any(not 0 <= shard < shard_count for shard in entry.shards):
        return f'shards: from 0 to {shard_count - 1}'
    if not 0 <= entry.snapshot.version <= MAX_COUNT:
        return f'snapshot.version: from 0 to {MAX_COUNT}'
    if not 1 <= len(entry.snapshot.layout) <= MAX_NAME_LENGTH:
        return f'snapshot.layout: 1 to {MAX_NAME_LENGTH} characters'
    return None


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
