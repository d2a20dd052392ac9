"""Requests that roots send to an owner."""

from __future__ import annotations

from snipejunction.components.owner.messages import SnapshotId


class Work:
    """One request for one searcher; times are monotonic seconds.

    ``work_id`` is the sender's id of the request. ``queue_deadline`` is when
    the request is refused if it is still queued. ``open_dispatches`` may
    still be answered; ``may_have_run`` is set when one ended unanswered
    after the upstream may have run it.
    """

    __slots__ = (
        'arrived_at',
        'body',
        'caller',
        'deadline',
        'is_answered',
        'is_cancelled',
        'is_queued',
        'is_repeated',
        'may_have_run',
        'open_dispatches',
        'queue_deadline',
        'root',
        'searcher',
        'service',
        'started_at',
        'traceparent',
        'was_dispatched',
        'work_id',
    )

    def __init__(
        self,
        root: str,
        work_id: int,
        service: str,
        searcher: str,
        caller: str,
        body: bytes,
        traceparent: str,
        arrived_at: float,
        deadline: float,
    ) -> None:
        """Create work that is neither queued nor dispatched."""
        self.root = root
        self.work_id = work_id
        self.service = service
        self.searcher = searcher
        self.caller = caller
        self.body = body
        self.traceparent = traceparent
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.queue_deadline = deadline
        self.started_at = 0.0
        self.open_dispatches: list[int] = []
        self.was_dispatched = False
        self.may_have_run = False
        self.is_queued = False
        self.is_repeated = False
        self.is_answered = False
        self.is_cancelled = False


class SubWork(Work):
    """A sub-request of a search."""

    __slots__ = ('shards', 'snapshot')

    snapshot: SnapshotId
    shards: list[int]


class OnceWork(Work):
    """A non-idempotent request."""

    __slots__ = ('request_id', 'run_key')

    request_id: str
    run_key: tuple[str, int, str, str, str]
