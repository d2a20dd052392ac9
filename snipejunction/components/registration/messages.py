"""Messages about searchers that announce themselves."""

from __future__ import annotations

from copy import copy

from snipejunction.components.registration.const import READY
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage


@wire(150, optional_fields=1)
class SearcherRecord(Record):
    """The last announcement of a searcher.

    ``born_ms`` is the Unix time of its start in milliseconds, 0 if unknown;
    ``sequence`` increases with each announcement and restarts with the
    process; ``cold_left`` is the remaining cold time in seconds; ``state`` is
    one of the state constants of the component; ``version`` is that of its
    program, empty if unknown.
    """

    __slots__ = (
        'address',
        'born_ms',
        'cold_left',
        'data_centre',
        'searcher_id',
        'sequence',
        'service',
        'slots',
        'state',
        'version',
    )

    def __init__(
        self,
        searcher_id: str,
        service: str,
        address: str,
        data_centre: str,
        slots: int,
        cold_left: float,
        born_ms: int,
        sequence: int,
        state: int = READY,
        version: str = '',
    ) -> None:
        """Create a record."""
        self.searcher_id = searcher_id
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.cold_left = cold_left
        self.born_ms = born_ms
        self.sequence = sequence
        self.state = state
        self.version = version

    def with_state(self, state: int) -> SearcherRecord:
        """Return a copy with another state."""
        changed = copy(self)
        changed.state = state
        return changed


@wire(151, independent_entries='searchers')
class SearcherUpdate(PeerMessage):
    """Changed searchers, sent by a control host to other hosts."""

    __slots__ = ('searchers',)

    def __init__(self, searchers: list[SearcherRecord]) -> None:
        """Create a message."""
        self.searchers = searchers


@wire(158)
class LimitRecord(Record):
    """The request rate that a searcher states for all entry hosts.

    ``born_ms`` is the Unix time of its start in milliseconds; ``rate`` is in
    requests per second, infinite if it states none any more. ``age`` is the
    time since the answer that stated it, in seconds.
    """

    __slots__ = ('age', 'born_ms', 'rate', 'searcher_id')

    def __init__(
        self, searcher_id: str, born_ms: int, rate: float, age: float
    ) -> None:
        """Create a record."""
        self.searcher_id = searcher_id
        self.born_ms = born_ms
        self.rate = rate
        self.age = age


@wire(159, independent_entries='limits')
class LimitUpdate(PeerMessage):
    """Limits that searchers stated, on the way to all entry hosts."""

    __slots__ = ('limits',)

    def __init__(self, limits: list[LimitRecord]) -> None:
        """Create a message."""
        self.limits = limits


@wire(160)
class DepartureEntry(Record):
    """Log entry of a searcher that is leaving or gone."""

    __slots__ = ('searcher',)

    def __init__(self, searcher: SearcherRecord) -> None:
        """Create an entry; an empty service stands for an unknown start."""
        self.searcher = searcher


class SearcherAnnounced(Message):
    """A searcher announced itself to this control host."""

    __slots__ = ('searcher',)

    def __init__(self, searcher: SearcherRecord) -> None:
        """Create a notice."""
        self.searcher = searcher


class SearcherLeft(Message):
    """A searcher reported its end.

    ``born_ms`` is the Unix time of its start in milliseconds, None if it did
    not state it; ``received_ms`` is that of the report, 0 if unknown.
    """

    __slots__ = ('born_ms', 'received_ms', 'searcher_id')

    def __init__(
        self,
        searcher_id: str,
        born_ms: int | None = None,
        received_ms: int = 0,
    ) -> None:
        """Create a notice."""
        self.searcher_id = searcher_id
        self.born_ms = born_ms
        self.received_ms = received_ms


class DepartureRequest(Message):
    """A searcher announced or reported that it leaves.

    ``OrderResult`` answers it once that is committed.
    """

    __slots__ = ('call_id', 'notice')

    def __init__(
        self, call_id: int, notice: SearcherAnnounced | SearcherLeft
    ) -> None:
        """Create a request."""
        self.call_id = call_id
        self.notice = notice
