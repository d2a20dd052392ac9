"""A request that is not idempotent, at the root that took it."""

from __future__ import annotations

import hashlib
from enum import Enum

from snipejunction.components.journal.messages import RequestKey, RunRequest
from snipejunction.verdict import Refusal


class RunPhase(Enum):
    """Phases of a run in their order; a lookup replaces the later ones."""

    ADMITTING = 'admitting'
    ROUTING = 'routing'
    LOOKING_UP = 'looking up'
    BEGINNING = 'beginning'
    DISPATCHED = 'dispatched'
    FINISHING = 'finishing'


class Run:
    """One attempt; times are in monotonic seconds.

    ``refusal`` is why it cannot go on, or its outcome once it has one.
    ``token`` names the attempt in the whole system, ``holder`` another one
    that runs. ``finish_count`` counts how often the outcome was sent again.
    """

    __slots__ = (
        'call',
        'digest',
        'due',
        'finish_count',
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
        'routes_due',
        'run_id',
        'searcher',
        'started',
        'token',
    )

    def __init__(
        self,
        run_id: int,
        call: RunRequest,
        token: str,
        now: float,
        due: float,
    ) -> None:
        """Create a run that is to be admitted."""
        self.run_id = run_id
        self.call = call
        self.token = token
        self.started = now
        self.due = due
        self.key = RequestKey(call.caller, call.service, call.request_id)
        self.digest = _digest(call)
        self.phase = RunPhase.ADMITTING
        self.is_admitted = False
        self.is_answered = False
        self.searcher = ''
        self.owner = ''
        self.owner_incarnation = ''
        self.holder = ''
        self.finish_count = 0
        self.refusal: Refusal | None = None
        self.payload = b''
        self.resend_due = now
        self.routes_due = now

    @property
    def is_open(self) -> bool:
        """Return whether the journal's answer decides what comes next."""
        return self.phase in {RunPhase.LOOKING_UP, RunPhase.BEGINNING}


def _digest(call: RunRequest) -> bytes:
    body = hashlib.sha256(call.key.encode())
    body.update(b'\0')
    body.update(call.body)
    return body.digest()
