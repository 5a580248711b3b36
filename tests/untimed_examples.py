"""Settings of Hypothesis for all tests.

Hypothesis measures how long an example takes to draw and to run. No verdict
depends on that here, since a busy machine takes longer.
"""

from __future__ import annotations

from hypothesis import HealthCheck, settings

settings.register_profile(
    'untimed',
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('untimed')
