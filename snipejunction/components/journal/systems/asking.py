"""Requests of callers that are not idempotent: checks and admission."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command
from snipejunction.components.admission.systems.admit import (
    ask_admission,
    leave,
)
from snipejunction.components.admission.systems.entry import refuse_entry
from snipejunction.components.control.service_settings import ServiceSettings
from snipejunction.components.directory.systems.subscribe import want_routes
from snipejunction.components.journal.const import (
    DEFAULT_DEADLINE_SECONDS,
    LOOKUP_SECONDS,
    MAX_OPEN_RUNS,
    ROUTES_WAIT_SECONDS,
)
from snipejunction.components.journal.messages import (
    RunAdmitted,
    RunDue,
    RunRequest,
    RunResponse,
)
from snipejunction.components.journal.run import Run, RunPhase
from snipejunction.components.journal.systems.choosing import choose_searcher
from snipejunction.components.journal.systems.client import ask_journal
from snipejunction.const import (
    CODE_BAD_REQUEST,
    CODE_NO_SNAPSHOT,
    CODE_OVERLOAD,
)
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.verdict import Refusal, may_have_run, not_run

_FIRST_ID_BITS: Final = 48


@handle.register
def _ask(message: RunRequest, node: Node, now: float) -> Iterator[Command]:
    unfit = _refusal_at_once(message, node)
    if unfit is not None:
        yield RunResponse(message.call_id, b'', unfit)
        return
    service = node.settings.service(message.service)
    run = _open_run(message, service, node, now)
    yield from want_routes(node, message.service, now)
    refusal = refuse_entry(
        node,
        message.caller,
        message.service,
        service,
        now,
    )
    if refusal is not None:
        yield from look_up(run, refusal, node, now)
        return
    reply = RunAdmitted(run.run_id, message.caller, message.service)
    yield from ask_admission(node, reply, now)


@handle.register
def _admit(
    message: RunAdmitted,
    node: Node,
    now: float,
) -> Iterator[Command]:
    run = node.journal.runs.get(message.run_id)
    if run is None or run.phase is not RunPhase.ADMITTING:
        if message.refusal is None:
            leave(node, message.caller, message.service, now)
        return
    if message.refusal is not None:
        yield from look_up(run, message.refusal, node, now)
        return
    run.is_admitted = True
    run.phase = RunPhase.ROUTING
    run.routes_due = now + ROUTES_WAIT_SECONDS
    yield from seek_searcher(run, node, now)


def seek_searcher(run: Run, node: Node, now: float) -> Iterator[Command]:
    """Begin once a searcher is known, or say that there is none."""
    entry = choose_searcher(node, run.call.service, run.call.key, now)
    if entry is not None:
        run.phase = RunPhase.BEGINNING
        yield from ask_journal(run, node, now)
    elif now >= run.routes_due:
        detail = 'no searcher with the shard of the key can be reached'
        refusal = not_run(CODE_NO_SNAPSHOT, detail, ROUTES_WAIT_SECONDS)
        yield from look_up(run, refusal, node, now)


def look_up(
    run: Run,
    refusal: Refusal,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Refuse a run unless the journal knows more of its request.

    An earlier attempt may have run, so only the journal can tell whether
    the request did not.
    """
    run.refusal = refusal
    run.phase = RunPhase.LOOKING_UP
    run.due = min(run.due, now + LOOKUP_SECONDS)
    node.timers.schedule(run.due, RunDue(run.run_id))
    yield from ask_journal(run, node, now)


def _open_run(
    message: RunRequest,
    service: ServiceSettings | None,
    node: Node,
    now: float,
) -> Run:
    first = node.random.getrandbits(_FIRST_ID_BITS)
    run_id = node.journal.next_id(first)
    token = f'{node.name}/{node.identity.incarnation}/{run_id}'
    due = now + _seconds_to_answer(message, service)
    run = Run(run_id, message, token, now, due)
    node.journal.add(run)
    node.timers.schedule(due, RunDue(run_id))
    return run


def _seconds_to_answer(
    message: RunRequest,
    service: ServiceSettings | None,
) -> float:
    if service is None:
        return message.deadline or DEFAULT_DEADLINE_SECONDS
    return min(message.deadline or service.deadline, service.max_deadline)


def _refusal_at_once(message: RunRequest, node: Node) -> Refusal | None:
    if not message.request_id:
        return not_run(CODE_BAD_REQUEST, 'request_id is missing', -1)
    if len(node.journal.runs) < MAX_OPEN_RUNS:
        return None
    # Without a lookup nothing is known of an earlier attempt.
    detail = f'{MAX_OPEN_RUNS} such requests are open here'
    return may_have_run(CODE_OVERLOAD, detail)
