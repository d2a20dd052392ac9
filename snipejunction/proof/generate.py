"""Random scenarios over the verbs of the scripts, and their shrinking."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final, TypeAlias

from snipejunction.proof.searcher_faults import (
    Fault,
    SEARCHER_FAULTS,
    outage,
    pair,
)

FIRST_FAULT_SECONDS: Final = 9.0
LAST_FAULT_SECONDS: Final = 24.0
END_SECONDS: Final = 45
MAX_FAULTS: Final = 8
MAX_MESS_PERCENT: Final = 20

StillFails: TypeAlias = Callable[[str], bool]

_HEADER: Final = """seed {seed}
hosts 5 in lagos, kano, enugu
voters h1, h2, h3
service ayo/catalogue: searchers 9, shards 3, replicas 3, slots 3, cold 1
allow ayo/desk -> ayo/catalogue: rate 200, concurrency 60
allow ayo/member -> ayo/catalogue: rate 100, concurrency 50
load ayo/desk -> ayo/catalogue: rate 15, from 8 s, to 27 s, deadline 400 ms
runs ayo/member -> ayo/catalogue: rate 4, from 8 s, to 27 s, resend 1
"""


def generate(seed: int) -> str:
    """Return the text of a random scenario; equal seeds give equal texts."""
    random = Random(seed)
    lines: list[str] = []
    for _ in range(random.randint(2, MAX_FAULTS)):
        when = random.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS)
        lines.extend(random.choice(_FAULTS)(random, round(when, 2)))
    header = _HEADER.format(seed=seed)
    actions = '\n'.join(sorted(lines, key=_time_of))
    return f'{header}{actions}\nend {END_SECONDS} s\n'


def shrink(text: str, still_fails: StillFails) -> str:
    """Return a text with as few action lines as still fail."""
    lines = text.splitlines()
    index = 0
    while index < len(lines):
        fewer = lines[:index] + lines[index + 1 :]
        is_action = lines[index].startswith('at ')
        if is_action and still_fails('\n'.join(fewer)):
            lines = fewer
        else:
            index += 1
    return '\n'.join(lines)


def _time_of(line: str) -> float:
    return float(line.split(' ')[1])


def _host(random: Random) -> str:
    return f'h{random.randint(1, 5)}'


def _kill(random: Random, when: float) -> list[str]:
    return pair(when, outage(random), 'kill', 'start', _host(random))


def _stop(random: Random, when: float) -> list[str]:
    name = _host(random)
    return [f'at {when} s stop {name}', f'at 32 s start {name}']


def _isolate(random: Random, when: float) -> list[str]:
    return pair(when, outage(random), 'isolate', 'rejoin', _host(random))


def _freeze(random: Random, when: float) -> list[str]:
    seconds = round(outage(random), 2)
    return [f'at {when} s freeze {_host(random)} {seconds}']


def _cut(random: Random, when: float) -> list[str]:
    sender, receiver = random.sample(range(1, 6), 2)
    name = f'h{sender} h{receiver}'
    return pair(when, outage(random), 'cut', 'heal', name)


def _silence(random: Random, when: float) -> list[str]:
    return [f'at {when} s silence {_host(random)}']


def _cold_place(random: Random, when: float) -> list[str]:
    place = random.choice(('lagos', 'kano', 'enugu'))
    return [f'at {when} s cold_place {place}']


def _drain(random: Random, when: float) -> list[str]:
    place = random.choice(('lagos', 'kano', 'enugu'))
    return pair(when, outage(random), 'drain', 'restore', place)


def _roll(random: Random, when: float) -> list[str]:
    return [f'at {when} s roll ayo/catalogue']


def _repartition(random: Random, when: float) -> list[str]:
    shards = random.randint(2, 9)
    return [f'at {when} s repartition ayo/catalogue {shards}']


def _race(random: Random, when: float) -> list[str]:
    return [f'at {when} s race ayo']


def _mess(random: Random, when: float) -> list[str]:
    share = random.randint(1, MAX_MESS_PERCENT)
    verb = random.choice(('double', 'reorder', 'lose_messages'))
    later = round(when + outage(random), 2)
    return [f'at {when} s {verb} {share} %', f'at {later} s {verb} 0 %']


_FAULTS: Final[tuple[Fault, ...]] = (
    *SEARCHER_FAULTS,
    _kill,
    _kill,
    _stop,
    _isolate,
    _freeze,
    _cut,
    _silence,
    _cold_place,
    _drain,
    _roll,
    _repartition,
    _race,
    _mess,
)
