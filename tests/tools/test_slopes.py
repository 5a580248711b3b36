"""The fitted lines of the capacity page and the figures at its target."""

from __future__ import annotations

import unittest
from collections import defaultdict

from tools.capacity_target import derive_target_figures
from tools.slope_measuring import Line, fit_line


class LineTests(unittest.TestCase):
    """Guards against capacity figures that are derived from a wrong line."""

    def test_points_on_a_line_give_that_line(self) -> None:
        """Guards against weights that distort the line of exact points."""
        line = fit_line({10: 23, 100: 203, 1_000: 2_003})
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 3)
        self.assertAlmostEqual(line.error, 0)
        self.assertAlmostEqual(line.at(5_200), 10_403)

    def test_error_shows_a_curve(self) -> None:
        """Guards against a quadratic cost whose line shows no error."""
        line = fit_line({10: 100, 100: 10_000, 1_000: 1_000_000})
        self.assertGreater(line.error, 0.5)

    def test_target_uses_the_size_of_each_role(self) -> None:
        """Guards against totals that leave out peers or workers."""
        lines: defaultdict[str, defaultdict[str, Line]] = defaultdict(
            lambda: defaultdict(lambda: Line(1, 0, 0)),
        )
        derived = derive_target_figures(lines)
        self.assertAlmostEqual(derived['entry: list KB/s'], 5.2)
        self.assertAlmostEqual(
            derived['entry: summaries sent KB/s'],
            59 * 5_200 / 60 / 1_000,
        )
        self.assertAlmostEqual(derived['store: job commits, writes/s'], 160)
