"""Tests of the HTTP API of operators, upstreams and the platform."""

from __future__ import annotations

import asyncio

from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength

from snipejunction.demo.cluster import (
    CALLER_TOKEN,
    UPSTREAM_TOKEN,
    hash_text,
)
from snipejunction.standin.announcer import announcement_of
from tests.edge.http.support import HostSite
from tests.edge.support import in_loop

_ROSTER = '/v1/settings/teams/roster/services/shifts'
_TEAM_TOKEN = 'roster-operator'


class SettingsTest(TestCase):
    """Settings over HTTP."""

    @in_loop
    async def test_write_and_read(self) -> None:
        """A change is applied once acknowledged and is in the history."""
        async with HostSite() as site:
            base = await self.async_revision(site)
            change = {
                'change_id': 'c-1',
                'base': base,
                'document': {'prefer': 'coverage'},
            }
            status, answer = await site.async_operator_request(
                'PUT', _ROSTER, change
            )
            again = await site.async_operator_request('PUT', _ROSTER, change)
            _, read = await site.async_operator_request('GET', _ROSTER)
            _, history = await site.async_operator_request(
                'GET',
                '/v1/history/teams/roster',
            )
            self.assertThat(status, Equals(200))
            self.assertThat(again, Equals((200, answer)))
            path = '/teams/roster/services/shifts'
            self.assertThat(
                read['documents'],
                Equals({path: {'prefer': 'coverage'}}),
            )
            self.assertThat(history['changes'], HasLength(1))

    @in_loop
    async def test_stale_base(self) -> None:
        """A change with a stale base is refused with the current revision."""
        async with HostSite() as site:
            base = await self.async_revision(site)
            first = {'change_id': 'a', 'base': base, 'document': {}}
            second = {'change_id': 'b', 'base': base, 'document': {}}
            _, won = await site.async_operator_request('PUT', _ROSTER, first)
            status, lost = await site.async_operator_request(
                'PUT', _ROSTER, second
            )
            self.assertThat(status, Equals(409))
            self.assertThat(lost['verdict'], Equals('not run'))
            self.assertThat(lost['revision'], Equals(won['revision']))

    @in_loop
    async def test_subtree(self) -> None:
        """A team's token writes its own subtree and nothing else."""
        async with HostSite() as site:
            operator = {
                'token_sha256': hash_text(_TEAM_TOKEN),
                'subtrees': ['/teams/roster'],
            }
            await site.cluster.async_put({'/operators/roster': operator}, 'o')
            base = await self.async_revision(site)
            change = {'change_id': 'd', 'base': base, 'document': {}}
            foreign = '/v1/settings/teams/toys/services/catalogue'
            allowed = await site.async_request(
                'PUT',
                _ROSTER,
                _TEAM_TOKEN,
                json=change,
            )
            denied = await site.async_request(
                'PUT',
                foreign,
                _TEAM_TOKEN,
                json={**change, 'change_id': 'e'},
            )
            hidden = await site.async_request('GET', foreign, _TEAM_TOKEN)
            self.assertThat(allowed[0], Equals(200))
            self.assertThat(denied[0], Equals(403))
            self.assertThat(hidden[0], Equals(404))

    @in_loop
    async def test_bad_document(self) -> None:
        """A document that violates its schema is refused with its path."""
        async with HostSite() as site:
            change = {
                'change_id': 'f',
                'base': await self.async_revision(site),
                'document': {'prefer': 'speed'},
            }
            status, answer = await site.async_operator_request(
                'PUT', _ROSTER, change
            )
            self.assertThat(status, Equals(400))
            self.assertThat(answer['detail'], Contains('prefer'))

    async def async_revision(self, site: HostSite) -> int:
        """Return the current settings revision."""
        _, answer = await site.async_operator_request('GET', '/v1/settings')
        return int(answer['revision'])


