"""Request rates that searchers state for all hosts together.

A rate is in requests per second; ``NEVER`` stands for an answer without one.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.gateway.const import (
    EVENT_LIMIT_LIFTED,
    EVENT_LIMIT_STATED,
    EVENT_LIMIT_UNREADABLE,
)
from snipejunction.components.gateway.replies import Outcome
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.timers import NEVER


def parse_limit(text: bytes) -> float:
    """Return the rate in a header, ``NEVER`` without one.

    The rate is not a number if the text is neither zero nor a positive one.
    """
    if not text:
        return NEVER
    try:
        rate = float(text)
    except ValueError:
        return math.nan
    return rate if 0 <= rate < NEVER else math.nan


def record_limit(
    upstream: Upstream, outcome: Outcome, now: float
) -> Iterator[Command]:
    """Record the rate that a searcher stated with an answer."""
    rate = outcome.stated_limit
    if rate is None or rate == upstream.stated_limit:
        return
    fields = {
        'searcher': upstream.searcher_id,
        'service': upstream.record.service,
    }
    if math.isnan(rate):
        yield LogEvent(EVENT_LIMIT_UNREADABLE, **fields)
        return
    upstream.stated_limit = rate
    if rate == NEVER:
        yield LogEvent(EVENT_LIMIT_LIFTED, **fields)
    else:
        yield LogEvent(EVENT_LIMIT_STATED, limit=rate, **fields)
