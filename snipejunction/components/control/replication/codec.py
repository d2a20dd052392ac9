"""Serialised forms of documents and snapshots."""

from __future__ import annotations

import hashlib
import json
from typing import Any, Final

import msgpack

from snipejunction.components.control.replication.messages import (
    GroupSnapshot,
    HostSnapshot,
    SettingsEntry,
)
from snipejunction.helpers.wire import pack_fields, unpack_fields
from snipejunction.helpers.wire_codecs import WireError

_DIGEST_BYTES: Final = 16


def pack_documents(documents: dict[str, Any]) -> str:
    """Return documents as canonical JSON: equal ones give equal texts."""
    return json.dumps(
        documents,
        sort_keys=True,
        separators=(',', ':'),
        ensure_ascii=False,
        allow_nan=False,
    )


def unpack_documents(text: str) -> dict[str, Any]:
    """Return the documents in a text of ``pack_documents``.

    Raises:
        WireError: if the text is no JSON object.
    """
    try:
        documents = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise WireError('documents are not JSON') from error
    if not isinstance(documents, dict):
        raise WireError('documents are not a JSON object')
    return documents


def change_digest(entry: SettingsEntry) -> bytes:
    """Return the digest by which a resend is told from a reused id."""
    text = f'{entry.operator}\n{entry.base}\n{entry.written}'
    return hashlib.sha256(text.encode()).digest()[:_DIGEST_BYTES]


def pack_snapshot(snapshot: GroupSnapshot | HostSnapshot) -> bytes:
    """Return a snapshot as msgpack; it may exceed the size of a frame."""
    return bytes(msgpack.packb(pack_fields(snapshot)))


def unpack_host_snapshot(packed: bytes) -> HostSnapshot:
    """Return the host snapshot in ``packed``.

    Raises:
        WireError: if it is malformed.
    """
    snapshot: HostSnapshot = unpack_fields(HostSnapshot, _unpack(packed))
    return snapshot


def unpack_group_snapshot(packed: bytes) -> GroupSnapshot:
    """Return the group snapshot in ``packed``.

    Raises:
        WireError: if it is malformed.
    """
    snapshot: GroupSnapshot = unpack_fields(GroupSnapshot, _unpack(packed))
    return snapshot


def _unpack(packed: bytes) -> Any:
    try:
        return msgpack.unpackb(packed, strict_map_key=False)
    except Exception as error:
        raise WireError('snapshot is not msgpack') from error
