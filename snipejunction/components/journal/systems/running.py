"""Handling of the journal's responses and dispatch of runs."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.journal.const import (
    EVENT_ID_REUSED,
    MIN_RUN_SECONDS,
    POLL_INTERVAL_SECONDS,
    RUN_RESEND_SECONDS,
    STATUS_EXPIRED,
    STATUS_GRANTED,
    STATUS_NEW,
    STATUS_REUSED,
    STATUS_RUNNING,
)
from snipejunction.components.journal.messages import (
    JournalBeginResponse,
    JournalFinishRequest,
)
from snipejunction.components.journal.run import Run, RunPhase
from snipejunction.components.journal.systems.answering import (
    respond,
    respond_and_close,
)
from snipejunction.components.journal.systems.choosing import (
    choose_searcher,
    owner_of,
)
from snipejunction.components.journal.systems.client import send_outcome
from snipejunction.components.owner.messages import RunOnce
from snipejunction.const import (
    CODE_DEADLINE,
    CODE_ID_EXPIRED,
    CODE_ID_REUSED,
    CODE_NO_LEASE,
    CODE_NO_SNAPSHOT,
    CODE_OUTCOME_UNKNOWN,
)
from snipejunction.handling import handle
from snipejunction.node import Node
from snipejunction.verdict import Refusal, may_have_run_refusal, not_run_refusal


@handle.register
def _handle_begin_response(
    message: JournalBeginResponse,
    node: Node,
    now: float,
) -> Iterator[Command]:
    node.journal.leader = message.sender
    run = node.journal.find(message.run_id, message.token)
    if run is None:
        yield from _finish_abandoned(message, node)
    elif run.awaits_begin_response:
        yield from _handle_status(run, message, node, now)


def _handle_status(
    run: Run,
    message: JournalBeginResponse,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Act on the first response to a run; later copies are ignored."""
    if message.status == STATUS_GRANTED:
        yield from _dispatch(run, node, now)
    elif message.status == STATUS_NEW:
        yield from respond_and_close(run, run.refusal, b'', node, now)
    elif message.status == STATUS_RUNNING:
        yield from _wait_for_other_attempt(run, message.holder, node, now)
    else:
        yield from _replay(run, message, node, now)


def _finish_abandoned(
    message: JournalBeginResponse,
    node: Node,
) -> Iterator[Command]:
    """Record that an abandoned attempt of this host did not run.

    A dispatched run stays open until its outcome is committed. The attempt
    was therefore not dispatched, or its outcome is already committed and
    this request has no effect.
    """
    own_token_prefix = f'{node.name}/{node.identity.incarnation}/'
    if message.status != STATUS_GRANTED or not message.token.startswith(
        own_token_prefix
    ):
        return
    finish = JournalFinishRequest(
        message.run_id,
        message.key,
        message.token,
        not_run_refusal(
            CODE_DEADLINE, 'its deadline passed before it was begun'
        ),
        b'',
    )
    yield SendPeer(message.sender, finish)


def _dispatch(run: Run, node: Node, now: float) -> Iterator[Command]:
    """Dispatch a begun attempt unless a check before it fails."""
    refusal = _assign_searcher(run, node, now)
    if refusal is None:
        run.phase = RunPhase.DISPATCHED
        yield from send_run(run, node, now)
        return
    # Only this host can dispatch its token, and it was not dispatched.
    run.refusal = refusal
    yield from respond(run, refusal, b'', node, now)
    yield from send_outcome(run, node, now)


def _assign_searcher(
    run: Run,
    node: Node,
    now: float,
) -> Refusal | None:
    if run.deadline - now < MIN_RUN_SECONDS:
        return not_run_refusal(CODE_DEADLINE, 'no time was left to run it')
    if not node.lease.is_held(now):
        detail = 'this host may take no work now; ask another address'
        return not_run_refusal(CODE_NO_LEASE, detail)
    entry = choose_searcher(node, run.call.service, run.call.key, now)
    if entry is None:
        detail = 'no searcher with the shard of the key can be reached'
        return not_run_refusal(CODE_NO_SNAPSHOT, detail)
    run.searcher = entry.searcher
    run.owner = owner_of(node, entry)
    owner = node.view.current.hosts[run.owner]
    run.owner_incarnation = owner.incarnation
    return None


def send_run(run: Run, node: Node, now: float) -> Iterator[Command]:
    """Send the request to the owner of the searcher.

    An owner process dispatches a run id once, so the message is resent in
    case it was lost. A restarted owner ignores it.
    """
    run.resend_due = now + RUN_RESEND_SECONDS
    message = RunOnce(
        run.run_id,
        run.call.request_id,
        run.call.service,
        run.call.caller,
        run.searcher,
        max(0, run.deadline - now),
        run.call.body,
        run.call.traceparent,
        run.owner_incarnation,
    )
    yield SendPeer(run.owner, message)


def _wait_for_other_attempt(
    run: Run,
    holder: str,
    node: Node,
    now: float,
) -> Iterator[Command]:
    """Wait for another attempt, or respond if its host stopped."""
    name, incarnation, _ = holder.rsplit('/', 2)
    entry = node.view.current.hosts.get(name)
    if entry is None or entry.incarnation != incarnation:
        detail = f'the host {name} stopped while it ran the request'
        refusal = may_have_run_refusal(CODE_OUTCOME_UNKNOWN, detail)
        yield from respond_and_close(run, refusal, b'', node, now)
        return
    run.holder = holder
    run.resend_due = now + POLL_INTERVAL_SECONDS


def _replay(
    run: Run,
    message: JournalBeginResponse,
    node: Node,
    now: float,
) -> Iterator[Command]:
    refusal = message.refusal
    if message.status == STATUS_EXPIRED:
        detail = 'the id is older than the journal; it is not run again'
        refusal = may_have_run_refusal(CODE_ID_EXPIRED, detail)
    elif message.status == STATUS_REUSED:
        detail = 'the id belongs to a request with another body or key'
        refusal = not_run_refusal(CODE_ID_REUSED, detail, -1)
        yield LogEvent(
            EVENT_ID_REUSED,
            request_id=run.call.request_id,
            caller=run.call.caller,
            service=run.call.service,
        )
    yield from respond_and_close(
        run,
        refusal,
        message.payload,
        node,
        now,
        is_replay=refusal is None,
    )
