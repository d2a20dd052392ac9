"""Tests of tracing one request through log lines."""

from __future__ import annotations

import json
from tempfile import NamedTemporaryFile

from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength

from snipejunction.cli.explain import build_timeline, read_log_lines
from snipejunction.errors import SettingsError

HOST = '10.0.0.1:7001'


def line(time: float, event: int, text: str, host: str = HOST, **fields):
    """Return a log line as a host writes it."""
    return {
        'time': time,
        'host': host,
        'role': 'entry',
        'event': event,
        'level': 'info',
        'text': text,
        **fields,
    }


LINES = (
    line(90.0, 942, 'old news', searcher='i-1'),
    line(100.0, 942, 'i-1 is ready', searcher='i-1'),
    line(100.1, 942, 'i-9 is ready', searcher='i-9'),
    line(100.2, 803, 'no stream with c1', peer='c1'),
    line(100.3, 803, 'elsewhere', host='10.0.0.2:7001'),
    line(100.4, 947, 'elsewhere', host='10.0.0.2:7001', searcher='i-1'),
    line(100.5, 922, 'i-2 is silent', host='c:1', searcher='i-2'),
    line(101.02, 946, 'late part', request='r', searcher='i-1', second='i-2'),
    line(101.0, 944, 'other request', request='q', searcher='i-1'),
    line(101.2, 945, 'r failed', request='r', lacking=['s: i-1 open']),
)


class ExplainTest(TestCase):
    """Tests with log lines of several hosts in any order."""

    def test_timeline_of_request(self) -> None:
        """Lines of the request and of its host's state are sorted by time."""
        timeline = build_timeline('r', list(reversed(LINES)))
        texts = [one.split(' E', 1)[1].split(' ', 1)[1] for one in timeline]
        self.assertThat(
            texts,
            Equals(
                [
                    'i-1 is ready',
                    'no stream with c1',
                    'i-2 is silent',
                    'late part',
                    "r failed [lacking ['s: i-1 open']]",
                ],
            ),
        )

    def test_request_lines_are_marked(self) -> None:
        """Lines of the request itself start with an asterisk."""
        timeline = build_timeline('r', list(LINES))
        marked = [one for one in timeline if one.startswith('*')]
        self.assertThat(marked, HasLength(2))

    def test_unknown_request(self) -> None:
        """The timeline of an unknown request is empty."""
        self.assertThat(build_timeline('x', list(LINES)), HasLength(0))

    def test_read_log_lines(self) -> None:
        """Prefixes of log collectors and unrelated lines are skipped."""
        own = json.dumps(LINES[0])
        texts = ('noise', '{"not": "ours"}', '[1]', '{broken', f'1.5 h {own}')
        with NamedTemporaryFile('w', suffix='.log') as file:
            file.write('\n'.join(texts))
            file.flush()
            found = list(read_log_lines([file.name]))
        self.assertThat(found, Equals([LINES[0]]))

    def test_missing_file(self) -> None:
        """The error for an unreadable file contains its path."""
        error = self.assertRaises(
            SettingsError,
            list,
            read_log_lines(['missing.log']),
        )
        self.assertThat(str(error), Contains('missing.log'))
