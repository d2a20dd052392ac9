"""Messages between the edge that serves a caller and the query root."""

from __future__ import annotations

from typing import Any

from snipejunction.commands import Command
from snipejunction.components.admission.messages import AdmissionReply
from snipejunction.components.owner.messages import SnapshotId
from snipejunction.helpers.records import Record
from snipejunction.messages import Message
from snipejunction.verdict import Refusal


class SearchRequest(Message):
    """Search request of a caller.

    ``deadline`` is the remaining time in seconds, zero for the default of
    the service. ``sufficient_coverage`` is the share of documents that is
    enough for an early answer, zero for no such share. ``top`` is the
    maximum number of hits. ``body`` is forwarded to searchers unchanged.
    """

    __slots__ = (
        'body',
        'call_id',
        'caller',
        'deadline',
        'request_id',
        'service',
        'sufficient_coverage',
        'top',
        'traceparent',
    )

    def __init__(
        self,
        call_id: int,
        request_id: str,
        caller: str,
        service: str,
        body: bytes,
        deadline: float,
        sufficient_coverage: float,
        top: int,
        traceparent: str,
    ) -> None:
        """Create a request that ``SearchResponse`` will answer."""
        self.call_id = call_id
        self.request_id = request_id
        self.caller = caller
        self.service = service
        self.body = body
        self.deadline = deadline
        self.sufficient_coverage = sufficient_coverage
        self.top = top
        self.traceparent = traceparent


class CallAbandoned(Message):
    """Notice that the caller disconnected before its answer."""

    __slots__ = ('call_id',)

    def __init__(self, call_id: int) -> None:
        """Create a notice."""
        self.call_id = call_id


class Coverage(Record):
    """Coverage of an answer, in documents of the snapshot's layout."""

    __slots__ = ('covered', 'missing_shards', 'total')

    def __init__(
        self,
        covered: int,
        total: int,
        missing_shards: tuple[int, ...],
    ) -> None:
        """Create the coverage of an answer."""
        self.covered = covered
        self.total = total
        self.missing_shards = missing_shards

    @property
    def share(self) -> float:
        """Return the covered share from 0 to 1."""
        return self.covered / self.total if self.total else 1


class SearchAnswer(Record):
    """Merged answer from a single snapshot.

    ``hits`` are maps with ``id``, ``score`` and the fields that the searcher
    returned, by descending score, then by id. ``needed_subs`` counts the
    planned sub-requests, ``extra_subs`` the retries and hedges.
    """

    __slots__ = ('coverage', 'extra_subs', 'hits', 'needed_subs', 'snapshot')

    def __init__(
        self,
        snapshot: SnapshotId,
        coverage: Coverage,
        hits: list[dict[str, Any]],
        needed_subs: int,
        extra_subs: int,
    ) -> None:
        """Create an answer."""
        self.snapshot = snapshot
        self.coverage = coverage
        self.hits = hits
        self.needed_subs = needed_subs
        self.extra_subs = extra_subs


class SearchResponse(Command):
    """Send a caller either an answer or a refusal."""

    __slots__ = ('answer', 'call_id', 'refusal')

    def __init__(
        self,
        call_id: int,
        answer: SearchAnswer | None,
        refusal: Refusal | None,
    ) -> None:
        """Create an answer to the call ``call_id``."""
        self.call_id = call_id
        self.answer = answer
        self.refusal = refusal


class SearchAdmitted(AdmissionReply):
    """Decision of the admission on a query of this root."""

    __slots__ = ('query_id',)

    def __init__(self, query_id: int, caller: str, service: str) -> None:
        """Create a reply that carries no refusal yet."""
        super().__init__(caller, service)
        self.query_id = query_id


class ReviewQuery(Message):
    """Timer of a query, for a hedge, a retry or the deadline."""

    __slots__ = ('query_id',)

    def __init__(self, query_id: int) -> None:
        """Create a timer message."""
        self.query_id = query_id
