"""Command that traces one request through the logs of several hosts."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, TypeAlias

from snipejunction.cli.exit_codes import EXIT_FAILED, EXIT_OK
from snipejunction.cli.output import print_error, print_line
from snipejunction.errors import SettingsError

LogLine: TypeAlias = dict[str, Any]

STANDARD_INPUT: Final = '-'
# How long before the request events about its searchers are included, in
# seconds; hosts knew of older events well before the request.
_CONTEXT_SECONDS: Final = 10.0
_MILLISECONDS: Final = 1000
_REQUEST: Final = 'request'
_SEARCHER: Final = 'searcher'
_TIME: Final = 'time'
_HOST: Final = 'host'
# Streams lost and opened, drains and documents: state known to the host.
_HOST_STATE_EVENTS: Final = frozenset((800, 802, 803, 812, 910, 911, 940, 943))
# Searcher states received by control hosts.
_CONTROL_SEARCHER_EVENTS: Final = frozenset((920, 921, 922))


def run_explain(arguments: argparse.Namespace) -> int:
    """Print the log lines of a request in order, with the state of its hosts.

    Raises:
        SettingsError: if a file cannot be read.
    """
    lines = list(read_log_lines(arguments.files))
    timeline = build_timeline(arguments.request_id, lines)
    if not timeline:
        print_error(f'no line names request {arguments.request_id}')
        return EXIT_FAILED
    for text in timeline:
        print_line(text)
    return EXIT_OK


def read_log_lines(files: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines of log files and skip other lines.

    Text before the JSON object, such as the prefix of a log collector, is
    ignored.

    Raises:
        SettingsError: if a file cannot be read.
    """
    for name in files:
        for text in _read_file(name).splitlines():
            line = _parse(text)
            if line is not None:
                yield line


def build_timeline(request_id: str, lines: list[LogLine]) -> list[str]:
    """Return the formatted lines of a request and its context, in order."""
    request_lines = [line for line in lines if line.get(_REQUEST) == request_id]
    if not request_lines:
        return []
    hosts = {line[_HOST] for line in request_lines}
    searchers = {line[_SEARCHER] for line in request_lines if _SEARCHER in line}
    searchers |= {line['second'] for line in request_lines if 'second' in line}
    first = min(line[_TIME] for line in request_lines) - _CONTEXT_SECONDS
    last = max(line[_TIME] for line in request_lines)
    selected = [
        line
        for line in lines
        if line in request_lines
        or (
            first <= line[_TIME] <= last and _is_context(line, hosts, searchers)
        )
    ]
    selected.sort(key=_timestamp)
    return [
        _format_line(line, last, line in request_lines) for line in selected
    ]


def _is_context(line: LogLine, hosts: set[str], searchers: set[str]) -> bool:
    if line.get(_REQUEST):
        return False
    is_of_searcher = line.get(_SEARCHER) in searchers
    if line[_HOST] in hosts:
        return is_of_searcher or line['event'] in _HOST_STATE_EVENTS
    return is_of_searcher and line['event'] in _CONTROL_SEARCHER_EVENTS


def _format_line(line: LogLine, last: float, is_request_line: bool) -> str:
    marker = '*' if is_request_line else ' '
    offset = (line[_TIME] - last) * _MILLISECONDS
    extra = ', '.join(
        f'{name} {line[name]}'
        for name in ('lacking', 'news_age', 'left_ms', 'controls', 'left_out')
        if name in line
    )
    tail = f' [{extra}]' if extra else ''
    source = f'{line[_HOST]}/{line["role"]}'
    number = line['event']
    return f'{marker} {offset:+9.0f} ms {source} E{number} {line["text"]}{tail}'


def _timestamp(line: LogLine) -> float:
    return float(line[_TIME])


def _read_file(name: str) -> str:
    if name == STANDARD_INPUT:
        return sys.stdin.read()
    try:
        return Path(name).read_text(errors='replace')
    except OSError as error:
        raise SettingsError(name, str(error.strerror)) from error


def _parse(text: str) -> LogLine | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(line, dict):
        return None
    required = (_TIME, _HOST, 'role', 'event', 'text')
    return line if all(name in line for name in required) else None
