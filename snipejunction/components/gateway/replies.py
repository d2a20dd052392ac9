"""Outcomes of attempts and answers to requests."""

from __future__ import annotations

from enum import Enum
from typing import Final

from snipejunction.helpers.records import Record

_FIRST_SUCCESS: Final = 200
_FIRST_REDIRECT: Final = 300
_AFTER_LAST_STATUS: Final = 600
SUCCESSES: Final = range(_FIRST_SUCCESS, _FIRST_REDIRECT)
# Bytes with any other status are no answer.
FINAL_STATUSES: Final = range(_FIRST_SUCCESS, _AFTER_LAST_STATUS)
# Statuses by which a caller knows that its request did not and will not run.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


class Reply(Record):
    """A complete response of a searcher.

    ``signature`` is the searcher's proof of origin, empty without one.
    ``headers`` holds the names and values of those forwarded to the caller.
    If ``is_merged``, one reply of a group holds the merged records of all.
    """

    __slots__ = ('body', 'headers', 'is_merged', 'signature', 'status')

    def __init__(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        signature: str,
        *,
        is_merged: bool = False,
    ) -> None:
        """Create a reply."""
        self.status = status
        self.headers = headers
        self.body = body
        self.signature = signature
        self.is_merged = is_merged

    @property
    def is_success(self) -> bool:
        """Return whether the status is a success."""
        return self.status in SUCCESSES


class OutcomeKind(Enum):
    """Kind of outcome: what is known about the request at its searcher."""

    ANSWERED = 'answered'
    # The searcher reported that it did not run the request.
    SHED = 'shed'
    # Another searcher listens at the address now.
    MISDIRECTED = 'misdirected'
    # No byte of the request was sent.
    UNSENT = 'unsent'
    REFUSED = 'refused'
    # This host no longer wants the answer; the request may have run.
    CANCELLED = 'cancelled'
    # Any other failure: the request may have run.
    LOST = 'lost'

    @property
    def has_not_run(self) -> bool:
        """Return whether the request certainly did not run."""
        return self not in _MAY_HAVE_RUN

    @property
    def may_have_arrived(self) -> bool:
        """Return whether the request reached a searcher, or may have."""
        return self not in {OutcomeKind.UNSENT, OutcomeKind.REFUSED}


_MAY_HAVE_RUN: Final = frozenset(
    (OutcomeKind.ANSWERED, OutcomeKind.CANCELLED, OutcomeKind.LOST)
)


class Outcome(Record):
    """How an attempt ended; ``reply`` is set if the searcher answered.

    ``seconds`` is the latency of the searcher if a relay measured it.
    ``stated_limit`` is the request rate that the searcher stated with its
    answer, None without an answer; see ``stated_limits``.
    """

    __slots__ = ('detail', 'kind', 'reply', 'seconds', 'stated_limit')

    def __init__(
        self,
        kind: OutcomeKind,
        reply: Reply | None = None,
        detail: str = '',
        seconds: float | None = None,
        stated_limit: float | None = None,
    ) -> None:
        """Create an outcome; ``detail`` is for the log."""
        self.kind = kind
        self.reply = reply
        self.detail = detail
        self.seconds = seconds
        self.stated_limit = stated_limit

    @property
    def valid_reply(self) -> Reply | None:
        """Return the reply if it is a success with proof of origin."""
        reply = self.reply
        if reply is not None and reply.is_success and reply.signature:
            return reply
        return None


class Answer(Record):
    """The answer to a caller.

    ``signatures`` and ``missing`` are set for merged answers only. A
    ``retry_after`` above 0 guarantees that the request did not run.
    """

    __slots__ = (
        'body',
        'cause',
        'covered',
        'headers',
        'missing',
        'parts',
        'retry_after',
        'signatures',
        'status',
    )

    def __init__(
        self,
        status: int,
        *,
        headers: list[tuple[bytes, bytes]] | None = None,
        body: bytes = b'',
        cause: str = '',
        retry_after: float = 0,
        signatures: list[str] | None = None,
        missing: int = 0,
        covered: int = 0,
        parts: int = 0,
    ) -> None:
        """Create an answer; ``cause`` describes a failure for the log."""
        self.status = status
        self.headers = headers or []
        self.body = body
        self.cause = cause
        self.retry_after = retry_after
        self.signatures = signatures
        self.missing = missing
        self.covered = covered
        self.parts = parts
