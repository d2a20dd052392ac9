"""HTTP handlers of callers: search, run and addresses."""

from __future__ import annotations

import base64
import json
import secrets
from typing import TYPE_CHECKING, Any, Final

from aiohttp import web

from snipejunction.components.journal.messages import RunRequest, RunResponse
from snipejunction.components.root.messages import (
    CallAbandoned,
    SearchAnswer,
    SearchResponse,
    SearchRequest,
)
from snipejunction.edge.http import bodies
from snipejunction.edge.http.access import require_caller
from snipejunction.edge.http.keys import HOST
from snipejunction.edge.http.replies import (
    addresses_document,
    success_document,
    reply,
    reply_refusal,
)

if TYPE_CHECKING:
    from snipejunction.edge.host import HostRuntime

_MILLISECONDS: Final = 1000
_REQUEST_ID_BYTES: Final = 8
_TRACEPARENT: Final = 'traceparent'


async def async_search(request: web.Request) -> web.Response:
    """Search one snapshot and return the hits with their coverage."""
    host = request.app[HOST]
    caller = require_caller(host, request)
    fields = await bodies.async_read_json(request, bodies.SEARCH)
    request_id = fields.get('request_id') or secrets.token_hex(
        _REQUEST_ID_BYTES
    )
    service = _service_name(request)
    span = host.tracing.start_span(
        'caller', request.headers.get(_TRACEPARENT, '')
    )
    answered: SearchResponse = await host.calls.async_call(
        lambda call_id: SearchRequest(
            call_id,
            request_id,
            caller,
            service,
            _encode_json(fields['query']),
            fields.get('deadline_ms', 0) / _MILLISECONDS,
            fields['coverage'],
            fields['top'],
            span.traceparent,
        ),
        CallAbandoned,
    )
    span.end(service=service, request_id=request_id)
    if answered.answer is None:
        return _refusal_response(host, answered, caller, request_id)
    document = success_document(request_id)
    document.update(_search_document(answered.answer))
    return reply(host, document)


async def async_run(request: web.Request) -> web.Response:
    """Run a non-idempotent request at most once."""
    host = request.app[HOST]
    caller = require_caller(host, request)
    fields = await bodies.async_read_json(request, bodies.RUN)
    request_id = fields['request_id']
    service = _service_name(request)
    span = host.tracing.start_span(
        'caller', request.headers.get(_TRACEPARENT, '')
    )
    answered: RunResponse = await host.calls.async_call(
        lambda call_id: RunRequest(
            call_id,
            request_id,
            caller,
            service,
            fields['key'],
            _encode_json(fields['body']),
            fields.get('deadline_ms', 0) / _MILLISECONDS,
            span.traceparent,
        ),
    )
    span.end(service=service, request_id=request_id)
    if answered.refusal is not None:
        return _refusal_response(host, answered, caller, request_id)
    document = success_document(request_id)
    document['replay'] = answered.is_replay
    document.update(_outcome_document(answered.payload))
    return reply(host, document)


async def async_addresses(request: web.Request) -> web.Response:
    """Return the hosts that a caller should use, and for how long."""
    host = request.app[HOST]
    caller = require_caller(host, request)
    region = request.query.get('region', '')
    return reply(host, addresses_document(host, caller, region))


def _service_name(request: web.Request) -> str:
    team = request.match_info['team']
    return f'{team}/{request.match_info["service"]}'


def _refusal_response(
    host: HostRuntime,
    answered: SearchResponse | RunResponse,
    caller: str,
    request_id: str,
) -> web.Response:
    assert answered.refusal is not None
    return reply_refusal(
        host,
        answered.refusal,
        caller,
        request_id=request_id,
    )


def _search_document(answer: SearchAnswer) -> dict[str, Any]:
    coverage = answer.coverage
    snapshot = answer.snapshot
    return {
        'hits': answer.hits,
        'snapshot': {'version': snapshot.version, 'layout': snapshot.layout},
        'coverage': {
            'covered': coverage.covered,
            'total': coverage.total,
            'share': coverage.share,
            'missing_shards': list(coverage.missing_shards),
        },
        'sub_requests': {
            'needed': answer.needed_subs,
            'extra': answer.extra_subs,
        },
    }


def _outcome_document(payload: bytes) -> dict[str, Any]:
    """Return an outcome as JSON, or in base64 if it is not JSON."""
    try:
        return {'outcome': json.loads(payload)}
    except (ValueError, RecursionError):
        return {'outcome_base64': base64.b64encode(payload).decode('ascii')}


def _encode_json(value: Any) -> bytes:
    return json.dumps(value, separators=(',', ':')).encode()
