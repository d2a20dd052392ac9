"""Run of a non-idempotent request at the root that received it."""

from __future__ import annotations

import hashlib
from enum import Enum

from snipejunction.components.journal.messages import RequestKey, RunRequest
from snipejunction.timers import NEVER
from snipejunction.verdict import Refusal


class RunPhase(Enum):
    """Phases of a run in order; a lookup replaces the later ones."""

    ADMITTING = 'admitting'
    ROUTING = 'routing'
    LOOKING_UP = 'looking up'
    BEGINNING = 'beginning'
    DISPATCHED = 'dispatched'
    FINISHING = 'finishing'


class JournalContact:
    """The control host that a run asked last and how it answered.

    ``retry_due`` is when to ask again after a redirect that was not followed
    at once, in monotonic seconds.
    """

    __slots__ = ('has_followed_redirect', 'host', 'retry_due')

    def __init__(self) -> None:
        """Create the state of a run that has asked no host."""
        self.host = ''
        self.has_followed_redirect = False
        self.retry_due = NEVER

    def start(self, host: str) -> None:
        """Note that a host is asked, which has not answered yet."""
        self.host = host
        self.has_followed_redirect = False
        self.retry_due = NEVER


class Run:
    """One attempt to run a request; times are in monotonic seconds.

    ``refusal`` is the reason why it cannot proceed, later its outcome.
    ``token`` identifies the attempt across all hosts; ``holder`` is the
    token of another attempt that is running. ``finish_resends`` counts
    resends of the outcome.
    """

    __slots__ = (
        'call',
        'contact',
        'deadline',
        'digest',
        'finish_resends',
        'holder',
        'is_admitted',
        'is_answered',
        'key',
        'owner',
        'owner_incarnation',
        'payload',
        'phase',
        'refusal',
        'resend_due',
        'routing_deadline',
        'run_id',
        'searcher',
        'started_at',
        'token',
    )

    def __init__(
        self,
        run_id: int,
        call: RunRequest,
        token: str,
        now: float,
        deadline: float,
    ) -> None:
        """Create a run that waits for admission."""
        self.run_id = run_id
        self.call = call
        self.token = token
        self.started_at = now
        self.deadline = deadline
        self.key = RequestKey(call.caller, call.service, call.request_id)
        self.digest = _digest(call)
        self.phase = RunPhase.ADMITTING
        self.is_admitted = False
        self.is_answered = False
        self.searcher = ''
        self.owner = ''
        self.owner_incarnation = ''
        self.holder = ''
        self.finish_resends = 0
        self.contact = JournalContact()
        self.refusal: Refusal | None = None
        self.payload = b''
        self.resend_due = now
        self.routing_deadline = now

    @property
    def awaits_begin_response(self) -> bool:
        """Return whether the run waits for ``JournalBeginResponse``."""
        return self.phase in {RunPhase.LOOKING_UP, RunPhase.BEGINNING}

    @property
    def awaits_journal(self) -> bool:
        """Return whether the run waits for any response of the journal."""
        return self.awaits_begin_response or self.phase is RunPhase.FINISHING


def _digest(call: RunRequest) -> bytes:
    body = hashlib.sha256(call.key.encode())
    body.update(b'\0')
    body.update(call.body)
    return body.digest()
