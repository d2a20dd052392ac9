"""Messages, entries and commands of the deployment component."""

from __future__ import annotations

from typing import Final, TypeAlias

from snipejunction.commands import Command
from snipejunction.components.consensus.conditional import (
    UNCONDITIONAL,
    ConditionalEntry,
)
from snipejunction.components.consensus.messages import LeaderRequest
from snipejunction.components.registration.messages import DepartureEntry
from snipejunction.components.rollouts.messages import (
    RolloutRecord,
    RolloutStartEntry,
)
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage

# Defaults are compared with fields, and copied into them.
_NO_ROLLOUTS: Final[list[RolloutRecord]] = []  # noqa: WPS407
_NO_VERSIONS: Final[dict[str, str]] = {}  # noqa: WPS407


@wire(140)
class DocumentEntry(Record):
    """Log entry with a whole document; the highest version wins."""

    __slots__ = ('content', 'version')

    def __init__(self, version: int, content: bytes) -> None:
        """Create an entry; ``content`` is the packed document."""
        self.version = version
        self.content = content


@wire(141, optional_fields=1)
class DrainEntry(ConditionalEntry):
    """Log entry that drains a data centre or puts it back in service."""

    __slots__ = ('data_centre', 'is_out')

    def __init__(
        self, data_centre: str, is_out: bool, base: int = UNCONDITIONAL
    ) -> None:
        """Create an entry."""
        self.data_centre = data_centre
        self.is_out = is_out
        self.base = base

    @property
    def subject(self) -> str:
        """Return the data centre."""
        return f'data centre {self.data_centre}'


OrderEntry: TypeAlias = (
    DocumentEntry | DrainEntry | DepartureEntry | RolloutStartEntry
)


class CallPeerMessage(PeerMessage):
    """A message about a call that is pending at the host that forwarded it."""

    __slots__ = ('call_id',)


class CallMessage(Message):
    """A message about a pending call of this host."""

    __slots__ = ('call_id',)


@wire(142)
class OrderForwarded(CallPeerMessage):
    """An operator's order, forwarded to the leader."""

    __slots__ = ('payload',)

    def __init__(self, call_id: int, payload: bytes) -> None:
        """Create a request; ``payload`` is an encoded entry."""
        self.call_id = call_id
        self.payload = payload


@wire(143, optional_fields=2)
class OrderCommitted(CallPeerMessage):
    """The leader's answer: the order is committed and applied.

    ``conflict`` says why it changed nothing, empty if nothing opposed it.
    ``overtaken_by`` is the revision of its subject if that is newer than the
    order, else 0.
    """

    __slots__ = ('conflict', 'overtaken_by')

    def __init__(
        self, call_id: int, conflict: str = '', overtaken_by: int = 0
    ) -> None:
        """Create an answer to the host that forwarded the order."""
        self.call_id = call_id
        self.conflict = conflict
        self.overtaken_by = overtaken_by


@wire(144)
class ReadForwarded(CallPeerMessage):
    """A read of the document, forwarded to the leader."""

    __slots__ = ()

    def __init__(self, call_id: int) -> None:
        """Create a request."""
        self.call_id = call_id


@wire(145)
class ReadConfirmed(CallPeerMessage):
    """The log index up to which a read must wait.

    A quorum confirmed the leader after the read arrived, so the document at
    this index is the newest one committed before the read.
    """

    __slots__ = ('index',)

    def __init__(self, call_id: int, index: int) -> None:
        """Create an answer to the host that forwarded the read."""
        self.call_id = call_id
        self.index = index


@wire(146, optional_fields=2)
class DeploymentUpdate(PeerMessage):
    """The whole deployment after the log entry at ``index``.

    ``out`` maps each data centre that was ever drained to whether it is
    drained now. ``rollouts`` holds the last roll-out of each service that had
    one, ``versions`` the current version by service.
    """

    __slots__ = (
        'content',
        'index',
        'out',
        'rollouts',
        'version',
        'versions',
    )

    def __init__(
        self,
        index: int,
        version: int,
        content: bytes,
        out: dict[str, bool],
        rollouts: list[RolloutRecord] = _NO_ROLLOUTS,
        versions: dict[str, str] = _NO_VERSIONS,
    ) -> None:
        """Create a message to an entry host."""
        self.index = index
        self.version = version
        self.content = content
        self.out = out
        self.rollouts = list(rollouts)
        self.versions = dict(versions)


