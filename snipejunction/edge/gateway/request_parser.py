"""Parser of a caller's requests that stays with HTTP/1.1."""

from __future__ import annotations

from typing import Final, Protocol

import httptools

from snipejunction.edge.gateway.partial_request import PartialRequest


class RequestOwner(Protocol):
    """Callbacks of a parser, as those of ``httptools.HttpRequestParser``."""

    def on_url(self, url: bytes) -> None:
        """Handle a part of the request target."""

    def on_header(self, name: bytes, field: bytes) -> None:
        """Handle a header."""

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""

    def on_body(self, chunk: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of a request."""


class _ClosedOwner:
    """Owner of a closed parser, which is fed nothing more."""

    def on_url(self, url: bytes) -> None:
        """Ignore a part of the request target."""

    def on_header(self, name: bytes, field: bytes) -> None:
        """Ignore a header."""

    def on_headers_complete(self) -> None:
        """Ignore the end of the head."""

    def on_body(self, chunk: bytes) -> None:
        """Ignore a part of the body."""

    def on_message_complete(self) -> None:
        """Ignore the end of a request."""


_CLOSED_OWNER: Final = _ClosedOwner()


class RequestParser:
    """Parses requests; those that offer another protocol have their body.

    ``partial`` is the request that is being received.
    """

    def __init__(self, owner: RequestOwner) -> None:
        """Create a parser that calls ``owner``."""
        self._is_upgrade_offered = False
        self._fed_bytes = 0
        self._has_completed = False
        self._attach(owner)
        self._parser = httptools.HttpRequestParser(self)

    @property
    def method(self) -> bytes:
        """Return the method of the request."""
        return self._parser.get_method()

    @property
    def is_last(self) -> bool:
        """Return whether nothing follows the request on the connection."""
        if self._is_upgrade_offered or self._parser.should_upgrade():
            return True
        return not self._parser.should_keep_alive()

    @property
    def expects_continue(self) -> bool:
        """Return whether the caller sends the body only once asked to."""
        if self._parser.get_http_version() == '1.0':
            return False
        return self.partial.header(b'expect').lower() == b'100-continue'

    def feed(self, received: bytes | memoryview) -> None:
        """Parse received bytes.

        Raises:
            HttpParserError: if they are no request.
        """
        self._fed_bytes = len(received)
        self._has_completed = False
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as upgrade:
            if self._is_body_skipped:
                self._feed_without_upgrade(received[upgrade.args[0] :])

    def close(self) -> None:
        """Drop the owner and all that is held of a request.

        The parser and its owner refer to each other, and what they hold would
        otherwise stay until the next collection of garbage.
        """
        self._attach(_CLOSED_OWNER)
        self._parser = httptools.HttpRequestParser(_CLOSED_OWNER)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.partial = PartialRequest()
        if self._has_completed:
            # It is not known where in the bytes it starts.
            self.partial.uncounted_bytes = self._fed_bytes

    def on_headers_complete(self) -> None:
        """Pass on the end of a head, unless it is parsed again."""
        if not self._is_body_skipped:
            self._owner.on_headers_complete()

    def on_message_complete(self) -> None:
        """Pass on the end of a request, unless it is parsed again."""
        if not self._is_body_skipped:
            self._has_completed = True
            self._owner.on_message_complete()

    @property
    def _is_body_skipped(self) -> bool:
        """Return whether httptools ends the request at its head."""
        return self._parser.should_upgrade() and self.method != b'CONNECT'

    def _attach(self, owner: RequestOwner) -> None:
        self._owner = owner
        # The parser of httptools calls these.
        self.on_url = owner.on_url
        self.on_header = owner.on_header
        self.on_body = owner.on_body
        self.partial = PartialRequest()

    def _feed_without_upgrade(self, rest: bytes | memoryview) -> None:
        head = self.partial.format_head(
            self.method, self._parser.get_http_version()
        )
        self._is_upgrade_offered = True
        self._parser = httptools.HttpRequestParser(self)
        self.feed(b''.join((head, rest)))
