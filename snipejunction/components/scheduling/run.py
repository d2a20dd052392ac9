"""Control of a request that waits for room instead of being refused.

Answers bursts and searchers that are full, pause or turn slow: a request, or
a part of one that was sent, waits where room comes in time; it ends at once
where its answer is lost.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command, LogEvent
from snipejunction.components.gateway.answers import (
    has_enough_parts,
    make_failure,
)
from snipejunction.components.gateway.choosing import choose_upstream
from snipejunction.components.gateway.const import (
    MAX_REJECTED_DELIVERIES,
    MAX_SENDS_PER_PART,
    RETRY_AFTER_SECONDS,
)
from snipejunction.components.gateway.context import RequestContext
from snipejunction.components.gateway.document import Route
from snipejunction.components.gateway.parts import Attempt, Part
from snipejunction.components.gateway.replies import Outcome, OutcomeKind
from snipejunction.components.gateway.run import RequestRun
from snipejunction.components.gateway.tables import GatewayTable
from snipejunction.components.gateway.upstreams import Upstream
from snipejunction.components.scheduling.const import (
    EVENT_HEDGE_HELD,
    EVENT_NO_ROOM,
    EVENT_PART_WAITS,
    EVENT_REQUEST_RESUMED,
    EVENT_REQUEST_WAITS,
    LAST_HEDGE_SHARE,
    MAX_WAIT_SHARE,
    MIN_STEP_SECONDS,
    REASON_QUEUE_FULL,
    REASON_STOPPING,
    REASON_TOO_LATE,
    REASON_TURNED_AWAY,
    REASON_WAITED,
)
from snipejunction.components.scheduling.giving_up import (
    is_lost,
    needed_parts,
)
from snipejunction.components.scheduling.hedging import (
    hedge_objection,
    reserved_repeats,
)
from snipejunction.components.scheduling.room import (
    Room,
    find_room,
    free_at,
    full_searcher_ids,
    late_searcher_ids,
    service_seconds,
)
from snipejunction.components.scheduling.waiting import Waiting
from snipejunction.timers import NEVER

_MS_PER_SECOND: Final = 1000
# Services that an event names; it counts the others.
_MAX_NAMED: Final = 3
# Searchers that turned a part away, and may be asked again later.
_TURNED_AWAY: Final = frozenset((OutcomeKind.SHED, OutcomeKind.REFUSED))


class ScheduledRun(RequestRun):
    """A request that may wait before it is sent, and its missing parts.

    ``is_queued`` is set while nothing of it was sent. Whoever ends the run
    without an answer removes it from the queue.
    """

    __slots__ = (
        '_has_gaps',
        '_held_parts',
        '_last_hedge_due',
        '_noted_parts',
        '_turned_away',
        '_wait_end',
        'is_queued',
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
        super().__init__(request_id, route, table, deadline, now, context)
        self.is_queued = False
        self._wait_end = min(
            now + route.objective * MAX_WAIT_SHARE,
            self.deadline - service_seconds(route, table),
        )
        self._has_gaps = False
        self._held_parts: list[Part] = []
        self._last_hedge_due = now + route.objective * LAST_HEDGE_SHARE
        self._turned_away: set[tuple[str, str]] = set()
        self._noted_parts: set[str] = set()

    def start(self, now: float) -> Iterator[Command]:
        """Send the parts that have room, wait for it or refuse."""
        throttle = self._table.scheduling.throttle(self._route.name, now)
        share = throttle.refused_share(now)
        throttle.count_received(now)
        if share and self._table.random.random() < share:
            throttle.count_turned_away(now)
            room = Room(NEVER, service_seconds(self._route, self._table))
            yield self._refuse_waiting(REASON_TURNED_AWAY, room, 0, now)
            return
        yield from self._begin(now)

    def advance(self, now: float) -> Iterator[Command]:
        """Send what has room now and the hedges that are due."""
        if self.answer is not None or self.is_abandoned:
            return
        if self.is_queued:
            yield from self._begin(now)
            return
        for part in self._missing_parts(now):
            if self._free_at(part, now) > now:
                continue
            if part.attempts:
                yield from self._send_repeat(part, 'part without room', now)
            else:
                yield from self._send_late(part, now)
        yield from super().advance(now)
        if self._held_parts and now >= self._last_hedge_due:
            yield from self._send_held(now)

    def _begin(self, now: float) -> Iterator[Command]:
        chosen = self._choose_upstreams(now)
        if not has_enough_parts(self._route, len(chosen), len(self.parts)):
            yield from self._wait_or_refuse(now)
            return
        scheduling = self._table.scheduling
        if self.is_queued:
            self.is_queued = False
            scheduling.queue.remove(self)
            yield LogEvent(
                EVENT_REQUEST_RESUMED,
                request=self.request_id,
                ms=_milliseconds(now - self._started),
            )
        work = len(chosen) * service_seconds(self._route, self._table)
        scheduling.queue.served.add(self._context.customer, work, now)
        self._has_gaps = len(chosen) < len(self.parts)
        yield from self._send_first(chosen, now)
        self._update_next_due(now)
        for part in self._missing_parts(now):
            yield from self._note_waiting_part(part, now)

    def _send_held(self, now: float) -> Iterator[Command]:
        """Send the hedges that were left to others, if still needed."""
        held_parts = self._held_parts
        self._held_parts = []
        for part in held_parts:
            if part.is_waiting:
                yield from self._send_repeat(part, 'late part', now)
        self._update_next_due(now)

    def _send_late(self, part: Part, now: float) -> Iterator[Command]:
        """Send a part that had no room when the others were sent."""
        upstream = self._choose_upstream(part, now)
        if upstream is not None:
            yield from self._send_first([(part, upstream)], now)

    def _wait_or_refuse(self, now: float) -> Iterator[Command]:
        """Queue a request of which nothing was sent, or refuse it."""
        queue = self._table.scheduling.queue
        waiting = self._make_waiting(self.parts)
        room = find_room(
            [part.service for part in self.parts],
            needed_parts(self._route, len(self.parts)),
            self._route,
            self._context,
            self._table,
            now,
        )
        ahead = queue.count_ahead(waiting, now)
        ready_at = room.ready_at + ahead * room.turn_seconds
        reason = ''
        if ready_at > self._wait_end:
            reason = REASON_TOO_LATE
        elif now >= self._wait_end:
            reason = REASON_WAITED
        elif not self.is_queued and not queue.has_place(waiting.customer):
            reason = REASON_QUEUE_FULL
        belief = Room(ready_at, room.turn_seconds)
        if reason:
            for part in self.parts:
                yield from self._explain_missing(part, now)
            yield self._refuse_waiting(reason, belief, ahead, now)
            return
        queue.add(waiting)
        self._next_due = min(
            self._wait_end, max(ready_at, now + MIN_STEP_SECONDS * (1 + ahead))
        )
        if not self.is_queued:
            self.is_queued = True
            yield LogEvent(
                EVENT_REQUEST_WAITS,
                request=self.request_id,
                wait_ms=_milliseconds(self._wait_end - now),
                services=self._describe_short_services(now),
                room_ms=_milliseconds(ready_at - now),
                ahead=ahead,
            )

    def _refuse_waiting(
        self, reason: str, room: Room, ahead: int, now: float
    ) -> LogEvent:
        """Refuse a request of which nothing was sent."""
        scheduling = self._table.scheduling
        scheduling.queue.remove(self)
        scheduling.refused[reason] += 1
        self.is_queued = False
        ready_at = room.ready_at
        if ready_at >= NEVER:
            ready_at = now + RETRY_AFTER_SECONDS
        answer = self._refuse()
        answer.cause = f'{answer.cause}: {reason}'
        answer.retry_after = scheduling.turns.take(
            self._route.name,
            ready_at,
            room.turn_seconds,
            self.deadline - now,
            now,
        )
        self.answer = answer
        return LogEvent(
            EVENT_NO_ROOM,
            request=self.request_id,
            route=self._route.name,
            ms=_milliseconds(now - self._started),
            reason=reason,
            services=self._describe_short_services(now),
            room_ms=_milliseconds(room.ready_at - now),
            ahead=ahead,
            retry_ms=_milliseconds(answer.retry_after),
        )

    def _make_waiting(self, parts: list[Part]) -> Waiting:
        return Waiting(
            self,
            self._context.customer,
            self._context.priority,
            frozenset(part.service for part in parts),
            len(parts) * service_seconds(self._route, self._table),
            self._started,
        )

    def _describe_short_services(self, now: float) -> str:
        short = [
            part.service
            for part in self.parts
            if self._free_at(part, now) > now
        ]
        if len(short) > _MAX_NAMED:
            return f'{short[0]} and {len(short) - 1} others'
        return ', '.join(short)

    def _choose_upstream(
        self, part: Part, now: float, *, tries_target: bool = False
    ) -> Upstream | None:
        """Return a searcher that is not full, if any."""
        return choose_upstream(
            part.service,
            self._route,
            self._unfit_ids(part, now, is_now=True),
            self._table,
            now,
            is_hedge=bool(part.open_attempts),
            tries_target=tries_target,
            context=self._context,
        )

    def _unfit_ids(self, part: Part, now: float, *, is_now: bool) -> set[str]:
        """Return the searchers that a part does not go to.

        These are excluded or late, and if ``is_now`` full.
        """
        upstreams = self._table.upstreams_by_service.get(part.service, {})
        excluded_ids = self._excluded_ids(part)
        full_ids = full_searcher_ids(upstreams.values(), now)
        if not full_ids:
            return excluded_ids
        late_ids = late_searcher_ids(
            upstreams.values(), full_ids - excluded_ids, now
        )
        unfit_ids = excluded_ids | late_ids
        return unfit_ids | full_ids if is_now else unfit_ids

    def _excluded_ids(self, part: Part) -> set[str]:
        """Return the searchers that have, may have or may still run a part."""
        return {
            attempt.upstream.searcher_id
            for attempt in part.attempts
            if attempt.is_open
            or (part.service, attempt.upstream.searcher_id)
            not in self._turned_away
        }

    def _free_at(self, part: Part, now: float) -> float:
        """Return when a searcher has room for a part."""
        return free_at(
            part.service,
            self._route,
            self._context,
            self._unfit_ids(part, now, is_now=False),
            self._table,
            now,
        )

    def _missing_parts(self, now: float) -> list[Part]:
        """Return the parts that nobody works on and that room comes for."""
        if self.is_abandoned or not self._has_gaps:
            return []
        return [part for part in self.parts if self._is_missing(part, now)]

    def _is_missing(self, part: Part, now: float) -> bool:
        if part.reply is not None or part.open_attempts:
            return False
        if part.possible_runs:
            may_repeat = self._route.is_idempotent
            if not may_repeat or part.possible_runs >= self._route.attempts:
                return False
        most = self._route.attempts + MAX_REJECTED_DELIVERIES
        if part.possible_deliveries >= most:
            return False
        if len(part.attempts) >= MAX_SENDS_PER_PART:
            return False
        if part.possible_deliveries and self._budget_left(part, now) < 1:
            return False
        ready_at = self._free_at(part, now)
        seconds = service_seconds(self._route, self._table)
        return ready_at + seconds < self.deadline

    def _budget_left(self, part: Part, now: float) -> float:
        budget = self._table.budget(part.service)
        return budget.remaining(self._table.slack_share, now)

    def _note_waiting_part(self, part: Part, now: float) -> Iterator[Command]:
        if part.service in self._noted_parts:
            return
        self._noted_parts.add(part.service)
        yield LogEvent(
            EVENT_PART_WAITS,
            request=self.request_id,
            service=part.service,
            room_ms=_milliseconds(self._free_at(part, now) - now),
        )

    def _send_repeat(
        self, part: Part, reason: str, now: float
    ) -> Iterator[Command]:
        objection = ''
        if part.open_attempts:
            objection = self._hedge_objection(part, now)
        if not objection:
            yield from super()._send_repeat(part, reason, now)
            return
        if now < self._last_hedge_due:
            self._held_parts.append(part)
        yield LogEvent(
            EVENT_HEDGE_HELD,
            request=self.request_id,
            service=part.service,
            reason=objection,
        )

    def _hedge_objection(self, part: Part, now: float) -> str:
        if self._table.scheduling.queue.is_wanted(part.service, self):
            return 'others wait for room there'
        reserved = 0
        if now < self._last_hedge_due:
            reserved = reserved_repeats(self._context.priority, self._table)
        if self._budget_left(part, now) < 1 + reserved:
            return 'the budget is left to more urgent requests'
        target = self._choose_upstream(part, now)
        if target is None:
            return 'no searcher with room'
        return hedge_objection(part.open_attempts[0].upstream, target, now)

    def _record_outcome(
        self, attempt: Attempt, outcome: Outcome, now: float
    ) -> None:
        upstream = attempt.upstream
        if outcome.kind in _TURNED_AWAY:
            self._turned_away.add((attempt.part.service, upstream.searcher_id))
        if outcome.kind is OutcomeKind.SHED:
            seconds = service_seconds(self._route, self._table)
            upstream.full_until = now + seconds * upstream.slowness(now)
        if outcome.valid_reply is None:
            self._has_gaps = True
        super()._record_outcome(attempt, outcome, now)

    def _update_next_due(self, now: float) -> None:
        super()._update_next_due(now)
        if self._held_parts:
            due = max(self._last_hedge_due, now + MIN_STEP_SECONDS)
            self._next_due = min(self._next_due, due)
        missing = self._missing_parts(now)
        queue = self._table.scheduling.queue
        if missing:
            queue.add(self._make_waiting(missing))
        else:
            queue.remove(self)
        for part in missing:
            ready_at = self._free_at(part, now)
            self._next_due = min(
                self._next_due, max(ready_at, now + MIN_STEP_SECONDS)
            )

    def _finish_if_due(self, now: float, *, is_ending: bool = False) -> None:
        if self.answer is not None:
            return
        if self.is_queued:
            if is_ending:
                self._refuse_waiting(REASON_STOPPING, Room(NEVER, 0), 0, now)
            return
        if self._has_gaps and not is_ending and now < self.deadline:
            missing = self._missing_parts(now)
            if is_lost(self._route, self.parts, len(missing)):
                self._give_up(now)
                return
            is_due = now >= self._partial_answer_due
            is_enough = has_enough_parts(
                self._route, self.covered, len(self.parts)
            )
            if missing and not (is_due and is_enough):
                return
        super()._finish_if_due(now, is_ending=is_ending)
        if self.answer is not None:
            self._table.scheduling.queue.remove(self)

    def _give_up(self, now: float) -> None:
        scheduling = self._table.scheduling
        if self._turned_away:
            scheduling.throttle(self._route.name, now).count_turned_away(now)
        scheduling.given_up += 1
        scheduling.queue.remove(self)
        answer = make_failure(self._route, self.parts, is_past_deadline=False)
        answer.cause = f'too many parts are lost: {answer.cause}'
        self.answer = answer


def _milliseconds(seconds: float) -> float:
    """Return milliseconds for the log, -1 for never."""
    return round(seconds * _MS_PER_SECOND, 1) if seconds < NEVER else -1
