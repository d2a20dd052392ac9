"""Handles signals before the modules of a role are imported."""

from __future__ import annotations

import signal
import sys
from importlib import import_module
from types import FrameType


def launch(module_name: str) -> None:
    """Import the module of a role and run its ``main``.

    The imports take seconds on a busy processor. By default, the signal that
    asks for a reload of the settings would end the process meanwhile.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _exit_unstarted)
    import_module(module_name).main()


def _exit_unstarted(number: int, frame: FrameType | None) -> None:
    # Nothing is served yet, so there is nothing to finish.
    sys.exit(0)
