"""HTTP protocol between owners and upstreams.

A sub-request is a ``POST`` of the caller's query. Headers hold the metadata
of the request and of the response.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from typing import Final

from snipejunction.components.gateway.replies import FINAL_STATUSES
from snipejunction.components.owner.const import (
    ENDED_CANCELLED,
    ENDED_DEADLINE,
    ENDED_ERROR,
    ENDED_LEAVING,
    ENDED_LOST,
    ENDED_SNAPSHOT_NOT_HELD,
    ENDED_OK,
    ENDED_SHED,
)
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.components.owner.upstream_messages import (
    DispatchEnded,
    DispatchRequest,
)
from snipejunction.helpers.rates import parse_rate

PATH_SEARCH: Final = '/v1/search'
PATH_RUN: Final = '/v1/run'
PATH_CANCEL: Final = '/v1/cancel'

HEADER_DEADLINE: Final = 'X-Deadline-Ms'
HEADER_SNAPSHOT: Final = 'X-Snapshot'
HEADER_SHARDS: Final = 'X-Shards'
HEADER_REQUEST: Final = 'X-Request-Id'
HEADER_CALLER: Final = 'X-Caller'
HEADER_DISPATCH: Final = 'X-Dispatch-Id'
HEADER_BOOT: Final = 'X-Boot-Id'
HEADER_TRUNCATED: Final = 'X-Truncated'
HEADER_REFUSAL: Final = 'X-Refusal'
HEADER_RETRY_AFTER: Final = 'X-Retry-After-Ms'
# Requests per second that the upstream accepts from all hosts together, for as
# long as its responses state it.
HEADER_RATE_LIMIT: Final = 'X-Rate-Limit'
HEADER_TRACE: Final = 'traceparent'

STATUS_OK: Final = 200
STATUS_REFUSED: Final = 503

# Refusal codes of a response with status 503. The first three state that the
# request did not run, the others that it may have run.
REFUSALS: Final = frozenset(
    (
        ENDED_SHED,
        ENDED_LEAVING,
        ENDED_SNAPSHOT_NOT_HELD,
        ENDED_CANCELLED,
        ENDED_DEADLINE,
    ),
)
_MILLISECONDS: Final = 1000
# Almost all headers hold one of a few snapshots.
_SNAPSHOT_CACHE_SIZE: Final = 1024


def format_snapshot(snapshot: SnapshotId) -> str:
    """Return the header value of a snapshot."""
    return f'{snapshot.version}:{snapshot.layout}'


@lru_cache(_SNAPSHOT_CACHE_SIZE)
def parse_snapshot(text: str) -> SnapshotId | None:
    """Parse a snapshot header; return None for an empty value.

    Raises:
        ValueError: for any other malformed text.
    """
    if not text:
        return None
    version, _, layout = text.partition(':')
    return SnapshotId(int(version), layout)


def format_shards(shards: list[int]) -> str:
    """Return the header value of shard numbers."""
    return ','.join(map(str, shards))


def parse_shards(text: str) -> tuple[int, ...]:
    """Parse a header with shard numbers.

    Raises:
        ValueError: for malformed text.
    """
    return tuple(map(int, text.split(','))) if text else ()


def build_request_headers(
    command: DispatchRequest,
    dispatch_name: str,
    remaining: float,
    traceparent: str,
) -> dict[str, str]:
    """Return the headers of a sub-request; ``remaining`` is in seconds."""
    headers = {
        HEADER_DEADLINE: str(max(1, int(remaining * _MILLISECONDS))),
        HEADER_CALLER: command.caller,
        HEADER_DISPATCH: dispatch_name,
    }
    if command.snapshot is None:
        headers[HEADER_REQUEST] = command.request_id
    else:
        headers[HEADER_SNAPSHOT] = format_snapshot(command.snapshot)
    if command.shards:
        headers[HEADER_SHARDS] = format_shards(command.shards)
    if traceparent:
        headers[HEADER_TRACE] = traceparent
    return headers


def parse_response(
    dispatch_id: int,
    status: int,
    headers: Mapping[str, str],
    payload: bytes,
) -> DispatchEnded:
    """Return the result of a dispatch from an upstream's response."""
    boot_id = headers.get(HEADER_BOOT, '')
    if status not in FINAL_STATUSES:
        return DispatchEnded(dispatch_id, ENDED_LOST, boot_id=boot_id)
    try:
        retry_after = int(headers.get(HEADER_RETRY_AFTER, '0'))
        snapshot = parse_snapshot(headers.get(HEADER_SNAPSHOT, ''))
        shards = parse_shards(headers.get(HEADER_SHARDS, ''))
    except ValueError:
        return DispatchEnded(dispatch_id, ENDED_ERROR, boot_id=boot_id)
    stated_limit = parse_rate(headers.get(HEADER_RATE_LIMIT, ''))
    if status == STATUS_OK:
        return DispatchEnded(
            dispatch_id,
            ENDED_OK,
            payload,
            snapshot,
            shards,
            boot_id,
            is_truncated=headers.get(HEADER_TRUNCATED, '') == '1',
            stated_limit=stated_limit,
        )
    refusal = headers.get(HEADER_REFUSAL, '')
    is_known = status == STATUS_REFUSED and refusal in REFUSALS
    return DispatchEnded(
        dispatch_id,
        refusal if is_known else ENDED_ERROR,
        boot_id=boot_id,
        retry_after=max(0, retry_after) / _MILLISECONDS,
        stated_limit=stated_limit,
    )
