"""Bounds on what a caller's connection takes in."""

from __future__ import annotations

from http import HTTPStatus

from snipejunction.components.gateway.document import CallerLimits
from snipejunction.edge.gateway.const import (
    HEAD_SLACK_BYTES,
    MAX_BODY_SLICE_BYTES,
    MAX_CHUNK_OVERHEAD,
    MAX_HEAD_SLICE_BYTES,
)
from snipejunction.edge.gateway.partial_request import PartialRequest


class EndOfInputError(Exception):
    """Stops the parser: nothing more is taken from the caller."""


class InputBounds:
    """Bytes of the message that is being received, and its bounds.

    ``message_bytes`` includes unfinished lines. Nothing more is taken in once
    the input ``is_over``.
    """

    __slots__ = ('is_over', 'message_bytes')

    def __init__(self) -> None:
        """Create the bounds of a new connection."""
        self.message_bytes = 0
        self.is_over = False

    def check(self) -> None:
        """Raise ``EndOfInputError`` if nothing more is taken in."""
        if self.is_over:
            raise EndOfInputError

    def slice_bytes(self, partial: PartialRequest, limits: CallerLimits) -> int:
        """Return how many bytes the parser may take at once.

        A head may be made of lines of a few bytes, each of which becomes an
        object of many times that size.
        """
        if partial.has_head:
            return MAX_BODY_SLICE_BYTES
        left = _max_head_bytes(limits) - self.message_bytes
        return max(1, min(left, MAX_HEAD_SLICE_BYTES))

    def has_long_head(
        self, partial: PartialRequest, limits: CallerLimits
    ) -> bool:
        """Return whether complete lines of a head are over the limit."""
        return partial.head_bytes > limits.max_header_bytes

    def find_excess(
        self, partial: PartialRequest, limits: CallerLimits
    ) -> HTTPStatus | None:
        """Return the refusal of a head, a body or trailers without end.

        The parser reports lines and chunks only once they are complete.
        """
        head_bytes = _max_head_bytes(limits)
        body_bytes = limits.max_body_bytes * MAX_CHUNK_OVERHEAD
        if not partial.has_head and self.message_bytes >= head_bytes:
            return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        if self.message_bytes > head_bytes + body_bytes:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return None


def _max_head_bytes(limits: CallerLimits) -> int:
    return limits.max_header_bytes + HEAD_SLACK_BYTES
