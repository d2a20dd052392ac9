"""Times of settings, drains, leaving upstreams and takeovers."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any, Final

from snipejunction.bench.recorder import HistoryEvent
from snipejunction.commands import EventKind
from snipejunction.components.control.const import EVENT_CHANGE_IN_FORCE
from snipejunction.components.owner.const import EVENT_SEARCHER_REGISTERED
from snipejunction.const import STATE_OUT
from snipejunction.proof.judge import run_script
from snipejunction.proof.script import Script
from snipejunction.proof.stage import Stage

ASKED_TO_ACCEPTED: Final = 'asked to accepted'
COMMITTED_TO_IN_FORCE: Final = 'committed to in force'
DRAIN_TO_LAST_WORK: Final = 'drain asked to last new work'
LEAVE_TO_ANSWER: Final = 'leaving to answered'
KILL_TO_TAKEOVER: Final = 'kill to takeover'


def times_of(script: Script, seeds: Sequence[int]) -> dict[str, list[float]]:
    """Return the seconds that runs of a script took, by what they are."""
    times: dict[str, list[float]] = {}
    for seed in seeds:
        stage = run_script(script, seed).stage
        for name, seconds in _times(stage):
            times.setdefault(name, []).append(seconds)
    return times


def _times(stage: Stage) -> Iterator[tuple[str, float]]:
    for seconds in _accept_times(stage):
        yield ASKED_TO_ACCEPTED, seconds
    for _, _, event_fields in _logged(stage, EVENT_CHANGE_IN_FORCE):
        yield COMMITTED_TO_IN_FORCE, float(event_fields['seconds'])
    for seconds in _drain_times(stage):
        yield DRAIN_TO_LAST_WORK, seconds
    for seconds in _leave_times(stage):
        yield LEAVE_TO_ANSWER, seconds
    for seconds in _takeover_times(stage):
        yield KILL_TO_TAKEOVER, seconds


def _accept_times(stage: Stage) -> Iterator[float]:
    recorder = stage.run.recorder
    asked = {
        event['change_id']: event.when for event in recorder.of_kind('change')
    }
    for event in recorder.of_kind('change_answered'):
        if event['refusal'] is None:
            yield event.when - asked[event['change_id']]


def _drain_times(stage: Stage) -> Iterator[float]:
    recorder = stage.run.recorder
    for asked in recorder.of_kind('change'):
        for path, document in asked['written'].items():
            is_drain = path.startswith('/data-centres/')
            if is_drain and document['state'] == STATE_OUT:
                place = path.rsplit('/', 1)[-1]
                yield _last_work(stage, place, asked) - asked.when


def _last_work(stage: Stage, place: str, asked: HistoryEvent) -> float:
    """Return when the last work came before the data centre returned."""
    recorder = stage.run.recorder
    path = f'/data-centres/{place}'
    back = min(
        (
            event.when
            for event in recorder.of_kind('change')
            if event.when > asked.when and path in event['written']
        ),
        default=stage.script.end,
    )
    return max(
        (
            event.when
            for event in recorder.of_kind('upstream_run')
            if event['data_centre'] == place and asked.when <= event.when < back
        ),
        default=asked.when,
    )


def _leave_times(stage: Stage) -> Iterator[float]:
    recorder = stage.run.recorder
    left = {
        event['arguments'][0]: event.when
        for event in recorder.of_kind('action')
        if event['verb'] == 'leave'
    }
    for event in recorder.of_kind('leave_answered'):
        since = left.pop(event['searcher'], None)
        if since is not None:
            yield event.when - since


def _takeover_times(stage: Stage) -> Iterator[float]:
    owned = list(_logged(stage, EVENT_SEARCHER_REGISTERED))
    kills = [
        event
        for event in stage.run.recorder.of_kind('action')
        if event['verb'] in {'kill', 'isolate'}
    ]
    for kill in kills:
        host = kill['arguments'][0]
        lost = _owned_by(owned, host, kill.when)
        for searcher in lost:
            later = [
                when
                for when, other, event_fields in owned
                if when > kill.when
                and other != host
                and event_fields['searcher'] == searcher
            ]
            if later:
                yield min(later) - kill.when


def _owned_by(
    owned: list[tuple[float, str, dict[str, Any]]],
    host: str,
    until: float,
) -> set[object]:
    owners: dict[object, str] = {}
    for when, name, event_fields in owned:
        if when <= until:
            owners[event_fields['searcher']] = name
    return {searcher for searcher, name in owners.items() if name == host}


def _logged(
    stage: Stage,
    kind: EventKind,
) -> list[tuple[float, str, dict[str, Any]]]:
    logged = [
        (when, host.name, command.fields)
        for host in stage.run.hosts.values()
        for when, command in host.events
        if command.event is kind
    ]
    logged.sort(key=lambda entry: entry[0])
    return logged
