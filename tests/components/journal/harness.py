"""Roots, a journal and a simulated owner in virtual time, for tests."""

from __future__ import annotations

from collections.abc import Iterator

from snipejunction.commands import Command, Deliver, SendPeer
from snipejunction.components.control.lease import LeaseTable
from snipejunction.components.control.view import HostEntry, View
from snipejunction.components.directory.messages import RouteEntry
from snipejunction.components.journal.const import STATUS_GRANTED
from snipejunction.components.journal.machine import JournalMachine
from snipejunction.components.journal.messages import (
    JournalBeginResponse,
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
    """Three voters of the journal and two hosts without a vote.

    ``h5`` owns the searcher. The harness simulates that owner: it runs each
    run id once and records the request ids that ran.
    """

    def __init__(self, seed: int) -> None:
        """Create three voters and two other hosts."""
        self.runs: list[str] = []
        self.dispatched_to: list[str] = []
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
            machine_factory=lambda _: JournalMachine(),
        )

    def start_request(self, name: str, request_id: str, **fields) -> int:
        """Send a request to a host and return the call id."""
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

    def response_to(self, call: int) -> RunResponse | None:
        """Return the response to a call, None while there is none."""
        answers = [
            output
            for host in self.hosts.values()
            for output in host.outputs
            if isinstance(output, RunResponse) and output.call_id == call
        ]
        assert len(answers) < 2, f'call {call} got {len(answers)} responses'
        return answers[0] if answers else None

    def wait_response(self, call: int) -> RunResponse:
        """Run until a call has a response and return it."""
        self.run_until(lambda: self.response_to(call) is not None, limit=5)
        return self.response_to(call)

    def prepare_node(self, node: Node) -> None:
        """Set the lease, view, settings and routes of a host."""
        hosts = {
            name: HostEntry(
                name,
                '127.0.0.1',
                1,
                2,
                _data_centre(name),
                'r',
                _incarnation(host),
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
        """Set one searcher in a data centre as the routes of a root."""
        route = RouteEntry(
            's1', SERVICE, data_centre, '', (HELD,), 3, 3, 0, 0.01, 'ready'
        )
        node.routing.replace(SERVICE, 1, [route])

    def start(self, name: str) -> None:
        """Start a host and update the view on all hosts."""
        super().start(name)
        for host in self.running_hosts:
            self.prepare_node(host.node)

    def token(self) -> str:
        """Return the token of the first record."""
        records = self.leader().replica.machine.state.records
        return next(iter(records.values())).token

    def resend_grant(self, request_id: str) -> None:
        """Deliver a late copy of the journal's response to the root ``h4``."""
        token = self.token()
        run_id = int(token.rsplit('/', 1)[1])
        key = RequestKey(CALLER, SERVICE, request_id)
        copy = JournalBeginResponse(run_id, key, token, STATUS_GRANTED)
        copy.sender = self.leader().name
        self.process(self.hosts['h4'], copy)

    def lose_lease(self, name: str) -> None:
        """Revoke the lease of a host."""
        lease: LeaseTable = self.hosts[name].node.lease
        lease.give_up()

    def _tick(self, node: Node) -> Iterator[Command]:
        yield from super()._tick(node)
        message = node.timers.pop_due(self.now)
        while message is not None:
            yield Deliver(message)
            message = node.timers.pop_due(self.now)
        yield from ending.run_journal(node, self.now)

    def _handle_event(self, host: Host, message) -> None:
        if isinstance(message, RunOnce):
            self._run_once(host, message)
        else:
            super()._handle_event(host, message)

    def _run_once(self, host: Host, message: RunOnce) -> None:
        key = (message.sender, message.run_id, message.request_id)
        self.dispatched_to.append(host.name)
        if self.is_owner_silent:
            return
        if key not in self.outcomes:
            payload = b'ran %d' % len(self.runs)
            if self.refusal is None:
                self.runs.append(message.request_id)
            outcome = RunOnceResult(message.run_id, self.refusal, payload)
            self.outcomes[key] = outcome
        self._execute(host, [SendPeer(message.sender, self.outcomes[key])])


def admit_request(node, reply, now) -> Iterator[Command]:
    """Replace admission: admit every request."""
    yield Deliver(reply)


def skip_subscription(node, service, now) -> Iterator[Command]:
    """Replace the route subscription: the routes are set already."""
    return iter(())


def patch_dependencies(case) -> None:
    """Replace functions of other components during a test."""
    case.patch(asking, 'request_admission', admit_request)
    case.patch(asking, 'subscribe_to_routes', skip_subscription)


def _data_centre(name: str) -> str:
    return 'far' if name == 'h5' else 'near'


def _incarnation(host: Host) -> str:
    return f'i{host.epoch}'
