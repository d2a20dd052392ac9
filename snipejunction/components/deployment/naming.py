"""Which entry hosts callers are told to use."""

from __future__ import annotations

from collections.abc import Iterable

from snipejunction.components.deployment.const import NAMED_HOSTS
from snipejunction.components.deployment.messages import EntryRecord
from snipejunction.helpers.rendezvous import rank


def named_entries(records: Iterable[EntryRecord]) -> list[EntryRecord]:
    """Return a few hosts of each data centre, by name.

    Few, because connections to searchers stay open only where there is
    enough work, and because a searcher bears a limited number.
    """
    by_place: dict[str, dict[str, EntryRecord]] = {}
    for record in records:
        by_place.setdefault(record.data_centre, {})[record.name] = record
    named = {
        name: by_name[name]
        for place, by_name in by_place.items()
        for name in rank(place, by_name)[:NAMED_HOSTS]
    }
    return [named[name] for name in sorted(named)]
