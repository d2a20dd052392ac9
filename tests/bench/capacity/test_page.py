"""Tests of the capacity page."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from snipejunction.bench.capacity.model import role_costs
from snipejunction.bench.capacity.page import render, replace_part
from snipejunction.bench.capacity.slopes import fit, load_slopes

DOCS: Final = Path(__file__).parents[3] / 'docs'


class CapacityPageTest(TestCase):
    """Agreement of the capacity page with its data."""

    def test_page_agrees_with_its_data(self) -> None:
        """The tables in the page are rendered from the committed slopes."""
        page = (DOCS / 'CAPACITY.md').read_text()
        part = render(load_slopes(DOCS / 'capacity.json'))
        self.assertThat(replace_part(page, part), Equals(page))

    def test_every_cost_is_positive(self) -> None:
        """All costs at the two-year size are positive."""
        slopes = load_slopes(DOCS / 'capacity.json')
        lowest = min(cost.amount for cost in role_costs(slopes))
        self.assertThat(lowest, GreaterThan(0))


class FitTest(TestCase):
    """Least-squares fit."""

    def test_exact_line(self) -> None:
        """The fit through points on a line is that line."""
        line = fit([(1, 5), (2, 7), (4, 11)])
        self.assertThat((line.base, line.slope), Equals((3.0, 2.0)))

    def test_falling_line_ends_at_the_last_point(self) -> None:
        """A falling line is constant beyond its last point."""
        line = fit([(1, 5), (2, 4)])
        self.assertThat(line.at(100), Equals(line.at(2)))
