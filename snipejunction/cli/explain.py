"""The command that follows one request through the logs of several hosts."""

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

Line: TypeAlias = dict[str, Any]

STANDARD_INPUT: Final = '-'
# News about the searchers of a request count this long before it, in
# seconds: older ones were known for long.
_BEFORE_SECONDS: Final = 10.0
_MILLISECONDS: Final = 1000
_REQUEST: Final = 'request'
_SEARCHER: Final = 'searcher'
_TIME: Final = 'time'
_HOST: Final = 'host'
# Streams lost and opened, drains and documents: what a host believes.
_BELIEF_EVENTS: Final = frozenset((800, 802, 803, 812, 910, 911, 940, 943))
# What control hosts heard of searchers.
_CONTROL_EVENTS: Final = frozenset((920, 921, 922))


def run_explain(arguments: argparse.Namespace) -> int:
    """Print the way of a request in order, with what its host believed.

    Raises:
        SettingsError: if a file cannot be read.
    """
    lines = list(read_lines(arguments.files))
    story = explain(arguments.request_id, lines)
    if not story:
        print_error(f'no line names request {arguments.request_id}')
        return EXIT_FAILED
    for text in story:
        print_line(text)
    return EXIT_OK


def read_lines(files: Iterable[str]) -> Iterator[Line]:
    """Yield the structured lines of files; other lines are passed over.

    Whatever stands before the object, such as the mark of a collector of
    logs, is ignored.

    Raises:
        SettingsError: if a file cannot be read.
    """
    for name in files:
        for text in _read_file(name).splitlines():
            line = _parse(text)
            if line is not None:
                yield line


def explain(request_id: str, lines: list[Line]) -> list[str]:
    """Return the lines that tell what became of a request, in order."""
    own = [line for line in lines if line.get(_REQUEST) == request_id]
    if not own:
        return []
    hosts = {line[_HOST] for line in own}
    searchers = {line[_SEARCHER] for line in own if _SEARCHER in line}
    searchers |= {line['second'] for line in own if 'second' in line}
    first = min(line[_TIME] for line in own) - _BEFORE_SECONDS
    last = max(line[_TIME] for line in own)
    chosen = [
        line
        for line in lines
        if line in own
        or (first <= line[_TIME] <= last and _is_belief(line, hosts, searchers))
    ]
    chosen.sort(key=_time_of)
    return [_tell(line, last, line in own) for line in chosen]


def _is_belief(line: Line, hosts: set[str], searchers: set[str]) -> bool:
    if line.get(_REQUEST):
        return False
    is_of_searcher = line.get(_SEARCHER) in searchers
    if line[_HOST] in hosts:
        return is_of_searcher or line['event'] in _BELIEF_EVENTS
    return is_of_searcher and line['event'] in _CONTROL_EVENTS


def _tell(line: Line, last: float, is_own: bool) -> str:
    mark = '*' if is_own else ' '
    offset = (line[_TIME] - last) * _MILLISECONDS
    extra = ', '.join(
        f'{name} {line[name]}'
        for name in ('lacking', 'news_age', 'left_ms', 'controls', 'left_out')
        if name in line
    )
    tail = f' [{extra}]' if extra else ''
    place = f'{line[_HOST]}/{line["role"]}'
    number = line['event']
    return f'{mark} {offset:+9.0f} ms {place} E{number} {line["text"]}{tail}'


def _time_of(line: Line) -> float:
    return float(line[_TIME])


def _read_file(name: str) -> str:
    if name == STANDARD_INPUT:
        return sys.stdin.read()
    try:
        return Path(name).read_text(errors='replace')
    except OSError as error:
        raise SettingsError(name, str(error.strerror)) from error


def _parse(text: str) -> Line | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(line, dict):
        return None
    needed = (_TIME, _HOST, 'role', 'event', 'text')
    return line if all(name in line for name in needed) else None
