"""Figures of a run that scripts bound."""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import Final, TypeAlias

from snipejunction.bench.recorder import HistoryEvent, Recorder

Window: TypeAlias = tuple[float, float]
Figure: TypeAlias = Callable[[Recorder, Window], float]

P99: Final = 0.99
P50: Final = 0.5
LOST_SECONDS: Final = 1000.0


def figure(name: str, recorder: Recorder, window: Window) -> float:
    """Return a figure over the requests that were asked in a window.

    Raises:
        KeyError: for a figure that does not exist.
    """
    return FIGURES[name](recorder, window)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of values, zero if there are none."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _inside(event: HistoryEvent, window: Window) -> bool:
    begin, end = window
    return begin <= float(event['asked']) <= end


def _answers(recorder: Recorder, window: Window) -> list[HistoryEvent]:
    return [
        event
        for event in recorder.of_kind('search_answered')
        if _inside(event, window) and event['answer'] is not None
    ]


def _searched(recorder: Recorder, window: Window) -> list[HistoryEvent]:
    ends = recorder.of_kind(
        'search_answered',
        'search_lost',
        'connection_refused',
    )
    return [event for event in ends if _inside(event, window)]


def _answered_share(recorder: Recorder, window: Window) -> float:
    searched = _searched(recorder, window)
    if not searched:
        return 0
    return len(_answers(recorder, window)) / len(searched)


def _answered(recorder: Recorder, window: Window) -> float:
    return len(_answers(recorder, window))


def _lost(recorder: Recorder, window: Window) -> float:
    searched = _searched(recorder, window)
    return sum(event.kind == 'search_lost' for event in searched)


def _coverage(recorder: Recorder, window: Window) -> float:
    shares = [
        event['answer'].coverage.share for event in _answers(recorder, window)
    ]
    return sum(shares) / len(shares) if shares else 0


def _worst_coverage(recorder: Recorder, window: Window) -> float:
    shares = [
        event['answer'].coverage.share for event in _answers(recorder, window)
    ]
    return min(shares, default=0)


def _seconds(recorder: Recorder, window: Window) -> list[float]:
    return [
        LOST_SECONDS if event['answer'] is None else event.when - event['asked']
        for event in recorder.of_kind('search_answered')
        if _inside(event, window)
    ]


def _p99(recorder: Recorder, window: Window) -> float:
    return quantile(_seconds(recorder, window), P99)


def _p50(recorder: Recorder, window: Window) -> float:
    return quantile(_seconds(recorder, window), P50)


def _extra(recorder: Recorder, window: Window) -> float:
    """Return the work that searchers did beyond what answers needed.

    A sub-request that its owner refused cost no searcher anything.
    """
    begin, end = window
    answers = [event['answer'] for event in _answers(recorder, window)]
    needed = sum(answer.needed_subs for answer in answers)
    done = sum(
        begin <= event.when <= end and not event['request_id']
        for event in recorder.of_kind('upstream_run')
    )
    return float((done - needed) / max(1, needed))


def _runs_done(recorder: Recorder, window: Window) -> float:
    begin, end = window
    done = {
        event['request_id']
        for event in recorder.of_kind('run_answered')
        if begin <= event.when <= end and event['refusal'] is None
    }
    return len(done)


def _changes_done(recorder: Recorder, window: Window) -> float:
    begin, end = window
    return sum(
        begin <= event.when <= end and event['refusal'] is None
        for event in recorder.of_kind('change_answered')
    )


def _changes_answered(recorder: Recorder, window: Window) -> float:
    begin, end = window
    answered = recorder.of_kind('change_answered')
    return sum(begin <= event.when <= end for event in answered)


def _conflicts(recorder: Recorder, window: Window) -> float:
    begin, end = window
    return sum(
        begin <= event.when <= end and event['refusal'] is not None
        for event in recorder.of_kind('change_answered')
    )


def _left(recorder: Recorder, window: Window) -> float:
    left = recorder.of_kind('leave_answered')
    return len({event['searcher'] for event in left})


def _stopped(recorder: Recorder, window: Window) -> float:
    return len(recorder.of_kind('stopped'))


def _accept_seconds(recorder: Recorder, window: Window) -> float:
    begin, end = window
    asked = {
        event['change_id']: event.when for event in recorder.of_kind('change')
    }
    times = [
        event.when - asked[event['change_id']]
        for event in recorder.of_kind('change_answered')
        if begin <= asked[event['change_id']] <= end
    ]
    return max(times, default=0)


FIGURES: Final[MappingProxyType[str, Figure]] = MappingProxyType(
    {
        'answered': _answered,
        'answered_share': _answered_share,
        'lost': _lost,
        'coverage': _coverage,
        'worst_coverage': _worst_coverage,
        'p99': _p99,
        'p50': _p50,
        'extra': _extra,
        'runs_done': _runs_done,
        'changes_answered': _changes_answered,
        'changes_done': _changes_done,
        'conflicts': _conflicts,
        'left': _left,
        'stopped': _stopped,
        'accept_seconds': _accept_seconds,
    },
)
