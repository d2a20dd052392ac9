"""Simulated control hosts on a lossy network in virtual time."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from snipejunction.commands import Command
from snipejunction.components.deployment import systems
from snipejunction.components.deployment.machine import DeploymentMachine
from snipejunction.components.deployment.messages import (
    DocumentEntry,
    DrainEntry,
    OrderRequest,
    OrderResult,
    ReadRequest,
    ReadResult,
)
from snipejunction.components.registration.systems.announcing import (
    run_searcher_updates,
    run_sweep,
)
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.host_settings import HostIdentity, HostSettings
from tests.components.consensus import harness

SEEDS = ('h1', 'h2', 'h3')


class ControlCluster(harness.Cluster):
    """Control hosts of three data centres; the seeds form a group."""

    def __init__(self, seed: int) -> None:
        super().__init__(
            len(SEEDS),
            seed,
            groups=(GROUP_DEPLOYMENT,),
            machine_factory=self._make_machine,
        )
        self.next_call = 0
        self.first_call = 1
        for number, name in enumerate(SEEDS):
            self.hosts[name].settings.identity.data_centre = f'dc{number}'
        self.run_until(self.has_all_data_centres)

    def has_all_data_centres(self) -> bool:
        """Return whether the leader knows all data centres."""
        leader = self.leader()
        if leader is None:
            return False
        members = leader.replica.membership.current.members
        return all(member.data_centre for member in members)

    def start(self, name: str) -> None:
        """Start a host that knows only the seeds."""
        super().start(name)
        node = self.hosts[name].node
        if node is not None:
            node.deployment.seeds = SEEDS

    def wipe(self, name: str) -> None:
        """Wipe the disk of a host; its next start does not form a group."""
        super().wipe(name)
        self.hosts[name].settings.voters = ()

    def add_host(self, name: str, data_centre: str) -> None:
        """Start a host with an empty disk at a new address."""
        identity = HostIdentity(name, '127.0.0.9', 1, 2, data_centre, 'r', 'i')
        settings = HostSettings(identity, (), data_folder='x')
        self.hosts[name] = harness.Host(name, settings)
        self.start(name)

    def order(self, name: str, entry: DocumentEntry | DrainEntry) -> int:
        """Send an order to a host; return the call id."""
        self.next_call += 1
        self.process(self.hosts[name], OrderRequest(self.next_call, entry))
        return self.next_call

    def put(self, name: str, version: int, content: bytes = b'') -> int:
        """Send a document to a host; return the call id."""
        return self.order(name, DocumentEntry(version, content))

    def is_accepted(self, name: str, call_id: int) -> bool:
        """Return whether a host reported an order as committed."""
        return any(
            isinstance(output, OrderResult)
            and output.call_id == call_id
            and output.is_accepted
            for output in self.hosts[name].outputs
        )

    def accept(self, name: str, version: int, content: bytes = b'') -> None:
        """Send a document repeatedly until it is accepted."""
        self.first_call = self.next_call + 1
        self.run_until(partial(self._put_and_check, name, version, content))

    def read(self, name: str) -> ReadResult | None:
        """Read from a host; None without an answer within a second."""
        self.next_call += 1
        call_id = self.next_call
        self.process(self.hosts[name], ReadRequest(call_id))
        self.run(1)
        for output in self.hosts[name].outputs:
            if isinstance(output, ReadResult) and output.call_id == call_id:
                return None if output.content is None else output
        return None

    def voter_names(self) -> set[str]:
        """Return the names of the voters that the leader knows."""
        leader = self.leader()
        if leader is None:
            return set()
        members = leader.replica.membership.current.members
        return {member.name for member in members if member.is_voter}

    def _make_machine(self, group: str) -> DeploymentMachine:
        return DeploymentMachine()

    def _tick(self, node) -> Iterator[Command]:
        yield from super()._tick(node)
        yield from systems.membership.run_membership(node, self.now)
        yield from systems.host_updates.run_host_updates(node, self.now)
        yield from systems.host_updates.run_control_sync(node, self.now)
        yield from run_sweep(node, self.now)
        yield from run_searcher_updates(node, self.now)

    def _put_and_check(self, name: str, version: int, content: bytes) -> bool:
        self.put(name, version, content)
        return self._is_any_accepted(name)

    def _is_any_accepted(self, name: str) -> bool:
        calls = range(self.first_call, self.next_call + 1)
        return any(self.is_accepted(name, call) for call in calls)
