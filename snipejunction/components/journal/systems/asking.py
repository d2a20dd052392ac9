"""Admission and routing of non-idempotent requests."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from snipejunction.commands import Command
from snipejunction.components.admission.systems.admit import (
    release_slot,
    request_admission,
)
from snipejunction.components.admission.systems.entry import entry_refusal
from snipejunction.components.control.service_settings import ServiceSettings
from snipejunction.components.directory.systems.subscribe import (
    subscribe_to_routes,
)
from snipejunction.components.journal.const import (
    DEFAULT_DEADLINE_SECONDS,
    LOOKUP_TIMEOUT_SECONDS,
    MAX_OPEN_RUNS,
    ROUTING_TIMEOUT_SECONDS,
)
from snipejunction.components.journal.messages import (
    RunAdmitted,
    RunDeadlineReached,
    RunRequest,
    RunResponse,
)
from snipejunction.components.journal.run import Run, RunPhase
from snipejunction.components.journal.systems.choosing import choose_searcher
from snipejunction.components.journal.systems.client import send_begin
from snipejunction.const import (
    CODE_BAD_REQUEST,
    CODE_NO_SNAPSHOT,
    CODE_OVERLOAD,
)
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.verdict import Refusal, may_have_run_refusal, not_run_refusal

_RUN_ID_SEED_BITS: Final = 48


@handle.register
def _handle_run_request(
    message: RunRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    immediate_refusal = _immediate_refusal(message, node)
    if immediate_refusal is not None:
        yield RunResponse(message.call_id, b'', immediate_refusal)
        return
    service = node.settings.service(message.service)
    run = _open_run(message, service, node, now)
    yield from subscribe_to_routes(node, message.service, now)
    refusal = entry_refusal(
        node,
        message.caller,
        message.service,
        service,
        now,
    )
    if refusal is not None:
        yield from look_up_request(run, refusal, node, now)
        return
    reply = RunAdmitted(run.run_id, message.caller, message.service)
    yield from request_admission(node, reply, now)


@handle.register
def _handle_admission(
    message: RunAdmitted,
    node: Node,
    now: float,
) -> Iterator[Command]:
    run = node.journal.runs.get(message.run_id)
    if run is None or run.phase is not RunPhase.ADMITTING:
        if message.refusal is None:
            release_slot(node, message.caller, message.service, now)
        return
    if message.refusal is not None:
        yield from look_up_request(run, message.refusal, node, now)
        return
    run.is_admitted = True
    run.phase = RunPhase.ROUTING
    run.routing_deadline = now + ROUTING_TIMEOUT_SECONDS
    yield from route_run(run, node, now)


def route_run(run: Run, node: Node, now: float) -> Iterator[Command]:
    """Begin a run once a searcher is known; refuse it after a timeout."""
    entry = choose_searcher(node, run.call.service, run.call.key, now)
    if entry is not None:
        run.phase = RunPhase.BEGINNING
        yield from send_begin(run, node, now)
    elif now >= run.routing_deadline:
        detail = 'no searcher with the shard of the key can be reached'
        refusal = not_run_refusal(
            CODE_NO_SNAPSHOT, detail, ROUTING_TIMEOUT_SECONDS
        )
        yield from look_up_request(run, refusal, node, now)


def look_up_request(
    run: Run,
    refusal: Refusal,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Look up a request in the journal before its run is refused.

    An earlier attempt may have run, so only the journal can prove that the
    request did not run.
    """
    run.refusal = refusal
    run.phase = RunPhase.LOOKING_UP
    run.deadline = min(run.deadline, now + LOOKUP_TIMEOUT_SECONDS)
    node.timers.schedule(run.deadline, RunDeadlineReached(run.run_id))
    yield from send_begin(run, node, now)


def _open_run(
    message: RunRequest,
    service: ServiceSettings | None,
    node: Node,
    now: float,
) -> Run:
    run_id_seed = node.random.getrandbits(_RUN_ID_SEED_BITS)
    run_id = node.journal.next_run_id(run_id_seed)
    token = f'{node.name}/{node.identity.incarnation}/{run_id}'
    deadline = now + _deadline_seconds(message, service)
    run = Run(run_id, message, token, now, deadline)
    node.journal.add(run)
    node.timers.schedule(deadline, RunDeadlineReached(run_id))
    return run


def _deadline_seconds(
    message: RunRequest,
    service: ServiceSettings | None,
) -> float:
    if service is None:
        return message.deadline or DEFAULT_DEADLINE_SECONDS
    return min(message.deadline or service.deadline, service.max_deadline)


def _immediate_refusal(message: RunRequest, node: Node) -> Refusal | None:
    if not message.request_id:
        return not_run_refusal(CODE_BAD_REQUEST, 'request_id is missing', -1)
    if len(node.journal.runs) < MAX_OPEN_RUNS:
        return None
    # Without a lookup, an earlier attempt may have run.
    detail = f'{MAX_OPEN_RUNS} such requests are open here'
    return may_have_run_refusal(CODE_OVERLOAD, detail)
