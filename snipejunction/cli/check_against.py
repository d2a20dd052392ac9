"""Check of a deployment document before it is sent."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Final

from snipejunction.cli.output import print_json, print_line
from snipejunction.components.gateway.document import Document
from snipejunction.components.gateway.document_review import (
    Remark,
    compare_documents,
    review_document,
    review_version,
)
from snipejunction.errors import SettingsError
from snipejunction.platform.documents import (
    read_accepted_document,
    read_document,
)

CHECK_FINE: Final = 0
CHECK_REMARKS: Final = 1
CHECK_ERRORS: Final = 2


def run_check_against(arguments: argparse.Namespace) -> int:
    """Check documents against the version in force, which is in a file."""
    codes = [
        _check_file(path, arguments.against, arguments)
        for path in arguments.files
    ]
    return max(codes)


def _check_file(
    path: str, path_in_force: str, arguments: argparse.Namespace
) -> int:
    errors: list[str] = []
    remarks: list[Remark] = []
    changes: list[Remark] = []
    try:
        new = _read(path, read_document)
        remarks.extend(review_document(new, arguments.region))
        in_force = _read(path_in_force, read_accepted_document)
        remarks.extend(review_version(in_force, new))
        changes.extend(compare_documents(in_force, new))
    except SettingsError as error:
        errors.append(str(error))
    if arguments.json:
        print_json(
            {
                'file': path,
                'errors': errors,
                'remarks': _tables(remarks),
                'changes': _tables(changes),
            }
        )
    else:
        _print_lines(path, 'error', errors)
        _print_lines(path, 'remark', remarks)
        _print_lines(path, 'change', changes)
    if errors:
        return CHECK_ERRORS
    return CHECK_REMARKS if remarks else CHECK_FINE


def _read(path: str, parse: Callable[[bytes], Document]) -> Document:
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, error.strerror or 'unreadable') from error
    return parse(content)


def _tables(remarks: Iterable[Remark]) -> list[dict[str, str]]:
    return [
        {'path': remark.path, 'problem': remark.problem} for remark in remarks
    ]


def _print_lines(path: str, kind: str, entries: Iterable[object]) -> None:
    for entry in entries:
        print_line(f'{path}: {kind}: {entry}')
