"""Settings: one winner, in force within seconds, never reverted."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from snipejunction.bench.recorder import HistoryEvent, Recorder
from snipejunction.proof.checkers.breach import Breach

PROMISE_IN_FORCE: Final = 'accepted settings are in force everywhere'
PROMISE_NEVER_REVERTS: Final = 'settings never revert'
PROMISE_ONE_WINNER: Final = 'one winner of equal numbers'
PROMISE_NOT_RUN: Final = 'not run means not run'
# Parts of a path that name the subtree whose changes race.
SCOPE_PARTS: Final = 3


def check_settings(recorder: Recorder) -> Iterator[Breach]:
    """Yield the breaches in the history of settings."""
    yield from _check_in_force(recorder)
    yield from _check_order(recorder)
    yield from _check_winners(recorder)
    yield from _check_refused(recorder)


def _check_in_force(recorder: Recorder) -> Iterator[Breach]:
    accepted = 0
    for event in recorder.events:
        if event.kind == 'change_answered' and event['refusal'] is None:
            accepted = max(accepted, event['revision'])
        is_stale = (
            event.kind == 'sample'
            and event['has_lease']
            and event['revision'] < accepted
        )
        if is_stale:
            host = event['host']
            detail = f'{host} works at {event["revision"]} of {accepted}'
            yield Breach(PROMISE_IN_FORCE, event.when, detail)


def _check_order(recorder: Recorder) -> Iterator[Breach]:
    seen: dict[tuple[str, int], int] = {}
    for event in recorder.of_kind('sample'):
        process = (event['host'], event['incarnation'])
        if event['revision'] < seen.get(process, 0):
            detail = f'{event["host"]} went back to {event["revision"]}'
            yield Breach(PROMISE_NEVER_REVERTS, event.when, detail)
        seen[process] = event['revision']
    by_revision: dict[int, HistoryEvent] = {}
    for event in recorder.of_kind('documents'):
        first = by_revision.setdefault(event['revision'], event)
        if first['documents'] != event['documents']:
            detail = f'two states of revision {event["revision"]}'
            yield Breach(PROMISE_NEVER_REVERTS, event.when, detail)


def _check_winners(recorder: Recorder) -> Iterator[Breach]:
    winners: dict[tuple[str, int], set[str]] = defaultdict(set)
    accepted = [
        event
        for event in recorder.of_kind('change_answered')
        if event['refusal'] is None
    ]
    for event in accepted:
        for scope in _scopes(event):
            winners[scope, event['base']].add(event['change_id'])
    for (scope, base), change_ids in winners.items():
        if len(change_ids) > 1:
            detail = f'{scope} based on {base}: {sorted(change_ids)}'
            yield Breach(PROMISE_ONE_WINNER, 0, detail)


def _scopes(event: HistoryEvent) -> set[str]:
    return {
        '/'.join(path.split('/')[:SCOPE_PARTS]) for path in event['written']
    }


def _check_refused(recorder: Recorder) -> Iterator[Breach]:
    refused: dict[str, HistoryEvent] = {}
    for event in recorder.of_kind('change_answered'):
        refusal = event['refusal']
        if refusal is not None and refusal.verdict.may_retry:
            for path in event['written']:
                refused[path] = event
    accepted = {
        path
        for event in recorder.of_kind('change_answered')
        if event['refusal'] is None
        for path in event['written']
    }
    for event in recorder.of_kind('documents'):
        for path in refused.keys() - accepted:
            if path in event['documents'] and '/callers/' in path:
                yield Breach(PROMISE_NOT_RUN, event.when, path)
