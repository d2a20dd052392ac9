"""Construction of the answer to a caller from the parts of its request."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from snipejunction.components.gateway.const import RETRY_AFTER_SECONDS
from snipejunction.components.gateway.document import Route
from snipejunction.components.gateway.merging import merge_records
from snipejunction.components.gateway.parts import Part
from snipejunction.components.gateway.replies import (
    NOT_RUN_STATUSES,
    Answer,
    Outcome,
    Reply,
)

STATUS_OK: Final = 200
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
STATUS_GATEWAY_TIMEOUT: Final = 504


def has_enough_parts(route: Route, covered: int, count: int) -> bool:
    """Return whether ``covered`` of ``count`` parts make an answer."""
    if not route.shards:
        return covered > 0
    return covered > 0 and covered / count >= route.min_share


def make_refusal(parts: int, *, is_limited: bool) -> Answer:
    """Return the answer to a request that was sent to no searcher.

    ``is_limited`` means that limits stated by searchers are the reason.
    """
    cause = 'too few searchers can be asked'
    if is_limited:
        cause = 'searchers are at the limits that they state'
    return Answer(
        STATUS_UNAVAILABLE,
        cause=cause,
        retry_after=RETRY_AFTER_SECONDS,
        parts=parts,
    )


def make_success(route: Route, parts: Sequence[Part]) -> Answer:
    """Return the only reply unchanged, or the merged replies."""
    replies = [part.reply for part in parts if part.reply]
    if not route.shards:
        reply = replies[0]
        return Answer(
            reply.status,
            headers=reply.headers,
            body=reply.body,
            covered=1,
            parts=1,
        )
    return Answer(
        STATUS_OK,
        body=merge_records((reply.body for reply in replies), route.top),
        signatures=[reply.signature for reply in replies],
        missing=len(parts) - len(replies),
        covered=len(replies),
        parts=len(parts),
    )


def make_failure(
    route: Route,
    parts: Sequence[Part],
    *,
    is_past_deadline: bool,
) -> Answer:
    """Return the failure of the searcher, or one made by this host.

    ``is_past_deadline`` means that the deadline passed.
    """
    failures = [part.failure for part in parts if part.failure]
    cause = _describe_failures(failures)
    reply = None if is_past_deadline else _searcher_failure(route, failures)
    if reply is not None:
        return Answer(
            reply.status,
            headers=reply.headers,
            body=reply.body,
            cause='the searcher answered with a failure',
            parts=len(parts),
        )
    covered = sum(part.reply is not None for part in parts)
    if any(part.possible_runs or part.is_waiting for part in parts):
        status = (
            STATUS_GATEWAY_TIMEOUT if is_past_deadline else STATUS_BAD_GATEWAY
        )
        return Answer(status, cause=cause, covered=covered, parts=len(parts))
    # No part can have run, so the caller may safely retry.
    return Answer(
        STATUS_UNAVAILABLE,
        cause=cause,
        retry_after=RETRY_AFTER_SECONDS,
        covered=covered,
        parts=len(parts),
    )


def _searcher_failure(
    route: Route,
    failures: Sequence[Outcome],
) -> Reply | None:
    """Return the signed failure reply of an unsharded request.

    The outcome of a request that the searcher states not to have run holds no
    reply. So a reply whose status tells the caller that nothing ran is not
    forwarded: its searcher may have run the request.
    """
    if route.shards or not failures:
        return None
    reply = failures[-1].reply
    if reply is None or reply.status in NOT_RUN_STATUSES:
        return None
    return reply if reply.signature else None


def _describe_failures(failures: Sequence[Outcome]) -> str:
    if not failures:
        return 'no answer in time'
    details = {
        f'{failure.kind.value} {failure.detail}'.strip() for failure in failures
    }
    return ', '.join(sorted(details))
