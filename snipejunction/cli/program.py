"""Runs a command and maps its errors to exit codes."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence

from snipejunction.cli.client import UnreachableError
from snipejunction.cli.exit_codes import (
    EXIT_FAILED,
    EXIT_MAY_HAVE_RUN,
    EXIT_NOT_RUN,
    EXIT_OK,
    EXIT_SETTINGS,
    EXIT_STORAGE,
    EXIT_UNREACHABLE,
)
from snipejunction.cli.output import print_error, print_json
from snipejunction.cli.parser import make_parser
from snipejunction.edge.http.replies import refusal_document
from snipejunction.errors import (
    RefusedError,
    SettingsError,
    SnipejunctionError,
    StorageError,
)


def run(argv: Sequence[str]) -> int:
    """Run the command given by ``argv`` and return its exit code."""
    arguments = make_parser().parse_args(argv)
    try:
        return _run_command(arguments)
    except RefusedError as error:
        return _report_refusal(arguments, error)
    except SnipejunctionError as error:
        print_error(str(error))
        return _exit_code_for(error)
    except BrokenPipeError:
        # The reader of standard output closed the pipe.
        sys.stdout = None
        return EXIT_OK


def _run_command(arguments: argparse.Namespace) -> int:
    if hasattr(arguments, 'run'):
        return int(arguments.run(arguments))
    return int(asyncio.run(arguments.async_run(arguments)))


def _report_refusal(
    arguments: argparse.Namespace,
    error: RefusedError,
) -> int:
    refusal = error.refusal
    if getattr(arguments, 'json', False):
        print_json(refusal_document(refusal))
    print_error(f'{refusal.verdict_text} ({refusal.code}): {refusal.detail}')
    if refusal.retry_after > 0:
        print_error(f'try again after {refusal.retry_after} s')
    return EXIT_NOT_RUN if refusal.verdict.may_retry else EXIT_MAY_HAVE_RUN


def _exit_code_for(error: SnipejunctionError) -> int:
    if isinstance(error, SettingsError):
        return EXIT_SETTINGS
    if isinstance(error, UnreachableError):
        return EXIT_UNREACHABLE
    if isinstance(error, StorageError):
        return EXIT_STORAGE
    return EXIT_FAILED
