"""The state machine of the deployment group."""

from __future__ import annotations

from collections.abc import Iterator
from functools import singledispatch

import msgpack

from snipejunction.commands import Command, LogEvent, SendPeer
from snipejunction.components.consensus.conditional import (
    ConditionalEntry,
    Revisions,
)
from snipejunction.components.consensus.machine import register_machine
from snipejunction.components.deployment.const import (
    EVENT_DOCUMENT_ACCEPTED,
    EVENT_DRAIN_ACCEPTED,
    EVENT_ORDER_OVERTAKEN,
)
from snipejunction.components.deployment.messages import (
    DocumentEntry,
    DrainEntry,
    OrderCommitted,
    OrderResult,
    ReadConfirmed,
    ReadResult,
)
from snipejunction.components.deployment.packing import unpack_document
from snipejunction.components.deployment.systems.host_updates import (
    send_deployment_to_all,
)
from snipejunction.components.deployment.systems.reading import answer_reads
from snipejunction.components.deployment.tables import DeploymentState
from snipejunction.components.registration.const import (
    EVENT_DEPARTURE_ACCEPTED,
    STATE_NAMES,
)
from snipejunction.components.registration.departures import unpack_departures
from snipejunction.components.registration.messages import DepartureEntry
from snipejunction.components.registration.systems.departing import (
    apply_all_departures,
    apply_departure,
)
from snipejunction.components.rollouts.messages import (
    RolloutStartEntry,
    RolloutStateEntry,
    VersionPinEntry,
)
from snipejunction.components.rollouts.systems.applying import (
    apply_pins,
    apply_start,
    apply_state,
    note_records,
)
from snipejunction.components.rollouts.tables import unpack_rollouts
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.helpers.wire import decode
from snipejunction.node import Node
from snipejunction.timers import NEVER


class DeploymentMachine:
    """Applies committed entries and answers the pending calls."""

    __slots__ = ('_state',)

    def __init__(self) -> None:
        """Create a machine in the initial state."""
        self._state = DeploymentState()

    def apply(
        self,
        node: Node,
        index: int,
        term: int,
        payload: bytes,
        now: float,
    ) -> Iterator[Command]:
        """Apply an entry, send it to the entry hosts, then answer calls."""
        self._state.index = index
        node.deployment.state = self._state
        entry = decode(payload)
        overtaken_by = _find_newer_revision(entry, self._state)
        conflict = ''
        if overtaken_by:
            yield _overtaken_event(entry, self._state)
        else:
            conflict = _find_conflict(entry, self._state)
            yield from _apply_entry(entry, node, now)
            if isinstance(entry, ConditionalEntry) and not conflict:
                self._state.revisions.advance(entry, index)
        yield from send_deployment_to_all(node, now)
        yield from answer_reads(node)
        order = node.deployment.orders.pop(index, None)
        if order is None or order.term != term:
            # The entry at this index is from another leader, so the outcome
            # of the order is unknown here.
            return
        if order.origin:
            committed = OrderCommitted(order.call_id, conflict, overtaken_by)
            yield SendPeer(order.origin, committed)
        else:
            yield OrderResult(
                order.call_id,
                not conflict and not overtaken_by,
                conflict,
                overtaken_by,
            )

    def snapshot(self) -> bytes:
        """Return the whole state."""
        state = self._state
        fields = [
            state.index,
            state.version,
            state.content,
            state.drained,
            state.update_index,
            state.departures.pack(),
            state.rollouts.pack(),
            state.revisions.pack(),
        ]
        return bytes(msgpack.packb(fields))

    def restore(
        self,
        node: Node,
        state: bytes,
        index: int,
        now: float,
    ) -> Iterator[Command]:
        """Replace the state and send it to the entry hosts."""
        self._state = DeploymentState()
        if state:
            _unpack_state(state, self._state)
        node.deployment.state = self._state
        yield from apply_all_departures(node, now)
        note_records(node, now)
        yield from send_deployment_to_all(node, now)
        yield from answer_reads(node)

    def on_confirmed(
        self,
        node: Node,
        token: int,
        now: float,
    ) -> Iterator[Command]:
        """Answer a read once a quorum has confirmed the leader."""
        read = node.deployment.reads.pop(token, None)
        if read is None:
            return
        call_id, origin = read
        state = node.deployment.state
        if origin:
            yield SendPeer(origin, ReadConfirmed(call_id, state.index))
        else:
            content = unpack_document(state.content)
            yield ReadResult(call_id, state.version, content)

    def on_leadership(
        self,
        node: Node,
        is_leader: bool,
        now: float,
    ) -> Iterator[Command]:
        """Drop all pending calls; operators send them again."""
        node.deployment.orders.clear()
        node.deployment.reads.clear()
        node.rollouts.proposals.clear()
        node.rollouts.led_since = now if is_leader else NEVER
        return iter(())


