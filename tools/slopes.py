"""Measures how state, messages and times grow with their sizes.

A line is fitted to each figure and evaluated at the two-year target. Each size
of each case runs in a child interpreter, so that only its own memory counts.
Run by hand: ``make capacity``, or ``python -m tools.slopes --only roster``.
Times are processor time; compare their slopes, not single values.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import subprocess
import sys
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any, TypeAlias

from tools.capacity_target import derive_target_figures
from tools.slope_measuring import Case, Line, fit_line

Lines: TypeAlias = Mapping[str, Mapping[str, Line]]

_CHILD_TIMEOUT_S = 30
# Two children at a time keep the whole run under 90 s.
_CONCURRENT_CHILDREN_COUNT = 2
# The memory of processes without any state; this case has no sizes.
_IMPORTS = 'imports'
_BARE = 'python'


def main() -> int:
    """Measure the chosen cases; print the lines and the target figures."""
    options = _build_parser().parse_args()
    if options.child:
        sys.stdout.write(json.dumps(_measure_case(*options.child)))
        return 0
    names = [options.only] if options.only else [*_load_cases(), _IMPORTS]
    measured = {name: _measure_sizes(name) for name in names}
    lines = {name: _fit_lines(points) for name, points in measured.items()}
    _print_lines(lines)
    derived = {} if options.only else derive_target_figures(lines)
    for name, target_figure in derived.items():
        print(f'{name:52} {target_figure:14,.2f}')
    if options.json is not None:
        options.json.write_text(
            json.dumps(_build_report(measured, lines, derived))
        )
    return 0


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description='Measure capacity slopes.')
    parser.add_argument('--json', type=pathlib.Path)
    parser.add_argument('--only', choices=[*_load_cases(), _IMPORTS])
    parser.add_argument('--child', nargs=2, help=argparse.SUPPRESS)
    return parser


def _load_cases() -> dict[str, Case]:
    # Imported here, since the child that measures imports starts without them.
    from tools import slope_capacity, slope_state, slope_workers  # noqa: PLC0415, WPS433

    return {
        **slope_capacity.CASES,
        **slope_workers.CASES,
        **slope_state.CASES,
    }


def _measure_case(name: str, size: str) -> dict[str, float]:
    return dict(_load_cases()[name].measure(int(size)))


def _measure_sizes(name: str) -> dict[str, dict[int, float]]:
    """Return the measured points of each figure of a case."""
    if name == _IMPORTS:
        return {kind: {0: _measure_memory(kind)} for kind in (_BARE, _IMPORTS)}
    sizes = _load_cases()[name].sizes
    points: dict[str, dict[int, float]] = {}
    with ThreadPoolExecutor(_CONCURRENT_CHILDREN_COUNT) as pool:
        outputs = pool.map(partial(_run_child, name), sizes)
        for size, output in zip(sizes, outputs, strict=True):
            for figure, measured_value in json.loads(output).items():
                points.setdefault(figure, {})[size] = measured_value
    return points


def _run_child(name: str, size: int) -> str:
    return _run_python(['-m', 'tools.slopes', '--child', name, str(size)])


def _measure_memory(kind: str) -> float:
    module = 'marjoramwharf.programs.entry' if kind == _IMPORTS else 'sys'
    code = (
        f'import {module}; from tools.slope_measuring import resident_bytes; '
        'print(resident_bytes())'
    )
    return float(_run_python(['-c', code]))


def _run_python(arguments: list[str]) -> str:
    finished = subprocess.run(
        [sys.executable, *arguments],
        check=True,
        stdout=subprocess.PIPE,
        text=True,
        timeout=_CHILD_TIMEOUT_S,
    )
    return finished.stdout


def _fit_lines(points: Mapping[str, dict[int, float]]) -> dict[str, Line]:
    return {figure: fit_line(by_size) for figure, by_size in points.items()}


def _print_lines(lines: Lines) -> None:
    for row in _format_lines(lines):
        print(row)
    print()


def _format_lines(lines: Lines) -> Iterator[str]:
    cases = _load_cases()
    for name, figures in lines.items():
        case = cases.get(name)
        per = '' if case is None else f' per {case.per}'
        targets = () if case is None else case.targets
        for figure, line in figures.items():
            label = f'{name} {figure}{per}'
            values = ', '.join(f'{line.at(at):,.1f} at {at}' for at in targets)
            yield (
                f'{label:44} slope {line.slope:11.4f}  intercept '
                f'{line.intercept:14,.1f}  error {line.error:6.1%}  {values}'
            )


def _build_report(
    measured: Mapping[str, Any],
    lines: Lines,
    derived: Mapping[str, float],
) -> dict[str, Any]:
    return {
        'measured': measured,
        'lines': {
            name: {
                figure: {
                    'slope': line.slope,
                    'intercept': line.intercept,
                    'error': line.error,
                }
                for figure, line in figures.items()
            }
            for name, figures in lines.items()
        },
        'at_target': derived,
    }


if __name__ == '__main__':
    sys.exit(main())
