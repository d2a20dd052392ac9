"""Calls of operators about roll-outs."""

from __future__ import annotations

import time
from types import MappingProxyType
from typing import Final
from urllib.parse import unquote

from snipejunction.components.rollouts.const import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    SWITCHING,
)
from snipejunction.components.rollouts.messages import RolloutStartEntry
from snipejunction.edge.control_host import ControlHost
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.rollouts import RolloutCalls
from snipejunction.errors import SettingsError
from snipejunction.platform import names
from snipejunction.platform.announcements import read_name
from snipejunction.platform.answers import respond_json, respond_status
from snipejunction.platform.fields import parse_json

_OK: Final = 200
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_UNAVAILABLE: Final = 503
_NANOSECONDS_PER_MILLISECOND: Final = 1_000_000
_MAX_DURATION_SECONDS: Final = 604_800
_STATE_WORDS: Final = MappingProxyType(
    {
        RUNNING: 'running',
        SWITCHING: 'running',
        COMPLETED: 'completed',
        ROLLED_BACK: 'rolled_back',
    }
)


def read_order(content: bytes, ordered_ms: int) -> RolloutStartEntry:
    """Parse an order that arrived at a Unix time in milliseconds.

    Raises:
        SettingsError: if a field is missing or not valid.
    """
    fields = parse_json(content)
    duration = fields.number('durationS')
    if not 0 < duration <= _MAX_DURATION_SECONDS:
        raise fields.error(
            'durationS', f'not in (0, {_MAX_DURATION_SECONDS}] seconds'
        )
    service = read_name(fields, 'service')
    target = read_name(fields, 'targetVersion')
    return RolloutStartEntry(service, target, float(duration), ordered_ms)


def is_rollout_call(path: str) -> bool:
    """Return whether a path is one of these calls."""
    return path == names.PATH_START_ROLLOUT or path.startswith(
        names.PATH_GET_ROLLOUT
    )


async def async_handle_rollout_call(
    request: CallerRequest, path: str, host: ControlHost
) -> None:
    """Answer a call about roll-outs."""
    call = (request.method, path)
    if call == (b'POST', names.PATH_START_ROLLOUT):
        await _async_start(request, host)
    elif call[0] == b'GET' and path.startswith(names.PATH_GET_ROLLOUT):
        service = unquote(path.removeprefix(names.PATH_GET_ROLLOUT))
        await _async_respond_state(request, service, host.rollouts)
    else:
        respond_status(request, _NOT_FOUND)


async def _async_start(request: CallerRequest, host: ControlHost) -> None:
    ordered_ms = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    try:
        entry = read_order(request.body, ordered_ms)
    except SettingsError as error:
        respond_json(request, _BAD_REQUEST, {'error': str(error)})
        return
    has_service = await host.rollouts.async_has_service(entry.service)
    if has_service is None:
        respond_status(request, _UNAVAILABLE)
        return
    if not has_service:
        problem = f'unknown service {entry.service!r}'
        respond_json(request, _BAD_REQUEST, {'error': problem})
        return
    outcome = await host.orders.async_send(entry, request.is_waiting)
    if outcome is not None and outcome.conflict:
        respond_json(request, _CONFLICT, {'error': outcome.conflict})
    elif outcome is not None and outcome.is_accepted:
        respond_status(request, _OK)
    else:
        respond_status(request, _UNAVAILABLE)


async def _async_respond_state(
    request: CallerRequest, service: str, calls: RolloutCalls
) -> None:
    records = await calls.async_read()
    if records is None:
        respond_status(request, _UNAVAILABLE)
        return
    record = records.get(service)
    if record is None:
        respond_status(request, _NOT_FOUND)
        return
    answer = {
        'state': _STATE_WORDS[record.state],
        'targetVersion': record.target,
    }
    respond_json(request, _OK, answer)
