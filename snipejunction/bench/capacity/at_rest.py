"""Costs of control by the number of hosts, at rest and for each change."""

from __future__ import annotations

from typing import Final

from snipejunction.bench.capacity.slopes import Slopes, fit
from snipejunction.bench.network import Place
from snipejunction.bench.virtual import VirtualRun
from snipejunction.components.control.const import BOOTSTRAP_OPERATOR
from snipejunction.components.control.messages import ChangeRequest
from snipejunction.const import GROUP_SETTINGS
from snipejunction.helpers.records import Record

HOST_COUNTS: Final = (3, 11, 50, 200)
VOTERS: Final = 3
WARM_UP_SECONDS: Final = 8.0
WINDOW_SECONDS: Final = 10.0
CHANGES: Final = 20
DIGEST_DIGITS: Final = 64
FEED_MESSAGE: Final = 'FeedEntries'
REGIONS: Final = ('lagos', 'kano', 'enugu')


class Usage(Record):
    """What one kind of host used a second: seconds, bytes, messages."""

    __slots__ = ('cpu', 'sent')

    def __init__(self, cpu: float, sent: float) -> None:
        """Create a usage of processor seconds and bytes a second."""
        self.cpu = cpu
        self.sent = sent


class _Meter:
    """Reads the use of hosts between two moments."""

    __slots__ = ('_cpu', '_fed', '_run', '_sent')

    def __init__(self, run: VirtualRun) -> None:
        self._run = run
        self._cpu = {name: host.cpu_seconds for name, host in run.hosts.items()}
        self._sent = dict(run.network.sent_bytes)
        self._fed = run.network.message_bytes[FEED_MESSAGE]

    def fed_bytes(self) -> int:
        """Return the bytes of the settings feed since the start."""
        return self._run.network.message_bytes[FEED_MESSAGE] - self._fed

    def usage(self, names: list[str], seconds: float) -> Usage:
        """Return the mean use of some hosts since the start."""
        cpu = sum(
            self._run.host(name).cpu_seconds - self._cpu[name] for name in names
        )
        sent = sum(
            self._run.network.sent_bytes[name] - self._sent.get(name, 0)
            for name in names
        )
        count = len(names) * seconds
        return Usage(cpu / count, sent / count)


def measure_control(slopes: Slopes) -> None:
    """Add the lines of control by the number of hosts."""
    points: dict[str, list[tuple[float, float]]] = {}
    for count in HOST_COUNTS:
        for name, amount in _measure(count).items():
            points.setdefault(name, []).append((float(count), amount))
    for name, measured in points.items():
        slopes.lines[name] = fit(measured)


def _measure(count: int) -> dict[str, float]:
    run = _start(count)
    run.schedule.run_until(WARM_UP_SECONDS)
    roles = _roles_of(run)
    rest = _Meter(run)
    run.schedule.run_until(run.now + WINDOW_SECONDS)
    resting = {
        role: rest.usage(names, WINDOW_SECONDS) for role, names in roles.items()
    }
    busy = _Meter(run)
    _change(run)
    run.schedule.run_until(run.now + WINDOW_SECONDS)
    figures: dict[str, float] = {}
    for role, names in roles.items():
        usage = busy.usage(names, WINDOW_SECONDS)
        figures.update(_costs_of(role, resting[role], usage))
    if 'entry' in roles:
        fed = busy.fed_bytes() / CHANGES / len(roles['entry'])
        figures['feed_bytes_per_change'] = fed
    return figures


def _roles_of(run: VirtualRun) -> dict[str, list[str]]:
    leader = _leader(run)
    roles = {
        'leader': [leader],
        'follower': [name for name in _voters() if name != leader],
    }
    entries = [name for name in run.hosts if name not in _voters()]
    if entries:
        roles['entry'] = entries
    return roles


def _costs_of(role: str, resting: Usage, busy: Usage) -> dict[str, float]:
    """Return the costs at rest, a second, and of one change."""
    each = WINDOW_SECONDS / CHANGES
    return {
        f'{role}_cpu_at_rest': resting.cpu,
        f'{role}_bytes_at_rest': resting.sent,
        f'{role}_cpu_per_change': (busy.cpu - resting.cpu) * each,
        f'{role}_bytes_per_change': (busy.sent - resting.sent) * each,
    }


def _voters() -> list[str]:
    return [f'h{number}' for number in range(1, VOTERS + 1)]


def _start(count: int) -> VirtualRun:
    run = VirtualRun(seed=count)
    places = {
        f'h{number}': Place(
            REGIONS[number % len(REGIONS)],
            REGIONS[number % len(REGIONS)],
        )
        for number in range(1, count + 1)
    }
    run.add_hosts(places, _voters())
    run.start_hosts()
    return run


def _leader(run: VirtualRun) -> str:
    for name in _voters():
        replica = run.host(name).core.node.consensus.replicas[GROUP_SETTINGS]
        if replica.is_ready:
            return name
    raise ValueError('no leader after the warm-up')


def _change(run: VirtualRun) -> None:
    for number in range(CHANGES):
        when = run.now + number * WINDOW_SECONDS / CHANGES
        run.schedule.at(when, _Change(run, number))


class _Change:
    """Action: write one small document."""

    __slots__ = ('_number', '_run')

    def __init__(self, run: VirtualRun, number: int) -> None:
        self._run = run
        self._number = number

    def __call__(self) -> None:
        host = self._run.host('h1')
        digest = f'{self._number}'.ljust(DIGEST_DIGITS, '0')
        path = f'/teams/t{self._number}/callers/app'
        message = ChangeRequest(
            0,
            BOOTSTRAP_OPERATOR,
            f'change-{self._number}',
            host.core.node.settings.revision,
            {path: {'token_sha256': digest}},
        )
        host.call(message, _check_accepted)


def _check_accepted(answered: object) -> None:
    """Fail the measurement if a change was refused."""
    refusal = getattr(answered, 'refusal', None)
    if refusal is not None:
        raise ValueError(f'a change was refused: {refusal}')
