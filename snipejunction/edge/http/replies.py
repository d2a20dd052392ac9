"""JSON responses, and refusals with their verdict."""

from __future__ import annotations

import math
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from aiohttp import web

from snipejunction import const
from snipejunction.components.control.lifecycle import Phase
from snipejunction.components.control.systems.addresses import rank_addresses
from snipejunction.components.gateway.replies import NOT_RUN_STATUSES
from snipejunction.verdict import Refusal, Verdict

if TYPE_CHECKING:
    from snipejunction.edge.host import HostRuntime

CODE_INTERNAL: Final = 'internal_error'
CODE_NO_SUCH_PATH: Final = 'no_such_path'

_DEFAULT_STATUS: Final = 503
_BAD_GATEWAY: Final = 502
_STATUS_BY_CODE: Final = MappingProxyType(
    {
        const.CODE_BAD_REQUEST: 400,
        const.CODE_UNAUTHORIZED: 401,
        const.CODE_FORBIDDEN: 403,
        const.CODE_UNKNOWN_SERVICE: 404,
        CODE_NO_SUCH_PATH: 404,
        const.CODE_CONFLICT: 409,
        const.CODE_ID_REUSED: 409,
        const.CODE_IN_PROGRESS: 409,
        const.CODE_ID_EXPIRED: 410,
        const.CODE_RATE_LIMIT: 429,
        const.CODE_CONCURRENCY_LIMIT: 429,
        const.CODE_DEADLINE: 504,
        const.CODE_CANCELLED: 502,
        const.CODE_OUTCOME_UNKNOWN: 502,
        const.CODE_CONNECTION_LOST: 502,
        const.CODE_UPSTREAM_ERROR: 502,
        CODE_INTERNAL: 500,
    }
)
# Refusals after which a retry at another host may succeed.
_RETRY_ELSEWHERE_CODES: Final = frozenset(
    (
        const.CODE_NO_LEASE,
        const.CODE_STOPPING,
        const.CODE_DATA_CENTRE_OUT,
        const.CODE_OVERLOAD,
        const.CODE_NO_LEADER,
    ),
)


def reply(
    host: HostRuntime,
    document: dict[str, Any],
    status: int = 200,
) -> web.Response:
    """Return a JSON response; a leaving host closes the connection."""
    response = web.json_response(document, status=status)
    if host.node.lifecycle.phase in {Phase.LEAVING, Phase.STOPPED}:
        response.force_close()
    return response


def reply_refusal(
    host: HostRuntime,
    refusal: Refusal,
    caller: str = '',
    **fields: Any,
) -> web.Response:
    """Return a refusal, with other hosts if one of them may accept it."""
    document = refusal_document(refusal)
    document.update(fields)
    if refusal.code in _RETRY_ELSEWHERE_CODES:
        document.update(addresses_document(host, caller))
    status = refusal_status(refusal)
    response = reply(host, document, status)
    if refusal.retry_after > 0:
        seconds = math.ceil(refusal.retry_after)
        response.headers['Retry-After'] = str(seconds)
    return response


def refusal_document(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON form of a refusal.

    ``retry_after`` is in seconds, null if a retry cannot succeed.
    """
    is_final = refusal.retry_after < 0
    return {
        'verdict': refusal.verdict_text,
        'code': refusal.code,
        'detail': refusal.detail,
        'retry_after': None if is_final else refusal.retry_after,
    }


def addresses_document(
    host: HostRuntime,
    caller: str,
    region: str = '',
) -> dict[str, Any]:
    """Return the hosts that a caller should use, best first.

    ``keep_seconds`` is how long the caller may cache them.
    """
    answer = rank_addresses(host.node, caller, region, host.now())
    return {
        'addresses': [
            {
                'name': entry.name,
                'ip': entry.ip,
                'port': entry.http_port,
                'region': entry.region,
            }
            for entry in answer.hosts
        ],
        'keep_seconds': answer.keep_seconds,
    }


def http_status(code: str) -> int:
    """Return the HTTP status of a refusal code."""
    return _STATUS_BY_CODE.get(code, _DEFAULT_STATUS)


def refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal.

    Clients take some statuses for the statement that a request did not run;
    with another verdict the status is 502 instead.
    """
    status = http_status(refusal.code)
    is_not_run = refusal.verdict_text == Verdict.NOT_RUN.value
    return (
        status if is_not_run or status not in NOT_RUN_STATUSES else _BAD_GATEWAY
    )


def success_document(request_id: str) -> dict[str, Any]:
    """Return the fields common to all successful responses."""
    return {'verdict': Verdict.RAN.value, 'request_id': request_id}
