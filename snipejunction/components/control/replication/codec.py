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
    """Return documents as canonical JSON, the same for equal documents."""
    return json.dumps(
        documents,
        sort_keys=True,
        separators=(',', ':'),
        ensure_ascii=False,
        allow_nan=False,
    )


def unpack_documents(text: str) -> dict[str, Any]:
    """Return the documents in the output of ``pack_documents``.

    Raises:
        WireError: if the text is not a JSON object.
    """
    try:
        documents = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise WireError('documents are not JSON') from error
    if not isinstance(documents, dict):
        raise WireError('documents are not a JSON object')
    return documents


def change_digest(entry: SettingsEntry) -> bytes:
    """Return the digest of a change's content, without its id.

    It tells a resent change from another one with a reused id.
    """
    text = f'{entry.operator}\n{entry.base}\n{entry.written}'
    return hashlib.sha256(text.encode()).digest()[:_DIGEST_BYTES]


def pack_snapshot(snapshot: GroupSnapshot | HostSnapshot) -> bytes:
    """Return a snapshot as msgpack; it may exceed the frame size limit."""
    return bytes(msgpack.packb(pack_fields(snapshot)))


def unpack_host_snapshot(packed: bytes) -> HostSnapshot:
    """Unpack a host snapshot.

    Raises:
        WireError: if it is malformed.
    """
    snapshot: HostSnapshot = unpack_fields(HostSnapshot, _unpack(packed))
    return snapshot


def unpack_group_snapshot(packed: bytes) -> GroupSnapshot:
    """Unpack a group snapshot.

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
