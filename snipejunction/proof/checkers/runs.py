"""Non-idempotent requests: at most once, and truthful verdicts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from snipejunction.bench.recorder import HistoryEvent, Recorder
from snipejunction.proof.checkers.breach import Breach
from snipejunction.verdict import Verdict

PROMISE_ONCE = 'at most once'
PROMISE_NOT_RUN = 'not run means not run'
PROMISE_RAN = 'an outcome means it ran'


def check_runs(recorder: Recorder) -> Iterator[Breach]:
    """Yield the breaches of requests that are not idempotent."""
    starts: dict[str, list[float]] = defaultdict(list)
    for event in recorder.of_kind('upstream_run'):
        if event['request_id']:
            starts[event['request_id']].append(event.when)
    for request_id, times in starts.items():
        if len(times) > 1:
            yield Breach(PROMISE_ONCE, times[1], f'{request_id} ran twice')
    for event in recorder.of_kind('run_answered'):
        yield from _check_verdict(event, starts[event['request_id']])


def _check_verdict(
    event: HistoryEvent,
    times: list[float],
) -> Iterator[Breach]:
    refusal = event['refusal']
    has_run = any(when <= event.when for when in times)
    if refusal is None and not has_run:
        yield Breach(PROMISE_RAN, event.when, event['request_id'])
    if refusal is None or refusal.verdict is not Verdict.NOT_RUN:
        return
    if has_run:
        detail = f'{event["request_id"]}: {refusal.code}'
        yield Breach(PROMISE_NOT_RUN, event.when, detail)
