"""One roll-out at one entry host."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TypeAlias

from snipejunction.commands import LogEvent
from snipejunction.components.gateway.replies import Outcome, OutcomeKind
from snipejunction.components.rollouts.const import (
    EVENT_TARGET_STOPPED,
    IN_PROGRESS,
    STOP_BAD_ANSWERS,
)
from snipejunction.components.rollouts.evidence import (
    Evidence,
    Sending,
    is_bad,
    was_received,
)
from snipejunction.components.rollouts.ledger import Ledger
from snipejunction.components.rollouts.messages import RolloutRecord

# Returns the median latency of a route in seconds, None if unknown.
RouteMedian: TypeAlias = Callable[[str], float | None]


class Trial:
    """What a host sent and got during a roll-out.

    ``changed_at`` is when its state last changed here, in monotonic seconds.
    ``has_slack`` is whether it may use a part of the slack. It ``is_stopped``
    once this host found the target bad, and ``is_released`` once it has told
    the control hosts that it is done with replaced searchers.
    """

    __slots__ = (
        '_open',
        'changed_at',
        'evidence',
        'has_slack',
        'is_released',
        'is_stopped',
        'ledger',
        'record',
    )

    def __init__(
        self, record: RolloutRecord, now: float, *, has_slack: bool
    ) -> None:
        """Create a trial that nothing was sent for."""
        self.record = record
        self.changed_at = now
        self.has_slack = has_slack
        self.is_stopped = False
        self.is_released = False
        self.ledger = Ledger()
        self.evidence = Evidence(record.number)
        self._open: set[Sending] = set()

    @property
    def is_open(self) -> bool:
        """Return whether the roll-out is running or switching."""
        return self.record.state in IN_PROGRESS

    def start_attempt(
        self, route: str, now: float, *, is_target: bool, is_cold: bool
    ) -> Sending:
        """Count an attempt that is sent now."""
        sending = Sending(route, now, is_target=is_target, is_cold=is_cold)
        self._open.add(sending)
        if is_target:
            self.ledger.count_target(now)
        return sending

    def finish_attempt(
        self,
        sending: Sending,
        outcome: Outcome,
        median: RouteMedian,
        now: float,
        *,
        is_relayed: bool = False,
    ) -> Iterator[LogEvent]:
        """Count the outcome of an attempt; ``is_relayed`` as in evidence."""
        self._open.discard(sending)
        self._settle_ledger(sending, outcome)
        seconds = outcome.seconds
        if seconds is None:
            seconds = now - sending.sent_at
        bound = self.evidence.slow_bound(sending, median(sending.route))
        verdict = is_bad(
            outcome, is_slow=seconds > bound, is_relayed=is_relayed
        )
        if verdict is not None:
            self.evidence.count(sending, is_bad=verdict)
        if outcome.valid_reply is not None:
            self.evidence.add_latency(sending, seconds)
        yield from self._stop_if_bad()

    def count_late(self, median: RouteMedian, now: float) -> Iterator[LogEvent]:
        """Count the attempts without an outcome that are slow already."""
        for sending in self._open:
            bound = self.evidence.slow_bound(sending, median(sending.route))
            if now - sending.sent_at > max(bound, sending.silent_seconds):
                self.evidence.count(sending, is_bad=True)
        yield from self._stop_if_bad()

    def _settle_ledger(self, sending: Sending, outcome: Outcome) -> None:
        if not sending.is_target:
            self.ledger.current_answered += was_received(outcome)
        elif outcome.kind is OutcomeKind.UNSENT:
            self.ledger.target_sent -= 1

    def _stop_if_bad(self) -> Iterator[LogEvent]:
        if self.is_stopped or not self.is_open:
            return
        bad = self.evidence.target_bad
        total = self.evidence.target_total
        if bad < STOP_BAD_ANSWERS or bad * 2 <= total:
            return
        self.is_stopped = True
        yield LogEvent(
            EVENT_TARGET_STOPPED,
            number=self.record.number,
            service=self.record.service,
            target=self.record.target,
            bad=bad,
            total=total,
        )
