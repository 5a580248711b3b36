"""Soaks the real programs: random faults from outside, checked promises.

    python -m tools.soak --seed 7 --seconds 10
    python -m tools.soak --seed 7 --kind 'link refuses' --kind 'kill owner'
    python -m tools.soak --failed    # all seeds that ever failed

Three entries and the stand-in platform run as processes, joined by links that
can be harmed. Callers submit jobs meanwhile. After the faults everything is
healed, and all accepted jobs have to end. The exit status is 1 if a promise was
broken and 2 if a play ended without a result; the logs are kept then.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
import traceback
from collections.abc import Sequence

import trio

from tools.soak.failed_seeds import FAILED_SEEDS, FAILED_SEEDS_DURATION_S
from tools.soak.faults import ALL_KINDS, FIRST_KINDS
from tools.soak.soak import run_soak


def main() -> int:
    """Run with the options of the command line, and print the report."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=10)
    parser.add_argument('--logs', type=pathlib.Path, default='out')
    parser.add_argument('--failed', action='store_true')
    parser.add_argument('--kind', action='append', choices=ALL_KINDS)
    options = parser.parse_args()
    if not options.failed:
        kinds = options.kind or ALL_KINDS
        return _play(options.seed, options.seconds, options.logs, kinds)
    return max(
        _play(seed, FAILED_SEEDS_DURATION_S, options.logs, FIRST_KINDS)
        for seed in FAILED_SEEDS
    )


def _play(
    seed: int, duration_s: float, logs: pathlib.Path, kinds: Sequence[str]
) -> int:
    """Play one seed; returns 1 if a promise was broken, 2 without result."""
    report = trio.run(run_soak, seed, duration_s, logs, kinds)
    print(report.summary(), flush=True)
    if report.failure is not None:
        traceback.print_exception(report.failure)
        return 2
    for violation in report.violations:
        print(f'  {violation}')
    return 1 if report.violations else 0


if __name__ == '__main__':
    sys.exit(main())
