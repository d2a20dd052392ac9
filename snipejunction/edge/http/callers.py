"""Requests of callers."""

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
    ran_document,
    reply,
    reply_refusal,
)

if TYPE_CHECKING:
    from snipejunction.edge.host import HostRuntime

_MILLISECONDS: Final = 1000
_ID_BYTES: Final = 8
_TRACEPARENT: Final = 'traceparent'


async def async_search(request: web.Request) -> web.Response:
    """Answer a search from one snapshot, with its true coverage."""
    host = request.app[HOST]
    caller = require_caller(host, request)
    fields = await bodies.async_read_json(request, bodies.SEARCH)
    request_id = fields.get('request_id') or secrets.token_hex(_ID_BYTES)
    service = _service(request)
    span = host.tracing.begin('caller', request.headers.get(_TRACEPARENT, ''))
    answered: SearchResponse = await host.calls.async_ask(
        lambda number: SearchRequest(
            number,
            request_id,
            caller,
            service,
            _dump(fields['query']),
            fields.get('deadline_ms', 0) / _MILLISECONDS,
            fields['coverage'],
            fields['top'],
            span.traceparent,
        ),
        CallAbandoned,
    )
    span.end(service=service, request_id=request_id)
    if answered.answer is None:
        return _refused(host, answered, caller, request_id)
    document = ran_document(request_id)
    document.update(_answer_document(answered.answer))
    return reply(host, document)


async def async_run(request: web.Request) -> web.Response:
    """Run a request that is not idempotent at most once."""
    host = request.app[HOST]
    caller = require_caller(host, request)
    fields = await bodies.async_read_json(request, bodies.RUN)
    request_id = fields['request_id']
    service = _service(request)
    span = host.tracing.begin('caller', request.headers.get(_TRACEPARENT, ''))
    answered: RunResponse = await host.calls.async_ask(
        lambda number: RunRequest(
            number,
            request_id,
            caller,
            service,
            fields['key'],
            _dump(fields['body']),
            fields.get('deadline_ms', 0) / _MILLISECONDS,
            span.traceparent,
        ),
    )
    span.end(service=service, request_id=request_id)
    if answered.refusal is not None:
        return _refused(host, answered, caller, request_id)
    document = ran_document(request_id)
    document['replay'] = answered.is_replay
    document.update(_outcome_document(answered.payload))
    return reply(host, document)


async def async_addresses(request: web.Request) -> web.Response:
    """Tell a caller which hosts to use, and for how long."""
    host = request.app[HOST]
    caller = require_caller(host, request)
    region = request.query.get('region', '')
    return reply(host, addresses_document(host, caller, region))


def _service(request: web.Request) -> str:
    team = request.match_info['team']
    return f'{team}/{request.match_info["service"]}'


def _refused(
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


def _answer_document(answer: SearchAnswer) -> dict[str, Any]:
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
    """Return an outcome as JSON, or in base64 if it is something else."""
    try:
        return {'outcome': json.loads(payload)}
    except (ValueError, RecursionError):
        return {'outcome_base64': base64.b64encode(payload).decode('ascii')}


def _dump(value: Any) -> bytes:
    return json.dumps(value, separators=(',', ':')).encode()
