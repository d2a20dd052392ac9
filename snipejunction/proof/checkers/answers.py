"""Answers: one snapshot, true coverage, and the hits that it promises."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TypeAlias

from snipejunction.bench.fake_payloads import true_top
from snipejunction.bench.recorder import HistoryEvent, Recorder
from snipejunction.components.root.messages import SearchAnswer
from snipejunction.proof.checkers.breach import Breach

# The documents of each shard, by service, index version and layout.
Layouts: TypeAlias = Mapping[tuple[str, int, str], tuple[int, ...]]

PROMISE_SNAPSHOT = 'one snapshot'
PROMISE_COVERAGE = 'true coverage'
PROMISE_OWN_ANSWER = 'own whole answer'


def check_answers(recorder: Recorder, layouts: Layouts) -> Iterator[Breach]:
    """Yield the breaches in the answers to searches."""
    asked = {event['request_id'] for event in recorder.of_kind('search')}
    for event in recorder.of_kind('search_answered'):
        if event['request_id'] not in asked:
            yield Breach(PROMISE_OWN_ANSWER, event.when, 'never asked')
        if event['answer'] is None and event['refusal'] is None:
            yield Breach(PROMISE_OWN_ANSWER, event.when, 'empty answer')
        if event['answer'] is not None:
            yield from _check_answer(event, event['answer'], layouts)


def _check_answer(
    event: HistoryEvent,
    answer: SearchAnswer,
    layouts: Layouts,
) -> Iterator[Breach]:
    snapshot = answer.snapshot
    place = (event['service'], snapshot.version, snapshot.layout)
    documents = layouts.get(place)
    if documents is None:
        yield Breach(PROMISE_SNAPSHOT, event.when, f'no snapshot {snapshot}')
        return
    yield from _check_coverage(event.when, answer, documents)
    yield from _check_hits(event, answer, len(documents))


def _check_coverage(
    when: float,
    answer: SearchAnswer,
    documents: tuple[int, ...],
) -> Iterator[Breach]:
    coverage = answer.coverage
    missing = set(coverage.missing_shards)
    covered = sum(
        size for shard, size in enumerate(documents) if shard not in missing
    )
    if coverage.total != sum(documents):
        yield Breach(PROMISE_COVERAGE, when, f'total {coverage.total}')
    if coverage.covered != covered:
        yield Breach(
            PROMISE_COVERAGE,
            when,
            f'says {coverage.covered}, its shards have {covered}',
        )


def _check_hits(
    event: HistoryEvent,
    answer: SearchAnswer,
    shards: int,
) -> Iterator[Breach]:
    missing = set(answer.coverage.missing_shards)
    covered = [shard for shard in range(shards) if shard not in missing]
    top = max(len(answer.hits), 1)
    wanted = true_top(event['service'], answer.snapshot, covered, top)
    seen = [hit['id'] for hit in answer.hits]
    if seen != [hit['id'] for hit in wanted]:
        yield Breach(
            PROMISE_COVERAGE,
            event.when,
            f'{len(seen)} hits are not those of the covered shards',
        )
    snapshot = answer.snapshot
    mark = f'{snapshot.version}:{snapshot.layout}:'
    prefix = f'{event["service"]}:{mark}'
    if not all(name.startswith(prefix) for name in seen):
        yield Breach(PROMISE_SNAPSHOT, event.when, 'hits of two snapshots')
