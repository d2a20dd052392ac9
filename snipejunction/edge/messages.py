"""Records of the mutual authentication of two hosts."""

from __future__ import annotations

from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire


@wire(130)
class Hello(Record):
    """Identity of one end of a stream, and a nonce unique to the stream."""

    __slots__ = ('incarnation', 'key_ids', 'name', 'nonce')

    def __init__(
        self,
        name: str,
        incarnation: str,
        nonce: bytes,
        key_ids: list[str],
    ) -> None:
        """Create a hello; ``key_ids`` identify the keys that the host holds."""
        self.name = name
        self.incarnation = incarnation
        self.nonce = nonce
        self.key_ids = key_ids


@wire(131)
class Proof(Record):
    """Authentication code over the hello records of both ends."""

    __slots__ = ('code', 'key_id')

    def __init__(self, key_id: str, code: bytes) -> None:
        """Create a proof under the key ``key_id``."""
        self.key_id = key_id
        self.code = code
