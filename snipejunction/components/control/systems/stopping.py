"""The planned stop of a host, in three stages.

Announcing: the host renews its lease as leaving and waits until the view
without it is settled. Draining: it serves until its address answers have
expired and no work is open. Transferring: it waits until it leads no
replicated log, then gives up its lease and exits. Only the first and the last
stage have a timeout.

Other hosts return this one in address answers until they have applied the
view in which it leaves. Once that view is settled, every host that holds a
lease has applied it, so the last such answer expires one
``ADDRESS_TTL_SECONDS`` later. A host without a lease may still return this
one; its callers fail to connect, so no request is sent, and they try the next
address.
"""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, LogEvent, SendPeer, StopProcess
from snipejunction.components.control.const import (
    ADDRESS_MARGIN_SECONDS,
    ADDRESS_TTL_SECONDS,
    DEPARTURE_TIMEOUT_SECONDS,
    EVENT_DEPARTURE_BEGUN,
    EVENT_DEPARTURE_DONE,
    EVENT_DEPARTURE_UNSETTLED,
    TRANSFER_TIMEOUT_SECONDS,
)
from snipejunction.components.control.departure import Departure, Stage
from snipejunction.components.control.lifecycle import Phase
from snipejunction.components.control.messages import GiveUpLease
from snipejunction.components.control.systems.group import leader_hint
from snipejunction.components.control.systems.renewals import renew
from snipejunction.components.control.systems.work import (
    is_idle,
    is_log_idle,
)
from snipejunction.const import HOST_ACTIVE
from snipejunction.handling import add_listener, on_tick
from snipejunction.messages import StopRequested
from snipejunction.node import Node


@on_tick
def advance_departure(node: Node, now: float) -> Iterator[Command]:
    """Advance a planned stop once the conditions of its stage hold."""
    departure = node.control.departure
    if departure is None or node.lifecycle.phase is Phase.STOPPED:
        return
    if departure.stage is Stage.ANNOUNCING:
        yield from _advance_announcing(departure, node, now)
    elif departure.stage is Stage.DRAINING:
        yield from _advance_draining(departure, node, now)
    elif departure.stage is Stage.TRANSFERRING:
        yield from _advance_transferring(departure, node, now)


def _begin_departure(
    notice: StopRequested, node: Node, now: float
) -> Iterator[Command]:
    if node.control.departure is not None:
        return
    node.control.departure = Departure(now)
    node.lifecycle.enter_phase(Phase.LEAVING)
    yield LogEvent(EVENT_DEPARTURE_BEGUN)
    yield from renew(node, now)


def _advance_announcing(
    departure: Departure,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if not _is_departure_settled(departure, node):
        if now < departure.entered_at + DEPARTURE_TIMEOUT_SECONDS:
            return
        yield LogEvent(EVENT_DEPARTURE_UNSETTLED)
    ttl_seconds = ADDRESS_TTL_SECONDS + ADDRESS_MARGIN_SECONDS
    node.lifecycle.extend_serving(now + ttl_seconds)
    departure.enter_stage(Stage.DRAINING, now)


def _is_departure_settled(departure: Departure, node: Node) -> bool:
    entry = node.view.current.hosts.get(node.name)
    if entry is not None and entry.state == HOST_ACTIVE:
        return False
    # Later views may follow; the first one without this host counts.
    departure.revision = departure.revision or node.view.revision
    return node.view.settled >= departure.revision


def _advance_draining(
    departure: Departure,
    node: Node,
    now: float,
) -> Iterator[Command]:
    if now >= node.lifecycle.serve_until and is_idle(node):
        departure.enter_stage(Stage.TRANSFERRING, now)
    return iter(())


def _advance_transferring(
    departure: Departure,
    node: Node,
    now: float,
) -> Iterator[Command]:
    is_timed_out = now >= departure.entered_at + TRANSFER_TIMEOUT_SECONDS
    if not is_idle(node) or not (is_timed_out or is_log_idle(node)):
        return
    renewals = node.control.renewals
    leader = leader_hint(node) or renewals.leader
    renewals.has_given_up = True
    node.lease.give_up()
    node.lifecycle.enter_phase(Phase.STOPPED)
    if leader and leader != node.name:
        yield SendPeer(leader, GiveUpLease(node.identity.incarnation))
    yield LogEvent(EVENT_DEPARTURE_DONE)
    yield StopProcess()


add_listener(StopRequested, _begin_departure)
