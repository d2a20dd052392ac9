"""Timers of queries."""

from __future__ import annotations

from snipejunction.components.root.entities import Query, Timer
from snipejunction.components.root.messages import ReviewQuery
from snipejunction.node import Node


def set_timer(node: Node, query: Query, due: float) -> None:
    """Schedule the review of a query at ``due``, replacing its timer."""
    node.timers.cancel(query.timer.number)
    number = node.timers.schedule(due, ReviewQuery(query.query_id))
    query.timer = Timer(number, due)
