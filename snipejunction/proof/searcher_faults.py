"""Random faults of searchers, as lines of a scenario."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final, TypeAlias

OUTAGE_SECONDS: Final = 4.0
MAX_SLOWNESS: Final = 40
# Request rates that searchers state, per second.
STATED_LIMITS: Final = (0.5, 1.5, 4, 9)
# Longer than it takes until a stated limit is checked.
LIMIT_SECONDS: Final = (5.0, 15.0)

Fault: TypeAlias = Callable[[Random, float], list[str]]


def pair(
    when: float,
    outage: float,
    verb: str,
    undo: str,
    name: str,
) -> list[str]:
    """Return the lines of a fault and of its end."""
    later = round(when + outage, 2)
    return [f'at {when} s {verb} {name}', f'at {later} s {undo} {name}']


def outage(random: Random) -> float:
    """Return the duration of a fault in seconds."""
    return random.uniform(0.1, OUTAGE_SECONDS)


def _searcher(random: Random) -> str:
    return f'catalogue-{random.randint(1, 9)}'


def _cold(random: Random, when: float) -> list[str]:
    return [f'at {when} s cold {_searcher(random)}']


def _shed(random: Random, when: float) -> list[str]:
    return pair(when, outage(random), 'shed', 'unshed', _searcher(random))


def _limit(random: Random, when: float) -> list[str]:
    name = _searcher(random)
    rate = random.choice(STATED_LIMITS)
    later = round(when + random.uniform(*LIMIT_SECONDS), 2)
    return [f'at {when} s limit {name} {rate}', f'at {later} s unlimit {name}']


def _lose(random: Random, when: float) -> list[str]:
    return [f'at {when} s lose {_searcher(random)}']


def _leave(random: Random, when: float) -> list[str]:
    return [f'at {when} s leave {_searcher(random)}']


def _slow(random: Random, when: float) -> list[str]:
    factor = random.randint(2, MAX_SLOWNESS)
    return [f'at {when} s slow {_searcher(random)} {factor}']


SEARCHER_FAULTS: Final[tuple[Fault, ...]] = (
    _cold,
    _shed,
    _limit,
    _lose,
    _leave,
    _slow,
)
