"""Messages between hosts about announcements and hand-overs."""

from __future__ import annotations

from typing import Final

from snipejunction.components.owner.messages import Announcement
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import PeerMessage
from snipejunction.timers import NEVER
from snipejunction.verdict import Refusal

_FORWARD_TYPE: Final = 70
_TAKEN_TYPE: Final = 71
_LEARNED_TYPE: Final = 72
_HAND_OVER_TYPE: Final = 73
_HAND_OVER_TAKEN_TYPE: Final = 74


@wire(_FORWARD_TYPE)
class ForwardAnnouncement(PeerMessage):
    """An announcement, forwarded by the host that received it."""

    __slots__ = ('announcement', 'token')

    def __init__(self, token: int, announcement: Announcement) -> None:
        """Create a message; ``token`` is the sender's id of the call."""
        self.token = token
        self.announcement = announcement


@wire(_TAKEN_TYPE)
class AnnouncementAcknowledged(PeerMessage):
    """The owner registered an announcement or refused it."""

    __slots__ = ('refusal', 'token')

    def __init__(self, token: int, refusal: Refusal | None = None) -> None:
        """Create an acknowledgement of the call ``token``."""
        self.token = token
        self.refusal = refusal


@wire(_LEARNED_TYPE, optional_fields=1)
class LearnedState(Record):
    """The state of a searcher that an owner hands over.

    ``limit`` is the concurrency limit reached by the announced boot and
    ``base`` the service time of the warm searcher, zero if unknown.
    ``mean`` and ``high`` are the current mean and 90th percentile of the
    service time. Times are in seconds. ``settings_revision`` is the
    revision of the settings that the owner had applied. ``stated_limit`` is
    the request rate that the boot states, infinite if it states none.
    """

    __slots__ = (
        'announcement',
        'base',
        'expires_in',
        'high',
        'is_leaving',
        'limit',
        'mean',
        'settings_revision',
        'stated_limit',
    )

    def __init__(
        self,
        announcement: Announcement,
        is_leaving: bool,
        expires_in: float,
        limit: float,
        base: float,
        mean: float,
        high: float,
        settings_revision: int,
        stated_limit: float = NEVER,
    ) -> None:
        """Create an entry of a hand-over."""
        self.announcement = announcement
        self.is_leaving = is_leaving
        self.expires_in = expires_in
        self.limit = limit
        self.base = base
        self.mean = mean
        self.high = high
        self.settings_revision = settings_revision
        self.stated_limit = stated_limit


@wire(_HAND_OVER_TYPE)
class HandOver(PeerMessage):
    """Hands over the state of searchers to another host."""

    __slots__ = ('entries', 'number')

    def __init__(self, number: int, entries: list[LearnedState]) -> None:
        """Create a hand-over; ``number`` is the sender's id of it."""
        self.number = number
        self.entries = entries


@wire(_HAND_OVER_TAKEN_TYPE)
class HandOverAcknowledged(PeerMessage):
    """Acknowledges a hand-over."""

    __slots__ = ('number',)

    def __init__(self, number: int) -> None:
        """Create an acknowledgement of the hand-over ``number``."""
        self.number = number
