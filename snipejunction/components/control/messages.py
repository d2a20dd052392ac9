"""Messages of the control component: changes and leases."""

from __future__ import annotations

from typing import Any

from snipejunction.commands import Command
from snipejunction.components.control.view import HostEntry
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage
from snipejunction.verdict import Refusal


class ChangeRequest(Message):
    """A settings change requested by an operator at this host.

    ``written`` maps paths to documents, None to remove one. ``base`` is the
    revision of the subtree that the operator last read. ``asked_at`` is in
    Unix seconds and only recorded in the history.
    """

    __slots__ = (
        'asked_at',
        'base',
        'call_id',
        'change_id',
        'operator',
        'written',
    )

    def __init__(
        self,
        call_id: int,
        operator: str,
        change_id: str,
        base: int,
        written: dict[str, Any],
        asked_at: float = 0,
    ) -> None:
        """Create a request; ``ChangeResponse`` answers it."""
        self.call_id = call_id
        self.operator = operator
        self.change_id = change_id
        self.base = base
        self.written = written
        self.asked_at = asked_at


class ChangeResponse(Command):
    """Answer an operator's change request.

    Without a refusal the change is in force on all hosts at ``revision``.
    For a conflict ``revision`` is that of the change it conflicted with.
    """

    __slots__ = ('call_id', 'refusal', 'revision')

    def __init__(
        self,
        call_id: int,
        revision: int,
        refusal: Refusal | None = None,
    ) -> None:
        """Create an answer to the call ``call_id``."""
        self.call_id = call_id
        self.revision = revision
        self.refusal = refusal


@wire(30)
class RenewLease(PeerMessage):
    """A host's request to the leader for a lease or to join the view.

    ``applied`` is the revision that it has applied. ``released`` is the
    highest view revision for which it has finished all work on keys that it
    owned only in earlier views.
    """

    __slots__ = ('applied', 'entry', 'released', 'renewal_id')

    def __init__(
        self,
        renewal_id: int,
        entry: HostEntry,
        applied: int,
        released: int,
    ) -> None:
        """Create a renewal; ``renewal_id`` increases in an incarnation."""
        self.renewal_id = renewal_id
        self.entry = entry
        self.applied = applied
        self.released = released


@wire(31)
class LeaseGranted(PeerMessage):
    """The leader's grant of a lease that starts when the renewal was sent.

    ``duration`` is in seconds. ``committed`` is the leader's revision and
    ``settled`` the revision up to which views are settled.
    """

    __slots__ = (
        'committed',
        'duration',
        'incarnation',
        'renewal_id',
        'settled',
    )

    def __init__(
        self,
        renewal_id: int,
        incarnation: str,
        duration: float,
        committed: int,
        settled: int,
    ) -> None:
        """Create a grant for one renewal of one incarnation."""
        self.renewal_id = renewal_id
        self.incarnation = incarnation
        self.duration = duration
        self.committed = committed
        self.settled = settled


@wire(32)
class LeaseRefused(PeerMessage):
    """The refusal of a renewal; ``leader`` is a hint, empty if unknown."""

    __slots__ = (
        'committed',
        'incarnation',
        'leader',
        'reason',
        'renewal_id',
    )

    def __init__(
        self,
        renewal_id: int,
        incarnation: str,
        reason: str,
        leader: str,
        committed: int,
    ) -> None:
        """Create a refusal of one renewal of one incarnation."""
        self.renewal_id = renewal_id
        self.incarnation = incarnation
        self.reason = reason
        self.leader = leader
        self.committed = committed


@wire(33)
class GiveUpLease(PeerMessage):
    """A stopping host gives up its lease and ignores later grants."""

    __slots__ = ('incarnation',)

    def __init__(self, incarnation: str) -> None:
        """Create a notice of the host's ``incarnation``."""
        self.incarnation = incarnation


@wire(34)
class ProposeChange(PeerMessage):
    """A change that the receiving host forwards to the leader.

    ``ask_id`` correlates the answer and stays the same in retries, which
    ``attempt`` counts. ``written`` is a JSON object of documents by path.
    """

    __slots__ = (
        'ask_id',
        'asked_at',
        'attempt',
        'base',
        'change_id',
        'operator',
        'written',
    )

    def __init__(
        self,
        ask_id: int,
        attempt: int,
        change_id: str,
        operator: str,
        asked_at: float,
        base: int,
        written: str,
    ) -> None:
        """Create the request of one attempt."""
        self.ask_id = ask_id
        self.attempt = attempt
        self.change_id = change_id
        self.operator = operator
        self.asked_at = asked_at
        self.base = base
        self.written = written


@wire(35)
class ChangeOutcome(PeerMessage):
    """The leader's final answer: in force on all hosts, or refused."""

    __slots__ = ('ask_id', 'refusal', 'revision')

    def __init__(
        self,
        ask_id: int,
        revision: int,
        refusal: Refusal | None,
    ) -> None:
        """Create an answer to the request ``ask_id``."""
        self.ask_id = ask_id
        self.revision = revision
        self.refusal = refusal


@wire(36)
class NotLeader(PeerMessage):
    """A host proposed nothing for an attempt because it does not lead."""

    __slots__ = ('ask_id', 'attempt', 'leader')

    def __init__(self, ask_id: int, attempt: int, leader: str) -> None:
        """Create an answer; ``leader`` is a hint, empty if unknown."""
        self.ask_id = ask_id
        self.attempt = attempt
        self.leader = leader


class CheckLease(Message):
    """Timer message: check whether the lease of this host expired."""

    __slots__ = ()