class DataCentreTest(TestCase):
    """Data centres taken out of service and brought back."""

    @in_loop
    async def test_out_and_in(self) -> None:
        """The state changes, and other fields of the document stay."""
        async with HostSite() as site:
            path = '/v1/data-centres/kano'
            data_centre = {'state': 'in', 'region': 'Kano'}
            base = await site.cluster.async_put(
                {'/data-centres/kano': data_centre},
                'place',
            )
            status, _ = await site.async_operator_request(
                'PUT',
                path,
                {'change_id': 'g', 'base': base, 'state': 'out'},
            )
            host = site.cluster.hosts[0]
            document = host.node.settings.documents['/data-centres/kano']
            self.assertThat(status, Equals(200))
            self.assertTrue(host.node.settings.is_out('kano'))
            self.assertThat(document['region'], Equals('Kano'))


class StatusTest(TestCase):
    """Status and health checks of a host."""

    @in_loop
    async def test_status(self) -> None:
        """The status has the phase and replicas and needs an operator."""
        async with HostSite() as site:
            status, answer = await site.async_operator_request(
                'GET', '/v1/status'
            )
            self.assertThat(status, Equals(200))
            self.assertThat(answer['phase'], Equals('serving'))
            self.assertThat(answer['replicas'], HasLength(2))
            denied, _ = await site.async_request(
                'GET',
                '/v1/status',
                CALLER_TOKEN,
            )
            self.assertThat(denied, Equals(401))

    @in_loop
    async def test_health(self) -> None:
        """Liveness and readiness need no token."""
        async with HostSite() as site:
            alive, _ = await site.async_request('GET', '/healthz', '')
            ready, _ = await site.async_request('GET', '/readyz', '')
            self.assertThat((alive, ready), Equals((200, 200)))

    @in_loop
    async def test_voter_change(self) -> None:
        """Adding a voter without an address is refused as *not run*."""
        async with HostSite() as site:
            status, answer = await site.async_operator_request(
                'POST',
                '/v1/voters',
                {'action': 'add', 'name': 'host-9'},
            )
            self.assertThat(status, Equals(400))
            self.assertThat(answer['verdict'], Equals('not run'))


class AnnouncementTest(TestCase):
    """Announcements of upstreams."""

    @in_loop
    async def test_tokens(self) -> None:
        """Only the token of the team's upstreams can announce searchers."""
        async with HostSite() as site:
            fleet = await site.async_start_searchers()
            document = announcement_of(fleet.searchers[0], 99, 'ready')
            taken = await self.async_announce(site, document, UPSTREAM_TOKEN)
            forbidden = await self.async_announce(site, document, CALLER_TOKEN)
            unknown = await self.async_announce(site, document, 'made-up')
            self.assertThat(
                (taken, forbidden, unknown),
                Equals((200, 403, 401)),
            )

    @in_loop
    async def test_bad_fields(self) -> None:
        """An invalid field is refused, and the error names the field."""
        async with HostSite() as site:
            fleet = await site.async_start_searchers()
            good = announcement_of(fleet.searchers[0], 99, 'ready')
            shard = {**good['snapshots'][0], 'shards': [7]}
            cases = (
                ('ip', 'searcher.example'),
                ('port', 70000),
                ('slots', 0),
                ('slots', True),
                ('snapshots.0.shards', [shard]),
            )
            answers = await asyncio.gather(
                *(
                    site.async_request(
                        'POST',
                        '/v1/upstreams',
                        UPSTREAM_TOKEN,
                        json={**good, field.partition('.')[0]: given},
                    )
                    for field, given in cases
                ),
            )
        for (field, _), (status, answer) in zip(cases, answers, strict=True):
            self.assertThat(status, Equals(400))
            self.assertThat(answer['detail'], Contains(field))

    async def async_announce(
        self,
        site: HostSite,
        document: dict[str, object],
        token: str,
    ) -> int:
        """Send an announcement and return the status."""
        status, _ = await site.async_request(
            'POST',
            '/v1/upstreams',
            token,
            json=document,
        )
        return status
