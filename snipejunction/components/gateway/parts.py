"""Parts of a request and the attempts to get them."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import Command, LogEvent
from snipejunction.components.gateway.const import EVENT_ATTEMPT_FAILED
from snipejunction.components.gateway.replies import Outcome, Reply
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.rollouts.evidence import Sending
from snipejunction.components.rollouts.trial import Trial

_MS_PER_SECOND: Final = 1000


class Attempt:
    """One send of a part to a searcher; times are monotonic seconds.

    ``relay`` is the entry host that sends it, empty for this one.
    ``min_hedge_delay`` is the time in seconds within which the relay sends
    its first response; no hedge is sent before. ``sending`` and ``trial`` are
    set if its service has a roll-out.
    """

    __slots__ = (
        'is_open',
        'min_hedge_delay',
        'part',
        'relay',
        'sending',
        'sent_at',
        'trial',
        'upstream',
    )

    def __init__(self, part: Part, upstream: Upstream, now: float) -> None:
        """Create an attempt that starts at ``now``."""
        self.part = part
        self.upstream = upstream
        self.sent_at = now
        self.relay = ''
        self.min_hedge_delay = 0.0
        self.is_open = True
        self.trial: Trial | None = None
        self.sending: Sending | None = None

    @property
    def is_repeat(self) -> bool:
        """Return whether this is a retry or a hedge."""
        return self.part.attempts[0] is not self


class Part:
    """The contribution of one service to an answer."""

    __slots__ = (
        'attempts',
        'failure',
        'has_hedged',
        'is_limited',
        'possible_deliveries',
        'possible_runs',
        'reply',
        'service',
    )

    def __init__(self, service: str) -> None:
        """Create a part without attempts."""
        self.service = service
        self.attempts: list[Attempt] = []
        self.reply: Reply | None = None
        self.failure: Outcome | None = None
        self.has_hedged = False
        # Whether stated limits kept the part from a searcher.
        self.is_limited = False
        # Numbers of searchers that ran the part or may have, and that
        # received it or may have.
        self.possible_runs = 0
        self.possible_deliveries = 0

    @property
    def open_attempts(self) -> list[Attempt]:
        """Return the attempts without an outcome."""
        return [attempt for attempt in self.attempts if attempt.is_open]

    @property
    def is_waiting(self) -> bool:
        """Return whether a reply may still arrive."""
        if self.reply is not None:
            return False
        return any(attempt.is_open for attempt in self.attempts)

    @property
    def tried_searcher_ids(self) -> set[str]:
        """Return the ids of the searchers that the part was sent to."""
        return {attempt.upstream.searcher_id for attempt in self.attempts}


class SendAttempt(Command):
    """Send a part to the searcher of an attempt."""

    __slots__ = ('attempt', 'deadline')

    def __init__(self, attempt: Attempt, deadline: float) -> None:
        """Create a command; ``deadline`` is in monotonic seconds."""
        self.attempt = attempt
        self.deadline = deadline


class SendPartsToRelay(Command):
    """Let a relay send some attempts and merge the replies."""

    __slots__ = ('attempts', 'deadline', 'merge_after', 'relay', 'top')

    def __init__(
        self,
        relay: str,
        attempts: list[Attempt],
        top: int,
        deadline: float,
        merge_after: float,
    ) -> None:
        """Create a command.

        ``top`` is the number of records that the answer requires;
        ``deadline`` is in monotonic seconds; after ``merge_after`` seconds
        the relay responds with the replies received so far.
        """
        self.relay = relay
        self.attempts = attempts
        self.top = top
        self.deadline = deadline
        self.merge_after = merge_after


def failed_attempt_event(
    request_id: str,
    attempt: Attempt,
    outcome: Outcome,
    time_left: float,
    now: float,
) -> LogEvent:
    """Return the event of a failed attempt.

    ``time_left`` is the time until the deadline in seconds.
    """
    upstream = attempt.upstream
    return LogEvent(
        EVENT_ATTEMPT_FAILED,
        request=request_id,
        searcher=upstream.searcher_id,
        service=attempt.part.service,
        address=upstream.record.address,
        fate=outcome.kind.value,
        detail=outcome.detail,
        ms=round((now - attempt.sent_at) * _MS_PER_SECOND, 1),
        news_age=round(now - upstream.updated_at, 1),
        left_ms=round(time_left * _MS_PER_SECOND),
    )
