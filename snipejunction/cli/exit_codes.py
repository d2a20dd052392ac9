"""Exit codes of the program, as listed in docs/OPERATIONS.md."""

from __future__ import annotations

from typing import Final

EXIT_OK: Final = 0
# The program itself failed.
EXIT_FAILED: Final = 1
# The command line is wrong; argparse uses the same code.
EXIT_USAGE: Final = 2
# A settings file was refused.
EXIT_SETTINGS: Final = 3
# The request was refused and certainly did not run.
EXIT_NOT_RUN: Final = 4
# The outcome of the request is unknown.
EXIT_MAY_HAVE_RUN: Final = 5
# No host could be reached.
EXIT_UNREACHABLE: Final = 6
# The data folder cannot be used.
EXIT_STORAGE: Final = 7

EXIT_CODES_HELP: Final = (
    'exit codes: 0 done, 1 failed, 2 wrong command line, '
    '3 settings refused, 4 not run, 5 may have run, '
    '6 no host reachable, 7 data folder unusable'
)
