"""Test harness: a root connected to fake owners."""

from __future__ import annotations

import json
from typing import Any

from snipejunction.commands import Command
from snipejunction.components import all_systems
from snipejunction.components.admission.messages import ShareGrant
from snipejunction.components.directory.messages import (
    RouteEntry,
    RoutesChanged,
)
from snipejunction.components.owner.messages import (
    SnapshotEntry,
    SnapshotId,
    SubBatch,
    SubCancel,
    SubResult,
    SubResults,
)
from snipejunction.components.root.messages import (
    SearchAnswer,
    SearchRequest,
    SearchResponse,
)
from snipejunction.const import (
    CODE_OVERLOAD,
    PREFER_COVERAGE,
)
from snipejunction.verdict import Refusal, not_run_refusal
from tests.virtual_hosts import VirtualHosts

ROOT = 'a0'
CALLER = 'desk/scanner'
SERVICE = 'desk/lookup'
OLD = SnapshotId(1, 'x')
NEW = SnapshotId(2, 'x')
SIZES = (100, 50, 25, 25)
# Each owner owns one searcher, of the same name.
OWNERS = ('s1', 's2', 's3', 's4')
SYSTEMS = all_systems.SYSTEMS


class ReceivedSub:
    """Sub-request as an owner received it."""

    def __init__(self, owner: str, batch: SubBatch, index: int) -> None:
        self.owner = owner
        self.sub_id = batch.sub_ids[index]
        self.searcher = batch.searchers[index]
        self.shards = list(batch.shards[index])
        self.snapshot = batch.snapshot
        self.remaining = batch.remaining


class RootHarness:
    """Root connected to fake owners.

    ``held`` maps searchers to the shards that they hold of each snapshot.
    """

    def __init__(
        self,
        held: dict[str, dict[SnapshotId, tuple[int, ...]]],
        prefer: str = PREFER_COVERAGE,
        seed: int = 1,
        **settings: Any,
    ) -> None:
        self.answers: list[SearchResponse] = []
        self.answered_at: list[float] = []
        self.hosts = VirtualHosts(
            [ROOT],
            seed,
            self._record_command,
            OWNERS,
        )
        limit = {'rate': 1000000, 'concurrency': 10000}
        service = {
            'callers': {CALLER: limit},
            'prefer': prefer,
            'deadline': 0.5,
            **settings,
        }
        path = '/teams/desk/services/lookup'
        self.hosts.write_settings(1, {path: service})
        self.held = held
        self.hosts.run(1)
        self._grant_share()
        self._publish_initial_routes()

    @property
    def node(self) -> Any:
        return self.hosts.cores[ROOT].node

    def search(
        self, call_id: int = 1, sufficient_coverage: float = 1, **overrides: Any
    ) -> None:
        message = SearchRequest(
            call_id,
            f'request-{call_id}',
            overrides.get('caller', CALLER),
            overrides.get('service', SERVICE),
            b'{}',
            overrides.get('deadline', 0),
            sufficient_coverage,
            overrides.get('top', 100),
            '',
        )
        if self.held and not self.node.routing.entries(SERVICE):
            # There is no registrar that would renew the subscription.
            self.publish_routes()
        self.hosts.receive(ROOT, message)
        self.hosts.run(0.01)

    def subs(self) -> list[ReceivedSub]:
        """Return all sub-requests so far, in the order they were sent."""
        return [
            ReceivedSub(receiver, message, index)
            for _, receiver, message in self.hosts.sent
            if isinstance(message, SubBatch)
            for index in range(len(message.sub_ids))
        ]

    def cancelled(self) -> list[int]:
        return [
            sub_id
            for _, _, message in self.hosts.sent
            if isinstance(message, SubCancel)
            for sub_id in message.sub_ids
        ]

    def answer(self, *subs: ReceivedSub, **overrides: Any) -> None:
        results = [self.result_of(sub, **overrides) for sub in subs]
        self.deliver(subs[0].owner, results)

    def deliver(self, sender: str, results: list[SubResult]) -> None:
        message = SubResults(results)
        message.sender = sender
        self.hosts.receive(ROOT, message)

    def result_of(
        self,
        sub: ReceivedSub,
        refusal: Refusal | None = None,
        snapshot: SnapshotId | None = None,
        shards: list[int] | None = None,
        served: float = 0.01,
    ) -> SubResult:
        covered = sub.shards if shards is None else shards
        named = snapshot or sub.snapshot
        hits = [make_hit(named, shard) for shard in covered]
        return SubResult(
            sub.sub_id,
            sub.searcher,
            refusal,
            json.dumps({'hits': hits}).encode(),
            named,
            covered,
            0,
            served,
            refusal is None,
        )

    def publish_routes(self) -> None:
        """Replace the root's routes by those of all searchers."""
        entries = [make_entry(name, held) for name, held in self.held.items()]
        version = self.node.routing.version(SERVICE) + 1
        self.node.routing.replace(SERVICE, version, entries)
        self.hosts.receive(ROOT, RoutesChanged(SERVICE))

    def _grant_share(self) -> None:
        now = self.hosts.now
        account = self.node.admission.account(CALLER, SERVICE, now)
        number = account.begin_share_request(1000, now)
        grant = ShareGrant(
            CALLER,
            SERVICE,
            number,
            1000000,
            10000,
            1000,
            1000000,
            is_short=False,
        )
        account.apply_grant(grant, now)

    def _publish_initial_routes(self) -> None:
        if self.held:
            self.publish_routes()

    def _record_command(self, name: str, command: Command) -> None:
        if isinstance(command, SearchResponse):
            self.answers.append(command)
            self.answered_at.append(self.hosts.now)


def make_hit(snapshot: SnapshotId, shard: int) -> dict[str, Any]:
    return {'id': f'{snapshot.version}:{shard}', 'score': float(shard)}


def make_entry(
    name: str,
    held: dict[SnapshotId, tuple[int, ...]],
) -> RouteEntry:
    snapshots = tuple(
        SnapshotEntry(snapshot, shards, SIZES)
        for snapshot, shards in held.items()
    )
    data_centre = f'{name}-dc'
    return RouteEntry(
        name,
        SERVICE,
        data_centre,
        name,
        snapshots,
        4,
        4,
        0,
        0.01,
        'ready',
    )


def replicated_halves(snapshot: SnapshotId = OLD) -> dict[str, Any]:
    """Return searchers with two replicas of each half of the shards."""
    return {
        's1': {snapshot: (0, 1)},
        's2': {snapshot: (2, 3)},
        's3': {snapshot: (0, 1)},
        's4': {snapshot: (2, 3)},
    }


def answer_of(harness: RootHarness) -> SearchAnswer:
    answer = harness.answers[0].answer
    assert answer is not None
    return answer


def refuse_open_subs(harness: RootHarness, answered: set[int]) -> None:
    """Refuse every sub-request that is not answered yet."""
    for sub in harness.subs():
        if sub.sub_id not in answered:
            answered.add(sub.sub_id)
            harness.answer(sub, refusal=not_run_refusal(CODE_OVERLOAD, 'full'))


def warm_up(harness: RootHarness) -> None:
    """Run queries until the root has enough service times to hedge."""
    for call_id in range(1, 101):
        harness.search(call_id)
        harness.answer(harness.subs()[-1])
        harness.answer(harness.subs()[-2])
