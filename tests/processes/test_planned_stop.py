"""Test of a planned stop of the control leader under load."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from random import Random

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.demo.caller import Caller
from snipejunction.demo.cluster import CALLER_TOKEN, SERVICE
from snipejunction.demo.load import TOP, LoadReport, make_query
from tests.processes.changes import SettingsOperator
from tests.processes.harness import Cluster, async_wait_for, in_loop

_LOANS_PER_PHASE = 10
# With pauses the host is idle at times while it is still listed.
_PAUSE_SECONDS = 0.05


class PreferredHostCaller(Caller):
    """Caller that prefers one host as long as the addresses list it."""

    def __init__(
        self, addresses: list[str], preferred_host: str, turn: int
    ) -> None:
        """Create a caller that uses ``preferred_host`` while it is listed."""
        super().__init__(addresses, CALLER_TOKEN, turn)
        self._preferred_host = preferred_host

    async def async_addresses(self) -> list[str]:
        """Return the listed hosts, the preferred one first."""
        addresses = await super().async_addresses()
        return sorted(addresses, key=lambda host: host != self._preferred_host)


class LoadClient:
    """Sends searches and loans in turn until it is stopped."""

    def __init__(self, number: int) -> None:
        """Create a client; ``number`` makes its loan ids unique."""
        self._number = number
        self._random = Random(number)
        self.is_stopped = False
        self.report = LoadReport()
        self.loan_ids: list[str] = []
        self.failures: list[str] = []
        self.refusal_counts: Counter[str] = Counter()

    async def async_run(
        self, addresses: list[str], preferred_host: str
    ) -> None:
        """Send requests until the client is stopped."""
        async with PreferredHostCaller(
            addresses, preferred_host, self._number
        ) as caller:
            while not self.is_stopped:
                await self._async_search(caller)
                await self._async_run_loan(caller)
                await asyncio.sleep(_PAUSE_SECONDS)

    async def _async_search(self, caller: Caller) -> None:
        query = make_query(self._random)
        reply = await caller.async_search(
            SERVICE,
            {'query': query, 'deadline_ms': 2000, 'top': TOP},
        )
        self.report.note(query, reply, 0)
        self.refusal_counts.update(reply.refusals)

    async def _async_run_loan(self, caller: Caller) -> None:
        loan = f'loan-{self._number}-{len(self.loan_ids) + len(self.failures)}'
        reply = await caller.async_run(
            SERVICE,
            {'request_id': loan, 'key': loan, 'body': {}},
        )
        self.refusal_counts.update(reply.refusals)
        if reply.is_ok:
            self.loan_ids.append(reply.document['outcome']['loan'])
        else:
            self.failures.append(f'{loan}: {reply.document}')


class PlannedStopTest(TestCase):
    """SIGTERM to the control leader."""

    @in_loop
    async def test_under_load(self) -> None:
        """No request is interrupted and each loan runs once."""
        async with Cluster() as cluster:
            changes = SettingsOperator(cluster, cluster.entry_hosts[0])
            await changes.async_write_service()
            fleet = await cluster.async_start_fleet()
            await cluster.async_wait_until_complete(cluster.hosts)
            leader = await cluster.async_leader()
            clients = [LoadClient(number) for number in range(4)]
            tasks = [
                asyncio.create_task(
                    client.async_run(cluster.addresses, leader.address),
                )
                for client in clients
            ]
            await self._async_wait_for_progress(clients)
            leader.send_signal(signal.SIGTERM)
            exit_code = await leader.running.wait()
            await self._async_wait_for_progress(clients)
            for client in clients:
                client.is_stopped = True
            await asyncio.gather(*tasks)
            self.assertThat(exit_code, Equals(0))
            for client in clients:
                self._check_client(client)
            loans = [loan for client in clients for loan in client.loan_ids]
            self.assertThat(fleet.runs, Equals(Counter(loans)))
            self.assertThat(fleet.breaches, Equals(Counter()))

    async def _async_wait_for_progress(self, clients: list[LoadClient]) -> None:
        """Wait until each client has completed more loans."""
        targets = [
            len(client.loan_ids) + _LOANS_PER_PHASE for client in clients
        ]
        await async_wait_for(
            lambda: all(
                len(client.loan_ids) >= count
                for client, count in zip(clients, targets, strict=True)
            ),
        )

    def _check_client(self, client: LoadClient) -> None:
        self.assertThat(client.failures, Equals([]))
        self.assertThat(client.report.failed, Equals(Counter()))
        self.assertThat(client.report.false_answers, Equals([]))
        # A host must serve as long as the addresses list it.
        self.assertThat(client.refusal_counts['port_closed'], Equals(0))
