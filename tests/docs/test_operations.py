"""Holds docs/OPERATIONS.md against the code that it speaks of."""

from __future__ import annotations

import inspect
import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction import const
from snipejunction.cli.parser import make_parser
from snipejunction.commands import event_catalogue
from snipejunction.components import all_systems
from snipejunction.edge import control_host, host
from snipejunction.edge.gateway import gateway_host

_PAGE = Path(__file__).parents[2] / 'docs' / 'OPERATIONS.md'
_ROW = re.compile(r'^\| ([^|]*) \|', re.MULTILINE)
_CODE = re.compile('`([a-z_]+)`')
_COMMAND = re.compile(r'^ +snipejunction (.*)$', re.MULTILINE)
_EVENT = re.compile(r'events? (\d{3})(?:, (\d{3}))?(?:, (\d{3}))?')
# Modules whose import fills the catalogue of events.
LOADED = (all_systems, host, control_host, gateway_host)


class OperatingPageTest(TestCase):
    """The page for operators."""

    def setUp(self) -> None:
        super().setUp()
        self.page = _PAGE.read_text()

    def test_codes(self) -> None:
        """Each code of refusals stands in its table."""
        table = self.page.partition('## Refusals')[2].partition('## ')[0]
        stated = {
            code for cell in _ROW.findall(table) for code in _CODE.findall(cell)
        }
        codes = {
            code
            for name, code in inspect.getmembers(const)
            if name.startswith('CODE_')
        }
        self.assertThat(stated, Equals(codes))

    def test_commands(self) -> None:
        """Each command line is one that the program takes."""
        parser = make_parser()
        lines = _COMMAND.findall(self.page)
        self.assertThat(len(lines) > 5, Equals(True))
        for line in lines:
            words = re.split(' +[>#]', line)[0].split()
            parsed = parser.parse_args(words)
            runs = hasattr(parsed, 'async_run'), hasattr(parsed, 'run')
            self.assertThat(sum(runs), Equals(1))

    def test_events(self) -> None:
        """Each event number is in the catalogue."""
        watch = self.page.partition('## What to watch')[2].partition('## ')[0]
        rows = [
            number
            for cell in _ROW.findall(watch)
            for number in re.findall(r'\b\d{3}\b', cell)
        ]
        named = [
            number
            for numbers in _EVENT.findall(self.page)
            for number in numbers
            if number
        ]
        self.assertThat(len(rows) > 8, Equals(True))
        unknown = {int(one) for one in rows + named} - set(event_catalogue())
        self.assertThat(unknown, Equals(set()))
