"""When a gathered query has lost too many of its parts.

Answers searchers of many shards that crash, hang or fail at once: a query
that cannot reach its least share any more frees the searchers of the rest.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from snipejunction.components.gateway.document import Route
    from snipejunction.components.gateway.parts import Part

_ROUNDING_ERROR: Final = 1e-9


def needed_parts(route: Route, count: int) -> int:
    """Return the least number of ``count`` parts that make an answer."""
    if not route.shards:
        return 1
    return max(1, math.ceil(route.min_share * count - _ROUNDING_ERROR))


def is_lost(route: Route, parts: Sequence[Part], missing: int) -> bool:
    """Return whether too few parts are left for any answer.

    ``missing`` parts have neither a reply nor an attempt, but may get one.
    """
    if not route.shards:
        return False
    alive = sum(part.reply is not None or part.is_waiting for part in parts)
    return alive + missing < needed_parts(route, len(parts))
