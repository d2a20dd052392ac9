"""Output of answers as JSON or as tables."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from rich.console import Console
from rich.table import Table


def print_json(document: Any) -> None:
    """Print a document as JSON."""
    sys.stdout.write(json.dumps(document, indent=2, sort_keys=True))
    sys.stdout.write('\n')


def print_table(
    title: str,
    columns: Sequence[str],
    rows: Iterable[Sequence[Any]],
) -> None:
    """Print a table with a title and column headings."""
    table = Table(title=title, title_justify='left')
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*map(str, row))
    Console().print(table)


def print_fields(title: str, fields: Mapping[str, Any]) -> None:
    """Print a table of field names and values."""
    print_table(title, ('name', 'value'), fields.items())


def print_line(text: str) -> None:
    """Print a line to standard output."""
    sys.stdout.write(f'{text}\n')


def print_error(text: str) -> None:
    """Print a line to standard error."""
    sys.stderr.write(f'snipejunction: {text}\n')
