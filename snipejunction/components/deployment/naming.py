"""Which entry hosts callers are told to use."""

from __future__ import annotations

from collections.abc import Iterable

from snipejunction.components.deployment.const import ADVERTISED_HOSTS
from snipejunction.components.deployment.messages import EntryRecord
from snipejunction.helpers.rendezvous import rank


def advertised_entries(records: Iterable[EntryRecord]) -> list[EntryRecord]:
    """Return a few hosts of each data centre, by name.

    Few, because connections to searchers stay open only where there is
    enough work, and because a searcher bears a limited number.
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
