"""Size estimates: follow the observed usage and cover it."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.batch.estimates import DecayingHistogram, SizeEstimator
from marjoramwharf.machines.calls import Demand

_DECLARED = Demand(1_000, 1_000)


class EstimateTests(unittest.TestCase):
    """Guards against reservations far from the real usage of tasks."""

    def test_oversized_class_shrinks_after_enough_observations(self) -> None:
        """Guards against a correction based on too few observations."""
        estimates = SizeEstimator()
        for count in range(40):
            size = estimates.correct_size('quote', _DECLARED, now_s=0)
            if count < 20:
                self.assertEqual(size, _DECLARED)
            estimates.observe('quote', _DECLARED, Demand(250, 500), now_s=0)
        corrected = estimates.correct_size('quote', _DECLARED, now_s=0)
        self.assertLess(corrected.cpu_millicores, 300)
        self.assertLess(corrected.memory_mb, 600)

    @settings(derandomize=True)
    @given(
        st.lists(st.integers(1, 9_000), min_size=1, max_size=60),
        st.integers(1, 20_000),
    )
    def test_never_below_what_is_observed(
        self,
        seen: list[int],
        used: int,
    ) -> None:
        """Guards against a reservation smaller than the usage of its task."""
        estimates = SizeEstimator()
        for size in seen:
            estimates.observe('press', _DECLARED, Demand(size, size), now_s=0)
        corrected = estimates.correct_size(
            'press',
            _DECLARED,
            used=Demand(used, used),
            now_s=0,
        )
        self.assertGreaterEqual(corrected.cpu_millicores, used)
        self.assertGreaterEqual(corrected.memory_mb, used)
        # At most one in twenty observations may lie above the estimate.
        above = sum(size > corrected.memory_mb for size in seen)
        self.assertLessEqual(above * 20, len(seen))

    def test_old_observations_decay(self) -> None:
        """Guards against an estimate that stays high after a past burst."""
        ratio = DecayingHistogram(half_life_s=60)
        for _ in range(100):
            ratio.observe(5, now_s=0)
        for _ in range(100):
            ratio.observe(1, now_s=600)
        self.assertLess(ratio.quantile(0.95, now_s=600), 1.1)
