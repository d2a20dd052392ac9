"""Handling of journal requests by the leader."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver, SendPeer
from snipejunction.components.consensus.messages import FlushLog
from snipejunction.components.consensus.replica import Replica
from snipejunction.components.consensus.systems.proposals import (
    confirm,
    propose,
)
from snipejunction.components.journal.const import STATUS_NEW
from snipejunction.components.journal.machine import JournalMachine
from snipejunction.components.journal.messages import (
    BeginEntry,
    FinishEntry,
    JournalBeginRequest,
    JournalFinishRequest,
    JournalRedirect,
)
from snipejunction.const import GROUP_JOURNAL
from snipejunction.handling import handle
from snipejunction.helpers.wire import encode
from snipejunction.node import Node


@handle.register
def _handle_begin(
    message: JournalBeginRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(GROUP_JOURNAL)
    if replica is None or not replica.is_ready:
        yield from _redirect_or_hold(replica, message)
        return
    machine = _journal_machine(replica)
    status = machine.request_status(message)
    if status != STATUS_NEW:
        # A recorded status does not change, so the state may be stale.
        yield machine.make_response(message, status)
    elif message.is_lookup:
        yield from _start_lookup(replica, machine, message)
    elif message.token not in machine.pending_begins:
        yield from _propose_begin(replica, machine, message)


def _propose_begin(
    replica: Replica,
    machine: JournalMachine,
    message: JournalBeginRequest,
) -> Iterator[Command]:
    if replica.is_transferring:
        yield _redirect(None, message)
        return
    entry = BeginEntry(message.key, message.digest, message.token)
    if propose(replica, encode(entry)) is not None:
        machine.pending_begins[message.token] = message
        yield Deliver(FlushLog(GROUP_JOURNAL))


def _start_lookup(
    replica: Replica,
    machine: JournalMachine,
    message: JournalBeginRequest,
) -> Iterator[Command]:
    token = machine.add_pending_lookup(message)
    if confirm(replica, token):
        yield Deliver(FlushLog(GROUP_JOURNAL))


@handle.register
def _handle_finish(
    message: JournalFinishRequest,
    node: Node,
    now: float,
) -> Iterator[Command]:
    replica = node.consensus.replicas.get(GROUP_JOURNAL)
    if replica is None or not replica.is_ready:
        yield from _redirect_or_hold(replica, message)
        return
    machine = _journal_machine(replica)
    if message.token in machine.pending_finishes:
        return
    if replica.is_transferring:
        yield _redirect(None, message)
        return
    entry = FinishEntry(
        message.key,
        message.token,
        message.refusal,
        message.payload,
    )
    if propose(replica, encode(entry)) is not None:
        machine.pending_finishes[message.token] = message
        yield Deliver(FlushLog(GROUP_JOURNAL))


def _journal_machine(replica: Replica) -> JournalMachine:
    machine = replica.machine
    if not isinstance(machine, JournalMachine):
        raise TypeError(
            f'state machine of {replica.group} is a '
            f'{type(machine).__name__}, not a JournalMachine'
        )
    return machine


def _redirect_or_hold(
    replica: Replica | None,
    message: JournalBeginRequest | JournalFinishRequest,
) -> Iterator[Command]:
    if replica is not None and replica.is_leader:
        machine = _journal_machine(replica)
        if machine.hold_until_ready(message, replica.term):
            return
    yield _redirect(replica, message)


def _redirect(
    replica: Replica | None,
    message: JournalBeginRequest | JournalFinishRequest,
) -> SendPeer:
    leader = '' if replica is None else replica.leader_name
    return SendPeer(
        message.sender,
        JournalRedirect(message.run_id, message.token, leader or ''),
    )
