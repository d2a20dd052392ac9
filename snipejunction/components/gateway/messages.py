"""Messages between entry hosts about parts that one gets for another."""

from __future__ import annotations

from snipejunction.components.gateway.replies import SUCCESSES
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import PeerMessage


class PartsMessage(PeerMessage):
    """A message about a call of the host that asks for parts."""

    __slots__ = ('call_id',)


@wire(154)
class PartsRequest(PartsMessage):
    """Parts of one request to get from searchers near the receiver."""

    __slots__ = (
        'body',
        'head',
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
    ) -> None:
        """Create a call.

        ``head`` are the request line and the headers for any searcher;
        ``searchers`` are the ids of those to ask, one for each part; ``top``
        is how many records the merged answer needs; ``time_left`` and
        ``merge_after`` are seconds: until the request runs out, and until
        what is there is sent without waiting for the rest.
        """
        self.call_id = call_id
        self.request_id = request_id
        self.head = head
        self.body = body
        self.searchers = searchers
        self.top = top
        self.time_left = time_left
        self.merge_after = merge_after


@wire(155)
class PartReport(Record):
    """The outcome of the part at ``position`` in the call.

    ``fate`` is the value of an ``OutcomeKind``. ``status`` and ``signature``
    are those of the searcher's answer, 0 and empty without one. ``seconds``
    is how long the searcher took.
    """

    __slots__ = (
        'detail',
        'fate',
        'position',
        'seconds',
        'signature',
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
    ) -> None:
        """Create a report."""
        self.position = position
        self.fate = fate
        self.status = status
        self.signature = signature
        self.seconds = seconds
        self.detail = detail

    @property
    def has_records(self) -> bool:
        """Return whether records of the part are in the answer."""
        return self.status in SUCCESSES and bool(self.signature)


@wire(156)
class PartsResponse(PartsMessage):
    """Some parts of a call; ``records`` are those of its good parts, merged.

    The parts of one message belong together: their records cannot be told
    apart. A message without reports says that the receiver works on it.
    """

    __slots__ = ('records', 'reports')

    def __init__(
        self,
        call_id: int,
        reports: list[PartReport],
        records: bytes,
    ) -> None:
        """Create an answer; further ones may follow."""
        self.call_id = call_id
        self.reports = reports
        self.records = records


@wire(157)
class PartsCancelled(PartsMessage):
    """Nobody waits for the parts of a call any more."""

    __slots__ = ()

    def __init__(self, call_id: int) -> None:
        """Create a notice."""
        self.call_id = call_id
