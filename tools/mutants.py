"""Runs the tests of a cell against mutants of its code.

    python -m tools.mutants [NAME ...]

Each mutant leaves out one precaution (see ``tests/cells/mutants.py``). A mutant
that no test notices is *missed*, and the exit status is 1 then.
"""

from __future__ import annotations

import io
import sys
import unittest
from contextlib import redirect_stdout

from tests.cells import test_cell, test_histories, test_late_answers
from tests.cells.mutants import MUTANTS

# The random histories are last, since they take longest.
_TEST_MODULES = (test_cell, test_late_answers, test_histories)


def main() -> None:
    """Try the mutants that are named, or all of them."""
    names = sys.argv[1:] or list(MUTANTS)
    missed = [name for name in names if not _is_caught(name)]
    print(f'{len(names) - len(missed)} of {len(names)} mutants caught')
    sys.exit(1 if missed else 0)


def _is_caught(name: str) -> bool:
    with MUTANTS[name]():
        failed = _failed_test()
    print(f'{"caught" if failed else "MISSED"}: {name} ({failed or "no test"})')
    return failed is not None


def _failed_test() -> str | None:
    """Return the first test that fails, ``None`` if all pass."""
    for module in _TEST_MODULES:
        suite = unittest.defaultTestLoader.loadTestsFromModule(module)
        outcome = unittest.TestResult()
        outcome.failfast = True
        with redirect_stdout(io.StringIO()):
            suite.run(outcome)
        failures = [*outcome.failures, *outcome.errors]
        if failures:
            return failures[0][0].id().removeprefix('tests.cells.')
    return None


if __name__ == '__main__':
    main()
