"""Shared keys for the mutual authentication of hosts."""

from __future__ import annotations

import hashlib
import hmac
from pathlib import Path
from typing import Final

import msgpack

from snipejunction.edge.const import MIN_KEY_BYTES
from snipejunction.errors import SettingsError

_KEY_ID_CHARACTERS: Final = 16
_KEY_ID_LABEL: Final = b'snipejunction key id'
_COMMENT: Final = '#'


class PeerKeys:
    """Keys of a file with one key per line, preferred ones first.

    A stream uses the first key of one end that the other end holds as well.
    During a key rotation the file lists the new key and the old one, so that
    hosts before and after their reload can authenticate each other.
    """

    __slots__ = ('_keys', '_path')

    def __init__(self, keys: list[bytes], path: Path | None = None) -> None:
        """Create a set of keys; ``reload`` reads them from ``path``."""
        self._keys = _index_by_id(keys)
        self._path = path

    @property
    def key_ids(self) -> list[str]:
        """Return the ids of the keys, preferred ones first."""
        return list(self._keys)

    def replace(self, keys: list[bytes]) -> None:
        """Use other keys for new streams; open streams stay open."""
        self._keys = _index_by_id(keys)

    def reload(self) -> int:
        """Read the file again and return the number of its keys.

        Raises:
            SettingsError: if the file is invalid; the old keys stay in use.
        """
        if self._path is not None:
            self.replace(_read_keys(self._path))
        return len(self._keys)

    def sign(self, key_id: str, parts: list[object]) -> bytes:
        """Return the HMAC of ``parts`` under the key with this id."""
        content = msgpack.packb(parts)
        return hmac.digest(self._keys[key_id], content, hashlib.sha256)

    def choose_key_id(self, offered: list[str]) -> str | None:
        """Return the first offered key id held here, None without one."""
        for key_id in offered:
            if key_id in self._keys:
                return key_id
        return None


def load_keys(path: str) -> PeerKeys:
    """Load the keys in a file.

    Raises:
        SettingsError: if the file is missing, empty or has a short key.
    """
    return PeerKeys(_read_keys(Path(path)), Path(path))


def _read_keys(path: Path) -> list[bytes]:
    try:
        lines = path.read_bytes().decode('ascii').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError('peer_key_file', str(error)) from error
    stripped = [line.strip() for line in lines]
    keys = [
        line.encode('ascii')
        for line in stripped
        if line and not line.startswith(_COMMENT)
    ]
    if not keys or min(map(len, keys)) < MIN_KEY_BYTES:
        raise SettingsError(
            'peer_key_file',
            f'{path} needs keys of at least {MIN_KEY_BYTES} characters',
        )
    return keys


def _index_by_id(keys: list[bytes]) -> dict[str, bytes]:
    table: dict[str, bytes] = {}
    for key in keys:
        digest = hmac.digest(key, _KEY_ID_LABEL, hashlib.sha256).hex()
        table[digest[:_KEY_ID_CHARACTERS]] = key
    return table
