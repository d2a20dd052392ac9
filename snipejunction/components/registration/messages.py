"""Messages about searchers that announce themselves."""

from __future__ import annotations

from snipejunction.components.registration.const import READY
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage


@wire(150)
class SearcherRecord(Record):
    """One searcher as it described itself last.

    ``born_ms`` is the Unix time of its start in milliseconds, 0 if it does
    not say; ``sequence`` rises with its announcements and starts anew with
    each start; ``cold_left`` is how many seconds it stays cold; ``state`` is
    one of the constants of the component.
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


@wire(151)
class SearcherUpdate(PeerMessage):
    """Searchers that changed, from a control host to an entry host."""

    __slots__ = ('searchers',)

    def __init__(self, searchers: list[SearcherRecord]) -> None:
        """Create a message."""
        self.searchers = searchers


class SearcherAnnounced(Message):
    """A searcher described itself to this control host."""

    __slots__ = ('searcher',)

    def __init__(self, searcher: SearcherRecord) -> None:
        """Create a notice."""
        self.searcher = searcher


class SearcherLeft(Message):
    """A searcher said that it ends; it names nothing but its id."""

    __slots__ = ('searcher_id',)

    def __init__(self, searcher_id: str) -> None:
        """Create a notice."""
        self.searcher_id = searcher_id
