"""Least-squares lines through measured costs, and their JSON file.

A line gives a cost, such as CPU time or bytes, as a function of a load or a
size, which is counted in units.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from snipejunction.helpers.records import Record


class Line(Record):
    """A least-squares line: ``base`` at zero units, ``slope`` per unit."""

    __slots__ = ('base', 'points', 'slope')

    def __init__(
        self,
        base: float,
        slope: float,
        points: list[tuple[float, float]],
    ) -> None:
        """Create a line through measured points."""
        self.base = base
        self.slope = slope
        self.points = points

    def at(self, units: float) -> float:
        """Return the value at a number of units.

        A negative slope comes from noise or from a fixed cost that is spread
        over more units. Such a line is not extrapolated: beyond the largest
        measured number of units its value stays constant.
        """
        largest_measured = max(point[0] for point in self.points)
        if self.slope < 0:
            units = min(units, largest_measured)
        return self.base + self.slope * units


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through the points."""
    count = len(points)
    mean_x = sum(point[0] for point in points) / count
    mean_y = sum(point[1] for point in points) / count
    variance_sum = sum((point[0] - mean_x) ** 2 for point in points)
    covariance_sum = sum(
        (point[0] - mean_x) * (point[1] - mean_y) for point in points
    )
    slope = covariance_sum / variance_sum if variance_sum else 0
    return Line(mean_y - slope * mean_x, slope, list(points))


class Slopes:
    """All fitted lines by the name of the measured cost."""

    __slots__ = ('lines',)

    def __init__(self) -> None:
        """Create a set without lines."""
        self.lines: dict[str, Line] = {}

    def save(self, path: Path) -> None:
        """Write the lines to a file."""
        document: dict[str, Any] = {
            'lines': {
                name: {
                    'base': line.base,
                    'slope': line.slope,
                    'points': line.points,
                }
                for name, line in self.lines.items()
            },
        }
        text = json.dumps(document, indent=2, sort_keys=True)
        path.write_text(f'{text}\n')


def load_slopes(path: Path) -> Slopes:
    """Read the lines from a file."""
    document = json.loads(path.read_text())
    slopes = Slopes()
    for name, line in document['lines'].items():
        points = [(point[0], point[1]) for point in line['points']]
        slopes.lines[name] = Line(line['base'], line['slope'], points)
    return slopes
