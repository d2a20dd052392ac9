"""Searchers: their limits, leaving, data centres out and planned stops."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.bench.recorder import HistoryEvent, Recorder
from snipejunction.const import STATE_IN, STATE_OUT
from snipejunction.proof.checkers.breach import Breach

PROMISE_LIMITS: Final = 'no more work than a searcher bears'
PROMISE_LEAVING: Final = 'no new work for a leaving upstream'
PROMISE_DRAINED: Final = 'no new work for a data centre taken out'
PROMISE_STOP: Final = 'a planned stop cuts off no request'
# Time in which new work must end after a drain is accepted.
DRAIN_BOUND_SECONDS: Final = 3.0
# A dispatch that left before the answer may still arrive.
TRANSIT_SECONDS: Final = 0.02


def check_limits(recorder: Recorder) -> Iterator[Breach]:
    """Yield what searchers counted as above their limits."""
    for event in recorder.of_kind('violation'):
        running = event['running']
        capacity = event['capacity']
        breach = event['breach']
        yield Breach(
            PROMISE_LIMITS,
            event.when,
            f'{breach} at {event["searcher"]}: {running} of {capacity}',
        )


def check_leaving(recorder: Recorder) -> Iterator[Breach]:
    """Yield work that came after a leaving upstream was answered."""
    answered = {
        event['searcher']: event.when
        for event in recorder.of_kind('leave_answered')
    }
    for event in recorder.of_kind('work_while_leaving'):
        since = answered.get(event['searcher'])
        if since is not None and event.when > since + TRANSIT_SECONDS:
            yield Breach(PROMISE_LEAVING, event.when, event['searcher'])


def check_drains(recorder: Recorder) -> Iterator[Breach]:
    """Yield work that came into a data centre after it was taken out."""
    drains = _Drains()
    for event in recorder.events:
        if event.kind == 'change':
            drains.note_asked(event)
        elif event.kind == 'change_answered' and event['refusal'] is None:
            drains.note_accepted(event)
        elif event.kind == 'upstream_run':
            yield from _check_work(event, drains.out_since)


class _Drains:
    """Which data centres are out, and since when.

    A drain that is answered only after its return was asked for promises
    nothing any more: both may be in force by then, in either order.
    """

    __slots__ = ('_asked', '_returned', 'out_since')

    def __init__(self) -> None:
        self._asked: dict[str, float] = {}
        self._returned: dict[str, float] = {}
        self.out_since: dict[str, float] = {}

    def note_asked(self, event: HistoryEvent) -> None:
        """Note a change; one that brings a data centre back ends its drain."""
        self._asked[event['change_id']] = event.when
        for place, when in _places(event, STATE_IN).items():
            self._returned[place] = when
            self.out_since.pop(place, None)

    def note_accepted(self, event: HistoryEvent) -> None:
        """Note that a drain is in force."""
        asked = self._asked[event['change_id']]
        for place, since in _places(event, STATE_OUT).items():
            if self._returned.get(place, 0) <= asked:
                self.out_since[place] = since


def check_stops(recorder: Recorder) -> Iterator[Breach]:
    """Yield requests that a planned stop cut off."""
    for event in recorder.of_kind('stopped'):
        if event['open_calls']:
            host = event['host']
            detail = f'{host} left {event["open_calls"]} calls open'
            yield Breach(PROMISE_STOP, event.when, detail)
    stopped = {
        event['host']: event.when for event in recorder.of_kind('stopped')
    }
    for event in recorder.of_kind('connection_refused'):
        since = stopped.get(event['host'])
        if since is not None and event.when >= since:
            detail = f'{event["host"]} was still in a kept answer'
            yield Breach(PROMISE_STOP, event.when, detail)


def _check_work(
    event: HistoryEvent,
    out_since: dict[str, float],
) -> Iterator[Breach]:
    place = event['data_centre']
    since = out_since.get(place)
    if since is not None and event.when > since + DRAIN_BOUND_SECONDS:
        yield Breach(PROMISE_DRAINED, event.when, place)


def _places(event: HistoryEvent, state: str) -> dict[str, float]:
    return {
        path.rsplit('/', 1)[-1]: event.when
        for path, document in event['written'].items()
        if path.startswith('/data-centres/') and document['state'] == state
    }
