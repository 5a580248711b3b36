"""Computes the figures of the JSON report of a measurement."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from tools.history import CallerOutcome, Violations
from tools.load import RequestResult
from tools.processes import Process

_LOWEST_US = 1
_HIGHEST_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000


def latency_figures(
    results: Sequence[RequestResult], duration_s: float
) -> dict[str, float]:
    """Return latency percentiles of the answered requests, and the goodput."""
    histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
    for result in results:
        if result.record.outcome is CallerOutcome.DONE:
            histogram.record_value(
                min(_HIGHEST_US, max(1, int(result.latency_ms * _US_PER_MS))),
            )
    in_time_count = sum(result.is_in_time for result in results)
    figures = {
        name: round(histogram.get_value_at_percentile(rank) / _US_PER_MS, 2)
        for name, rank in (('p50_ms', 50), ('p99_ms', 99), ('p999_ms', 99.9))
    }
    return {**figures, 'goodput_per_s': round(in_time_count / duration_s, 2)}


def count_outcomes(results: Sequence[RequestResult]) -> dict[str, int]:
    """Count the requests by outcome."""
    counts = dict.fromkeys((outcome.value for outcome in CallerOutcome), 0)
    for result in results:
        counts[result.record.outcome.value] += 1
    return counts


def build_violation_counts(violations: Violations) -> dict[str, int]:
    """Return the number of violations of each guarantee, and their sum."""
    counts: dict[str, int] = msgspec.structs.asdict(violations)
    return {**counts, 'broken_promises': violations.total}


def compute_daemon_costs(
    processes: Sequence[Process],
    duration_s: float,
) -> dict[str, dict[str, float]]:
    """Return the share of a core and the resident memory of each process."""
    return {
        process.name: {
            'cpu_share': round(process.cpu_since_mark_s() / duration_s, 4),
            'resident_bytes': process.resident_bytes(),
        }
        for process in processes
    }


def compute_store_rates(
    before: dict[str, Any],
    after: dict[str, Any],
    duration_s: float,
) -> dict[str, float]:
    """Return the store's calls per second between two reads of its counters."""
    return {
        f'store_{name}_per_s': round(
            (after[name] - before[name]) / duration_s,
            2,
        )
        for name in ('reads', 'writes')
    }
