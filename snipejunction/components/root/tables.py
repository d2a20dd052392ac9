"""Tables of the root component."""

from __future__ import annotations

import itertools

from snipejunction.components.root.entities import Query, SubRequest
from snipejunction.components.root.states import (
    OwnerState,
    SearcherState,
    ServiceState,
)


class RootTable:
    """Open queries, their sub-requests, and statistics of past ones."""

    __slots__ = (
        '_by_call',
        '_owners',
        '_queries',
        '_query_ids',
        '_searchers',
        '_services',
        '_sub_ids',
        '_subs',
    )

    def __init__(self, first_sub_id: int = 1) -> None:
        """Create an empty table; sub ids count up from ``first_sub_id``."""
        self._query_ids = itertools.count(1)
        self._sub_ids = itertools.count(first_sub_id)
        self._queries: dict[int, Query] = {}
        self._by_call: dict[int, int] = {}
        self._subs: dict[int, SubRequest] = {}
        self._services: dict[str, ServiceState] = {}
        self._searchers: dict[str, SearcherState] = {}
        self._owners: dict[str, OwnerState] = {}

    @property
    def queries(self) -> dict[int, Query]:
        """Return the open queries by id."""
        return self._queries

    @property
    def subs(self) -> dict[int, SubRequest]:
        """Return the sub-requests without a result by id."""
        return self._subs

    @property
    def owners(self) -> dict[str, OwnerState]:
        """Return the network statistics of owners, by host."""
        return self._owners

    @property
    def searchers(self) -> dict[str, SearcherState]:
        """Return the statistics of searchers, by name."""
        return self._searchers

    def next_query_id(self) -> int:
        """Return an unused query id."""
        return next(self._query_ids)

    def next_sub_id(self) -> int:
        """Return a sub-request id that is unique within this process."""
        return next(self._sub_ids)

    def open_query(self, query: Query) -> None:
        """Add a query."""
        self._queries[query.query_id] = query
        self._by_call[query.call.call_id] = query.query_id

    def close_query(self, query: Query) -> None:
        """Remove a query whose sub-requests were removed before."""
        self._queries.pop(query.query_id, None)
        self._by_call.pop(query.call.call_id, None)

    def query_of_call(self, call_id: int) -> Query | None:
        """Return the open query of a call, None if there is none."""
        return self._queries.get(self._by_call.get(call_id, 0))

    def add_sub(self, query: Query, sub: SubRequest) -> None:
        """Add a sent sub-request to its query."""
        self._subs[sub.sub_id] = sub
        query.pending[sub.sub_id] = sub
        self.searcher(sub.searcher).outstanding += 1

    def pop_sub(self, sub_id: int) -> SubRequest | None:
        """Remove and return a sub-request, None if it is not pending."""
        sub = self._subs.pop(sub_id, None)
        if sub is None:
            return None
        state = self.searcher(sub.searcher)
        state.outstanding -= 1
        state.late_count -= sub.is_late
        query = self._queries.get(sub.query_id)
        if query is not None:
            query.pending.pop(sub_id, None)
        return sub

    def mark_late(self, sub: SubRequest) -> None:
        """Mark a sub-request as past the hedge delay."""
        if not sub.is_late:
            sub.is_late = True
            self.searcher(sub.searcher).late_count += 1

    def service(self, name: str) -> ServiceState:
        """Return the state of a service, created on first use."""
        state = self._services.get(name)
        if state is None:
            state = ServiceState()
            self._services[name] = state
        return state

    def searcher(self, name: str) -> SearcherState:
        """Return the state of a searcher, created on first use."""
        state = self._searchers.get(name)
        if state is None:
            state = SearcherState()
            self._searchers[name] = state
        return state
