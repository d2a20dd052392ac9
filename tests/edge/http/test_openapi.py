"""Compares docs/openapi.json with the server."""

from __future__ import annotations

from typing import Any

import voluptuous
from testtools import TestCase
from testtools.matchers import Equals

from snipejunction.demo.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    UPSTREAM_TOKEN,
)
from snipejunction.edge.http import bodies
from snipejunction.edge.http.server import ROUTES
from snipejunction.errors import RefusedError
from snipejunction.standin.announcer import announcement_of
from tests.edge.http.openapi import OpenApi
from tests.edge.http.support import RUN_PATH, SEARCH_PATH, HostSite
from tests.edge.support import in_loop


def _announcement() -> dict[str, Any]:
    snapshot = {'version': 1, 'layout': 'a', 'shards': [0], 'documents': [3]}
    return {
        'searcher': 's',
        'service': 't/s',
        'data_centre': 'd',
        'ip': '127.0.0.1',
        'port': 1,
        'boot_id': 'b',
        'sequence': 1,
        'slots': 1,
        'connections': 1,
        'cold_capacity': 1,
        'state': 'ready',
        'snapshots': [snapshot],
    }


def _valid_bodies() -> list[tuple[str, voluptuous.Schema, dict[str, Any]]]:
    """Return each schema name, the server's schema and a valid body."""
    change = {'change_id': 'c', 'base': 1}
    search = {
        'query': {},
        'request_id': 'r',
        'deadline_ms': 5,
        'coverage': 1,
        'top': 3,
    }
    run = {'body': {}, 'request_id': 'r', 'key': 'k', 'deadline_ms': 5}
    voter = {
        'action': 'add',
        'name': 'n',
        'ip': '127.0.0.1',
        'peer_port': 1,
        'voter_id': 'v',
    }
    data_centre = {**change, 'state': 'in'}
    return [
        ('Search', bodies.SEARCH, search),
        ('Run', bodies.RUN, run),
        ('Announcement', bodies.ANNOUNCEMENT, _announcement()),
        ('DocumentChange', bodies.DOCUMENT_CHANGE, {**change, 'document': {}}),
        (
            'DocumentsChange',
            bodies.DOCUMENTS_CHANGE,
            {**change, 'documents': {}},
        ),
        ('DataCentreChange', bodies.DATA_CENTRE_CHANGE, data_centre),
        ('VoterChange', bodies.VOTER_CHANGE, voter),
    ]


class OpenApiTest(TestCase):
    """The file and the server agree."""

    def setUp(self) -> None:
        """Read the file."""
        super().setUp()
        self.api = OpenApi()

    def test_operations(self) -> None:
        """The file lists exactly the methods and paths of the server."""
        served = {
            (method, path.replace('{path:.+}', '{path}'))
            for method, path, _ in ROUTES
        }
        self.assertThat(self.api.operations(), Equals(served))

    def test_fields(self) -> None:
        """Both have the same fields and the same required fields."""
        for name, schema, _ in _valid_bodies():
            stated = self.api.schema(name)
            known = {str(key) for key in schema.schema}
            required = {
                str(key)
                for key in schema.schema
                if isinstance(key, voluptuous.Required)
            }
            self.assertThat(set(stated['properties']), Equals(known))
            self.assertThat(set(stated['required']), Equals(required))

    def test_bounds(self) -> None:
        """The server accepts values at a documented bound, none beyond it."""
        for name, schema, valid_body in _valid_bodies():
            for field, stated in self.api.schema(name)['properties'].items():
                for value, is_valid in _boundary_values(stated):
                    changed = {**valid_body, field: value}
                    self.assertThat(
                        (name, field, value, _passes(schema, changed)),
                        Equals((name, field, value, is_valid)),
                    )

    @in_loop
    async def test_answers(self) -> None:
        """Responses and refusals of a running host match their schemas."""
        async with HostSite() as site:
            fleet = await site.async_start_searchers()
            announced = announcement_of(fleet.searchers[0], 9, 'ready')
            change = {'change_id': 'c', 'base': 99, 'document': {}}
            put = {'change_id': 'd', 'base': 99, 'documents': {}}
            data_centre = {'change_id': 'e', 'base': 99, 'state': 'in'}
            voter = {'action': 'remove', 'name': 'nobody'}
            run = {'body': {}, 'request_id': 'r', 'key': 'k'}
            search = '/v1/services/{team}/{service}/search'
            run_path = '/v1/services/{team}/{service}/run'
            checker = _ResponseChecker(self, site, self.api)
            await checker.async_check('POST', search, {'query': {}})
            await checker.async_check('POST', search, {})
            await checker.async_check('POST', run_path, run)
            await checker.async_check('GET', '/v1/addresses')
            await checker.async_check('POST', '/v1/upstreams', announced)
            await checker.async_check('GET', '/v1/settings')
            await checker.async_check('PUT', '/v1/settings', put)
            await checker.async_check('PUT', '/v1/settings/{path}', change)
            await checker.async_check('GET', '/v1/settings/{path}')
            await checker.async_check(
                'PUT',
                '/v1/data-centres/{name}',
                data_centre,
            )
            await checker.async_check('GET', '/v1/history')
            await checker.async_check('GET', '/v1/history/{path}')
            await checker.async_check('POST', '/v1/voters', voter)
            await checker.async_check('GET', '/v1/status')
            await checker.async_check('GET', '/healthz')
            await checker.async_check('GET', '/readyz')
            self.assertThat(checker.checked, Equals(self.api.operations()))


class _ResponseChecker:
    """Sends requests and checks the responses against their schemas."""

    def __init__(self, case: TestCase, site: HostSite, api: OpenApi) -> None:
        self._case = case
        self._site = site
        self._api = api
        self.checked: set[tuple[str, str]] = set()

    async def async_check(
        self,
        method: str,
        path: str,
        document: Any = None,
    ) -> None:
        """Check the response of one operation."""
        token = OPERATOR_TOKEN
        if path.startswith('/v1/services') or path == '/v1/addresses':
            token = CALLER_TOKEN
        elif path == '/v1/upstreams':
            token = UPSTREAM_TOKEN
        url = (
            path.replace('/v1/services/{team}/{service}/search', SEARCH_PATH)
            .replace('/v1/services/{team}/{service}/run', RUN_PATH)
            .replace('{path}', 'teams/toys/services/other')
            .replace('{name}', 'lagos')
        )
        status, answer = await self._site.async_request(
            method,
            url,
            token,
            json=document,
        )
        name = self._api.response_schema_name(method, path, status)
        problems = self._api.problems(self._api.schema(name), answer)
        self._case.assertThat((path, problems), Equals((path, [])))
        self.checked.add((method, path))


def _boundary_values(stated: dict[str, Any]) -> list[tuple[Any, bool]]:
    """Return values at and beyond the bounds, and whether each is valid."""
    edges: list[tuple[Any, bool]] = []
    if 'minimum' in stated:
        low = stated['minimum']
        edges += [(low, True), (low - 1, False), (str(low), False)]
    if 'maximum' in stated:
        high = stated['maximum']
        edges += [(high, True), (high + 1, False), (True, False)]
    if 'maxLength' in stated:
        longest = stated['maxLength']
        edges += [('x' * longest, True), ('x' * (longest + 1), False)]
        edges += [('', False), (7, False)]
    if 'enum' in stated:
        edges += [(value, True) for value in stated['enum']]
        edges += [('made up', False)]
    return edges


def _passes(schema: voluptuous.Schema, value: Any) -> bool:
    try:
        bodies.validate(value, schema)
    except RefusedError:
        return False
    return True
