"""Simulated clusters of control hosts with continuous invariant checks."""

from __future__ import annotations

from snipejunction.bench.network import Place
from snipejunction.bench.virtual import VirtualRun
from snipejunction.bench.virtual_host import VirtualHost
from snipejunction.components.control.const import BOOTSTRAP_OPERATOR
from snipejunction.components.control.messages import (
    ChangeRequest,
    ChangeResponse,
)
from snipejunction.const import GROUP_SETTINGS
from snipejunction.node import Node

CHECK_INTERVAL_SECONDS = 0.02
SERVICE_DEADLINE = 0.5
MISSING = object()
KEYS = tuple(f'searcher-{number}' for number in range(8))


def service() -> dict[str, float]:
    """Return the default document that changes write."""
    return {'deadline': SERVICE_DEADLINE}


class InvariantChecker:
    """Checks invariants across all hosts; raises AssertionError."""

    def __init__(self, run: ControlRun) -> None:
        self.run = run
        self.accepted_revision = 0
        self.applied_revisions: dict[tuple[str, int], int] = {}
        self.documents: dict[int, dict] = {}

    def check(self) -> None:
        self._check_owners()
        for host in self.run.running:
            self._check_revision(host)
            if host.core.node.lease.is_held(host.now):
                self._check_lease(host)

    def _check_revision(self, host: VirtualHost) -> None:
        settings = host.core.node.settings
        process = (host.name, host.incarnation)
        assert settings.revision >= self.applied_revisions.get(process, 0), (
            'revision decreased'
        )
        self.applied_revisions[process] = settings.revision
        expected = self.documents.setdefault(
            settings.revision,
            dict(settings.documents),
        )
        assert expected == settings.documents, (
            'hosts differ in the documents of a revision'
        )

    def _check_lease(self, host: VirtualHost) -> None:
        revision = host.core.node.settings.revision
        assert revision >= self.accepted_revision, (
            f'{host.name} holds a lease at {revision}, '
            f'accepted is {self.accepted_revision}'
        )

    def _check_owners(self) -> None:
        owners: dict[str, str] = {}
        for host in self.run.running:
            node = host.core.node
            if not node.lease.is_held(host.now):
                continue
            for key in KEYS:
                ownership = (key, 'dc1', node.name, node.identity.incarnation)
                if node.view.is_exclusive_owner(*ownership):
                    expected = owners.setdefault(key, node.name)
                    assert expected == node.name, f'two owners of {key}'


class ControlRun(VirtualRun):
    """A cluster in three regions whose disks outlive the processes."""

    __slots__ = ('answers', 'checker')

    def __init__(self, seed: int, voters: int, others: int = 0) -> None:
        super().__init__(seed)
        self.answers: dict[str, ChangeResponse] = {}
        self.checker = InvariantChecker(self)
        names = [f'v{number}' for number in range(voters)]
        names += [f'h{voters + number:03}' for number in range(others)]
        places = {
            name: Place(f'dc{number % 3}', f'region{number % 3}')
            for number, name in enumerate(names)
        }
        self.add_hosts(
            places,
            names[:voters],
            operator_token_sha256='0' * 64,
            drift=0.001,
        )
        self.schedule.after(0, self._check_periodically)

    @property
    def leader_term(self) -> int:
        """Return the term of the leader."""
        return _term_of(self.leader)

    @property
    def running(self) -> list[VirtualHost]:
        """Return the hosts whose process is running."""
        return [host for host in self.hosts.values() if host.is_alive]

    @property
    def leader(self) -> VirtualHost:
        """Return the host that leads in the highest term."""
        leaders = [
            (_term_of(host), host)
            for host in self.running
            if host.core.node.control.leadership.is_leading
        ]
        return max(leaders, key=lambda pair: pair[0])[1]

    @property
    def voters(self) -> list[VirtualHost]:
        """Return the control hosts."""
        return [host for host in self.hosts.values() if host.name[0] == 'v']

    def node(self, name: str) -> Node:
        """Return the tables of a running host."""
        return self.hosts[name].core.node

    def crash(self, name: str) -> None:
        """Kill a host; writes that its disk had not synced are lost."""
        self.hosts[name].kill()

    def run_for(self, seconds: float) -> None:
        """Advance virtual time."""
        self.schedule.run_until(self.now + seconds)

    def start_and_wait(self, seconds: float = 6) -> None:
        """Start all hosts and wait until each holds a lease."""
        self.start_hosts()
        self.run_for(seconds)

    def change(
        self,
        host: str,
        change_id: str,
        base: int | None = None,
        path: str = '/teams/desk/services/shelf',
        document: object = MISSING,
    ) -> int:
        """Request a change at a host and return its base revision.

        The answer is added to ``answers`` by change id.
        """
        if base is None:
            base = self.node(host).settings.revision
        request = ChangeRequest(
            0,
            BOOTSTRAP_OPERATOR,
            change_id,
            base,
            {path: service() if document is MISSING else document},
        )
        self.hosts[host].call(
            request, lambda got: self._record_answer(change_id, got)
        )
        return base

    def lease_holders(self) -> list[str]:
        """Return the names of the hosts that hold a lease."""
        return [
            host.name
            for host in self.running
            if host.core.node.lease.is_held(host.now)
        ]

    def _record_answer(self, change_id: str, answer: ChangeResponse) -> None:
        self.answers[change_id] = answer
        if answer.refusal is None:
            self.checker.accepted_revision = max(
                self.checker.accepted_revision, answer.revision
            )
            self.checker.check()

    def _check_periodically(self) -> None:
        self.checker.check()
        self.schedule.after(CHECK_INTERVAL_SECONDS, self._check_periodically)


def _term_of(host: VirtualHost) -> int:
    replicas = host.core.node.consensus.replicas
    return replicas[GROUP_SETTINGS].term
