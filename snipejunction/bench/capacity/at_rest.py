"""Cost of control by the number of hosts, at rest and per change."""

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
VOTER_COUNT: Final = 3
WARM_UP_SECONDS: Final = 8.0
WINDOW_SECONDS: Final = 10.0
CHANGE_COUNT: Final = 20
DIGEST_LENGTH: Final = 64
FEED_MESSAGE: Final = 'FeedEntries'
REGIONS: Final = ('lagos', 'kano', 'enugu')


class Usage(Record):
    """Mean usage of the hosts of a role.

    ``cpu`` is in processor seconds and ``sent`` in bytes, per second.
    """

    __slots__ = ('cpu', 'sent')

    def __init__(self, cpu: float, sent: float) -> None:
        """Create a usage."""
        self.cpu = cpu
        self.sent = sent


class _Meter:
    """Measures the usage of hosts since its creation."""

    __slots__ = ('_cpu', '_feed_bytes', '_run', '_sent')

    def __init__(self, run: VirtualRun) -> None:
        self._run = run
        self._cpu = {name: host.cpu_seconds for name, host in run.hosts.items()}
        self._sent = dict(run.network.sent_bytes)
        self._feed_bytes = run.network.message_bytes[FEED_MESSAGE]

    def feed_bytes(self) -> int:
        """Return the bytes of the settings feed since the creation."""
        return self._run.network.message_bytes[FEED_MESSAGE] - self._feed_bytes

    def usage(self, names: list[str], seconds: float) -> Usage:
        """Return the mean usage per host and second since the creation."""
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
    """Add the lines of the costs of control by the number of hosts."""
    points: dict[str, list[tuple[float, float]]] = {}
    for count in HOST_COUNTS:
        for name, value in _measure_hosts(count).items():
            points.setdefault(name, []).append((float(count), value))
    for name, measured in points.items():
        slopes.lines[name] = fit(measured)


def _measure_hosts(count: int) -> dict[str, float]:
    run = _start_run(count)
    run.schedule.run_until(WARM_UP_SECONDS)
    roles = _hosts_by_role(run)
    meter_at_rest = _Meter(run)
    run.schedule.run_until(run.now + WINDOW_SECONDS)
    usage_at_rest = {
        role: meter_at_rest.usage(names, WINDOW_SECONDS)
        for role, names in roles.items()
    }
    change_meter = _Meter(run)
    _schedule_changes(run)
    run.schedule.run_until(run.now + WINDOW_SECONDS)
    figures: dict[str, float] = {}
    for role, names in roles.items():
        usage = change_meter.usage(names, WINDOW_SECONDS)
        figures.update(_make_costs(role, usage_at_rest[role], usage))
    if 'entry' in roles:
        feed_bytes = (
            change_meter.feed_bytes() / CHANGE_COUNT / len(roles['entry'])
        )
        figures['feed_bytes_per_change'] = feed_bytes
    return figures


def _hosts_by_role(run: VirtualRun) -> dict[str, list[str]]:
    leader = _find_leader(run)
    roles = {
        'leader': [leader],
        'follower': [name for name in _voter_names() if name != leader],
    }
    entries = [name for name in run.hosts if name not in _voter_names()]
    if entries:
        roles['entry'] = entries
    return roles


def _make_costs(
    role: str,
    usage_at_rest: Usage,
    busy_usage: Usage,
) -> dict[str, float]:
    """Return the costs per second at rest and the costs of one change."""
    seconds_per_change = WINDOW_SECONDS / CHANGE_COUNT
    return {
        f'{role}_cpu_at_rest': usage_at_rest.cpu,
        f'{role}_bytes_at_rest': usage_at_rest.sent,
        f'{role}_cpu_per_change': (busy_usage.cpu - usage_at_rest.cpu)
        * seconds_per_change,
        f'{role}_bytes_per_change': (busy_usage.sent - usage_at_rest.sent)
        * seconds_per_change,
    }


def _voter_names() -> list[str]:
    return [f'h{number}' for number in range(1, VOTER_COUNT + 1)]


def _start_run(count: int) -> VirtualRun:
    run = VirtualRun(seed=count)
    places = {
        f'h{number}': Place(
            REGIONS[number % len(REGIONS)],
            REGIONS[number % len(REGIONS)],
        )
        for number in range(1, count + 1)
    }
    run.add_hosts(places, _voter_names())
    run.start_hosts()
    return run


def _find_leader(run: VirtualRun) -> str:
    for name in _voter_names():
        replica = run.host(name).core.node.consensus.replicas[GROUP_SETTINGS]
        if replica.is_ready:
            return name
    raise ValueError('no voter leads the settings group after the warm-up')


def _schedule_changes(run: VirtualRun) -> None:
    for number in range(CHANGE_COUNT):
        when = run.now + number * WINDOW_SECONDS / CHANGE_COUNT
        run.schedule.at(when, _ChangeAction(run, number))


class _ChangeAction:
    """Scheduled action that writes one small document."""

    __slots__ = ('_number', '_run')

    def __init__(self, run: VirtualRun, number: int) -> None:
        self._run = run
        self._number = number

    def __call__(self) -> None:
        host = self._run.host('h1')
        digest = f'{self._number}'.ljust(DIGEST_LENGTH, '0')
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
