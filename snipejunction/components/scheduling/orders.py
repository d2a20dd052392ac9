"""Order of waiting requests; the smallest rank goes first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipejunction.components.scheduling.const import AGEING_SECONDS

if TYPE_CHECKING:
    from snipejunction.components.scheduling.waiting import Waiting


def rank_by_value(waiting: Waiting, now: float) -> tuple[float, float, float]:
    """Rank by priority with ageing, then by the work that is needed."""
    age = int((now - waiting.since) / AGEING_SECONDS)
    return waiting.priority - age, waiting.work, waiting.since
