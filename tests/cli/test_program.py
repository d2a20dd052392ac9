"""Tests of the command line."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength

from snipejunction import __version__
from snipejunction.cli import exit_codes
from snipejunction.cli.access import HOSTS_VARIABLE, TOKEN_VARIABLE
from snipejunction.cli.check import check_file, load_documents
from snipejunction.cli.parser import make_parser
from snipejunction.cli.program import run
from snipejunction.demo.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    SERVICE,
)
from snipejunction.host_settings import HostSettings
from snipejunction.schema.host_file import load_host_settings
from tests.edge.http.support import HostSite
from tests.edge.support import in_loop

_JSON = '--json'
_VOTERS = ('voters', 'list', _JSON)
_DATA_CENTRES = ('lagos', 'kano', 'enugu')
_EXAMPLES = Path(__file__).parents[2] / 'settings.example'


class _CommandResult:
    """Exit code, standard output and standard error of a command."""

    def __init__(self, *argv: str) -> None:
        printed = io.StringIO()
        errors = io.StringIO()
        with contextlib.ExitStack() as stack:
            stack.enter_context(contextlib.redirect_stdout(printed))
            stack.enter_context(contextlib.redirect_stderr(errors))
            self.code = _exit_code(argv)
        self.printed = printed.getvalue()
        self.errors = errors.getvalue()

    @property
    def document(self) -> Any:
        return json.loads(self.printed)


def _exit_code(argv: tuple[str, ...]) -> int:
    try:
        return run(argv)
    except SystemExit as error:
        return int(error.code or 0)


class ParserTest(TestCase):
    """Tests of the parser with valid and invalid command lines."""

    def test_version(self) -> None:
        """The version is printed."""
        outcome = _CommandResult('--version')
        self.assertThat(outcome.code, Equals(0))
        self.assertThat(outcome.printed, Contains(__version__))

    def test_remove_voter_requires_id(self) -> None:
        """Removing a voter requires its voter id, which identifies its disk."""
        outcome = _CommandResult('voters', 'remove', 'h1')
        self.assertThat(outcome.code, Equals(2))

    def test_commands(self) -> None:
        """The help lists each command and the exit codes."""
        text = make_parser().format_help()
        for command in (
            *('serve', 'check', 'query', 'run', 'addresses', 'status'),
            *('settings', 'drain', 'restore', 'voters', 'bench'),
            'exit codes',
        ):
            self.assertThat(text, Contains(command))

    def test_missing_argument(self) -> None:
        """A missing argument is named in the error."""
        outcome = _CommandResult('drain')
        self.assertThat(outcome.code, Equals(exit_codes.EXIT_USAGE))
        self.assertThat(outcome.errors, Contains('DATA-CENTRE'))

    def test_no_host(self) -> None:
        """The error for a missing host names the environment variable."""
        outcome = _CommandResult('status', '--token-file', '/nowhere')
        self.assertThat(outcome.code, Equals(exit_codes.EXIT_SETTINGS))
        self.assertThat(outcome.errors, Contains(HOSTS_VARIABLE))


class CheckTest(TestCase):
    """Tests of validating settings files."""

    def setUp(self) -> None:
        """Create a temporary folder for settings files."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'file.json5'

    def test_examples(self) -> None:
        """Each example deployment has eleven hosts and its services."""
        for name, services in (('ayo', 27), ('bereket', 27)):
            files = sorted((_EXAMPLES / name / 'hosts').glob('*.json5'))
            hosts = [load_host_settings(path, 'test') for path in files]
            documents = load_documents(str(_EXAMPLES / name / 'shared.json5'))
            self.assertThat(hosts, HasLength(11))
            self.assertThat(
                [path for path in documents if '/services/' in path],
                HasLength(services),
            )
            self._check_voters(hosts)

    def test_all_pass(self) -> None:
        """The command accepts every example."""
        files = [str(path) for path in _EXAMPLES.rglob('*.json5')]
        outcome = _CommandResult('check', '--json', *files)
        self.assertThat(outcome.code, Equals(0))
        self.assertThat(set(outcome.document.values()), Equals({''}))

    def test_host_name(self) -> None:
        """A host name in place of an IP address is rejected with its field."""
        good = (_EXAMPLES / 'ayo' / 'hosts' / 'kano-1.json5').read_text()
        self.path.write_text(good.replace('198.51.100.11', 'kano.example'))
        self.assertThat(check_file(str(self.path)), Contains('ip'))

    def test_shared(self) -> None:
        """A value out of bounds is rejected with the path of its document."""
        path = '/teams/toys/services/catalogue'
        self.path.write_text(
            json.dumps({'documents': {path: {'hedge_budget': 9}}}),
        )
        outcome = _CommandResult('check', str(self.path))
        self.assertThat(outcome.code, Equals(exit_codes.EXIT_SETTINGS))
        self.assertThat(outcome.errors, Contains(f'{path}: hedge_budget'))

    def test_serve_refuses(self) -> None:
        """Invalid settings end ``serve`` with their exit code."""
        self.path.write_text('{name: 7}')
        outcome = _CommandResult('serve', '--settings', str(self.path))
        self.assertThat(outcome.code, Equals(exit_codes.EXIT_SETTINGS))

    def _check_voters(self, hosts: list[HostSettings]) -> None:
        """Check that no region holds a majority of the voters."""
        voters = [host for host in hosts if host.is_voter]
        regions = [host.identity.region for host in voters]
        self.assertThat(voters, HasLength(len(hosts[0].voters)))
        for region in set(regions):
            self.assertTrue(regions.count(region) * 2 < len(regions))


