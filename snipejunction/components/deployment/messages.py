"""Messages, entries and commands of the deployment component."""

from __future__ import annotations

from snipejunction.commands import Command
from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire
from snipejunction.messages import Message, PeerMessage


@wire(140)
class DocumentEntry(Record):
    """Entry of the log: a whole document; the highest version holds."""

    __slots__ = ('content', 'version')

    def __init__(self, version: int, content: bytes) -> None:
        """Create an entry; ``content`` is the packed document."""
        self.version = version
        self.content = content


@wire(141)
class DrainEntry(Record):
    """Entry of the log: a data centre is taken out or comes back."""

    __slots__ = ('data_centre', 'is_out')

    def __init__(self, data_centre: str, is_out: bool) -> None:
        """Create an entry."""
        self.data_centre = data_centre
        self.is_out = is_out


class CallPeerMessage(PeerMessage):
    """A message about a call that waits at the host that sent it first."""

    __slots__ = ('call_id',)


class CallMessage(Message):
    """A message about a call of this host."""

    __slots__ = ('call_id',)


@wire(142)
class OrderForwarded(CallPeerMessage):
    """An operator's order on its way to the leader."""

    __slots__ = ('payload',)

    def __init__(self, call_id: int, payload: bytes) -> None:
        """Create a request; ``payload`` is an encoded entry."""
        self.call_id = call_id
        self.payload = payload


@wire(143)
class OrderCommitted(CallPeerMessage):
    """The leader's answer: the order is committed and applied."""

    __slots__ = ()

    def __init__(self, call_id: int) -> None:
        """Create an answer to the host that forwarded the order."""
        self.call_id = call_id


@wire(144)
class ReadForwarded(CallPeerMessage):
    """A read of the document on its way to the leader."""

    __slots__ = ()

    def __init__(self, call_id: int) -> None:
        """Create a request."""
        self.call_id = call_id


@wire(145)
class ReadConfirmed(CallPeerMessage):
    """The log index that a read needs.

    A quorum confirmed the leader since the read, so the document at this
    index is the newest that was committed before.
    """

    __slots__ = ('index',)

    def __init__(self, call_id: int, index: int) -> None:
        """Create an answer to the host that forwarded the read."""
        self.call_id = call_id
        self.index = index


@wire(146)
class DeploymentUpdate(PeerMessage):
    """The whole deployment after the log entry at ``index``.

    ``out`` maps each data centre that was ever drained to its state.
    """

    __slots__ = ('content', 'index', 'out', 'version')

    def __init__(
        self,
        index: int,
        version: int,
        content: bytes,
        out: dict[str, bool],
    ) -> None:
        """Create a message to an entry host."""
        self.index = index
        self.version = version
        self.content = content
        self.out = out


@wire(147)
class EntryHeartbeat(PeerMessage):
    """What an entry host says of itself to every control host."""

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
        """Create a presence.

        ``address`` is where callers connect; ``takes_work`` is false until
        the host can serve, and once it is leaving; ``index`` is that of the
        deployment in force at the host; ``wants_news`` asks the receiver for
        documents, hosts and searchers.
        """
        self.data_centre = data_centre
        self.region = region
        self.address = address
        self.takes_work = takes_work
        self.index = index
        self.wants_news = wants_news


@wire(152)
class EntryRecord(Record):
    """An entry host that takes work."""

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


@wire(148)
class HostsUpdate(PeerMessage):
    """The hosts that a control host knows, for an entry host.

    ``controls`` are data centres by the names of control hosts; ``entries``
    are the entry hosts that callers are told to use, none for a receiver
    that wants no news; ``is_cut_off`` says that the sender hears no leader.
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


@wire(153)
class EntriesUpdate(PeerMessage):
    """The entry hosts with a stream to the sender, for a control host."""

    __slots__ = ('entries',)

    def __init__(self, entries: list[EntryRecord]) -> None:
        """Create a message with those that take work."""
        self.entries = entries


@wire(149)
class ControlAnnouncement(PeerMessage):
    """What a control host says of itself to the others it knows of."""

    __slots__ = ('data_centre', 'ip', 'peer_port', 'voter_id')

    def __init__(
        self,
        voter_id: str,
        ip: str,
        peer_port: int,
        data_centre: str,
    ) -> None:
        """Create a presence of the disk ``voter_id``."""
        self.voter_id = voter_id
        self.ip = ip
        self.peer_port = peer_port
        self.data_centre = data_centre


class OrderRequest(CallMessage):
    """An operator's order; ``OrderAnswered`` answers it.

    A document comes as it was sent and is packed on its way.
    """

    __slots__ = ('entry',)

    def __init__(self, call_id: int, entry: DocumentEntry | DrainEntry) -> None:
        """Create an order."""
        self.call_id = call_id
        self.entry = entry


class CallAbandoned(CallMessage):
    """Nobody waits for an order or a read any more."""

    __slots__ = ()

    def __init__(self, call_id: int) -> None:
        """Create a notice."""
        self.call_id = call_id


class OrderResult(Command):
    """Tell an operator whether the order is known to be committed."""

    __slots__ = ('call_id', 'is_accepted')

    def __init__(self, call_id: int, is_accepted: bool) -> None:
        """Create an answer; without acceptance the outcome is unknown."""
        self.call_id = call_id
        self.is_accepted = is_accepted


class ReadRequest(CallMessage):
    """An operator's read; ``ReadAnswered`` answers it."""

    __slots__ = ()

    def __init__(self, call_id: int) -> None:
        """Create a read."""
        self.call_id = call_id


class ReadResult(Command):
    """The newest document for an operator, None if it is not certain."""

    __slots__ = ('call_id', 'content', 'version')

    def __init__(
        self,
        call_id: int,
        version: int,
        content: bytes | None,
    ) -> None:
        """Create an answer; version 0 means that there is no document."""
        self.call_id = call_id
        self.version = version
        self.content = content
