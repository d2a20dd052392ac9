"""Operator that submits settings changes and checks their outcome."""

from __future__ import annotations

import asyncio
from typing import Any

from snipejunction.demo.cluster import TEAM, demo_documents, hash_text
from tests.processes.harness import Cluster, HostProcess

CALLERS = f'/teams/{TEAM}/callers'
NOT_RUN = 'not run'


class SettingsOperator:
    """Submits changes to one host and records the outcome of each.

    Each accepted change is followed by a conflicting change based on the
    previous revision, which must be refused.
    """

    def __init__(self, cluster: Cluster, host: HostProcess) -> None:
        """Create an operator that sends its requests to ``host``."""
        self._cluster = cluster
        self._host = host
        self._change_count = 0
        self.revision = 0
        self.accepted: dict[str, str] = {}
        self.refused: set[str] = set()
        self.problems: list[str] = []

    async def async_write_service(self) -> None:
        """Write the documents of the service and its callers."""
        await self._async_submit_change('service', demo_documents())

    async def async_make_changes(self, count: int) -> None:
        """Submit ``count`` changes, each followed by a conflicting one."""
        target = len(self.accepted) + count
        while len(self.accepted) < target:
            await self.async_change()
            await self.async_check_revisions()
            await self._async_submit_stale_change()

    async def async_change(self) -> None:
        """Submit one change and retry until it is accepted."""
        self._change_count += 1
        path = f'{CALLERS}/c{self._change_count}'
        token = hash_text(f'accepted {self._change_count}')
        documents = {path: {'token_sha256': token}}
        await self._async_submit_change(
            f'change-{self._change_count}', documents
        )
        self.accepted[path] = token

    async def async_put(self, documents: dict[str, Any]) -> None:
        """Submit a change of the given documents."""
        self._change_count += 1
        await self._async_submit_change(
            f'change-{self._change_count}', documents
        )

    async def async_check_revisions(self) -> None:
        """Check that each host with a lease applied the accepted revision."""
        accepted = self.revision
        statuses = await asyncio.gather(
            *(
                self._cluster.async_status(host)
                for host in self._cluster.hosts
                if host.running.returncode is None
            ),
        )
        self.problems.extend(
            f'{status["name"]} applied {status["settings_revision"]}, '
            f'accepted revision is {accepted}'
            for status in statuses
            if status['lease_remaining'] > 0
            and status['settings_revision'] < accepted
        )

    async def async_check(self, hosts: list[HostProcess]) -> None:
        """Wait until hosts are ready and check all changes on them."""
        await self._cluster.async_wait_until_ready(hosts)
        await asyncio.gather(*map(self._async_check_host, hosts))

    async def _async_check_host(self, host: HostProcess) -> None:
        _, answer = await self._cluster.async_request(
            host,
            'GET',
            f'/v1/settings{CALLERS}',
        )
        found = {
            path: document['token_sha256']
            for path, document in answer.get('documents', {}).items()
        }
        self.problems.extend(
            f'{host.name} lacks {path}'
            for path, token in self.accepted.items()
            if found.get(path) != token
        )
        self.problems.extend(
            f'{host.name} shows a refused change at {path}'
            for path, token in found.items()
            if token in self.refused
        )

    async def _async_submit_stale_change(self) -> None:
        path = f'{CALLERS}/c{self._change_count}'
        token = hash_text(f'refused {self._change_count}')
        status, answer = await self._cluster.async_request(
            self._host,
            'PUT',
            f'/v1/settings{path}',
            {
                'change_id': f'rival-{self._change_count}',
                'base': self.revision - 1,
                'document': {'token_sha256': token},
            },
        )
        if answer.get('verdict') != NOT_RUN:
            self.problems.append(f'rival of {path}: {status} {answer}')
        self.refused.add(token)

    async def _async_submit_change(
        self,
        change_id: str,
        documents: dict[str, Any],
    ) -> None:
        """Submit a change and retry with the same id until accepted."""
        status = 0
        while status != 200:
            status, answer = await self._cluster.async_request(
                self._host,
                'PUT',
                '/v1/settings',
                {
                    'change_id': change_id,
                    'base': self.revision,
                    'documents': documents,
                },
            )
            if status not in {200, 503}:
                raise RuntimeError(f'{change_id}: {status} {answer}')
        self.revision = answer['revision']
