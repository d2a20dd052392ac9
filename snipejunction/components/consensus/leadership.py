"""Volatile state of a leader: replication progress and confirmations."""

from __future__ import annotations

from collections import deque

from snipejunction.components.consensus.const import MAX_APPENDS_IN_FLIGHT
from snipejunction.components.consensus.messages import Snapshot
from snipejunction.timers import NEVER


class Progress:
    """Replication progress of one follower; times are monotonic seconds."""

    __slots__ = (
        'confirmed_round',
        'in_flight',
        'is_probing',
        'last_contact_at',
        'match_index',
        'next_index',
        'snapshot',
        'snapshot_offset',
        'snapshot_sent_at',
    )

    def __init__(self, next_index: int, now: float) -> None:
        """Create the progress of a follower that has not responded yet."""
        self.next_index = next_index
        self.match_index = 0
        self.is_probing = True
        self.in_flight: deque[int] = deque()
        self.last_contact_at = now
        self.confirmed_round = 0
        self.snapshot: Snapshot | None = None
        self.snapshot_offset = 0
        self.snapshot_sent_at = -NEVER

    @property
    def has_send_window(self) -> bool:
        """Return whether another append with entries may be sent."""
        if self.is_probing:
            return not self.in_flight
        return len(self.in_flight) < MAX_APPENDS_IN_FLIGHT

    def record_sent(self, last_index: int) -> None:
        """Record that entries up to ``last_index`` are in flight."""
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def record_match(self, index: int) -> bool:
        """Record a synced index; return whether the match advanced."""
        self.is_probing = False
        while self.in_flight and self.in_flight[0] <= index:
            self.in_flight.popleft()
        self.next_index = max(self.next_index, index + 1)
        if index <= self.match_index:
            return False
        self.match_index = index
        if self.snapshot is not None and index >= self.snapshot.index:
            self.snapshot = None
        return True

    def record_mismatch(self, hint: int) -> None:
        """Move the next index back to after ``hint``, not below the match."""
        self.in_flight.clear()
        self.is_probing = True
        candidate = min(hint + 1, self.next_index)
        self.next_index = max(candidate, self.match_index + 1)


class Leadership:
    """State of a leader in one term.

    ``round_number`` counts the heartbeat rounds. ``queued_tokens`` holds the
    confirmation tokens for the next round, ``confirming_tokens`` those of
    rounds in flight as pairs of round number and token.
    """

    __slots__ = (
        'confirming_tokens',
        'first_index',
        'heartbeat_due',
        'is_ready',
        'progress',
        'queued_tokens',
        'round_number',
        'transfer_deadline',
        'transfer_target',
    )

    def __init__(self, first_index: int, now: float) -> None:
        """Create the state; the term starts at entry ``first_index``."""
        self.first_index = first_index
        self.progress: dict[str, Progress] = {}
        self.round_number = 0
        self.heartbeat_due = now
        self.is_ready = False
        self.queued_tokens: list[int] = []
        self.confirming_tokens: deque[tuple[int, int]] = deque()
        self.transfer_target = ''
        self.transfer_deadline = 0.0

    def start_round(self) -> None:
        """Start a heartbeat round that confirms all queued tokens."""
        self.round_number += 1
        for token in self.queued_tokens:
            self.confirming_tokens.append((self.round_number, token))
        self.queued_tokens.clear()

    def pop_confirmed(self, round_number: int) -> list[int]:
        """Remove and return the tokens of rounds up to ``round_number``."""
        tokens: list[int] = []
        while (
            self.confirming_tokens
            and self.confirming_tokens[0][0] <= round_number
        ):
            tokens.append(self.confirming_tokens.popleft()[1])
        return tokens
