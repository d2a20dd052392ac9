"""Mutual authentication of two hosts by a challenge over a shared key.

The dialer sends its ``Hello``, the accepter replies with its own, the dialer
sends its ``Proof``, and the accepter sends its own proof only after verifying
it. An authentication code covers the role, both names, both incarnations and
both fresh nonces, so it is invalid on any other stream, between other hosts
and in the other direction.
"""

from __future__ import annotations

import hmac
import secrets
from typing import Final

from snipejunction.edge.const import NONCE_BYTES
from snipejunction.edge.keys import PeerKeys
from snipejunction.edge.messages import Hello, Proof
from snipejunction.errors import PeerError

_LABEL: Final = 'snipejunction peer 1'
_DIALER: Final = 'dialer'
_ACCEPTER: Final = 'accepter'


class Handshake:
    """Authentication state of one end of a stream.

    ``dialed_host`` is the name of the dialed host, None at the accepter.
    """

    __slots__ = (
        '_dialed_host',
        '_is_done',
        '_keys',
        '_local_hello',
        '_peer_hello',
    )

    def __init__(
        self,
        keys: PeerKeys,
        name: str,
        incarnation: str,
        dialed_host: str | None,
    ) -> None:
        """Create the state of a newly opened stream."""
        self._keys = keys
        self._dialed_host = dialed_host
        self._local_hello = Hello(
            name,
            incarnation,
            secrets.token_bytes(NONCE_BYTES),
            keys.key_ids,
        )
        self._peer_hello: Hello | None = None
        self._is_done = False

    @property
    def is_done(self) -> bool:
        """Return whether the other end is authenticated."""
        return self._is_done

    @property
    def peer(self) -> Hello:
        """Return the ``Hello`` of the other end.

        Raises:
            PeerError: if it was not received yet.
        """
        if self._peer_hello is None:
            raise PeerError('received a proof before the hello')
        return self._peer_hello

    def initial_records(self) -> list[object]:
        """Return the records to send once the stream opens."""
        return [] if self._dialed_host is None else [self._local_hello]

    def handle_record(self, record: object) -> list[object]:
        """Handle a record of the other end and return the replies.

        Raises:
            PeerError: if the record is unexpected or fails verification.
        """
        if isinstance(record, Hello) and self._peer_hello is None:
            return self._handle_hello(record)
        if isinstance(record, Proof) and not self._is_done:
            return self._handle_proof(record)
        raise PeerError(
            f'unexpected {type(record).__name__} during authentication'
        )

    def _handle_hello(self, hello: Hello) -> list[object]:
        if len(hello.nonce) != NONCE_BYTES:
            raise PeerError(
                f'nonce of {len(hello.nonce)} bytes, not {NONCE_BYTES}'
            )
        if hello.name == self._local_hello.name:
            raise PeerError('the other end uses the name of this host')
        if self._dialed_host not in {None, hello.name}:
            raise PeerError(
                f'dialed {self._dialed_host}, reached {hello.name!r}'
            )
        self._peer_hello = hello
        if self._dialed_host is None:
            return [self._local_hello]
        return [self._make_proof(self._choose_key(hello))]

    def _handle_proof(self, proof: Proof) -> list[object]:
        role = _ACCEPTER if self._dialed_host else _DIALER
        if proof.key_id not in self._keys.key_ids:
            raise PeerError(f'proof with unknown key id {proof.key_id!r}')
        expected = self._authentication_code(
            proof.key_id, role, self.peer, self._local_hello
        )
        if not hmac.compare_digest(expected, proof.code):
            raise PeerError(
                f'wrong authentication code from {self.peer.name!r}'
            )
        self._is_done = True
        return [] if self._dialed_host else [self._make_proof(proof.key_id)]

    def _choose_key(self, hello: Hello) -> str:
        key_id = self._keys.choose_key_id(hello.key_ids)
        if key_id is None:
            raise PeerError(f'no shared key with {hello.name!r}')
        return key_id

    def _make_proof(self, key_id: str) -> Proof:
        role = _DIALER if self._dialed_host else _ACCEPTER
        code = self._authentication_code(
            key_id, role, self._local_hello, self.peer
        )
        return Proof(key_id, code)

    def _authentication_code(
        self,
        key_id: str,
        role: str,
        prover: Hello,
        verifier: Hello,
    ) -> bytes:
        parts: list[object] = [_LABEL, role]
        for end in (prover, verifier):
            parts.extend((end.name, end.incarnation, end.nonce))
        return self._keys.sign(key_id, parts)
