"""A nose2 plugin that records the outcome of each test."""

from __future__ import annotations

from typing import Any

from nose2.events import Plugin

# Outcome of each test by id; a failed subtest overrides a passed test.
OUTCOMES: dict[str, str] = {}


class OutcomePlugin(Plugin):  # type: ignore[misc]
    """Writes the outcome of every test to ``OUTCOMES``."""

    configSection = 'outcomes'
    alwaysOn = True

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Record an outcome; nose2 calls this hook by its name."""
        name = event.test.id()
        if OUTCOMES.get(name) not in {'failed', 'error'}:
            OUTCOMES[name] = event.outcome
