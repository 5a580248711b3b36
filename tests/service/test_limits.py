"""Queue limits, quotas and fair shares of a configuration."""

from __future__ import annotations

import unittest

from hypothesis import given, settings, strategies

from marjoramwharf.contracts.configuration import Configuration, Limits
from marjoramwharf.contracts.release_note import Quota
from marjoramwharf.errors import Reason
from marjoramwharf.ids import ServiceId, TeamId
from marjoramwharf.service.limits import (
    TeamBounds,
    Usage,
    build_request_limits,
    check_queue_limits,
    compute_fair_shares,
    get_team_bounds,
    may_start,
)

_SERVICE = ServiceId('s')
_LIMITS = build_request_limits(
    Configuration(
        revision=3,
        limits=Limits(queue_count=4, team_count=3, caller_count=2),
        quotas=(
            Quota('a', 's', slots_count=2, weight=3, valid_until_ms=1000),
            Quota('b', 's', slots_count=6),
        ),
    ),
)


class LimitsTests(unittest.TestCase):
    """Guards against teams that exceed the quotas of a release note."""

    def test_quota_ends(self) -> None:
        """Guards against a temporary quota that stays in force."""
        bounds = [
            get_team_bounds(_LIMITS, TeamId('a'), _SERVICE, now_ms=now_ms)
            for now_ms in (999, 1000)
        ]
        self.assertEqual(bounds, [TeamBounds(2, 3), TeamBounds(None, 1)])

    def test_each_queue_limit_refuses(self) -> None:
        """Guards against a limit that is not checked."""
        for usage, expected in (
            (Usage(0, 3, 2, 1), None),
            (Usage(0, 4, 0, 0), Reason.QUEUE_FULL),
            (Usage(0, 3, 3, 0), Reason.TEAM_LIMIT),
            (Usage(0, 3, 2, 2), Reason.TEAM_LIMIT),
        ):
            with self.subTest(usage=usage):
                self.assertIs(check_queue_limits(_LIMITS, usage), expected)

    def test_quota_bounds_running_requests(self) -> None:
        """Guards against more running requests than the quota allows."""
        bounds = TeamBounds(2, 1)
        self.assertTrue(may_start(bounds, Usage(1, 0, 0, 0)))
        self.assertFalse(may_start(bounds, Usage(2, 0, 0, 0)))

    def test_unused_share_goes_to_others(self) -> None:
        """Guards against slots that stay idle while a team waits."""
        shares = compute_fair_shares(
            _LIMITS,
            _SERVICE,
            {TeamId('a'): 9, TeamId('b'): 9, TeamId('c'): 9},
            slots_count=12,
            now_ms=0,
        )
        self.assertEqual(shares, {'a': 2, 'b': 5, 'c': 5})

    @settings(derandomize=True, deadline=None)
    @given(
        strategies.dictionaries(
            strategies.sampled_from('abcdef').map(TeamId),
            strategies.integers(0, 20),
        ),
        strategies.integers(0, 40),
    )
    def test_shares_fit(self, demands: dict[TeamId, int], slots: int) -> None:
        """Guards against shares above the slots, a demand or a quota."""
        shares = compute_fair_shares(
            _LIMITS,
            _SERVICE,
            demands,
            slots_count=slots,
            now_ms=0,
        )
        self.assertLessEqual(sum(shares.values()), slots + 1e-6)
        ceilings = {'a': 2, 'b': 6}
        bounds = {
            team: min(demand, ceilings.get(team, demand))
            for team, demand in demands.items()
        }
        for team, share in shares.items():
            self.assertLessEqual(share, bounds[team])
        self.assertAlmostEqual(
            sum(shares.values()),
            min(slots, sum(bounds.values())),
        )
