"""Replicated state of the journal.

The last ``MAX_RECORDS`` requests that began have a record with their outcome.
Older requests are retired: of the last ``MAX_RETIRED_IDS`` a hash of the id is
kept. An ordered id has the form ``t<number>-<rest>`` with a number that grows
from request to request; it is refused for ever once the hash of an id with
that or a higher number is dropped. Any other id is unknown after its hash is
dropped, so callers must not send it again.
"""

from __future__ import annotations

import re
from typing import Final

import msgpack
import xxhash

from snipejunction.components.journal.const import (
    MAX_KEPT_BYTES,
    MAX_RECORDS,
    MAX_RETIRED_IDS,
    STATE_BEGUN,
    STATE_NOT_RUN,
    STATE_RAN,
    STATE_UNKNOWN,
    STATUS_EXPIRED,
    STATUS_GRANTED,
    STATUS_NEW,
    STATUS_RECORDED,
    STATUS_REUSED,
    STATUS_RUNNING,
)
from snipejunction.components.journal.messages import (
    BeginEntry,
    FinishEntry,
    JournalSnapshot,
    RequestKey,
    RequestRecord,
)
from snipejunction.const import CODE_OUTCOME_UNKNOWN
from snipejunction.helpers.wire import pack_fields, unpack_fields
from snipejunction.verdict import Refusal, Verdict

_ORDERED_ID: Final = re.compile(r't(\d{1,18})-')


class JournalState:
    """Requests by key, from oldest to newest."""

    __slots__ = ('_floors', '_kept_bytes', '_records', '_retired')

    def __init__(self) -> None:
        """Create an empty state."""
        self._records: dict[RequestKey, RequestRecord] = {}
        self._retired: dict[int, tuple[int, int]] = {}
        self._floors: dict[int, int] = {}
        self._kept_bytes = 0

    @property
    def records(self) -> dict[RequestKey, RequestRecord]:
        """Return the records by key."""
        return self._records

    def status(self, key: RequestKey, digest: bytes, token: str) -> str:
        """Return the status of a request as a ``STATUS_`` constant."""
        record = self._records.get(key)
        if record is None:
            return STATUS_EXPIRED if self._is_retired(key) else STATUS_NEW
        if record.digest != digest:
            return STATUS_REUSED
        if record.state == STATE_NOT_RUN:
            return STATUS_NEW
        if record.state != STATE_BEGUN:
            return STATUS_RECORDED
        return STATUS_GRANTED if record.token == token else STATUS_RUNNING

    def begin(self, entry: BeginEntry) -> str:
        """Begin an attempt if the request is new; return the status."""
        status = self.status(entry.key, entry.digest, entry.token)
        if status != STATUS_NEW:
            return status
        previous = self._records.pop(entry.key, None)
        if previous is not None and previous.token == entry.token:
            # The attempt has finished; a late copy must not begin it again.
            self._records[entry.key] = previous
            return STATUS_RECORDED
        self._records[entry.key] = RequestRecord(
            entry.key,
            entry.digest,
            entry.token,
            STATE_BEGUN,
            None,
            b'',
        )
        while len(self._records) > MAX_RECORDS:
            self._retire(next(iter(self._records)))
        return STATUS_GRANTED

    def finish(self, entry: FinishEntry) -> None:
        """Record the first outcome of an attempt; ignore later ones."""
        record = self._records.get(entry.key)
        if record is None or record.token != entry.token:
            return
        if record.state != STATE_BEGUN:
            return
        record.state = _state_after(entry.refusal)
        record.refusal = entry.refusal
        record.payload = entry.payload
        self._kept_bytes += len(entry.payload)
        self._evict_payloads()

    def pack(self) -> bytes:
        """Return the serialised state."""
        past = [
            (hashed, scope, number)
            for hashed, (scope, number) in self._retired.items()
        ]
        records = list(self._records.values())
        snapshot = JournalSnapshot(records, past, self._floors)
        return bytes(msgpack.packb(pack_fields(snapshot)))

    @classmethod
    def unpack(cls, packed: bytes) -> JournalState:
        """Return a state from ``pack``; empty bytes are the initial state."""
        state = cls()
        if not packed:
            return state
        fields = msgpack.unpackb(packed, strict_map_key=False)
        snapshot: JournalSnapshot = unpack_fields(JournalSnapshot, fields)
        for record in snapshot.records:
            state._records[record.key] = record
            state._kept_bytes += len(record.payload)
        for hashed, scope, number in snapshot.past:
            state._retired[hashed] = (scope, number)
        state._floors = snapshot.floors
        return state

    def _is_retired(self, key: RequestKey) -> bool:
        if _hash_request(key) in self._retired:
            return True
        floor = self._floors.get(_hash_scope(key), -1)
        return 0 <= _ordered_number(key) <= floor

    def _retire(self, key: RequestKey) -> None:
        record = self._records.pop(key)
        self._kept_bytes -= len(record.payload)
        scope_and_number = (_hash_scope(key), _ordered_number(key))
        self._retired[_hash_request(key)] = scope_and_number
        while len(self._retired) > MAX_RETIRED_IDS:
            hashed = next(iter(self._retired))
            scope, number = self._retired.pop(hashed)
            if number > self._floors.get(scope, -1):
                self._floors[scope] = number

    def _evict_payloads(self) -> None:
        if self._kept_bytes <= MAX_KEPT_BYTES:
            return
        for record in self._records.values():
            if record.payload:
                self._kept_bytes -= len(record.payload)
                record.payload = b''
                record.refusal = not_kept_refusal()
            if self._kept_bytes <= MAX_KEPT_BYTES:
                return


def _state_after(refusal: Refusal | None) -> str:
    if refusal is None or refusal.verdict is Verdict.RAN:
        return STATE_RAN
    if refusal.verdict is Verdict.NOT_RUN:
        return STATE_NOT_RUN
    return STATE_UNKNOWN


def not_kept_refusal() -> Refusal:
    """Return the refusal recorded for an outcome too large to keep."""
    detail = 'it ran; its outcome was too large to be kept'
    return Refusal(Verdict.RAN.value, CODE_OUTCOME_UNKNOWN, detail, -1)


def _hash_request(key: RequestKey) -> int:
    text = f'{key.caller}\n{key.service}\n{key.request_id}'
    return xxhash.xxh64_intdigest(text.encode())


def _hash_scope(key: RequestKey) -> int:
    text = f'{key.caller}\n{key.service}'
    return xxhash.xxh64_intdigest(text.encode())


def _ordered_number(key: RequestKey) -> int:
    """Return the number in an ordered id, -1 for any other id."""
    match = _ORDERED_ID.match(key.request_id)
    return int(match.group(1)) if match else -1
