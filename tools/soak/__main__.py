"""Soaks the real programs: random faults from outside, checked promises.

    python -m tools.soak --seed 7 --seconds 10

Three entries and the stand-in platform run as processes, joined by links that
can be harmed. Callers submit jobs meanwhile. After the faults everything is
healed, and all accepted jobs have to end. The exit status is 1 if a promise was
broken; the logs are kept then.
"""

from __future__ import annotations

import argparse
import pathlib
import sys

import trio

from tools.soak.soak import run_soak


def main() -> int:
    """Run with the options of the command line, and print the report."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=10)
    parser.add_argument('--logs', type=pathlib.Path, default='out')
    options = parser.parse_args()
    report = trio.run(run_soak, options.seed, options.seconds, options.logs)
    print(report.summary())
    for violation in report.violations:
        print(f'  {violation}')
    return 1 if report.violations else 0


if __name__ == '__main__':
    sys.exit(main())
