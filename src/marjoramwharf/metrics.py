"""Prometheus metrics of requests; ``programs/_gauges.py`` has the others.

Names include the unit. The number of label values is bounded: outcomes and
reasons are members of an enum, and services are those of the active release
note.
"""

from __future__ import annotations

from aioprometheus.collectors import Counter, Histogram, Registry

_BUCKETS_S = [
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
    10,
]


class Metrics:
    """The request metrics of one entry, with their own registry."""

    def __init__(self) -> None:
        """Create and register all metrics."""
        self.registry = Registry()
        self.requests_total = Counter(
            'marjoramwharf_requests_total',
            'Requests by service, outcome and reason.',
            registry=self.registry,
        )
        self.request_duration_seconds = Histogram(
            'marjoramwharf_request_duration_seconds',
            'Time from arrival to answer.',
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
