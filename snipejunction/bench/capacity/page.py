"""The measured part of docs/CAPACITY.md."""

from __future__ import annotations

from typing import Final

from snipejunction.bench.capacity.model import (
    RoleCost,
    role_costs,
    subs_per_node,
)
from snipejunction.bench.capacity.slopes import Line, Slopes

BEGIN: Final = '<!-- begin: script/capacity writes this part -->'
END: Final = '<!-- end: script/capacity -->'
_MICRO: Final = 1000000


def render(slopes: Slopes) -> str:
    """Return the tables of costs at the two-year size and of slopes."""
    rows = [_cost_row(cost) for cost in role_costs(slopes)]
    lines = [
        _line_row(name, line) for name, line in sorted(slopes.lines.items())
    ]
    return '\n'.join(
        [
            f'Sub-requests a second of one node: {subs_per_node():.0f}.',
            '',
            '| role | at the two-year size | target | share of the target |',
            '|---|---|---|---|',
            *rows,
            '',
            '| measured line | at zero | for each unit | measured at |',
            '|---|---|---|---|',
            *lines,
        ],
    )


def replace_part(page: str, part: str) -> str:
    """Return the page with its measured part replaced.

    Raises:
        ValueError: if a marker is missing.
    """
    before, _, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not end:
        raise ValueError(f'marker {BEGIN!r} or {END!r} is missing in the page')
    return f'{before}{BEGIN}\n\n{part}\n\n{END}{after}'


def _cost_row(cost: RoleCost) -> str:
    share = '' if cost.ratio is None else f'{cost.ratio:.2f}'
    amount = f'{cost.amount:.3g} {cost.unit}'
    return f'| {cost.name} | {amount} | {cost.limit} | {share} |'


def _line_row(name: str, line: Line) -> str:
    points = ', '.join(f'{at:g}' for at, _ in line.points)
    if 'cpu' in name:
        base = f'{line.base * _MICRO:.1f} us'
        slope = f'{line.slope * _MICRO:.4f} us'
    else:
        base = f'{line.base:.1f} B'
        slope = f'{line.slope:.3f} B'
    return f'| {name} | {base} | {slope} | {points} |'
