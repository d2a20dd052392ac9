"""Entry point of the command line."""

from __future__ import annotations

import sys

from snipejunction.cli.program import run


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == '__main__':
    main()
