"""Costs at the two-year size, predicted from measured slopes."""

from __future__ import annotations

from typing import Final

from snipejunction.bench.capacity.slopes import Slopes
from snipejunction.helpers.records import Record

NODES: Final = 2800
SEARCHERS: Final = 64000
QUERIES_PER_SECOND: Final = 2700000
SEARCHERS_PER_QUERY: Final = 150
CHANGES_PER_DAY: Final = 11000
FAILURES_PER_DAY: Final = 360
RESTARTS_PER_DAY: Final = 8200
# Each failure or restart removes a host from the view and adds it again.
VIEW_CHANGES_PER_DAY: Final = 2 * (FAILURES_PER_DAY + RESTARTS_PER_DAY)
DAY_SECONDS: Final = 86400
DOCUMENTS: Final = 10000
# Maximum number of hosts to which a host relays changes.
RELAY_FAN_OUT: Final = 16

CONTROL_CPU_SHARE: Final = 0.013
CONTROL_BYTES_PER_SECOND: Final = 6000
CONTROL_MEMORY_BYTES: Final = 268435456
CONTROL_HOSTS: Final = 18

_MEBIBYTE: Final = 1048576
_PER_CENT: Final = 100


class RoleCost(Record):
    """Cost of a role on one node; ``limit`` is the target as text."""

    __slots__ = ('amount', 'limit', 'name', 'ratio', 'unit')

    def __init__(
        self,
        name: str,
        amount: float,
        unit: str,
        limit: str,
        ratio: float | None,
    ) -> None:
        """Create a cost; ``ratio`` is the amount over the limit."""
        self.name = name
        self.amount = amount
        self.unit = unit
        self.limit = limit
        self.ratio = ratio


def role_costs(slopes: Slopes) -> list[RoleCost]:
    """Return the costs of every role at the two-year size."""
    return [
        *_query_costs(slopes),
        *_entry_costs(slopes),
        *_leader_costs(slopes),
    ]


def subs_per_node() -> float:
    """Return the sub-requests per second of one node as root or owner."""
    return QUERIES_PER_SECOND * SEARCHERS_PER_QUERY / NODES


def _query_costs(slopes: Slopes) -> list[RoleCost]:
    subs = subs_per_node()
    at = float(SEARCHERS_PER_QUERY)
    wire = slopes.lines['wire_cpu_per_sub'].at(at) / 2
    root = subs * (slopes.lines['root_cpu_per_sub'].at(at) + wire)
    owner = subs * (slopes.lines['owner_cpu_per_sub'].at(at) + wire)
    sent = subs * slopes.lines['wire_bytes_per_sub'].at(at)
    memory = slopes.lines['bytes_of_searchers'].slope * SEARCHERS / NODES
    return [
        RoleCost('root: decisions and frames', root, 'cores', '1 core', root),
        RoleCost(
            'owner: decisions and frames', owner, 'cores', '1 core', owner
        ),
        RoleCost(
            'root and owner: frames',
            sent / _MEBIBYTE,
            'MiB/s',
            'none stated',
            None,
        ),
        RoleCost(
            'owner: state of its searchers',
            memory / _MEBIBYTE,
            'MiB',
            'none stated',
            None,
        ),
    ]


def _entry_costs(slopes: Slopes) -> list[RoleCost]:
    nodes = float(NODES)
    lines = slopes.lines
    changes_per_second = CHANGES_PER_DAY / DAY_SECONDS
    view_changes_per_second = VIEW_CHANGES_PER_DAY / DAY_SECONDS
    cpu = lines['entry_cpu_at_rest'].at(nodes)
    cpu += changes_per_second * lines['entry_cpu_per_change'].at(nodes)
    cpu += view_changes_per_second * lines['view_cpu'].at(nodes)
    sent = lines['entry_bytes_at_rest'].at(nodes)
    bytes_per_child = lines['feed_bytes_per_change'].at(nodes)
    relayed = (
        (changes_per_second + view_changes_per_second)
        * RELAY_FAN_OUT
        * bytes_per_child
    )
    memory = lines['view_memory'].at(nodes)
    memory += lines['settings_memory'].at(DOCUMENTS)
    return [
        _bounded(
            'entry host: control, processor',
            cpu * _PER_CENT,
            '% of a core',
            CONTROL_CPU_SHARE * _PER_CENT,
        ),
        _bounded(
            'entry host: control, sent', sent, 'B/s', CONTROL_BYTES_PER_SECOND
        ),
        _bounded(
            'relay: control, sent',
            sent + relayed,
            'B/s',
            CONTROL_BYTES_PER_SECOND,
        ),
        _bounded(
            'entry host: control, memory',
            memory / _MEBIBYTE,
            'MiB',
            CONTROL_MEMORY_BYTES / _MEBIBYTE,
        ),
    ]


def _leader_costs(slopes: Slopes) -> list[RoleCost]:
    nodes = float(NODES)
    lines = slopes.lines
    changes_per_second = CHANGES_PER_DAY / DAY_SECONDS
    costs = []
    for role in ('leader', 'follower'):
        cpu = lines[f'{role}_cpu_at_rest'].at(nodes)
        cpu += changes_per_second * max(
            0, lines[f'{role}_cpu_per_change'].at(nodes)
        )
        sent = lines[f'{role}_bytes_at_rest'].at(nodes)
        sent += changes_per_second * max(
            0, lines[f'{role}_bytes_per_change'].at(nodes)
        )
        name = f'control {role}, a host set aside'
        costs.append(
            RoleCost(f'{name}: processor', cpu, 'cores', '1 core', cpu)
        )
        costs.append(
            RoleCost(f'{name}: sent', sent, 'B/s', 'none stated', None)
        )
    return costs


def _bounded(name: str, amount: float, unit: str, limit: float) -> RoleCost:
    return RoleCost(name, amount, unit, f'{limit:g} {unit}', amount / limit)
