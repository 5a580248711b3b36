"""Limits how often the owner of a cell polls its workers without runs.

Each poll costs the owner about as much as an order, and a worker without runs
is polled only to learn whether it still answers. If all workers of a large
fleet were polled as often as those of a small one, these polls alone would keep
the owner busy: its event loop would handle those of all workers in each round,
and each step on the way of a job, from its request to its start, would wait for
such a round. So from a number of workers on, one without runs is left alone for
a while after each poll.

>>> IdlePolls(workers_count=300).pause_s(wait_s=2)
0.0
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

# Polls of workers without runs in a second, if all workers have none. Up to a
# thousand workers, no poll is delayed.
_POLLS_PER_S = 500.0

# A connection that is unused for longer may be closed, and a worker that has
# gone is noticed by its next poll.
_MAX_PAUSE_S = 3.0

# Workers that answered together are polled at different times from then on.
_JITTER_SHARE = 0.25


@dataclass(slots=True, eq=False)
class IdlePolls:
    """Tells how long to leave a worker without runs alone.

    ``workers_count`` is the number of all workers, with runs or without.
    """

    workers_count: int = 0
    rng: random.Random = field(default_factory=random.Random)

    def pause_s(self, *, wait_s: float) -> float:
        """Return the pause before a poll that waits for ``wait_s``, or 0."""
        interval_s = self.workers_count / _POLLS_PER_S
        pause_s = max(0, min(interval_s - wait_s, _MAX_PAUSE_S))
        return pause_s * self.rng.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
