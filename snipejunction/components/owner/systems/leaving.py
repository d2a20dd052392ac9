"""Withdrawal of work from searchers that are leaving."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.directory.systems.publishing import (
    publish_if_changed,
)
from snipejunction.components.owner.const import EVENT_SEARCHER_LEAVING
from snipejunction.components.owner.searcher import Searcher
from snipejunction.components.owner.systems.connecting import (
    close_unused_connections,
)
from snipejunction.components.owner.systems.dispatching import refuse_queued
from snipejunction.components.owner.systems.handing_over import (
    notify_successors,
)
from snipejunction.const import CODE_SEARCHER_LEAVING
from snipejunction.node import Node
from snipejunction.verdict import not_run_refusal


def mark_leaving(
    node: Node,
    searcher: Searcher,
    now: float,
) -> Iterator[Command]:
    """Mark a searcher as leaving and refuse its work until it restarts."""
    if searcher.is_leaving:
        return
    searcher.is_leaving = True
    yield LogEvent(EVENT_SEARCHER_LEAVING, searcher=searcher.key)
    refusal = not_run_refusal(CODE_SEARCHER_LEAVING, 'it is leaving', -1)
    yield from refuse_queued(node, searcher, refusal, now)
    yield from close_unused_connections(searcher)
    yield from notify_successors(node, searcher, now)
    yield from publish_if_changed(node, searcher.service, searcher.key, now)
