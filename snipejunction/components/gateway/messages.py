"""Messages between entry hosts about relayed parts."""

from __future__ import annotations

from snipejunction.components.gateway.replies import SUCCESSES
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import PeerMessage
from snipejunction.timers import NEVER


class PartsMessage(PeerMessage):
    """A message about a call of the host that requests parts."""

    __slots__ = ('call_id',)


@wire(154, optional_fields=1)
class PartsRequest(PartsMessage):
    """Request for parts from searchers in the receiver's data centre."""

    __slots__ = (
        'body',
        'head',
        'limited',
        'merge_after',
        'request_id',
        'searchers',
        'time_left',
        'top',
    )

    def __init__(
        self,
        call_id: int,
        request_id: str,
        head: bytes,
        body: bytes,
        searchers: list[str],
        top: int,
        time_left: float,
        merge_after: float,
        limited: tuple[int, ...] = (),
    ) -> None:
        """Create a call.

        ``head`` holds the request line and the headers for any searcher;
        ``searchers`` holds one searcher id for each part; ``top`` is the
        number of records that the merged answer requires; ``time_left`` is
        the time until the deadline and ``merge_after`` the time until the
        parts received so far are sent, both in seconds. ``limited`` holds
        the positions of searchers whose stated limits the sender observes.
        """
        self.call_id = call_id
        self.request_id = request_id
        self.head = head
        self.body = body
        self.searchers = searchers
        self.top = top
        self.time_left = time_left
        self.merge_after = merge_after
        self.limited = limited


@wire(155, optional_fields=1)
class PartReport(Record):
    """The outcome of the part at ``position`` in the call.

    ``fate`` is the value of an ``OutcomeKind``. ``status`` and ``signature``
    are those of the searcher's answer, 0 and empty without one. ``seconds``
    is how long the searcher took. ``stated_limit`` is the request rate that
    it stated, infinite if it stated none or did not answer.
    """

    __slots__ = (
        'detail',
        'fate',
        'position',
        'seconds',
        'signature',
        'stated_limit',
        'status',
    )

    def __init__(
        self,
        position: int,
        fate: str,
        status: int,
        signature: str,
        seconds: float,
        detail: str,
        stated_limit: float = NEVER,
    ) -> None:
        """Create a report."""
        self.position = position
        self.fate = fate
        self.status = status
        self.signature = signature
        self.seconds = seconds
        self.detail = detail
        self.stated_limit = stated_limit

    @property
    def has_records(self) -> bool:
        """Return whether the response contains records of the part."""
        return self.status in SUCCESSES and bool(self.signature)


@wire(156)
class PartsResponse(PartsMessage):
    """Some parts of a call; ``records`` merges those of the valid parts.

    The merged records cannot be attributed to single parts, so all parts of
    one message are used or none. A message without reports only shows that
    the relay is working on the call.
    """

    __slots__ = ('records', 'reports')

    def __init__(
        self,
        call_id: int,
        reports: list[PartReport],
        records: bytes,
    ) -> None:
        """Create a response; further ones may follow."""
        self.call_id = call_id
        self.reports = reports
        self.records = records


@wire(157)
class PartsCancelled(PartsMessage):
    """The requesting host no longer needs the parts of a call."""

    __slots__ = ()

    def __init__(self, call_id: int) -> None:
        """Create a notice."""
        self.call_id = call_id
