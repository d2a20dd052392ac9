"""Selection of the entry hosts that are advertised to callers."""

from __future__ import annotations

from collections.abc import Iterable

from snipejunction.components.deployment.const import ADVERTISED_HOSTS
from snipejunction.components.deployment.messages import EntryRecord
from snipejunction.helpers.rendezvous import rank


def advertised_entries(records: Iterable[EntryRecord]) -> list[EntryRecord]:
    """Return up to ``ADVERTISED_HOSTS`` per data centre, sorted by name.

    The number is small because connections to searchers stay open only under
    enough load, and because each searcher accepts a limited number.
    """
    by_data_centre: dict[str, dict[str, EntryRecord]] = {}
    for record in records:
        by_data_centre.setdefault(record.data_centre, {})[record.name] = record
    named = {
        name: by_name[name]
        for data_centre, by_name in by_data_centre.items()
        for name in rank(data_centre, by_name)[:ADVERTISED_HOSTS]
    }
    return [named[name] for name in sorted(named)]
