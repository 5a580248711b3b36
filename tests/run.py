"""Runs all tests with nose2 and prints the counts on one line.

Tests listed in ``KNOWN-RED.txt`` may fail without failing the run; they are
printed. A listed test that passes is printed too, so that it can be removed
from the list.
"""

from __future__ import annotations

import pathlib
import sys

from nose2.main import PluggableTestProgram

from tests.outcomes import OUTCOMES

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')


def read_known_failures() -> frozenset[str]:
    """Return the ids of the tests that are listed as failing."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    )


def main() -> int:
    """Run all tests under ``tests`` and return the exit status."""
    program = PluggableTestProgram(
        module=None,
        argv=['nose2', '-s', 'tests', '-t', '.'],
        plugins=['tests.outcomes'],
        exit=False,
    )
    failed = _tests_with_outcome('failed') | _tests_with_outcome('error')
    skipped = _tests_with_outcome('skipped')
    for name in sorted(failed & read_known_failures()):
        sys.stdout.write(f'known red: {name}\n')
    for fixed in sorted(read_known_failures() - failed):
        sys.stdout.write(f'listed as red but passed: {fixed}\n')
    passed = len(_tests_with_outcome('passed'))
    sys.stdout.write(
        f'{passed} passed, {len(failed)} failed, {len(skipped)} skipped\n',
    )
    unexpected = failed - read_known_failures()
    broken = not failed and not program.result.wasSuccessful()
    return 1 if unexpected or broken or not passed else 0


def _tests_with_outcome(outcome: str) -> frozenset[str]:
    return frozenset(name for name, kind in OUTCOMES.items() if kind == outcome)


if __name__ == '__main__':
    sys.exit(main())
