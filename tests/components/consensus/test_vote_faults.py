"""Tests of the rules for granting votes."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.commands import Command, SendPeer
from snipejunction.components.consensus.messages import (
    LogPersisted,
    PersistLog,
)
from snipejunction.components.consensus.replication.messages import (
    VoteRequest,
    VoteResponse,
)
from snipejunction.handling import handle
from tests.components.consensus.harness import GROUP
from tests.components.consensus.test_decisions import SingleReplica, entries


class VoteTest(TestCase):
    """Granting of votes by a voter."""

    def test_one_vote_in_a_term(self) -> None:
        """The first candidate of a term gets the vote, also on a resend."""
        single = SingleReplica(entries(2))
        for candidate in ('b', 'c', 'b'):
            single.process(_request(candidate, term=5))
        self.assertThat(_grants(single), Equals([True, False, True]))
        self.assertThat(single.replica.voted_for, Equals('b'))

    def test_no_vote_for_a_log_behind(self) -> None:
        """A candidate whose log is behind the voter's gets no vote."""
        single = SingleReplica(entries(2))
        last = single.replica.log.last_index
        single.process(_request('b', term=5, last_index=last - 1))
        single.process(_request('b', term=6, last_index=9, last_term=0))
        single.process(_request('b', term=7, last_index=last))
        self.assertThat(_grants(single), Equals([False, False, True]))

    def test_vote_waits_for_the_disk(self) -> None:
        """The response is sent only once term and vote are synced."""
        single = SingleReplica(entries(2))
        request = _request('b', term=5)
        request.sender = 'b'
        before = list(handle(request, single.node, 0))
        writes = [
            command for command in before if isinstance(command, PersistLog)
        ]
        self.assertThat(_responses(before), Equals([]))
        self.assertThat(
            [command.voted_for for command in writes], Equals(['b'])
        )
        synced = LogPersisted(GROUP, writes[0].token)
        after = list(handle(synced, single.node, 0))
        self.assertThat(_responses(after), Equals([True]))


def _request(
    candidate: str,
    term: int,
    last_index: int = 9,
    last_term: int = 1,
) -> VoteRequest:
    return VoteRequest(
        GROUP,
        term,
        candidate,
        'a',
        last_index,
        last_term,
        False,
        False,
    )


def _responses(commands: list[Command]) -> list[bool]:
    return [
        command.message.is_granted
        for command in commands
        if isinstance(command, SendPeer)
        and isinstance(command.message, VoteResponse)
    ]


def _grants(single: SingleReplica) -> list[bool]:
    return [
        message.is_granted
        for message in single.sent
        if isinstance(message, VoteResponse)
    ]