@wire(147)
class EntryHeartbeat(PeerMessage):
    """Status that an entry host sends to control hosts periodically."""

    __slots__ = (
        'address',
        'data_centre',
        'index',
        'region',
        'takes_work',
        'wants_news',
    )

    def __init__(
        self,
        data_centre: str,
        region: str,
        address: str,
        takes_work: bool,
        index: int,
        wants_news: bool,
    ) -> None:
        """Create a heartbeat.

        ``address`` is where callers connect; ``takes_work`` is false before
        the host can serve and while it is leaving; ``index`` is the log index
        of the host's current deployment; ``wants_news`` requests updates of
        documents, hosts and searchers from the receiver.
        """
        self.data_centre = data_centre
        self.region = region
        self.address = address
        self.takes_work = takes_work
        self.index = index
        self.wants_news = wants_news


@wire(152)
class EntryRecord(Record):
    """An entry host that accepts requests."""

    __slots__ = ('address', 'data_centre', 'name', 'region')

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        region: str,
    ) -> None:
        """Create a record; ``address`` is where callers connect."""
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.region = region


@wire(148, independent_entries='entries')
class HostsUpdate(PeerMessage):
    """The hosts that a control host knows, for an entry host.

    ``controls`` maps names of control hosts to data centres; ``entries``
    lists the advertised entry hosts, none for a receiver that requested no
    updates; ``is_cut_off`` is true while the sender has no leader.
    """

    __slots__ = ('controls', 'entries', 'is_cut_off')

    def __init__(
        self,
        controls: dict[str, str],
        entries: list[EntryRecord],
        is_cut_off: bool,
    ) -> None:
        """Create a message."""
        self.controls = controls
        self.entries = entries
        self.is_cut_off = is_cut_off


@wire(153, independent_entries='entries')
class EntriesUpdate(PeerMessage):
    """The entry hosts connected to the sender, for another control host."""

    __slots__ = ('entries',)

    def __init__(self, entries: list[EntryRecord]) -> None:
        """Create a message; ``entries`` holds those that accept requests."""
        self.entries = entries


@wire(149, optional_fields=1)
class ControlAnnouncement(LeaderRequest):
    """Request of a control host to be added to the group as a member."""

    __slots__ = ('data_centre', 'ip', 'peer_port', 'voter_id')

    def __init__(
        self,
        voter_id: str,
        ip: str,
        peer_port: int,
        data_centre: str,
        origin: str = '',
    ) -> None:
        """Create an announcement; ``voter_id`` identifies the disk."""
        self.voter_id = voter_id
        self.ip = ip
        self.peer_port = peer_port
        self.data_centre = data_centre
        self.origin = origin


class OrderRequest(CallMessage):
    """An entry to commit; ``OrderResult`` answers it.

    A document is uncompressed here and compressed before it is proposed.
    """

    __slots__ = ('entry',)

    def __init__(self, call_id: int, entry: OrderEntry) -> None:
        """Create an order."""
        self.call_id = call_id
        self.entry = entry


class CallAbandoned(CallMessage):
    """The operator no longer waits for an order or a read."""

    __slots__ = ()

    def __init__(self, call_id: int) -> None:
        """Create a notice."""
        self.call_id = call_id


class OrderResult(Command):
    """Answer an order with whether it is known to be committed.

    ``conflict`` says why a committed order changed nothing, empty if nothing
    opposed it. ``overtaken_by`` is the revision of its subject if the order
    had no effect because that is newer, else 0.
    """

    __slots__ = ('call_id', 'conflict', 'is_accepted', 'overtaken_by')

    def __init__(
        self,
        call_id: int,
        is_accepted: bool,
        conflict: str = '',
        overtaken_by: int = 0,
    ) -> None:
        """Create a result; the outcome is unknown unless it is accepted, in
        conflict or overtaken.
        """
        self.call_id = call_id
        self.is_accepted = is_accepted
        self.conflict = conflict
        self.overtaken_by = overtaken_by


class ReadRequest(CallMessage):
    """An operator's read; ``ReadResult`` answers it."""

    __slots__ = ()

    def __init__(self, call_id: int) -> None:
        """Create a read."""
        self.call_id = call_id


class ReadResult(Command):
    """Answer a read with the newest document, None if unconfirmed."""

    __slots__ = ('call_id', 'content', 'version')

    def __init__(
        self,
        call_id: int,
        version: int,
        content: bytes | None,
    ) -> None:
        """Create a result; version 0 means that there is no document."""
        self.call_id = call_id
        self.version = version
        self.content = content
