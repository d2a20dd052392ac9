"""Responses to callers and the removal of runs."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, EndSpan, IncrementCounter
from snipejunction.components.admission.systems.admit import release_slot
from snipejunction.components.journal.const import (
    METRIC_REPLAYS,
    METRIC_RUNS,
    METRIC_UNKNOWN,
)
from snipejunction.components.journal.messages import RunResponse
from snipejunction.components.journal.run import Run
from snipejunction.node import Node
from snipejunction.verdict import Refusal, Verdict


def respond(
    run: Run,
    refusal: Refusal | None,
    payload: bytes,
    node: Node,
    now: float,
    *,
    is_replay: bool = False,
) -> Iterator[Command]:
    """Respond to the caller of a run unless that was done before."""
    if run.is_answered:
        return
    run.is_answered = True
    if run.is_admitted:
        release_slot(node, run.call.caller, run.call.service, now)
    yield RunResponse(run.call.call_id, payload, refusal, is_replay)
    yield IncrementCounter(METRIC_REPLAYS if is_replay else METRIC_RUNS)
    verdict = Verdict.RAN if refusal is None else refusal.verdict
    if verdict is Verdict.MAY_HAVE_RUN:
        yield IncrementCounter(METRIC_UNKNOWN)
    if run.call.traceparent:
        yield EndSpan(
            'run once',
            run.call.traceparent,
            run.started_at,
            now,
            service=run.call.service,
            verdict=verdict.value,
            is_replay=is_replay,
        )


def respond_and_close(
    run: Run,
    refusal: Refusal | None,
    payload: bytes,
    node: Node,
    now: float,
    *,
    is_replay: bool = False,
) -> Iterator[Command]:
    """Respond to the caller of a finished run and remove the run."""
    node.journal.remove(run)
    yield from respond(
        run,
        refusal,
        payload,
        node,
        now,
        is_replay=is_replay,
    )
