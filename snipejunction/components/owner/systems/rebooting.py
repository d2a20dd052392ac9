"""Restarts of searchers, and the requests that end with them."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.owner.const import EVENT_SEARCHER_RESTARTED
from snipejunction.components.owner.searcher import Dispatch, Searcher
from snipejunction.components.owner.systems.connecting import (
    close_unused_connections,
)
from snipejunction.node import Node


def handle_restart(
    node: Node,
    searcher: Searcher,
    boot_id: str,
    now: float,
) -> Iterator[Command]:
    """Reset a searcher that restarted to cold, with new connections.

    Orphaned requests have ended with the previous process. All others keep
    their slots until they end.
    """
    searcher.record_restart(boot_id, now)
    yield LogEvent(
        EVENT_SEARCHER_RESTARTED,
        searcher=searcher.key,
        boot_id=boot_id,
    )
    for dispatch in list(searcher.dispatches.values()):
        if dispatch.is_orphan:
            remove_dispatch(node, dispatch)
    yield from close_unused_connections(searcher)


def detach_dispatch(dispatch: Dispatch, *, may_have_run: bool) -> None:
    """Detach a dispatch from its work, which it can no longer answer."""
    work = dispatch.work
    if dispatch.dispatch_id in work.open_dispatches:
        work.open_dispatches.remove(dispatch.dispatch_id)
    work.may_have_run = work.may_have_run or may_have_run


def remove_dispatch(node: Node, dispatch: Dispatch) -> None:
    """Remove a dispatch that has certainly ended and free its slot."""
    dispatch.searcher.dispatches.pop(dispatch.dispatch_id, None)
    node.owner.dispatches.pop(dispatch.dispatch_id, None)
