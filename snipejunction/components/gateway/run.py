"""Control of one request: its parts, their attempts and its answer."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Final

from snipejunction.commands import Command, LogEvent
from snipejunction.components.gateway.answers import (
    has_enough_parts,
    make_failure,
    make_refusal,
    make_success,
)
from snipejunction.components.gateway.choosing import choose_upstream
from snipejunction.components.gateway.const import (
    ANSWER_MARGIN_SECONDS,
    DEADLINE_MARGIN_SECONDS,
    EVENT_LIMIT_REACHED,
    EVENT_RELAY_LATE,
    EVENT_RELAY_REQUEST_SENT,
    EVENT_REPEAT_SENT,
    EVENT_REPEAT_SKIPPED,
    EVENT_SEARCHER_LATE,
    MAX_REJECTED_DELIVERIES,
    MAX_SENDS_PER_PART,
    MIN_MERGE_WAIT_SECONDS,
)
from snipejunction.components.gateway.context import (
    RequestContext,
    make_context,
)
from snipejunction.components.gateway.document import Route
from snipejunction.components.gateway.parts import (
    Attempt,
    Part,
    SendAttempt,
    SendPartsToRelay,
    failed_attempt_event,
)
from snipejunction.components.gateway.relaying import (
    group_by_relay,
    relay_delay,
)
from snipejunction.components.gateway.replies import (
    Answer,
    Outcome,
    OutcomeKind,
)
from snipejunction.components.gateway.routing import pick_target
from snipejunction.components.gateway.stated_limits import (
    count_attempt,
    describe_limits,
    record_limit,
)
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.timing import hedge_delay
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.gateway.versions import (
    count_sending,
    explain_held_back,
    is_target,
    record_sending,
)
from snipejunction.components.rollouts.const import MAX_TARGET_PARTS
from snipejunction.timers import NEVER

_MS_PER_SECOND: Final = 1000


class RequestRun:
    """Drives one request until it has an answer.

    ``deadline`` is when the caller or the route gives up, in monotonic
    seconds. ``answer`` is None until the request is finished. Nothing more is
    sent for a run that ``is_abandoned`` because its caller left.
    """

    __slots__ = (
        '_checked_relays',
        '_context',
        '_covered',
        '_next_due',
        '_partial_answer_due',
        '_route',
        '_started',
        '_table',
        'answer',
        'deadline',
        'is_abandoned',
        'parts',
        'request_id',
    )

    def __init__(
        self,
        request_id: str,
        route: Route,
        table: GatewayTable,
        deadline: float,
        now: float,
        context: RequestContext | None = None,
    ) -> None:
        """Create a run of a request received at ``now``."""
        self.request_id = request_id
        self._route = route
        self._context = context or make_context(route, None)
        self._table = table
        self._started = now
        self.deadline = deadline - DEADLINE_MARGIN_SECONDS
        self._partial_answer_due = min(
            now + route.objective - ANSWER_MARGIN_SECONDS,
            self.deadline,
        )
        services = route.shards
        if not services:
            services = (pick_target(route, table.random.random()),)
        self.parts = [Part(service) for service in services]
        self.answer: Answer | None = None
        self._covered = 0
        self.is_abandoned = False
        self._checked_relays: set[str] = set()
        self._next_due = self.deadline

    @property
    def covered(self) -> int:
        """Return the number of parts with a valid reply."""
        return self._covered

    @property
    def next_due(self) -> float:
        """Return when ``advance`` must be called next."""
        return self._next_due

    def start(self, now: float) -> Iterator[Command]:
        """Send each part to one searcher, or refuse the request."""
        chosen = self._choose_upstreams(now)
        if len(chosen) < len(self.parts):
            chosen_parts = {part for part, _ in chosen}
            for part in self.parts:
                if part not in chosen_parts:
                    yield from self._explain_missing(part, now)
        if not has_enough_parts(self._route, len(chosen), len(self.parts)):
            self.answer = self._refuse()
            return
        yield from self._send_first(chosen, now)
        self._update_next_due(now)

    def advance(self, now: float) -> Iterator[Command]:
        """Send the hedges that are due; finish if the answer is due."""
        if self.answer is not None or self.is_abandoned:
            return
        wait = self._hedge_delay()
        for part in self.parts:
            if now >= _hedge_due(part, wait):
                part.has_hedged = True
                yield from self._penalize_late(part.open_attempts[0], now)
                yield from self._send_repeat(part, 'late part', now)
        self._update_next_due(now)
        self._finish_if_due(now)

    def end(self, now: float) -> None:
        """Finish with what is covered, because this host stops."""
        self._finish_if_due(now, is_ending=True)

    def handle_outcome(
        self,
        attempt: Attempt,
        outcome: Outcome,
        now: float,
    ) -> Iterator[Command]:
        """Handle the outcome of an attempt.

        After the answer it only updates the statistics of the searcher.
        """
        yield from self._apply_outcome(attempt, outcome, now)
        self._finish_if_due(now)

    def handle_merged(
        self,
        relay: str,
        outcomes: Sequence[tuple[Attempt, Outcome]],
        now: float,
    ) -> Iterator[Command]:
        """Handle the outcomes that a relay merged.

        All are applied before the answer is made, because the merged records
        cannot be separated.
        """
        self._checked_relays.add(relay)
        for attempt, outcome in outcomes:
            yield from self._apply_outcome(attempt, outcome, now)
        self._finish_if_due(now)

    def _apply_outcome(
        self,
        attempt: Attempt,
        outcome: Outcome,
        now: float,
    ) -> Iterator[Command]:
        if not attempt.is_open:
            return
        attempt.is_open = False
        part = attempt.part
        if not outcome.kind.has_not_run:
            part.possible_runs += 1
        if outcome.kind.may_have_arrived:
            part.possible_deliveries += 1
        self._record_outcome(attempt, outcome, now)
        yield from record_sending(attempt, outcome, self._table, now)
        yield from record_limit(
            attempt.upstream, outcome, attempt.sent_at, self._table, now
        )
        reply = outcome.valid_reply
        if reply is None:
            left = self.deadline - now
            yield failed_attempt_event(
                self.request_id, attempt, outcome, left, now
            )
        if self.answer is not None:
            return
        if reply is not None:
            if part.reply is None:
                self._covered += 1
            # Merged records cannot be separated, so a merged reply replaces
            # a single one; otherwise its records would be counted twice.
            if part.reply is None or reply.is_merged:
                part.reply = reply
        elif part.reply is None:
            part.failure = outcome
            if not part.open_attempts:
                yield from self._retry(part, outcome, now)
                self._update_next_due(now)

    def _choose_upstreams(self, now: float) -> list[tuple[Part, Upstream]]:
        """Return the parts that can be sent now, each with its searcher."""
        chosen = []
        tries = MAX_TARGET_PARTS
        for part in self.parts:
            upstream = self._choose_upstream(part, now, tries_target=tries > 0)
            if upstream is not None:
                chosen.append((part, upstream))
                tries -= is_target(upstream, self._table)
        return chosen

    def _choose_upstream(
        self, part: Part, now: float, *, tries_target: bool = False
    ) -> Upstream | None:
        return choose_upstream(
            part.service,
            self._route,
            part.tried_searcher_ids,
            self._table,
            now,
            is_hedge=bool(part.open_attempts),
            tries_target=tries_target,
            context=self._context,
        )

    def _send_first(
        self, chosen: list[tuple[Part, Upstream]], now: float
    ) -> Iterator[Command]:
        """Send the first attempts of parts."""
        attempts = []
        for part, upstream in chosen:
            self._table.budget(part.service).record_request(now)
            attempts.append(self._create_attempt(part, upstream, now))
        yield from self._send_attempts(attempts, now)

    def _explain_missing(self, part: Part, now: float) -> Iterator[Command]:
        """Record that limits or versions keep a part from being sent."""
        yield from explain_held_back(self.request_id, part.service, self._table)
        upstreams = self._table.upstreams_by_service.get(part.service, {})
        limits = describe_limits(upstreams.values(), self._table, now)
        if limits:
            part.is_limited = True
            yield LogEvent(
                EVENT_LIMIT_REACHED,
                request=self.request_id,
                service=part.service,
                limits=', '.join(limits),
            )

    def _refuse(self) -> Answer:
        is_limited = any(part.is_limited for part in self.parts)
        self._table.sharing.refusals += is_limited
        return make_refusal(len(self.parts), is_limited=is_limited)

    def _create_attempt(
        self, part: Part, upstream: Upstream, now: float
    ) -> Attempt:
        attempt = Attempt(part, upstream, now)
        part.attempts.append(attempt)
        upstream.in_flight += 1
        if now < upstream.cold_until:
            upstream.last_cold_send = now
        count_attempt(upstream, self._table, now)
        count_sending(attempt, self._route.name, self._table, now)
        return attempt

    def _send_attempts(
        self,
        attempts: list[Attempt],
        now: float,
    ) -> Iterator[Command]:
        """Send attempts, using relays for other data centres."""
        groups = {'': attempts}
        if self._route.shards:
            groups = group_by_relay(attempts, self._table, now)
        for attempt in groups.pop('', ()):
            yield SendAttempt(attempt, self.deadline)
        for relay, relayed in groups.items():
            yield LogEvent(
                EVENT_RELAY_REQUEST_SENT,
                request=self.request_id,
                relay=relay,
                parts=len(relayed),
            )
            yield self._send_to_relay(relay, relayed, now)

    def _send_to_relay(
        self,
        relay: str,
        attempts: list[Attempt],
        now: float,
    ) -> Command:
        wait = self._partial_answer_due - now
        if not attempts[0].is_repeat:
            # The first response of the relay arrives before hedges start.
            wait = min(wait, self._hedge_delay())
        delay = relay_delay(relay, self._table)
        merge_after = max(wait - delay, MIN_MERGE_WAIT_SECONDS)
        for attempt in attempts:
            attempt.relay = relay
            attempt.min_hedge_delay = merge_after + delay
            if attempt.sending is not None:
                attempt.sending.silent_seconds = attempt.min_hedge_delay
        return SendPartsToRelay(
            relay,
            attempts,
            self._route.top,
            self.deadline,
            merge_after,
        )

    def _update_next_due(self, now: float) -> None:
        """Compute when ``advance`` has to run next."""
        # Only merged answers may be sent with parts missing.
        may_be_partial = self._route.shards and now < self._partial_answer_due
        due = self._partial_answer_due if may_be_partial else self.deadline
        wait = self._hedge_delay()
        for part in self.parts:
            due = min(due, _hedge_due(part, wait))
        self._next_due = due

    def _hedge_delay(self) -> float:
        """Return the delay of a hedge after an attempt, in seconds."""
        if not self._route.is_idempotent or self._route.attempts < 2:
            return NEVER
        latencies = self._table.latencies_of(self._route.name)
        return hedge_delay(latencies, self._route.objective)

    def _retry(
        self,
        part: Part,
        outcome: Outcome,
        now: float,
    ) -> Iterator[Command]:
        if self.is_abandoned or outcome.kind is OutcomeKind.CANCELLED:
            return
        if not self._route.is_idempotent and not outcome.kind.has_not_run:
            return
        if part.possible_runs >= self._route.attempts:
            return
        if (
            part.possible_deliveries
            >= self._route.attempts + MAX_REJECTED_DELIVERIES
        ):
            return
        if len(part.attempts) < MAX_SENDS_PER_PART:
            yield from self._send_repeat(
                part, f'{outcome.kind.value} part', now
            )

    def _send_repeat(
        self,
        part: Part,
        reason: str,
        now: float,
    ) -> Iterator[Command]:
        started_runs = part.possible_runs + len(part.open_attempts)
        if now >= self.deadline or started_runs >= self._route.attempts:
            return
        budget = self._table.budget(part.service)
        left = budget.remaining(self._table.slack_share, now)
        upstream = self._choose_upstream(part, now)
        # A part that reached no searcher caused no load, so the next send
        # does not count as a repeat.
        is_first = not part.possible_deliveries and not part.open_attempts
        if upstream is None:
            yield from self._explain_missing(part, now)
        if upstream is None or (left < 1 and not is_first):
            yield LogEvent(
                EVENT_REPEAT_SKIPPED,
                request=self.request_id,
                service=part.service,
                reason='no searcher' if upstream is None else 'no budget',
            )
            return
        if not is_first:
            budget.record_repeat(now)
        yield LogEvent(
            EVENT_REPEAT_SENT,
            request=self.request_id,
            reason=reason,
            service=part.service,
            ms=round((now - self._started) * _MS_PER_SECOND, 1),
            searcher=part.attempts[-1].upstream.searcher_id,
            second=upstream.searcher_id,
            budget=round(left - 1, 1),
            news_age=round(now - upstream.updated_at, 1),
            left_ms=round((self.deadline - now) * _MS_PER_SECOND),
        )
        yield from self._send_attempts(
            [self._create_attempt(part, upstream, now)], now
        )

    def _penalize_late(self, late: Attempt, now: float) -> Iterator[Command]:
        """Mark the relay or the searcher of a late attempt as late."""
        relay = late.relay
        if relay and relay not in self._checked_relays:
            self._checked_relays.add(relay)
            self._table.relays.last_late_at[relay] = now
            yield LogEvent(
                EVENT_RELAY_LATE,
                request=self.request_id,
                relay=relay,
                ms=round((now - late.sent_at) * _MS_PER_SECOND, 1),
            )
        elif late.upstream.record_late(now):
            yield LogEvent(
                EVENT_SEARCHER_LATE,
                searcher=late.upstream.searcher_id,
                service=late.upstream.record.service,
                address=late.upstream.record.address,
                reason='does not answer',
                news_age=round(now - late.upstream.updated_at, 1),
            )

    def _record_outcome(
        self, attempt: Attempt, outcome: Outcome, now: float
    ) -> None:
        upstream = attempt.upstream
        upstream.in_flight -= 1
        upstream.record_outcome(outcome, now)
        if outcome.kind is OutcomeKind.CANCELLED and self.answer is not None:
            # It was slower than the others, or than the deadline.
            upstream.record_failure(now)
        if outcome.valid_reply is None:
            return
        elapsed = outcome.seconds
        if elapsed is None:
            elapsed = now - attempt.sent_at
        latencies = self._table.latencies_of(self._route.name)
        latencies.add(elapsed)
        upstream.record_latency(elapsed / (latencies.median or elapsed), now)

    def _finish_if_due(self, now: float, *, is_ending: bool = False) -> None:
        if self.answer is not None:
            return
        is_complete = self._covered == len(self.parts)
        is_waiting = not is_complete and any(
            part.is_waiting for part in self.parts
        )
        is_enough = has_enough_parts(self._route, self.covered, len(self.parts))
        if is_waiting and now < self.deadline and not is_ending:
            if not is_enough or now < self._partial_answer_due:
                return
        if is_enough:
            self.answer = make_success(self._route, self.parts)
        else:
            self.answer = make_failure(
                self._route,
                self.parts,
                is_past_deadline=now >= self.deadline,
            )


def _hedge_due(part: Part, wait: float) -> float:
    """Return when the hedge of a part is due, ``NEVER`` without one."""
    if part.has_hedged or part.reply is not None or not part.is_waiting:
        return NEVER
    attempt = part.attempts[-1]
    return attempt.sent_at + max(wait, attempt.min_hedge_delay)
