"""A root's subscription to the routes of a service."""

from __future__ import annotations

from snipejunction.components.directory.layouts import LayoutCache
from snipejunction.components.directory.reordering import (
    PartialTables,
    ReorderBuffer,
)


class Subscription:
    """State of the subscription of this host to the routes of a service.

    Times are monotonic seconds. ``retained`` maps the entries of an earlier
    registrar that are missing from the current table to the time until
    which they are kept. ``has_reply`` is set once the registrar answered
    the last renewal.
    """

    __slots__ = (
        'has_reply',
        'has_table',
        'last_used_at',
        'layouts',
        'out_of_order',
        'partial_tables',
        'registrar',
        'renew_at',
        'retained',
        'service',
    )

    def __init__(self, service: str, now: float) -> None:
        """Create a subscription that is not sent yet."""
        self.service = service
        self.registrar: tuple[str, str] | None = None
        self.renew_at = now
        self.last_used_at = now
        self.has_table = False
        self.has_reply = True
        self.layouts = LayoutCache()
        self.partial_tables = PartialTables()
        self.out_of_order = ReorderBuffer()
        self.retained: dict[str, float] = {}
