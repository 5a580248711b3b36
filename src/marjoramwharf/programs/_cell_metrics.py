"""The metrics of an entry on the platform, in the text format of Prometheus.

Importing the metrics library takes half a second of processor time, which an
entry can't spare at its start. So it is imported in a thread at the first
request.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.links.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    open_listener,
)
from marjoramwharf.log_output import BoundedOutput
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Fleet
from marjoramwharf.scheduling.waiting_reasons import (
    FLEET_REASONS,
    count_workers,
    held_by_unconfirmed,
    is_unconfirmed,
)
from marjoramwharf.scheduling.waiting_tasks import oldest_wait_s

_LOG = part_logger('main')

# Named in deploy/system.toml.
METRICS_PORT = 9464

_PREFIX = 'marjoramwharf_'
_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
_NOT_FOUND = 404


@dataclass(slots=True)
class CellMetrics:
    """Serves the metrics page.

    ``get_cell`` returns the cell that this entry owns, if any, and
    ``count_relayed`` the number of its workers that are called through others.
    """

    counters: CellCounters
    client: HttpClient
    output: BoundedOutput | None
    get_cell: Callable[[], Cell | None]
    count_relayed: Callable[[], int]
    _page: Any = None
    _lock: trio.Lock = field(default_factory=trio.Lock)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /metrics``."""
        if request.target.partition('?')[0] != '/metrics':
            return HttpResponse(_NOT_FOUND)
        async with self._lock:
            if self._page is None:
                self._page = await trio.to_thread.run_sync(_MetricsPage)
            text: bytes = self._page.render(self._values(), self._samples())
        return HttpResponse(200, text, content_type='text/plain; version=0.0.4')

    def _values(self) -> Mapping[str, Mapping[str, float]]:
        """Return values by metric and label value ('' if it has no label)."""
        counters = self.counters
        return {
            'submissions_total': _count_by_value(counters.submissions),
            'starts_total': _count_by_value(counters.starts),
            'run_ends_total': _count_by_value(counters.ends),
            'finished_jobs_total': {
                phase.name.lower(): count
                for phase, count in counters.finished_jobs.items()
            },
            'tenures_total': {'': counters.tenures_count},
            'pace_orders_total': {'': counters.pace_orders_count},
            'other_clock_answers_total': {
                '': counters.other_clock_answers_count,
            },
            'jobs_unknown_to_owner_total': {
                '': counters.jobs_unknown_to_owner_count,
            },
            'calls_for_others_total': {'': counters.calls_for_others_count},
            'moved_runs_total': {'': counters.moved_runs_count},
            'preempted_runs_total': {'': counters.preempted_runs_count},
            'store_commits_total': {'': counters.commits_count},
            'store_written_bytes_total': {'': counters.written_bytes},
            'connections_opened_total': {'': self.client.opened_count},
            'log_lines_left_out_total': {
                '': self.output.dropped_lines_count if self.output else 0,
            },
            **self._cell_values(),
        }

    def _cell_values(self) -> Mapping[str, Mapping[str, float]]:
        cell = self.get_cell()
        if cell is None:
            return {'owns_cell': {'': 0}}
        fleet = cell.worker_registry.fleet
        workers = fleet.workers.values()
        now_s = boot_s()
        return {
            'owns_cell': {'': 1},
            'relayed_workers': {'': self.count_relayed()},
            'owner_lag_seconds': {
                '': cell.maintenance.lag.median_s(now_s=now_s)
            },
            **_waiting_values(fleet, now_s),
            'oldest_ready_task_seconds': {
                '': oldest_wait_s(cell.job_table, now_s),
            },
            'evacuated_data_centres': {'': len(fleet.evacuated)},
            'runs_in_evacuated_data_centres': {
                '': sum(
                    len(worker.runs)
                    for worker in workers
                    if fleet.is_evacuated(worker)
                ),
            },
            'ready_tasks': {'': len(cell.job_table.ready)},
            'unstored_jobs': {'': len(cell.job_table.unstored)},
            'known_cancellations': {
                '': len(cell.maintenance.inbox.cancellations),
            },
            'workers': {
                'reachable': sum(worker.is_reachable for worker in workers),
                'unreachable': sum(
                    not worker.is_reachable for worker in workers
                ),
            },
            'unlisted_workers': _count_unlisted(fleet),
        }

    def _samples(self) -> Mapping[str, deque[float]]:
        return {
            'task_wait_seconds': self.counters.wait_samples_s,
            'store_commit_seconds': self.counters.write_samples_s,
            'answer_seconds': self.counters.answer_samples_s,
        }


async def listen_for_metrics(
    nursery: trio.Nursery, metrics: CellMetrics, host: str
) -> None:
    """Serve the metrics page in a nursery, if the port is free."""
    try:
        listener = await open_listener(host, METRICS_PORT)
    except OSError as failure:
        _LOG.warning('metrics port not opened', error=str(failure))
        return
    nursery.start_soon(HttpServer(metrics.handle).serve, listener)


class _MetricsPage:
    """The metrics page, rendered by the metrics library."""

    def __init__(self) -> None:
        """Import the library; slow, so call it in a thread."""
        from aioprometheus import collectors, formats

        self._collectors = collectors
        self._registry = collectors.Registry()
        self._formatter = formats.text.TextFormatter()
        self._metrics: dict[str, Any] = {}

    def render(
        self,
        totals: Mapping[str, Mapping[str, float]],
        samples: Mapping[str, deque[float]],
    ) -> bytes:
        """Return the page; the samples are removed from their queues."""
        for name, by_label in totals.items():
            metric = self._metric(name, self._collectors.Gauge)
            for label, count in by_label.items():
                metric.set({'kind': label} if label else {}, count)
        for name, queue in samples.items():
            histogram = self._metric(name, self._collectors.Histogram)
            while queue:
                histogram.add({}, queue.popleft())
        return bytes(self._formatter.marshall(self._registry))

    def _metric(self, name: str, kind: Any) -> Any:
        if name not in self._metrics:
            options: dict[str, Any] = {'registry': self._registry}
            if kind is self._collectors.Histogram:
                options['buckets'] = list(_BUCKETS_S)
            self._metrics[name] = kind(
                _PREFIX + name,
                name.replace('_', ' '),
                **options,
            )
        return self._metrics[name]


def _count_unlisted(fleet: Fleet) -> dict[str, float]:
    """Return how many workers the list lacks that answer, and that don't."""
    unlisted = [
        worker for worker in fleet.workers.values() if not worker.is_listed
    ]
    reachable_count = sum(worker.is_reachable for worker in unlisted)
    return {
        'reachable': reachable_count,
        'unreachable': len(unlisted) - reachable_count,
    }


def _waiting_values(
    fleet: Fleet, now_s: float
) -> Mapping[str, Mapping[str, float]]:
    """Return the workers by reason, and what unconfirmed starts hold there."""
    counts = count_workers(fleet, now_s)
    unconfirmed = [
        run
        for worker in fleet.workers.values()
        for run in worker.runs
        if is_unconfirmed(run)
    ]
    return {
        # A gauge keeps its value, so those at 0 are set too.
        'workers_by_reason': {
            reason.value: counts[reason] for reason in FLEET_REASONS
        },
        'unconfirmed_starts': {'': len(unconfirmed)},
        'unconfirmed_start_millicores': {
            '': held_by_unconfirmed(unconfirmed).cpu_millicores,
        },
    }


def _count_by_value(counts: Mapping[Any, int]) -> dict[str, float]:
    return {member.value: count for member, count in counts.items()}
