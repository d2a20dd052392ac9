"""Tests of the authentication of hosts."""

from __future__ import annotations

import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, MatchesException, Raises

from snipejunction.edge.handshake import Handshake
from snipejunction.edge.keys import PeerKeys, load_keys
from snipejunction.edge.messages import Hello, Proof
from snipejunction.errors import PeerError, SettingsError
from tests.edge.support import KEY, OTHER_KEY

_REFUSES = Raises(MatchesException(PeerError))


def _pair(
    dialer_keys: PeerKeys,
    accepter_keys: PeerKeys,
) -> tuple[Handshake, Handshake]:
    dialer = Handshake(dialer_keys, 'a', 'a1', 'b')
    return dialer, Handshake(accepter_keys, 'b', 'b1', None)


def _exchange_records(dialer: Handshake, accepter: Handshake) -> list[object]:
    """Exchange all records and return those of the dialer."""
    sent: list[object] = []
    pending = dialer.initial_records()
    while pending:
        sent.extend(pending)
        replies = [
            reply
            for record in pending
            for reply in accepter.handle_record(record)
        ]
        pending = [
            reply
            for record in replies
            for reply in dialer.handle_record(record)
        ]
    return sent


class HandshakeTest(TestCase):
    """Mutual proof of a shared key."""

    def test_same_key(self) -> None:
        """Two hosts with the same key authenticate each other."""
        dialer, accepter = _pair(PeerKeys([KEY]), PeerKeys([KEY]))
        _exchange_records(dialer, accepter)
        self.assertTrue(dialer.is_done and accepter.is_done)
        self.assertThat(accepter.peer.name, Equals('a'))

    def test_other_key(self) -> None:
        """Hosts without a common key refuse each other."""
        dialer, accepter = _pair(PeerKeys([KEY]), PeerKeys([OTHER_KEY]))
        self.assertThat(lambda: _exchange_records(dialer, accepter), _REFUSES)
        self.assertFalse(accepter.is_done)

    def test_change_of_keys(self) -> None:
        """A host with both keys authenticates hosts with either key."""
        both = PeerKeys([OTHER_KEY, KEY])
        for single in (PeerKeys([KEY]), PeerKeys([OTHER_KEY])):
            for dialer, accepter in (_pair(both, single), _pair(single, both)):
                _exchange_records(dialer, accepter)
                self.assertTrue(dialer.is_done and accepter.is_done)

    def test_replay(self) -> None:
        """Replayed records do not authenticate another stream."""
        dialer, accepter = _pair(PeerKeys([KEY]), PeerKeys([KEY]))
        sent = _exchange_records(dialer, accepter)
        again = Handshake(PeerKeys([KEY]), 'b', 'b1', None)
        again.handle_record(sent[0])
        self.assertThat(lambda: again.handle_record(sent[1]), _REFUSES)
        self.assertFalse(again.is_done)

    def test_reflection(self) -> None:
        """A proof reflected to its sender is refused."""
        dialer = Handshake(PeerKeys([KEY]), 'a', 'a1', 'b')
        hello = dialer.initial_records()[0]
        assert isinstance(hello, Hello)
        echo = Hello('b', 'a1', hello.nonce, hello.key_ids)
        proofs = dialer.handle_record(echo)
        self.assertThat(lambda: dialer.handle_record(proofs[0]), _REFUSES)

    def test_wrong_name(self) -> None:
        """A host with another name than the dialed one is refused."""
        dialer = Handshake(PeerKeys([KEY]), 'a', 'a1', 'c')
        accepter = Handshake(PeerKeys([KEY]), 'b', 'b1', None)
        self.assertThat(lambda: _exchange_records(dialer, accepter), _REFUSES)

    def test_wrong_code(self) -> None:
        """A wrong code is refused, before and after the hello."""
        accepter = Handshake(PeerKeys([KEY]), 'b', 'b1', None)
        key_id = PeerKeys([KEY]).key_ids[0]
        made_up = Proof(key_id, b'x' * 32)
        self.assertThat(lambda: accepter.handle_record(made_up), _REFUSES)
        accepter.handle_record(Hello('a', 'a1', b'n' * 32, [key_id]))
        self.assertThat(lambda: accepter.handle_record(made_up), _REFUSES)
        self.assertFalse(accepter.is_done)


class KeyFileTest(TestCase):
    """Files of peer keys."""

    def setUp(self) -> None:
        """Create a folder for the key file."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'keys'

    def test_short_key(self) -> None:
        """A short key is refused, and the error holds the minimum."""
        self.path.write_bytes(b'short\n')
        self.assertThat(
            lambda: load_keys(str(self.path)),
            Raises(MatchesException(SettingsError, '.*at least 16')),
        )

    def test_reload(self) -> None:
        """A reload replaces the keys; an invalid file keeps the old ones."""
        self.path.write_bytes(KEY)
        keys = load_keys(str(self.path))
        before = keys.key_ids
        self.path.write_bytes(b'\n'.join((b'# new, old', OTHER_KEY, KEY)))
        keys.reload()
        self.assertThat(keys.key_ids[1:], Equals(before))
        held = keys.key_ids
        self.path.write_bytes(b'')
        self.assertThat(keys.reload, Raises(MatchesException(SettingsError)))
        self.assertThat(keys.key_ids, Equals(held))