def _unpack_state(packed: bytes, state: DeploymentState) -> None:
    fields = msgpack.unpackb(packed)
    state.index = fields[0]
    state.version = fields[1]
    state.content = fields[2]
    state.drained = fields[3]
    # Snapshots of earlier releases end here.
    state.update_index = state.index
    if len(fields) > 4:
        state.update_index = fields[4]
        state.departures = unpack_departures(fields[5])
    if len(fields) > 6:
        state.rollouts = unpack_rollouts(fields[6])
    if len(fields) > 7:
        state.revisions = Revisions(fields[7])


def _find_newer_revision(entry: object, state: DeploymentState) -> int:
    """Return the revision that overtook an entry, 0 if none did.

    An order that agrees with the state is not overtaken: it is acknowledged
    again, as a sender repeats it that got no answer.
    """
    if not isinstance(entry, ConditionalEntry):
        # It names what it is about: the version of the document, the start of
        # the searcher or the number of the roll-out.
        return 0
    if not state.revisions.is_overtaken(entry) or _is_in_force(entry, state):
        return 0
    return state.revisions.of(entry.subject)


def _overtaken_event(
    entry: ConditionalEntry, state: DeploymentState
) -> LogEvent:
    return LogEvent(
        EVENT_ORDER_OVERTAKEN,
        subject=entry.subject,
        base=entry.base,
        revision=state.revisions.of(entry.subject),
        index=state.index,
    )


@singledispatch
def _is_in_force(entry: object, state: DeploymentState) -> bool:
    """Return whether the state is already as an order wants it."""
    return False


@_is_in_force.register
def _is_drain_in_force(entry: DrainEntry, state: DeploymentState) -> bool:
    return state.drained.get(entry.data_centre, False) == entry.is_out


@_is_in_force.register
def _is_rollout_in_force(
    entry: RolloutStartEntry, state: DeploymentState
) -> bool:
    return state.rollouts.is_repeated(entry)


@singledispatch
def _find_conflict(entry: object, state: DeploymentState) -> str:
    """Return why an entry changes nothing, empty if nothing opposes it."""
    return ''


@_find_conflict.register
def _find_rollout_conflict(
    entry: RolloutStartEntry, state: DeploymentState
) -> str:
    return state.rollouts.find_conflict(entry)


@singledispatch
def _apply_entry(entry: object, node: Node, now: float) -> Iterator[Command]:
    """Apply an entry to the state of the node."""
    return iter(())


@_apply_entry.register
def _apply_document(
    entry: DocumentEntry, node: Node, now: float
) -> Iterator[Command]:
    state = node.deployment.state
    if entry.version > state.version:
        state.version = entry.version
        state.content = entry.content
        state.update_index = state.index
        yield LogEvent(
            EVENT_DOCUMENT_ACCEPTED,
            version=entry.version,
            index=state.index,
        )


@_apply_entry.register
def _apply_drain(
    entry: DrainEntry, node: Node, now: float
) -> Iterator[Command]:
    state = node.deployment.state
    state.drained[entry.data_centre] = entry.is_out
    state.update_index = state.index
    yield LogEvent(
        EVENT_DRAIN_ACCEPTED,
        data_centre=entry.data_centre,
        is_out=entry.is_out,
        index=state.index,
    )


@_apply_entry.register
def _apply_departure(
    entry: DepartureEntry, node: Node, now: float
) -> Iterator[Command]:
    state = node.deployment.state
    if not state.departures.add(entry.searcher):
        return
    yield LogEvent(
        EVENT_DEPARTURE_ACCEPTED,
        searcher=entry.searcher.searcher_id,
        state=STATE_NAMES[entry.searcher.state],
        index=state.index,
    )
    yield from apply_departure(entry.searcher, node, now)


_apply_entry.register(RolloutStartEntry, apply_start)
_apply_entry.register(RolloutStateEntry, apply_state)
_apply_entry.register(VersionPinEntry, apply_pins)
register_machine(GROUP_DEPLOYMENT, DeploymentMachine)
