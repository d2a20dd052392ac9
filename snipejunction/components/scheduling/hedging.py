"""Whether a second attempt helps, or only adds to an overload.

Answers slow searchers of many shards at once: second attempts at searchers
that are as late, or that others wait for, take room from first ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipejunction.components.scheduling.const import (
    RESERVED_RETRIES,
    RESERVED_URGENT_REPEATS,
    SLOW_RATIO,
)

if TYPE_CHECKING:
    from snipejunction.components.gateway.tables import GatewayTable
    from snipejunction.components.gateway.upstreams import Upstream


def hedge_objection(late: Upstream, target: Upstream, now: float) -> str:
    """Return why a hedge at ``target`` does not help, empty if it may."""
    if target.is_stalled(now):
        return f'{target.searcher_id} is late as well'
    slowness = target.slowness(now)
    if slowness > SLOW_RATIO and slowness >= late.slowness(now):
        return f'{target.searcher_id} is {slowness:.1f} times slower than usual'
    return ''


def reserved_repeats(priority: int, table: GatewayTable) -> int:
    """Return the repeats that hedges leave to others.

    Those are for parts that a searcher turned away, without which a request
    may be lost, and for more urgent requests.
    """
    document = table.document
    if document is None or priority <= document.highest_priority:
        return RESERVED_RETRIES
    return RESERVED_RETRIES + RESERVED_URGENT_REPEATS
