"""Heartbeats of searchers as records."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from snipejunction.components.registration.const import LEAVING, READY
from snipejunction.components.registration.messages import SearcherRecord
from snipejunction.edge.gateway.host_profile import parse_address
from snipejunction.platform.fields import parse_json

_STATES: Final = MappingProxyType({'ready': READY, 'draining': LEAVING})


def read_announcement(searcher_id: str, content: bytes) -> SearcherRecord:
    """Return what a searcher says of itself.

    Raises:
        SettingsError: if a field is missing, of another type or unknown.
    """
    fields = parse_json(content)
    state = _STATES.get(fields.text('state'))
    if state is None:
        raise fields.error('state', 'unknown')
    address = fields.text('address')
    parse_address(address)
    return SearcherRecord(
        searcher_id,
        fields.text('service'),
        address,
        fields.text('zone'),
        fields.whole('slots', lowest=1),
        # coldLeftMs counts down to the end of the cold start.
        fields.seconds('coldLeftMs', 0),
        fields.whole('born', 0),
        fields.whole('sequence'),
        state,
    )
