"""Roots, a journal and a counting searcher in virtual time, for tests."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver, SendPeer
from snipejunction.components.control.lease import LeaseTable
from snipejunction.components.control.view import HostEntry, View
from snipejunction.components.directory.messages import RouteEntry
from snipejunction.components.journal.const import STATUS_GRANTED
from snipejunction.components.journal.machine import JournalMachine
from snipejunction.components.journal.messages import (
    JournalAnswer,
    RequestKey,
    RunRequest,
    RunResponse,
)
from snipejunction.components.journal.systems import asking, ending
from snipejunction.components.owner.messages import (
    RunOnce,
    RunOnceResult,
    SnapshotEntry,
    SnapshotId,
)
from snipejunction.const import GROUP_JOURNAL
from snipejunction.node import Node
from snipejunction.verdict import Refusal
from tests.components.consensus.harness import Cluster, Host

SERVICE = 'team/loans'
CALLER = 'team/app'
HELD = SnapshotEntry(SnapshotId(1, 'one'), (0,), (10,))


class JournalCluster(Cluster):
    """Hosts that keep the journal, and two that have no vote.

    The owner of the searcher is ``h5``. The harness stands for it: it runs
    each run id once and counts the runs of each request.
    """

    def __init__(self, seed: int) -> None:
        """Create three voters and two further hosts."""
        self.runs: list[str] = []
        self.received: list[str] = []
        self.outcomes: dict[tuple, RunOnceResult] = {}
        self.refusal: Refusal | None = None
        self.run_seconds = 0.01
        self.is_owner_silent = False
        self._calls = 0
        super().__init__(
            5,
            seed,
            first=3,
            groups=(GROUP_JOURNAL,),
            machine_of=lambda _: JournalMachine(),
        )

    def ask(self, name: str, request_id: str, **fields) -> int:
        """Ask at a host; return the number of the call."""
        self._calls += 1
        message = RunRequest(
            self._calls,
            request_id,
            fields.get('caller', CALLER),
            SERVICE,
            'key',
            fields.get('body', b'body'),
            fields.get('deadline', 1.0),
            '',
        )
        self.process(self.hosts[name], message)
        return self._calls

    def answer(self, call: int) -> RunResponse | None:
        """Return the answer to a call, None while there is none."""
        answers = [
            output
            for host in self.hosts.values()
            for output in host.outputs
            if isinstance(output, RunResponse) and output.call_id == call
        ]
        assert len(answers) < 2, 'a call was answered twice'
        return answers[0] if answers else None

    def settle(self, call: int) -> RunResponse:
        """Run until a call is answered and return the answer."""
        self.run_until(lambda: self.answer(call) is not None, limit=5)
        return self.answer(call)

    def begin(self, node: Node) -> None:
        """Give a host its lease, the view, settings and routes."""
        hosts = {
            name: HostEntry(
                name, '127.0.0.1', 1, 2, _place(name), 'r', _life(host)
            )
            for name, host in self.hosts.items()
        }
        node.lease.extend(10**9)
        node.view.apply(View(node.view.revision + 1, hosts))
        limits = {'rate': 1000, 'concurrency': 100}
        service = {'callers': {CALLER: limits, 'team/other': limits}}
        node.settings.apply(1, {'/teams/team/services/loans': service})
        self.route(node, 'far')

    def route(self, node: Node, data_centre: str) -> None:
        """Let a root know of one searcher in a data centre."""
        route = RouteEntry(
            's1', SERVICE, data_centre, '', (HELD,), 3, 3, 0, 0.01, 'ready'
        )
        node.routing.replace(SERVICE, 1, [route])

    def start(self, name: str) -> None:
        """Start a host; all hosts learn of its incarnation."""
        super().start(name)
        for host in self.up:
            self.begin(host.node)

    def token(self) -> str:
        """Return the token of the only record."""
        records = self.leader().replica.machine.state.records
        return next(iter(records.values())).token

    def repeat_grant(self, request_id: str) -> None:
        """Give the root ``h4`` a late copy of the journal's answer."""
        token = self.token()
        run_id = int(token.rsplit('/', 1)[1])
        key = RequestKey(CALLER, SERVICE, request_id)
        copy = JournalAnswer(run_id, key, token, STATUS_GRANTED)
        copy.sender = self.leader().name
        self.process(self.hosts['h4'], copy)

    def lose_lease(self, name: str) -> None:
        """End the lease of a host."""
        lease: LeaseTable = self.hosts[name].node.lease
        lease.give_up()

    def _tick(self, node: Node) -> Iterator[Command]:
        yield from super()._tick(node)
        message = node.timers.pop_due(self.now)
        while message is not None:
            yield Deliver(message)
            message = node.timers.pop_due(self.now)
        yield from ending.run_journal(node, self.now)

    def _step(self, host: Host, message) -> None:
        if isinstance(message, RunOnce):
            self._run_once(host, message)
        else:
            super()._step(host, message)

    def _run_once(self, host: Host, message: RunOnce) -> None:
        key = (message.sender, message.run_id, message.request_id)
        self.received.append(host.name)
        if self.is_owner_silent:
            return
        if key not in self.outcomes:
            payload = b'ran %d' % len(self.runs)
            if self.refusal is None:
                self.runs.append(message.request_id)
            outcome = RunOnceResult(message.run_id, self.refusal, payload)
            self.outcomes[key] = outcome
        self._settle(host, [SendPeer(message.sender, self.outcomes[key])])


def admit_all(node, reply, now) -> Iterator[Command]:
    """Stand for admission: let every request in."""
    yield Deliver(reply)


def no_routes_needed(node, service, now) -> Iterator[Command]:
    """Stand for the directory: the routes are there."""
    return iter(())


def patch_neighbours(case) -> None:
    """Put stand-ins for other components in place during a test."""
    case.patch(asking, 'ask_admission', admit_all)
    case.patch(asking, 'want_routes', no_routes_needed)


def _place(name: str) -> str:
    return 'far' if name == 'h5' else 'near'


def _life(host: Host) -> str:
    return f'i{host.epoch}'
