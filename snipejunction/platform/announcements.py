"""Parser for heartbeats of searchers."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from snipejunction.components.registration.const import LEAVING, READY
from snipejunction.components.registration.messages import SearcherRecord
from snipejunction.edge.gateway.host_profile import parse_address
from snipejunction.platform.fields import parse_json

_STATES: Final = MappingProxyType({'ready': READY, 'draining': LEAVING})


def read_announcement(searcher_id: str, content: bytes) -> SearcherRecord:
    """Parse the heartbeat of a searcher into its record.

    Raises:
        SettingsError: if a field is missing, of another type or unknown.
    """
    fields = parse_json(content)
    state = _STATES.get(fields.string('state'))
    if state is None:
        raise fields.error('state', 'unknown')
    address = fields.string('address')
    parse_address(address)
    return SearcherRecord(
        searcher_id,
        fields.string('service'),
        address,
        fields.string('zone'),
        fields.integer('slots', lowest=1),
        # coldLeftMs is the time left until the end of the cold start.
        fields.seconds('coldLeftMs', 0),
        fields.integer('born', 0),
        fields.integer('sequence'),
        state,
    )
