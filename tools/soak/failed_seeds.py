"""Seeds that ever failed, with the cause; played as regression cases."""

from __future__ import annotations

from collections.abc import Mapping

# All were played for twelve seconds.
FAILED_SEEDS_DURATION_S = 12.0
FAILED_SEEDS: Mapping[int, str] = {
    3: 'an end was forgotten with the number of a former incarnation',
    4: 'the same, after a worker restarted with starts on their way',
    5: 'the same',
    10: 'a run that began after a report was ended by it as one of before',
    11: 'the stand-in skipped history that was dropped during a watch',
    17: 'the same as 10',
    16: 'an end was forgotten with the number of a former incarnation',
    19: 'the same',
    21: 'a former owner told "running" after its successor "completed"',
    23: 'an end was forgotten with the number of a former incarnation',
}
