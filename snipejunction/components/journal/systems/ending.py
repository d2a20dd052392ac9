"""Outcomes, deadlines and resends of runs."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent
from snipejunction.components.journal.const import (
    EVENT_OUTCOME_UNKNOWN,
    LATE_RESULT_SECONDS,
)
from snipejunction.components.journal.messages import (
    JournalFinishResponse,
    RunDeadlineReached,
)
from snipejunction.components.journal.run import Run, RunPhase
from snipejunction.components.journal.systems.answering import (
    respond,
    respond_and_close,
)
from snipejunction.components.journal.systems.asking import route_run
from snipejunction.components.journal.systems.client import (
    is_retry_due,
    retry,
    send_begin,
    send_outcome,
    switch_control_host,
)
from snipejunction.components.journal.systems.running import send_run
from snipejunction.components.owner.messages import RunOnceResult
from snipejunction.const import (
    CODE_DEADLINE,
    CODE_IN_PROGRESS,
    CODE_NO_LEADER,
    CODE_OUTCOME_UNKNOWN,
)
from snipejunction.handling import add_listener, handle, on_tick
from snipejunction.messages import PeerLost
from snipejunction.node import Node
from snipejunction.verdict import Refusal, may_have_run_refusal, not_run_refusal


@handle.register
def _handle_run_result(
    message: RunOnceResult,
    node: Node,
    now: float,
) -> Iterator[Command]:
    run = node.journal.runs.get(message.run_id)
    if run is None or run.phase is not RunPhase.DISPATCHED:
        return
    if message.sender != run.owner:
        return
    run.refusal = message.refusal
    run.payload = message.payload
    yield from send_outcome(run, node, now)


@handle.register
def _handle_finish_response(
    message: JournalFinishResponse,
    node: Node,
    now: float,
) -> Iterator[Command]:
    run = node.journal.find(message.run_id, message.token)
    if run is None or run.phase is not RunPhase.FINISHING:
        return
    yield from respond_and_close(run, run.refusal, run.payload, node, now)


@handle.register
def _handle_deadline(
    message: RunDeadlineReached,
    node: Node,
    now: float,
) -> Iterator[Command]:
    run = node.journal.runs.get(message.run_id)
    if run is None or now < run.deadline:
        return
    if run.phase is RunPhase.DISPATCHED:
        detail = 'no outcome came within its deadline'
        refusal = may_have_run_refusal(CODE_DEADLINE, detail)
        yield from respond(run, refusal, b'', node, now)
    elif run.phase is RunPhase.FINISHING:
        # The outcome is known here but not recorded in the journal yet.
        yield from respond(run, run.refusal, run.payload, node, now)
    elif run.phase is RunPhase.BEGINNING and not run.holder:
        yield from respond(run, _unknown_outcome(run), b'', node, now)
        # The journal may have begun the attempt, so record it as not run.
        detail = 'its deadline passed before it was begun'
        run.refusal = not_run_refusal(CODE_DEADLINE, detail)
        yield from send_outcome(run, node, now)
    else:
        # An earlier attempt may have run.
        yield from respond_and_close(run, _unknown_outcome(run), b'', node, now)


def _unknown_outcome(run: Run) -> Refusal:
    if run.holder:
        detail = 'an earlier attempt still runs'
        return may_have_run_refusal(CODE_IN_PROGRESS, detail)
    if run.phase in {RunPhase.ADMITTING, RunPhase.ROUTING}:
        detail = 'its deadline passed before the journal was asked'
        return may_have_run_refusal(CODE_DEADLINE, detail)
    detail = 'the journal did not answer in time'
    if run.refusal is None:
        return may_have_run_refusal(CODE_NO_LEADER, detail)
    return may_have_run_refusal(
        run.refusal.code, f'{run.refusal.detail}; {detail}'
    )


@on_tick
def run_journal(node: Node, now: float) -> Iterator[Command]:
    """Resend unanswered requests and end runs without an outcome."""
    runs = list(node.journal.runs.values())
    unanswered_runs = [run for run in runs if _is_resend_due(run, now)]
    contact = node.journal.leader or node.journal.contacted_host
    if any(
        run.contact.host == contact and not run.holder
        for run in unanswered_runs
    ):
        switch_control_host(node)
    for unanswered_run in unanswered_runs:
        yield from _resend(unanswered_run, node, now)
    for run in runs:
        if is_retry_due(run, now):
            yield from retry(run, node, now)
    for run in runs:
        if run.phase is RunPhase.ROUTING:
            yield from route_run(run, node, now)
        elif run.phase is RunPhase.DISPATCHED:
            yield from _check_dispatched(run, node, now)


def _handle_peer_lost(
    notice: PeerLost,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Switch to another control host when the contacted one is lost."""
    table = node.journal
    if notice.host != (table.leader or table.contacted_host):
        return
    switch_control_host(node)
    for run in list(table.runs.values()):
        if run.awaits_journal:
            yield from _resend(run, node, now)


def _is_resend_due(run: Run, now: float) -> bool:
    return now >= run.resend_due and run.awaits_journal


def _resend(run: Run, node: Node, now: float) -> Iterator[Command]:
    if run.phase is RunPhase.FINISHING:
        run.finish_resends += 1
        yield from send_outcome(run, node, now)
    else:
        yield from send_begin(run, node, now)


def _check_dispatched(run: Run, node: Node, now: float) -> Iterator[Command]:
    owner = node.view.current.hosts.get(run.owner)
    is_owner_gone = owner is None or owner.incarnation != run.owner_incarnation
    if is_owner_gone or now >= run.deadline + LATE_RESULT_SECONDS:
        detail = 'the owner of its searcher did not state its outcome'
        run.refusal = may_have_run_refusal(CODE_OUTCOME_UNKNOWN, detail)
        yield LogEvent(
            EVENT_OUTCOME_UNKNOWN,
            request_id=run.call.request_id,
            caller=run.call.caller,
            service=run.call.service,
        )
        yield from send_outcome(run, node, now)
    elif now >= run.resend_due:
        yield from send_run(run, node, now)


add_listener(PeerLost, _handle_peer_lost)
