"""Connections to all other hosts."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random
from ssl import SSLContext
from typing import Final, Protocol, TypeAlias

from snipejunction.commands import LogEvent
from snipejunction.edge.accepting import async_open_listener
from snipejunction.edge.const import (
    DIAL_SECONDS,
    EVENT_ENTRIES_SKIPPED,
    EVENT_PEER_DOWN,
    EVENT_PEER_INTERRUPTED,
    EVENT_PEER_UP,
    EVENT_QUEUE_FULL,
    EVENT_STREAM_REFUSED,
    EVENT_STREAM_SILENT,
    EVENT_UNSENDABLE,
    MAX_REDIAL_SECONDS,
    MAX_UNAUTHENTICATED_STREAMS,
    MAX_PENDING_MESSAGES,
    MIN_REDIAL_SECONDS,
    RECEIVE_TIMEOUT_SECONDS,
    MAX_PENDING_SECONDS,
    MAX_RECEIVED_FRAMES_BYTES,
    STREAM_CHECK_SECONDS,
)
from snipejunction.edge.frames import encode_frame
from snipejunction.edge.handshake import Handshake
from snipejunction.edge.keys import PeerKeys
from snipejunction.edge.periodic_check import PeriodicCheck
from snipejunction.edge.peer_stream import (
    REASON_INTERRUPTED,
    REASON_SILENT,
    PeerStream,
)
from snipejunction.edge.receive_budget import ReceiveBudget
from snipejunction.edge.start_retries import async_retry_start
from snipejunction.helpers.wire import encode
from snipejunction.helpers.wire_codecs import WireError
from snipejunction.messages import (
    Message,
    PeerConnected,
    PeerLost,
    PeerMessage,
)

Address: TypeAlias = tuple[str, int]
_BACKLOG: Final = 128
_BACKOFF_FACTOR: Final = 2


class PeerHooks(Protocol):
    """Callbacks of the streams into their host."""

    def locate(self, host: str) -> Address | None:
        """Return the peer address of a host, None if unknown."""

    def submit(self, message: Message) -> None:
        """Handle a message."""

    def log(self, event: LogEvent) -> None:
        """Write an event."""


class _Peer:
    """State of one other host: open streams and pending messages."""

    __slots__ = (
        'dialing',
        'is_interrupted',
        'pending',
        'redial_seconds',
        'streams',
    )

    def __init__(self) -> None:
        self.streams: list[PeerStream] = []
        # Whether a stream closed while another one stayed open, until all
        # are closed and the host is dialed again.
        self.is_interrupted = False
        self.pending: deque[tuple[float, PeerMessage]] = deque(
            maxlen=MAX_PENDING_MESSAGES,
        )
        self.dialing: asyncio.Task[None] | None = None
        self.redial_seconds = MIN_REDIAL_SECONDS

    def on_dial_done(self, task: asyncio.Task[None]) -> None:
        """Allow another dial attempt."""
        self.dialing = None


class PeerTable:
    """Dials, accepts and supervises the streams of one host."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        keys: PeerKeys,
        hooks: PeerHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a table without streams."""
        self._name = name
        self._incarnation = incarnation
        self._keys = keys
        self._hooks = hooks
        self.budget = ReceiveBudget(
            'peers', MAX_RECEIVED_FRAMES_BYTES, hooks.log
        )
        self._loop = loop
        self._random = Random()
        self._peers: dict[str, _Peer] = {}
        self._streams: set[PeerStream] = set()
        self._client_tls: SSLContext | None = None
        self.check: Final = PeriodicCheck(
            loop, STREAM_CHECK_SECONDS, self._check_streams
        )
        self._is_closed = False
        self._encoded: tuple[PeerMessage, bytes] | None = None

    @property
    def connected(self) -> list[str]:
        """Return the hosts with an authenticated stream."""
        return [name for name, peer in self._peers.items() if peer.streams]

    def start(self, client_tls: SSLContext | None) -> None:
        """Start the periodic checks of the streams."""
        self._client_tls = client_tls
        self.check.start()

    def accept(self) -> PeerStream:
        """Return the protocol for an incoming connection."""
        return self._make_stream(None)

    async def async_close(self) -> None:
        """Close all streams and cancel dialing."""
        self._is_closed = True
        self.check.stop()
        for stream in list(self._streams):
            stream.close('this host is stopping')
        tasks = [peer.dialing for peer in self._peers.values() if peer.dialing]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, host: str, message: PeerMessage) -> None:
        """Send a message; drop it if no stream opens in time."""
        if self._is_closed:
            return
        peer = self._peers.setdefault(host, _Peer())
        if peer.streams:
            self._send_on_stream(peer.streams[-1], host, message)
            return
        peer.pending.append((self._loop.time(), message))
        self._dial(host, peer)

    def connect(self, host: str) -> None:
        """Dial a host unless a stream is open or being dialed."""
        peer = self._peers.setdefault(host, _Peer())
        if not peer.streams:
            self._dial(host, peer)

    def drop(self, host: str, reason: str) -> None:
        """Close all streams with a host."""
        peer = self._peers.get(host)
        if peer is not None:
            for stream in list(peer.streams):
                stream.close(reason)

    def stream_made(self, stream: PeerStream) -> bool:
        """Register a stream; reject it over the unauthenticated limit."""
        unauthenticated_count = sum(
            not other.is_ready for other in self._streams
        )
        if (
            not stream.is_dialed
            and unauthenticated_count >= MAX_UNAUTHENTICATED_STREAMS
        ):
            return False
        self._streams.add(stream)
        return not self._is_closed

    def stream_ready(self, stream: PeerStream) -> None:
        """Send on a newly authenticated stream and close those it replaces."""
        name = stream.peer_name
        peer = self._peers.setdefault(name, _Peer())
        replaced = [old for old in peer.streams if _replaces(stream, old)]
        is_first_stream = not peer.streams
        peer.streams.append(stream)
        peer.redial_seconds = MIN_REDIAL_SECONDS
        for old in replaced:
            old.close('replaced by a newer stream')
        direction = 'dialed' if stream.is_dialed else 'accepted'
        self._hooks.log(
            LogEvent(EVENT_PEER_UP, peer=name, direction=direction),
        )
        if is_first_stream:
            peer.is_interrupted = False
            self._hooks.submit(PeerConnected(name))
        self._send_pending(name, peer)

    def stream_received(
        self,
        stream: PeerStream,
        message: PeerMessage,
    ) -> None:
        """Forward a message to the systems."""
        self._hooks.submit(message)

    def stream_skipped(
        self, stream: PeerStream, kind: str, reasons: list[str]
    ) -> None:
        """Log the entries of a message that were left out."""
        self._log_skipped(stream.peer_name, kind, reasons)

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Remove a stream; report the peer as lost with its last one."""
        self._streams.discard(stream)
        if not stream.is_ready:
            self._log_rejected_stream(stream, reason)
            return
        name = stream.peer_name
        if reason == REASON_SILENT:
            self._hooks.log(
                LogEvent(
                    EVENT_STREAM_SILENT,
                    peer=name,
                    seconds=RECEIVE_TIMEOUT_SECONDS,
                ),
            )
        peer = self._peers[name]
        if stream not in peer.streams:
            return
        peer.streams.remove(stream)
        # What was queued on the closed stream is lost. The other streams may
        # be about to close, too.
        was_dropped = reason == REASON_INTERRUPTED
        peer.is_interrupted = bool(peer.streams) or was_dropped
        if peer.streams or self._is_closed:
            return
        self._hooks.log(LogEvent(EVENT_PEER_DOWN, peer=name, reason=reason))
        self._hooks.submit(PeerLost(name))

    def _make_stream(self, dialed_host: str | None) -> PeerStream:
        handshake = Handshake(
            self._keys,
            self._name,
            self._incarnation,
            dialed_host,
        )
        is_dialed = dialed_host is not None
        return PeerStream(self, handshake, self._loop, is_dialed=is_dialed)

    def _send_on_stream(
        self,
        stream: PeerStream,
        host: str,
        message: PeerMessage,
    ) -> None:
        kind = type(message).__name__
        try:
            is_queued = stream.send(self._encode(message, host))
        except WireError as error:
            self._hooks.log(
                LogEvent(
                    EVENT_UNSENDABLE,
                    kind=kind,
                    peer=host,
                    reason=str(error),
                ),
            )
            return
        if not is_queued:
            self._hooks.log(LogEvent(EVENT_QUEUE_FULL, kind=kind, peer=host))

    def _log_skipped(self, host: str, kind: str, reasons: list[str]) -> None:
        self._hooks.log(
            LogEvent(
                EVENT_ENTRIES_SKIPPED,
                kind=kind,
                peer=host,
                count=len(reasons),
                reason=reasons[0],
            ),
        )

    def _encode(self, message: PeerMessage, host: str) -> bytes:
        """Return the frame of a message.

        Updates are sent to many hosts one after the other, so the last frame
        is kept.
        """
        encoded = self._encoded
        if encoded is None or encoded[0] is not message:
            skipped: list[str] = []
            encoded = (message, encode_frame(encode(message, skipped)))
            self._encoded = encoded
            if skipped:
                self._log_skipped(host, type(message).__name__, skipped)
        return encoded[1]

    def _send_pending(self, host: str, peer: _Peer) -> None:
        oldest = self._loop.time() - MAX_PENDING_SECONDS
        while peer.pending and peer.streams:
            queued, message = peer.pending.popleft()
            if queued >= oldest:
                self._send_on_stream(peer.streams[-1], host, message)

    def _dial(self, host: str, peer: _Peer) -> None:
        if peer.dialing is None and not self._is_closed:
            task = self._loop.create_task(self._async_dial(host, peer))
            task.add_done_callback(peer.on_dial_done)
            peer.dialing = task

    async def _async_dial(self, host: str, peer: _Peer) -> None:
        address = self._hooks.locate(host)
        if address is None:
            peer.pending.clear()
            return
        connect = self._loop.create_connection(
            self._stream_factory(host),
            address[0],
            address[1],
            ssl=self._client_tls,
            server_hostname='' if self._client_tls else None,
        )
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            _, stream = await asyncio.wait_for(connect, DIAL_SECONDS)
            # The system accepts connections for a host that is too busy for
            # a handshake, and each further one costs it time.
            await stream.settled.wait()
        # The delay limits how often an unreachable host is dialed.
        jitter = self._random.uniform(0.5, 1)
        await asyncio.sleep(peer.redial_seconds * jitter)
        peer.redial_seconds = min(
            MAX_REDIAL_SECONDS,
            peer.redial_seconds * _BACKOFF_FACTOR,
        )

    def _stream_factory(self, host: str) -> Callable[[], PeerStream]:
        return lambda: self._make_stream(host)

    def _check_streams(self, now: float, lateness: float) -> None:
        for stream in list(self._streams):
            # While this host did not run, it received nothing either.
            stream.excuse_silence(lateness, now)
            stream.check_timeouts(now)
        for name, peer in list(self._peers.items()):
            if peer.is_interrupted:
                self._restart_streams(name, peer)

    def _restart_streams(self, name: str, peer: _Peer) -> None:
        """Close all streams with a host, then dial it again.

        Both hosts have to see that: what one of them sends again would be
        lost if the other one noticed the interruption later.
        """
        if peer.streams:
            self._hooks.log(LogEvent(EVENT_PEER_INTERRUPTED, peer=name))
            self.drop(name, REASON_INTERRUPTED)
        elif peer.dialing is None:
            peer.is_interrupted = False
            self._dial(name, peer)

    def _log_rejected_stream(self, stream: PeerStream, reason: str) -> None:
        self._hooks.log(
            LogEvent(
                EVENT_STREAM_REFUSED,
                address=stream.address,
                reason=reason,
            ),
        )


def _replaces(stream: PeerStream, old: PeerStream) -> bool:
    """Return whether a new stream of a host supersedes an older one."""
    if old.peer_incarnation != stream.peer_incarnation:
        return True
    return old.is_dialed == stream.is_dialed


async def async_listen(
    peers: PeerTable,
    address: Address,
    log: Callable[[LogEvent], None],
) -> asyncio.Server:
    """Listen for peers once no other program holds the address.

    Raises:
        OSError: if it cannot be bound within ``MAX_START_SECONDS``.
    """
    async_open = partial(async_open_listener, peers.accept, address, _BACKLOG)
    return await async_retry_start(async_open, log)
