"""Parser for heartbeats of searchers.

What is accepted is sent on to other hosts and in the heads of requests, so
each field has to fit into both.
"""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import Final

from snipejunction.components.registration.const import LEAVING, READY
from snipejunction.components.registration.messages import SearcherRecord
from snipejunction.edge.gateway.host_profile import parse_address
from snipejunction.errors import SettingsError
from snipejunction.platform.fields import Fields, parse_json

_STATES: Final = MappingProxyType({'ready': READY, 'draining': LEAVING})
# Longest id, service, address or data centre of a searcher, in characters.
_MAX_NAME_CHARS: Final = 255
# Visible ASCII characters: the id is sent in the head of each request.
_SEARCHER_ID: Final = re.compile(r'[!-~]+')


def read_searcher_id(text: str) -> str:
    """Return the id of a searcher.

    Raises:
        SettingsError: if the head of a request cannot hold it.
    """
    if len(text) > _MAX_NAME_CHARS or _SEARCHER_ID.fullmatch(text) is None:
        raise SettingsError(repr(text), 'not an id of a searcher')
    return text


def read_announcement(
    searcher_id: str, content: bytes, *, takes_version: bool = True
) -> SearcherRecord:
    """Parse the heartbeat of a searcher into its record.

    Without ``takes_version`` the record has none, as in earlier releases.

    Raises:
        SettingsError: if a field is missing, of another type or unknown.
    """
    read_searcher_id(searcher_id)
    fields = parse_json(content)
    state = _STATES.get(fields.string('state'))
    if state is None:
        raise fields.error('state', 'unknown')
    address = read_name(fields, 'address')
    _, port = parse_address(address)
    if not port:
        raise fields.error('address', 'port 0')
    return SearcherRecord(
        searcher_id,
        read_name(fields, 'service'),
        address,
        read_name(fields, 'zone'),
        fields.integer('slots', lowest=1),
        # coldLeftMs is the time left until the end of the cold start.
        fields.seconds('coldLeftMs', 0),
        fields.integer('born', 0),
        fields.integer('sequence'),
        state,
        _read_version(fields) if takes_version else '',
    )


def read_start(content: bytes) -> int | None:
    """Return the start that a searcher states with its end.

    It is the Unix time in milliseconds, None without one.

    Raises:
        SettingsError: if it is no whole number.
    """
    if not content:
        return None
    return parse_json(content).integer('born', 0) or None


def read_name(fields: Fields, field: str) -> str:
    """Return a name of bounded length.

    Raises:
        SettingsError: if it is missing, no text or too long.
    """
    name = fields.string(field)
    if len(name) > _MAX_NAME_CHARS:
        raise fields.error(field, f'over {_MAX_NAME_CHARS} characters')
    return name


def _read_version(fields: Fields) -> str:
    """Return the version of a searcher, empty if it states none."""
    try:
        return read_name(fields, 'version')
    except SettingsError:
        return ''
