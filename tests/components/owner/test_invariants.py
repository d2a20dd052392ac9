"""Limits of upstreams hold under random sequences of events."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.components.owner.harness import DATA_CENTRE, OwnerRun

_SEARCHERS = ('s1', 's2')
_HOSTS = ('h1', 'h2', 'h3')
_DATA_CENTRE_PATH = f'/data-centres/{DATA_CENTRE}'

_searchers = st.sampled_from(_SEARCHERS)
_hosts = st.sampled_from(_HOSTS)


class OwnerMachine(RuleBasedStateMachine):
    """Random work, cancellations, losses, restarts and owner changes."""

    def __init__(self) -> None:
        """Create a machine whose run starts with ``start``."""
        super().__init__()
        self.run: Any = None
        self.sub_ids: dict[str, list[int]] = {}
        self.active = set(_HOSTS)

    @initialize(seed=st.integers(0, 1000), cold=st.integers(1, 2))
    def start(self, seed: int, cold: int) -> None:
        """Start hosts and searchers."""
        self.run = OwnerRun(seed, _HOSTS)
        self.run.run.network.doubling = 0.1
        self.run.run.network.reordering = 0.1
        for name in _SEARCHERS:
            self.run.add_upstream(
                name,
                slots=4,
                connections=9,
                cold_capacity=cold,
            )
        self.run.advance(0.2)

    @rule(name=_searchers, count=st.integers(1, 12))
    def ask(self, name: str, count: int) -> None:
        """Send a burst of work to the owner."""
        owner = self.run.owner_of(name)
        sub_ids = self.run.send_batch([name for _ in range(count)], owner)
        self.sub_ids.setdefault(owner, []).extend(sub_ids)

    @rule(name=_searchers)
    def load(self, name: str) -> None:
        """Keep a searcher busy for a while to warm it up."""
        for _ in range(40):
            owner = self.run.owner_of(name)
            self.run.send_batch([name for _ in range(4)], owner)
            self.run.advance(0.02)

    @rule(milliseconds=st.sampled_from((1, 5, 20, 100, 700)))
    def wait(self, milliseconds: int) -> None:
        """Advance the virtual time."""
        self.run.advance(milliseconds / 1000)

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancel some of the work at a host."""
        if not self.sub_ids:
            return
        owner = data.draw(st.sampled_from(sorted(self.sub_ids)))
        count = data.draw(st.integers(1, 8))
        self.run.cancel(self.sub_ids[owner][-count:], owner)

    @rule(name=_searchers, slowness=st.sampled_from((1, 3, 30)))
    def slow(self, name: str, slowness: int) -> None:
        """Change the service time of a searcher."""
        self.run.run.upstreams[name].slowness = slowness

    @rule(name=_searchers, is_shedding=st.booleans())
    def shed(self, name: str, *, is_shedding: bool) -> None:
        """Start or stop load shedding at a searcher."""
        self.run.run.upstreams[name].is_shedding = is_shedding

    @rule(name=_searchers)
    def restart(self, name: str) -> None:
        """Restart a searcher when no request is in transit to it."""
        upstream = self.run.run.upstreams[name]
        for _ in range(100):
            if self._count_open(name) == upstream.running:
                self.run.restart_upstream(name)
                return
            self.run.advance(0.0001)

    @rule(host=_hosts)
    def silence(self, host: str) -> None:
        """Make the open connections of a host stop answering for good."""
        connection_ids = [
            connection_id
            for name, connection_id in self.run.run.connections
            if name == host
        ]
        self.run.run.host(host).silent_connections.update(connection_ids)

    @rule(host=_hosts)
    def drop_or_add(self, host: str) -> None:
        """Remove a host from the view or add it; settle it once released."""
        changed = self.active ^ {host}
        if not changed:
            return
        self.active = changed
        self.run.set_view(sorted(changed), is_settled=False)
        self._settle_when_released()

    @rule()
    def drain(self) -> None:
        """Take the data centre out of service and put it back."""
        self.run.set_settings({_DATA_CENTRE_PATH: {'state': 'out'}})
        self.run.advance(0.05)
        self.run.set_settings({_DATA_CENTRE_PATH: {'state': 'in'}})

    @invariant()
    def limits_are_kept(self) -> None:
        """No searcher counted a violation of its limits."""
        if self.run is None:
            return
        for upstream in self.run.run.upstreams.values():
            assert not upstream.violations, upstream.violations

    @invariant()
    def counts_are_within_limits(self) -> None:
        """No owner exceeds the connection limit or the slots."""
        if self.run is None:
            return
        for host in self.run.run.hosts.values():
            owner = host.core.node.owner
            for searcher in (*owner.searchers.values(), *owner.lost.values()):
                assert len(searcher.pool) <= searcher.connection_limit
                assert searcher.in_flight <= searcher.slots

    def _settle_when_released(self) -> None:
        for _ in range(100):
            self.run.advance(0.02)
            if all(self._is_released(name) for name in _HOSTS):
                self.run.settle()
                return

    def _is_released(self, name: str) -> bool:
        return self.run.released(name) >= self.run.revision

    def _count_open(self, searcher: str) -> int:
        return sum(
            searcher == target for target in self.run.run.dispatches.values()
        )


OwnerMachine.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=25,
)
OwnerInvariantsTest = OwnerMachine.TestCase
