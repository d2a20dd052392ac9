"""Tests with control hosts that are killed, frozen or lose their disk."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.demo.cluster import (
    CALLER,
    OPERATOR_TOKEN,
    demo_documents,
    hash_text,
)
from tests.processes.changes import CALLERS, NOT_RUN, SettingsOperator
from tests.processes.harness import (
    SEARCH_BODY,
    ROOT,
    RUN,
    SEARCH,
    Cluster,
    HostProcess,
    async_wait_for,
    in_loop,
)

_NOT_MEMBER = 206
_RESENDS = 20
_LOANS = 6


class KilledLeaderTest(TestCase):
    """SIGKILL of the control leader during settings changes."""

    @in_loop
    async def test_changes(self) -> None:
        """Accepted changes survive and refused changes never appear."""
        async with Cluster() as cluster:
            changes = SettingsOperator(cluster, cluster.entry_hosts[0])
            await changes.async_write_service()
            await changes.async_make_changes(8)
            leader = await cluster.async_leader()
            await self._async_kill(cluster, leader, changes)
            await changes.async_make_changes(8)
            live = [host for host in cluster.hosts if host is not leader]
            await changes.async_check(live)
            await leader.async_start()
            await changes.async_check(cluster.hosts)
            self.assertThat(len(changes.accepted), Equals(17))
            self.assertThat(changes.problems, Equals([]))

    async def _async_kill(
        self,
        cluster: Cluster,
        leader: HostProcess,
        changes: SettingsOperator,
    ) -> None:
        """Kill the leader once a change is on its disk only."""
        followers = [host for host in cluster.voters if host is not leader]
        await asyncio.gather(*(host.async_freeze() for host in followers))
        before = leader.log_bytes()
        change = asyncio.create_task(changes.async_change())
        await async_wait_for(lambda: leader.log_bytes() > before)
        # A round trip to the leader leaves time for a premature answer.
        await cluster.async_status(leader)
        await leader.async_kill()
        self.assertFalse(change.done())
        for follower in followers:
            follower.send_signal(signal.SIGCONT)
        await change


class KilledTogetherTest(TestCase):
    """SIGKILL of all control hosts at once."""

    @in_loop
    async def test_restart(self) -> None:
        """Changes and outcomes of loans survive the restart."""
        async with Cluster() as cluster:
            entry = cluster.entry_hosts[0]
            changes = SettingsOperator(cluster, entry)
            await changes.async_write_service()
            fleet = await cluster.async_start_fleet()
            await cluster.async_wait_until_complete([entry])
            loans = [_loan(number) for number in range(_LOANS)]
            first_answers = await self._async_run_loans(cluster, entry, loans)
            for loan_status, answer in first_answers:
                self.assertThat(loan_status, Equals(200), str(answer))
            await changes.async_make_changes(5)
            for searcher in fleet.searchers:
                searcher.behaviour.delay = 0.5
            interrupted = _loan(_LOANS)
            interrupted_task = asyncio.create_task(
                cluster.async_call_as_caller(entry, RUN, interrupted),
            )
            await async_wait_for(lambda: fleet.runs[interrupted['request_id']])
            for voter in cluster.voters:
                voter.send_signal(signal.SIGKILL)
            await asyncio.gather(*map(self._async_restart, cluster.voters))
            await changes.async_check(cluster.hosts)
            self.assertThat(changes.problems, Equals([]))
            await asyncio.gather(
                *(
                    self._async_resend(cluster, host, loans, first_answers)
                    for host in cluster.hosts
                ),
            )
            await interrupted_task
            status, answer = await cluster.async_call_as_caller(
                entry, RUN, interrupted
            )
            has_outcome = status == 200 and answer['replay']
            is_unknown = answer.get('verdict') == 'may have run'
            self.assertTrue(has_outcome or is_unknown, answer)
            self.assertThat(set(fleet.runs.values()), Equals({1}))
            self.assertThat(len(fleet.runs), Equals(_LOANS + 1))

    async def _async_run_loans(
        self,
        cluster: Cluster,
        host: HostProcess,
        loans: list[dict[str, Any]],
    ) -> list[tuple[int, dict[str, Any]]]:
        return await asyncio.gather(
            *(cluster.async_call_as_caller(host, RUN, loan) for loan in loans),
        )

    async def _async_restart(self, voter: HostProcess) -> None:
        await voter.running.wait()
        await voter.async_start()

    async def _async_resend(
        self,
        cluster: Cluster,
        host: HostProcess,
        loans: list[dict[str, Any]],
        first_answers: list[tuple[int, dict[str, Any]]],
    ) -> None:
        for loan, (_, answer) in zip(loans, first_answers, strict=True):
            again = await self._async_outcome(cluster, host, loan)
            self.assertThat(again['outcome'], Equals(answer['outcome']))
            self.assertTrue(again['replay'])

    async def _async_outcome(
        self,
        cluster: Cluster,
        host: HostProcess,
        loan: dict[str, Any],
    ) -> dict[str, Any]:
        """Resend a loan that ran before until its outcome is returned."""
        for _ in range(_RESENDS):
            status, again = await cluster.async_call_as_caller(host, RUN, loan)
            if status == 200:
                return again
            # The journal may still be starting, but must not claim "not run".
            self.assertThat(again['verdict'], Equals('may have run'))
        return self.fail(f'no outcome: {again}')


class FrozenHostTest(TestCase):
    """SIGSTOP of a control host for longer than its lease."""

    @in_loop
    async def test_resumed(self) -> None:
        """After SIGCONT it uses neither its expired lease nor old settings."""
        async with Cluster() as cluster:
            changes = SettingsOperator(cluster, cluster.entry_hosts[0])
            await changes.async_write_service()
            other = {f'{CALLERS}/other': {'token_sha256': hash_text('other')}}
            limit = {'rate': 1000, 'concurrency': 100}
            both = demo_documents(
                callers={CALLER: limit, 'toys/other': limit},
            )
            await changes.async_put({**both, **other})
            await cluster.async_start_fleet()
            leader = await cluster.async_leader()
            frozen = next(host for host in cluster.voters if host != leader)
            await cluster.async_wait_until_complete([frozen])
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            lease = (await cluster.async_status(frozen))['lease_remaining']
            await frozen.async_freeze()
            await changes.async_put(
                demo_documents(callers={'toys/other': limit}),
            )
            # The change is accepted once the frozen host's lease has expired.
            self.assertTrue(loop.time() >= started_at + lease)
            await self._async_wait_until_removed(cluster, leader, frozen)
            await self._async_resume_without_quorum(cluster, frozen)
            await cluster.async_wait_until_ready(cluster.hosts)
            await changes.async_check_revisions()
            self.assertThat(changes.problems, Equals([]))
            status, answer = await cluster.async_call_as_caller(
                frozen,
                SEARCH,
                SEARCH_BODY,
            )
            self.assertThat(
                (status, answer['code']), Equals((403, 'forbidden'))
            )

    async def _async_wait_until_removed(
        self,
        cluster: Cluster,
        leader: HostProcess,
        frozen: HostProcess,
    ) -> None:
        names = {frozen.name}
        while frozen.name in names:
            status = await cluster.async_status(leader)
            names = {host['name'] for host in status['hosts']}

    async def _async_resume_without_quorum(
        self,
        cluster: Cluster,
        frozen: HostProcess,
    ) -> None:
        """Resume the host while no voter can grant it a lease."""
        others = [host for host in cluster.voters if host is not frozen]
        await asyncio.gather(*(voter.async_freeze() for voter in others))
        requests = [
            asyncio.create_task(
                cluster.async_call_as_caller(
                    frozen, SEARCH, SEARCH_BODY, token
                ),
            )
            for token in ('demo-caller', 'other', 'other', 'other')
        ]
        status = asyncio.create_task(cluster.async_status(frozen))
        frozen.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*requests)
        self.assertThat((await status)['lease_remaining'], Equals(0))
        for voter in others:
            voter.send_signal(signal.SIGCONT)
        for code, answer in answers[1:]:
            self.assertThat(code, Equals(503), str(answer))
            self.assertThat(answer['code'], Equals('no_lease'))
        self.assertThat(
            {answer['verdict'] for _, answer in answers},
            Equals({NOT_RUN}),
        )


class WipedDiskTest(TestCase):
    """A control host that restarts with an empty data folder."""

    @in_loop
    async def test_repair(self) -> None:
        """It has no vote until it is added; then it counts for the quorum."""
        async with Cluster() as cluster:
            changes = SettingsOperator(cluster, cluster.entry_hosts[0])
            await changes.async_write_service()
            await changes.async_make_changes(3)
            leader = await cluster.async_leader()
            wiped, other = (
                host for host in cluster.voters if host is not leader
            )
            await wiped.async_kill()
            wiped.remove_data_folder()
            await wiped.async_start()
            await cluster.async_wait_until_ready([wiped])
            await async_wait_for(lambda: wiped.has_logged(_NOT_MEMBER))
            await self._async_check_vote(cluster, leader, other, changes)
            await self._async_add(cluster, wiped)
            leader = await cluster.async_leader()
            lost = other if leader is wiped else leader
            await lost.async_kill()
            live = [host for host in cluster.hosts if host is not lost]
            await changes.async_make_changes(2)
            await changes.async_check(live)
            self.assertThat(changes.problems, Equals([]))

    async def _async_check_vote(
        self,
        cluster: Cluster,
        leader: HostProcess,
        other: HostProcess,
        changes: SettingsOperator,
    ) -> None:
        """Check that the leader has no quorum with the wiped host alone."""
        await other.async_freeze()
        change = asyncio.create_task(changes.async_change())
        is_leader = True
        while is_leader:
            is_leader = (await cluster.async_replica(leader))['is_leader']
        self.assertFalse(change.done())
        other.send_signal(signal.SIGCONT)
        await change

    async def _async_add(self, cluster: Cluster, wiped: HostProcess) -> None:
        """Add the new voter with the command line."""
        voter_id = (await cluster.async_status(wiped))['voter_id']
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'snipejunction',
            'voters',
            'add',
            wiped.name,
            '--ip',
            wiped.ip,
            '--peer-port',
            str(wiped.peer_port),
            '--voter-id',
            voter_id,
            cwd=ROOT,
            env={
                'SNIPEJUNCTION_HOSTS': ','.join(cluster.addresses),
                'SNIPEJUNCTION_TOKEN': OPERATOR_TOKEN,
            },
        )
        self.assertThat(await process.wait(), Equals(0))


def _loan(number: int) -> dict[str, Any]:
    return {
        'request_id': f'loan-{number}',
        'key': f'family-{number}',
        'body': {'toy': number},
        'deadline_ms': 5000,
    }
