"""Writes docs/EVENTS.md, docs/SETTINGS.md and the end of docs/PROOF.md."""

from __future__ import annotations

import argparse
import inspect
import sys
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import pyjson5
import voluptuous as vol

from snipejunction.cli import parser as cli_parser
from snipejunction.commands import EventKind, event_catalogue
from snipejunction.components import all_systems
from snipejunction.components.control.service_settings import ServiceSettings
from snipejunction.edge import control_host
from snipejunction.edge import host as edge_host
from snipejunction.edge.gateway import gateway_host
from snipejunction.platform import process
from snipejunction.host_settings import LeaseTimings
from snipejunction.schema import checks, host_file, shared

DOCS: Final = Path(__file__).resolve().parent.parent / 'docs'
FAULTS: Final = Path(__file__).resolve().with_name('mutations.json5')
MEANINGS: Final = Path(__file__).resolve().with_name('meanings.json5')
# Modules whose import fills the catalogue of events.
LOADED: Final = (
    all_systems,
    edge_host,
    cli_parser,
    control_host,
    gateway_host,
    process,
)

EVENTS_HEAD: Final = """# Log events

Each line of the log carries the number of its event. Numbers are stable.
`script/pages` writes this page from the code.

| number | level | component | text |
|---|---|---|---|
"""
SETTINGS_HEAD: Final = """# Settings

`script/pages` writes this page from the schemas of the code. Settings are
JSON with comments; a field that is not listed is refused. `snipejunction
check FILE...` checks files of both kinds without any host.
"""
TABLE_HEAD: Final = """
| field | expected | default | meaning |
|---|---|---|---|
"""
FAULTS_HEAD: Final = """| number | fault | file | caught by |
|---|---|---|---|
"""
REQUIRED: Final = 'required'
NO_DEFAULT: Final = 'none'
# The heading of each document, its schema and what it says in a few words.
DOCUMENTS: Final = (
    ('File of a host', host_file.HOST_FILE, 'host'),
    ('`/data-centres/NAME`', shared.DATA_CENTRE, 'data centre'),
    ('`/operators/NAME`', shared.OPERATOR, 'operator'),
    ('`/teams/TEAM/services/NAME`', shared.SERVICE, 'service'),
    ('`/teams/TEAM/callers/NAME`', shared.CALLER, 'caller'),
)
# Texts that no check takes; a text that is too short comes last.
REFUSED: Final = ('?', '')


def events_page() -> str:
    """Return the page of all kinds of events."""
    owners = _owners_of_events()
    rows = [
        f'| {number} | {event.level} | {owners[number]} | {event.text} |\n'
        for number, event in sorted(event_catalogue().items())
    ]
    return EVENTS_HEAD + ''.join(rows)


def settings_page() -> str:
    """Return the page of all fields of settings."""
    meanings = load_meanings()
    parts = [SETTINGS_HEAD]
    for heading, schema, document in DOCUMENTS:
        parts.append(f'\n## {heading}\n\n{meanings[document][""]}\n')
        parts.append(TABLE_HEAD)
        for field, check, default in fields_of(schema, document):
            meaning = meanings[document][field]
            expected = _expected(check)
            parts.append(
                f'| `{field}` | {expected} | {default} | {meaning} |\n'
            )
    return ''.join(parts)


def proof_page() -> str:
    """Return the page of proofs with its list of faults made anew."""
    page = (DOCS / 'PROOF.md').read_text()
    kept = page.partition(FAULTS_HEAD)[0]
    rows = [
        f'| {number} | {entry["fault"]} | `{entry["file"]}` '
        + f'| `{entry["test"]}` |\n'
        for number, entry in enumerate(load_faults(), 1)
    ]
    return kept + FAULTS_HEAD + ''.join(rows)


def load_faults() -> list[Mapping[str, str]]:
    """Return the faults that script/mutations puts into the code."""
    faults: list[Mapping[str, str]] = pyjson5.decode(FAULTS.read_text())
    return faults


def load_meanings() -> Mapping[str, Mapping[str, str]]:
    """Return the meanings of the fields of each document."""
    meanings: Mapping[str, Mapping[str, str]] = pyjson5.decode(
        MEANINGS.read_text(),
    )
    return meanings


def fields_of(
    schema: vol.Schema,
    document: str,
    above: str = '',
) -> Iterator[tuple[str, Any, str]]:
    """Yield each field with its check and default, outer ones first."""
    for key, check in schema.schema.items():
        field = f'{above}{key}'
        yield field, check, _default_of(key, field, document)
        yield from _fields_below(check, document, field)


def _fields_below(
    check: Any,
    document: str,
    field: str,
) -> Iterator[tuple[str, Any, str]]:
    if isinstance(check, vol.Schema):
        yield from fields_of(check, document, f'{field}.')
    elif isinstance(check, checks.Sequence):
        member = check.schema.schema[0]
        if isinstance(member, vol.Schema):
            yield from fields_of(member, document, f'{field}[].')
    elif isinstance(check, checks.Mapping):
        for member in check.schema.schema.values():
            yield from fields_of(member, document, f'{field}.NAME.')


def _default_of(key: Any, field: str, document: str) -> str:
    if isinstance(key, vol.Required):
        return REQUIRED
    if document == 'service':
        return _default_argument(ServiceSettings, field)
    if field.startswith('lease.'):
        return _default_argument(LeaseTimings, str(key))
    return NO_DEFAULT


def _default_argument(made: Callable[..., Any], name: str) -> str:
    default = inspect.signature(made).parameters[name].default
    return NO_DEFAULT if default is inspect.Parameter.empty else f'{default}'


def _expected(check: Any) -> str:
    if isinstance(check, vol.Schema):
        return 'an object'
    for text in REFUSED:
        try:
            check(text)
        except vol.Invalid as error:
            return str(error.msg).removeprefix('expected ')
    raise ValueError(f'{check} takes any text')


def _owners_of_events() -> dict[int, str]:
    """Return the component of each event, by the module that defines it."""
    owners: dict[int, str] = {}
    for name, module in sorted(sys.modules.items()):
        parts = name.split('.')
        if parts[0] != 'snipejunction' or parts[-1] != 'const':
            continue
        for _, member in inspect.getmembers(module):
            if isinstance(member, EventKind):
                owners[member.number] = parts[-2]
    return owners


PAGES: Final[Mapping[str, Callable[[], str]]] = MappingProxyType(
    {
        'EVENTS.md': events_page,
        'PROOF.md': proof_page,
        'SETTINGS.md': settings_page,
    },
)


def main() -> int:
    """Write the pages, or compare them; return 1 if one differs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true', help='write nothing')
    is_checking = parser.parse_args().check
    stale = []
    for name, make in PAGES.items():
        path = DOCS / name
        if is_checking and path.read_text() != make():
            stale.append(name)
        elif not is_checking:
            path.write_text(make())
    for name in stale:
        sys.stderr.write(f'docs/{name} is stale: run script/pages\n')
    return int(bool(stale))


if __name__ == '__main__':
    sys.exit(main())
