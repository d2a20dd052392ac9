"""Compares the codes in docs/API.md with those of the server."""

from __future__ import annotations

import inspect
import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from snipejunction import const
from snipejunction.edge.http import replies

_PAGE = Path(__file__).parents[3] / 'docs' / 'API.md'
_ROW = re.compile(r'^\| (`.*?) \| .*? \| (\d{3}) \|', re.MULTILINE)


class ApiPageTest(TestCase):
    """The page and the server have the same codes and statuses."""

    def test_codes(self) -> None:
        """The page lists each code with its status, and no others."""
        stated = {
            code: int(status)
            for codes, status in _ROW.findall(_PAGE.read_text())
            for code in re.findall('`(.*?)`', codes)
        }
        codes = {
            value
            for module in (const, replies)
            for name, value in inspect.getmembers(module)
            if name.startswith('CODE_')
        }
        served = {code: replies.http_status(code) for code in codes}
        self.assertThat(stated, Equals(served))
