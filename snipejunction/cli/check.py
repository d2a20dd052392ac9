"""Command that validates settings files."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any, Final

import pyjson5

from snipejunction.cli.exit_codes import EXIT_OK, EXIT_SETTINGS
from snipejunction.cli.output import print_error, print_json, print_line
from snipejunction.errors import SettingsError
from snipejunction.schema.host_file import (
    MAX_FILE_BYTES,
    load_host_settings,
)
from snipejunction.schema.shared import check_change

_DOCUMENTS: Final = 'documents'
_MAX_DEPTH: Final = 16


def run_check(arguments: argparse.Namespace) -> int:
    """Validate each file as host settings or as shared documents."""
    if arguments.against is not None:
        return _run_check_against(arguments)
    report = {path: check_file(path) for path in arguments.files}
    if arguments.json:
        print_json(report)
        return _exit_code(report)
    for path, problem in report.items():
        if problem:
            print_error(f'{path}: {problem}')
        else:
            print_line(f'{path}: ok')
    return _exit_code(report)


def check_file(path: str) -> str:
    """Return the validation error of a file, or an empty string."""
    try:
        _check(path)
    except SettingsError as error:
        return str(error)
    return ''


def load_documents(path: str) -> dict[str, Any]:
    """Load and validate the shared documents in a file.

    Raises:
        SettingsError: states the file or path and the bound.
    """
    content = read_json(path)
    if not isinstance(content, dict) or set(content) != {_DOCUMENTS}:
        raise SettingsError(path, 'expected an object with "documents"')
    documents: dict[str, Any] = content[_DOCUMENTS]
    if not isinstance(documents, dict):
        raise SettingsError(_DOCUMENTS, 'expected an object')
    check_change(documents)
    return documents


def read_json(path: str) -> Any:
    """Return the content of a file of JSON with comments.

    Raises:
        SettingsError: if the file cannot be read, is too large or is not
            valid JSON.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, error.strerror or 'unreadable') from None
    if len(raw) > MAX_FILE_BYTES:
        raise SettingsError(path, f'at most {MAX_FILE_BYTES} bytes')
    try:
        return pyjson5.decode(raw.decode(), _MAX_DEPTH)
    except (UnicodeDecodeError, pyjson5.Json5DecoderException) as error:
        raise SettingsError(path, f'invalid JSON: {error}') from None


def _run_check_against(arguments: argparse.Namespace) -> int:
    # The parsers of documents are not needed for anything else here.
    from snipejunction.cli import check_against  # noqa: WPS433

    return check_against.run_check_against(arguments)


def _check(path: str) -> None:
    content = read_json(path)
    if isinstance(content, dict) and _DOCUMENTS in content:
        load_documents(path)
    else:
        load_host_settings(path, 'check')


def _exit_code(report: dict[str, str]) -> int:
    return EXIT_SETTINGS if any(report.values()) else EXIT_OK