class LiveTest(TestCase):
    """Tests of commands against running hosts."""

    @in_loop
    async def test_caller(self) -> None:
        """A caller searches, runs a request twice and lists addresses."""
        async with HostSite(data_centres=_DATA_CENTRES) as site:
            await site.async_start_searchers()
            hosts = ','.join(site.cluster.addresses)
            query = ('query', SERVICE, '{"text": "red", "limit": 10}')
            argv = ('run', SERVICE, '{}', '--key', 'k', '--request-id', 'r')
            table = await _async_run_command(hosts, CALLER_TOKEN, *query)
            answer = await _async_run_command(
                hosts, CALLER_TOKEN, *query, _JSON
            )
            first = await _async_run_command(hosts, CALLER_TOKEN, *argv, _JSON)
            again = await _async_run_command(hosts, CALLER_TOKEN, *argv, _JSON)
            found = await _async_run_command(
                hosts, CALLER_TOKEN, 'addresses', _JSON
            )
        self.assertThat(table.printed, Contains('coverage'))
        self.assertThat(answer.document['coverage']['share'], Equals(1))
        self.assertThat(first.document['replay'], Equals(False))
        self.assertThat(again.document['replay'], Equals(True))
        self.assertThat(found.document['addresses'], HasLength(3))

    @in_loop
    async def test_operator(self) -> None:
        """An operator reads the status, drains and restores a data centre."""
        path = '/data-centres/kano'
        get = ('settings', 'get', path)
        history = ('settings', 'history', path, _JSON)
        async with HostSite(data_centres=_DATA_CENTRES) as site:
            hosts = ','.join(site.cluster.addresses)
            status = await _async_run_command(hosts, OPERATOR_TOKEN, 'status')
            voters = await _async_run_command(hosts, OPERATOR_TOKEN, *_VOTERS)
            drained = await _async_run_command(
                hosts, OPERATOR_TOKEN, 'drain', 'kano'
            )
            out = await _async_run_command(hosts, OPERATOR_TOKEN, *get)
            await _async_run_command(hosts, OPERATOR_TOKEN, 'restore', 'kano')
            back = await _async_run_command(hosts, OPERATOR_TOKEN, *get)
            changes = await _async_run_command(hosts, OPERATOR_TOKEN, *history)
        self.assertThat(status.printed, Contains('serving'))
        self.assertThat(voters.document['replicas'], HasLength(2))
        self.assertThat(drained.printed, Contains('in force'))
        self.assertThat(
            [
                outcome.document['documents'][path]['state']
                for outcome in (out, back)
            ],
            Equals(['out', 'in']),
        )
        self.assertThat(changes.document['changes'], HasLength(3))

    @in_loop
    async def test_refusals(self) -> None:
        """Refused and unreachable requests have their own exit codes."""
        async with HostSite() as site:
            hosts = ','.join(site.cluster.addresses)
            denied = await _async_run_command(hosts, 'made-up', 'status')
        gone = await _async_run_command(hosts, OPERATOR_TOKEN, 'status')
        self.assertThat(denied.code, Equals(exit_codes.EXIT_NOT_RUN))
        self.assertThat(denied.errors, Contains('unauthorized'))
        self.assertThat(gone.code, Equals(exit_codes.EXIT_UNREACHABLE))


async def _async_run_command(
    hosts: str, token: str, *argv: str
) -> _CommandResult:
    """Run a command in a thread while the hosts serve in the loop."""
    variables = {HOSTS_VARIABLE: hosts, TOKEN_VARIABLE: token}
    with mock.patch.dict(os.environ, variables):
        return await asyncio.to_thread(_CommandResult, *argv)
