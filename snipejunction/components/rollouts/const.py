"""Constants of the roll-outs component."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

# States of a roll-out, in the order that they are taken.
RUNNING: Final = 0
SWITCHING: Final = 1
COMPLETED: Final = 2
ROLLED_BACK: Final = 3
STATE_NAMES: Final = MappingProxyType(
    {
        RUNNING: 'running',
        SWITCHING: 'switching',
        COMPLETED: 'completed',
        ROLLED_BACK: 'rolled back',
    }
)
# Interval of the reports of entry hosts while a roll-out runs, in seconds.
REPORT_INTERVAL_SECONDS: Final = 0.5
