"""Parts of a request and the attempts to get them."""

from __future__ import annotations

from typing import Final

from snipejunction.commands import Command, LogEvent
from snipejunction.components.gateway.const import EVENT_ATTEMPT_FAILED
from snipejunction.components.gateway.replies import Outcome, Reply
from snipejunction.components.gateway.upstreams import Upstream

_MILLISECONDS: Final = 1000


class Attempt:
    """One send of a part to a searcher; times are monotonic seconds.

    ``relay`` is the entry host that sends it, empty for this one, and
    ``least_wait`` the time in seconds within which that one says something.
    """

    __slots__ = (
        'is_open',
        'min_hedge_delay',
        'part',
        'relay',
        'sent_at',
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

    @property
    def is_repeat(self) -> bool:
        """Return whether the part was sent before."""
        return self.part.attempts[0] is not self


class Part:
    """What one service has to contribute to an answer."""

    __slots__ = (
        'possible_deliveries',
        'attempts',
        'failure',
        'has_hedged',
        'possible_runs',
        'reply',
        'service',
    )

    def __init__(self, service: str) -> None:
        """Create a part that nobody was asked for."""
        self.service = service
        self.attempts: list[Attempt] = []
        self.reply: Reply | None = None
        self.failure: Outcome | None = None
        self.has_hedged = False
        # Searchers at which it ran or may have run, and those that it
        # reached or may have reached.
        self.possible_runs = 0
        self.possible_deliveries = 0

    @property
    def open_attempts(self) -> list[Attempt]:
        """Return the attempts without an outcome."""
        return [attempt for attempt in self.attempts if attempt.is_open]

    @property
    def is_waiting(self) -> bool:
        """Return whether a reply may still come."""
        if self.reply is not None:
            return False
        return any(attempt.is_open for attempt in self.attempts)

    @property
    def tried_ids(self) -> set[str]:
        """Return the searchers that were asked."""
        return {attempt.upstream.searcher_id for attempt in self.attempts}


class SendAttempt(Command):
    """Send a part to the searcher of an attempt."""

    __slots__ = ('attempt', 'deadline')

    def __init__(self, attempt: Attempt, deadline: float) -> None:
        """Create a command; ``deadline`` is in monotonic seconds."""
        self.attempt = attempt
        self.deadline = deadline


class SendPartsToRelay(Command):
    """Let a relay send some attempts and merge what comes."""

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

        ``top`` is how many records the answer needs; ``deadline`` is in
        monotonic seconds; after ``merge_after`` seconds the relay answers
        with what it has.
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
    left: float,
    now: float,
) -> LogEvent:
    """Describe an attempt without a good reply; ``left`` is in seconds."""
    upstream = attempt.upstream
    return LogEvent(
        EVENT_ATTEMPT_FAILED,
        request=request_id,
        searcher=upstream.searcher_id,
        service=attempt.part.service,
        address=upstream.record.address,
        fate=outcome.kind.value,
        detail=outcome.detail,
        ms=round((now - attempt.sent_at) * _MILLISECONDS, 1),
        news_age=round(now - upstream.learned_at, 1),
        left_ms=round(left * _MILLISECONDS),
    )
