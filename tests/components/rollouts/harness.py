"""Simulated control hosts with roll-outs, and entry hosts that report."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command
from snipejunction.components.deployment.messages import (
    EntryHeartbeat,
    OrderResult,
)
from snipejunction.components.registration.messages import (
    SearcherAnnounced,
    SearcherRecord,
)
from snipejunction.components.rollouts.messages import (
    RolloutRecord,
    RolloutReport,
    RolloutStartEntry,
    RouteEvidence,
)
from snipejunction.components.rollouts.systems import (
    deciding,
    pinning,
    reporting,
)
from tests.components.deployment.harness import SEEDS, ControlCluster

SERVICE = 's0'
DURATION = 12.0


class RolloutCluster(ControlCluster):
    """Control hosts of a service with searchers of two versions."""

    def __init__(self, seed: int) -> None:
        # Entry hosts by name: the control host, and what they report.
        self.entries: dict[str, str] = {}
        self.next_sequence = 0
        self.announced = ('v1', 'v2')
        self.good = RouteEvidence(0, 'r', 40, 0, 600, 2)
        self.evidence = self.good
        self.busy: list[int] = []
        self.silent: set[str] = set()
        self.leaving: set[str] = set()
        super().__init__(seed)
        self.beat()
        self.run_until(self._is_pinned)

    def start(self, name: str) -> None:
        """Start a host whose settings bound the exposure."""
        super().start(name)
        node = self.hosts[name].node
        if node is not None:
            node.rollouts.is_in_force = True
            node.rollouts.up_since = self.now
            node.rollouts.unix_offset = 1e9

    def unix_ms(self) -> int:
        """Return the present time of an order."""
        return round((self.now + 1e9) * 1000)

    def start_rollout(self, name: str, target: str, ordered_ms=None) -> int:
        """Order a roll-out at a host; return the call id."""
        entry = RolloutStartEntry(
            SERVICE, target, DURATION, ordered_ms or self.unix_ms()
        )
        return self.order(name, entry)

    def outcome(self, name: str, call_id: int) -> OrderResult | None:
        """Return the result of an order, None before it is known."""
        for output in self.hosts[name].outputs:
            if isinstance(output, OrderResult) and output.call_id == call_id:
                return output
        return None

    def record(self, name: str | None = None) -> RolloutRecord | None:
        """Return the roll-out that a host knows, by default the leader."""
        host = self.leader() if name is None else self.hosts[name]
        if host is None:
            return None
        state = host.node.deployment.state
        return state.rollouts.records.get(SERVICE)

    def records(self) -> list[tuple[int, int]]:
        """Return number and state of the roll-out at each host."""
        return [
            (record.number, record.state)
            for record in map(self.record, self.hosts)
        ]

    def connect(self, entry: str, control: str) -> None:
        """Connect an entry host to a control host."""
        self.entries[entry] = control

    def beat(self) -> None:
        """Send what searchers and entry hosts send periodically."""
        self.next_sequence += 1
        for host in self.running_hosts:
            for born, version in enumerate(self.announced, start=1):
                notice = SearcherAnnounced(self._make_searcher(born, version))
                self.process(host, notice)
        for entry, control in self.entries.items():
            node = self.hosts[control].node
            if node is None:
                continue
            index = node.deployment.state.update_index
            takes_work = entry not in self.leaving
            heartbeat = EntryHeartbeat(
                'dc0', 'r', 'a:1', takes_work, index, True
            )
            heartbeat.sender = entry
            self.process(self.hosts[control], heartbeat)
            if entry not in self.silent:
                self.report(entry, control, index)

    def report(self, entry: str, control: str, index: int, start='1') -> None:
        """Send the evidence from an entry host to a control host."""
        record = self.record(control)
        if record is None:
            return
        part = self.evidence
        part.number = record.number
        report = RolloutReport(f'{entry} {start}', index, [part], self.busy)
        report.sender = entry
        self.process(self.hosts[control], report)

    def run_beating(self, seconds: float) -> None:
        """Run while searchers and entry hosts send."""
        end = self.now + seconds
        while self.now < end:
            self.beat()
            self.run(0.5)

    def _make_searcher(self, born: int, version: str) -> SearcherRecord:
        return SearcherRecord(
            f'a{born}',
            SERVICE,
            f'10.0.0.{born}:1',
            'dc0',
            4,
            0.0,
            born,
            self.next_sequence,
            version=version,
        )

    def _is_pinned(self) -> bool:
        hosts = self.running_hosts
        return all(
            host.node.deployment.state.rollouts.versions for host in hosts
        )

    def _tick(self, node) -> Iterator[Command]:
        yield from super()._tick(node)
        yield from reporting.run_reporting(node, self.now)
        yield from deciding.run_deciding(node, self.now)
        yield from pinning.run_pinning(node, self.now)


def make_cluster(seed: int) -> RolloutCluster:
    """Return a cluster with an entry host at each control host."""
    cluster = RolloutCluster(seed)
    for number, name in enumerate(SEEDS):
        cluster.connect(f'e{number}', name)
    return cluster
