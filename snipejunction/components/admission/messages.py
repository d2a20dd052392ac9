"""Messages of the admission component."""

from __future__ import annotations

from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage
from snipejunction.verdict import Refusal


class AdmissionReply(Message):
    """Decision on a request; each component that asks for one subclasses it.

    If ``refusal`` is None, the request is admitted, and the component must
    call ``release_slot`` once the request has ended.
    """

    __slots__ = ('caller', 'refusal', 'service')

    refusal: Refusal | None

    def __init__(self, caller: str, service: str) -> None:
        """Create a reply without a refusal."""
        self.caller = caller
        self.service = service
        self.refusal = None


class AdmitQueued(Message):
    """Timer of an account to admit or refuse its queued requests."""

    __slots__ = ('caller', 'service')

    def __init__(self, caller: str, service: str) -> None:
        """Create a timer message of an account."""
        self.caller = caller
        self.service = service


@wire(100)
class ShareRequest(PeerMessage):
    """Request of a host for its share of a caller's limit at a service.

    ``number`` increases with each request of an incarnation; only the grant
    for the last one is applied. ``held_rate`` and ``held_slots`` are the
    share that the host may still use, ``held_seconds`` its remaining
    validity. Rates are in requests per second. ``opened`` counts the open
    requests, ``wanted_tokens`` the queued ones.
    """

    __slots__ = (
        'caller',
        'held_rate',
        'held_seconds',
        'held_slots',
        'incarnation',
        'number',
        'opened',
        'service',
        'wanted_rate',
        'wanted_slots',
        'wanted_tokens',
    )

    def __init__(
        self,
        caller: str,
        service: str,
        incarnation: str,
        number: int,
        wanted_rate: float,
        wanted_slots: int,
        wanted_tokens: int,
        opened: int,
        held_rate: float,
        held_slots: int,
        held_seconds: float,
    ) -> None:
        """Create a share request."""
        self.caller = caller
        self.service = service
        self.incarnation = incarnation
        self.number = number
        self.wanted_rate = wanted_rate
        self.wanted_slots = wanted_slots
        self.wanted_tokens = wanted_tokens
        self.opened = opened
        self.held_rate = held_rate
        self.held_slots = held_slots
        self.held_seconds = held_seconds


@wire(101)
class ShareGrant(PeerMessage):
    """Share that replaces the held one, in reply to share request ``number``.

    The share expires ``seconds`` after the host sent its request.
    ``tokens`` is the number of requests that it may admit in addition to
    the rate. ``is_short`` is set if the hosts together request more than the
    limit.
    """

    __slots__ = (
        'caller',
        'is_short',
        'number',
        'rate',
        'seconds',
        'service',
        'slots',
        'tokens',
    )

    def __init__(
        self,
        caller: str,
        service: str,
        number: int,
        rate: float,
        slots: int,
        tokens: float,
        seconds: float,
        is_short: bool,
    ) -> None:
        """Create a grant."""
        self.caller = caller
        self.service = service
        self.number = number
        self.rate = rate
        self.slots = slots
        self.tokens = tokens
        self.seconds = seconds
        self.is_short = is_short
