"""Tests of the limits of searchers on their way to all entry hosts."""

from __future__ import annotations

from testtools.matchers import Equals

from snipejunction.commands import Command, SendPeer
from snipejunction.components.deployment.messages import EntryHeartbeat
from snipejunction.components.registration.messages import (
    LimitRecord,
    LimitUpdate,
)
from snipejunction.handling import handle
from snipejunction.timers import NEVER
from tests.components.registration.test_relaying import RelayCase

_LIMIT = 12.5


class EntryHostsMissLimitsTest(RelayCase):
    """What one entry host learns reaches all of them, by any control host."""

    def setUp(self) -> None:
        super().setUp()
        self.announce('h1', 1)
        self.cluster.run(1)
        self.subscribe('h1', 'e1')
        self.subscribe('h2', 'e2')

    def subscribe(self, control: str, entry: str) -> list[Command]:
        """Connect an entry host; return what the control host sends."""
        self.connect(control, entry)
        heartbeat = EntryHeartbeat('near', 'one', entry, True, 0, True)
        return self.receive(control, entry, heartbeat)

    def receive(self, control: str, sender: str, message) -> list[Command]:
        """Handle a message at a control host; return its commands."""
        message.sender = sender
        host = self.cluster.hosts[control]
        return list(handle(message, host.node, self.cluster.now))

    def report(
        self, rate: float, control: str = 'h1', sender: str = 'e1'
    ) -> dict[str, list[float]]:
        """Report a limit to a control host; return the rates it sends on."""
        born_ms = self.known(control).record.born_ms
        update = LimitUpdate([LimitRecord('a', born_ms, rate, 0)])
        return sent_rates(self.receive(control, sender, update))

    def test_to_subscribers_and_other_controls(self) -> None:
        """A report is passed on to all but its sender."""
        sent = self.report(_LIMIT)
        expected = {'h2': [_LIMIT], 'h3': [_LIMIT]}
        self.assertThat(sent, Equals(expected))

    def test_from_another_control_host(self) -> None:
        """A control host passes it on to entry hosts only."""
        sent = self.report(_LIMIT, 'h2', 'h1')
        self.assertThat(sent, Equals({'e2': [_LIMIT]}))

    def test_host_that_starts_later(self) -> None:
        """An entry host that subscribes gets the limits that are in force."""
        self.report(_LIMIT)
        commands = self.subscribe('h1', 'e3')
        self.assertThat(sent_rates(commands), Equals({'e3': [_LIMIT]}))
        self.report(NEVER)
        commands = self.subscribe('h1', 'e4')
        self.assertThat(sent_rates(commands), Equals({}))

    def test_searcher_that_is_gone(self) -> None:
        """The limit of an unknown searcher is passed on, but not kept."""
        update = LimitUpdate([LimitRecord('b', 1, _LIMIT, 0)])
        self.receive('h1', 'e1', update)
        commands = self.subscribe('h1', 'e3')
        self.assertThat(sent_rates(commands), Equals({}))


def sent_rates(commands: list[Command]) -> dict[str, list[float]]:
    """Return the rates that commands send to each host."""
    return {
        command.host: [record.rate for record in command.message.limits]
        for command in commands
        if isinstance(command, SendPeer)
        and isinstance(command.message, LimitUpdate)
    }
