"""Runs the tests of a cell against mutants of its code.

    python -m tools.mutants [NAME ...]

Each mutant leaves out one precaution (see ``tests/cells/mutants.py``). A mutant
that no test notices is *missed*, and the exit status is 1 then. Each runs in a
process of its own, since the random histories can't run twice in one.
"""

from __future__ import annotations

import io
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from contextlib import redirect_stdout

from tests.cells.mutants import MUTANTS

# The random histories are last, since they take longest.
_TEST_MODULES = (
    'test_cell',
    'test_late_answers',
    'test_malformed_records',
    'test_many_workers',
    'test_idle_polls',
    'test_next_incarnation',
    'test_restarted_workers',
    'test_late_starts',
    'test_connection_use',
    'test_evacuations',
    'test_unreachable_from_owner',
    'test_calls_through_entries',
    'test_slow_owner',
    'test_vanished_workers',
    'test_ended_owner',
    'test_former_owner',
    'test_lapsing_workers',
    'test_worker_roster',
    'test_replaced_workers',
    'test_unlisted_workers',
    'test_unlisted_precautions',
    'test_unlisted_checks',
    'test_inbox',
    'test_unstored_cancellations',
    'test_cancellation_removal',
    'test_job_removal',
    'test_histories',
)

_CONCURRENT_PROCESSES_COUNT = 2
_SINGLE_OPTION = '--single'


def main() -> None:
    """Try the mutants that are named, or all of them."""
    names = sys.argv[1:] or list(MUTANTS)
    if names[0] == _SINGLE_OPTION:
        print(_try_mutant(names[1]))
        return
    with ThreadPoolExecutor(_CONCURRENT_PROCESSES_COUNT) as executor:
        failed_tests = list(executor.map(_try_in_process, names))
    for name, failed in zip(names, failed_tests, strict=True):
        print(f'{"caught" if failed else "MISSED"}: {name} ({failed})')
    missed_count = failed_tests.count('')
    print(f'{len(names) - missed_count} of {len(names)} mutants caught')
    sys.exit(1 if missed_count else 0)


def _try_in_process(name: str) -> str:
    """Return the test that catches a mutant, empty if none does."""
    finished = subprocess.run(
        [sys.executable, '-m', 'tools.mutants', _SINGLE_OPTION, name],
        check=True,
        stdout=subprocess.PIPE,
        text=True,
    )
    return finished.stdout.strip()


def _try_mutant(name: str) -> str:
    with MUTANTS[name]():
        return _first_failed_test()


def _first_failed_test() -> str:
    """Return the first test that fails, empty if all pass."""
    for module in _TEST_MODULES:
        suite = unittest.defaultTestLoader.loadTestsFromName(
            f'tests.cells.{module}'
        )
        outcome = unittest.TestResult()
        outcome.failfast = True
        with redirect_stdout(io.StringIO()):
            suite.run(outcome)
        failures = [*outcome.failures, *outcome.errors]
        if failures:
            return failures[0][0].id().removeprefix('tests.cells.')
    return ''


if __name__ == '__main__':
    main()
