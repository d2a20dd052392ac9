"""When a gathered query has lost too many of its parts.

Answers searchers of many shards that crash, hang or fail at once: a query
that cannot reach its least share any more frees the searchers of the rest.
"""

from __future__ import annotations

from collections.abc import Sequence

from snipejunction.components.gateway.answers import has_enough_parts
from snipejunction.components.gateway.document import Route
from snipejunction.components.gateway.parts import Part


def needed_parts(route: Route, count: int) -> int:
    """Return the least number of ``count`` parts that make an answer."""
    return next(
        (
            covered
            for covered in range(1, count)
            if has_enough_parts(route, covered, count)
        ),
        count,
    )


def is_lost(route: Route, parts: Sequence[Part], missing: int) -> bool:
    """Return whether too few parts are left for any answer.

    ``missing`` parts have neither a reply nor an attempt, but may get one.
    """
    if not route.shards:
        return False
    alive = sum(part.reply is not None or part.is_waiting for part in parts)
    return not has_enough_parts(route, alive + missing, len(parts))
