"""Metrics of an entry, read from its components at scrape time.

``docs/alerts.md`` says what operators do with them. The values of labels are
members of an Enum or fixed words.
"""

from __future__ import annotations

from collections import Counter as Counts
from collections.abc import Callable, Mapping
from dataclasses import astuple, dataclass, fields
from typing import TypeAlias

from aioprometheus.collectors import Counter, Gauge, Registry

from marjoramwharf.contracts.lending import CapacityManager
from marjoramwharf.contracts.note_registry import NoteRegistry
from marjoramwharf.contracts.ownership import Ownership
from marjoramwharf.links.resilient_store import ResilientStore, StoreCounters
from marjoramwharf.links.store_health import StoreHealth
from marjoramwharf.programs._service_path import ServicePath
from marjoramwharf.service.drain import DrainGate

# Numbers by the value of the metric's one label; '' if it has no label.
_Values: TypeAlias = Mapping[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class GaugeDependencies:
    """The components whose state is exported."""

    store: ResilientStore
    capacity_manager: CapacityManager
    ownership: Ownership
    service_path: ServicePath
    notes: NoteRegistry
    gate: DrainGate


class Gauges:
    """Registers the gauges and counters of an entry and updates them."""

    def __init__(self, deps: GaugeDependencies, registry: Registry) -> None:
        """Register all metrics; ``collect`` sets their values."""
        self._deps = deps
        self._registry = registry
        self._collectors: list[Callable[[], None]] = []
        self._add_store()
        self._add_capacity()
        self._add_service()

    def collect(self) -> None:
        """Set all metrics to their present values, before each scrape."""
        for collect in self._collectors:
            collect()

    def _add_store(self) -> None:
        store = self._deps.store
        self._add_counter(
            'store_calls_total',
            'Store calls by kind: made, retried, shed, failed, lost.',
            lambda: _count_calls_by_kind(store.counters),
            label='kind',
        )
        self._add_gauge(
            'store_watches_count',
            'Open watches.',
            lambda: {'': store.counters.watches_count},
        )
        self._add_gauge(
            'store_health_state',
            '1 for the state of the store as this entry sees it.',
            lambda: {
                state.value: int(state is store.health) for state in StoreHealth
            },
            label='state',
        )

    def _add_capacity(self) -> None:
        capacity_manager = self._deps.capacity_manager
        ledgers = capacity_manager.allocator.ledgers
        self._add_gauge(
            'grants_lent_count',
            'Grants of owned workers that are lent, to this entry too.',
            lambda: {
                '': sum(
                    ledger.lent_grants_count for ledger in ledgers.values()
                ),
            },
        )
        self._add_gauge(
            'grants_borrowed_count',
            'Grants in the wallet of this entry.',
            lambda: {'': len(capacity_manager.borrower.lenders)},
        )
        self._add_counter(
            'grants_revoked_total',
            'Grants whose revocation a worker has acknowledged.',
            lambda: {'': capacity_manager.heartbeats.revoked_count},
        )
        self._add_counter(
            'heartbeats_failed_total',
            'Heartbeats to owned workers without a reply.',
            lambda: {'': capacity_manager.heartbeats.failed_count},
        )
        self._add_gauge(
            'owned_count',
            'Capacity shards and workers that this entry owns.',
            lambda: {
                'shards': len(self._deps.ownership.owned),
                'workers': len(ledgers),
            },
            label='kind',
        )

    def _add_service(self) -> None:
        path = self._deps.service_path
        self._add_gauge(
            'queue_length_count',
            'Requests that wait for a permit.',
            lambda: {'': path.waiting_count()},
        )
        self._add_counter(
            'queue_waiting_seconds_total',
            'Time that requests have waited for a permit.',
            lambda: {'': sum(queue.total_wait_s for queue in path.queues())},
        )
        self._add_counter(
            'queue_shed_total',
            'Requests refused by the queue, by reason.',
            lambda: _count_shed_by_reason(path),
            label='reason',
        )
        self._add_gauge(
            'permits_in_doubt_count',
            'Permits whose call the worker has not settled yet.',
            lambda: {'': path.settlement.in_doubt_count},
        )
        self._add_gauge(
            'workers_ejected_count',
            'Workers that get no requests because their calls failed.',
            lambda: {'': path.health.ejected_count},
        )
        self._add_gauge(
            'note_revision',
            'Revision of the release note in force.',
            lambda: {'': self._deps.notes.current.revision},
        )
        self._add_gauge(
            'requests_in_flight_count',
            'Requests that are being served.',
            lambda: {'': self._deps.gate.in_flight_count},
        )

    def _add_gauge(
        self,
        name: str,
        doc: str,
        read: Callable[[], _Values],
        *,
        label: str = '',
    ) -> None:
        gauge = Gauge(f'marjoramwharf_{name}', doc, registry=self._registry)
        self._add_collector(gauge, read, label)

    def _add_counter(
        self,
        name: str,
        doc: str,
        read: Callable[[], _Values],
        *,
        label: str = '',
    ) -> None:
        counter = Counter(
            f'marjoramwharf_{name}',
            doc,
            registry=self._registry,
        )
        self._add_collector(counter, read, label)

    def _add_collector(
        self,
        metric: Gauge | Counter,
        read: Callable[[], _Values],
        label: str,
    ) -> None:
        def collect() -> None:  # noqa: WPS430
            for word, number in read().items():
                metric.set({label: word} if label else {}, number)

        self._collectors.append(collect)


def _count_calls_by_kind(counters: StoreCounters) -> _Values:
    names = [
        counter_field.name.removesuffix('_count')
        for counter_field in fields(counters)
    ]
    by_kind = dict(zip(names, astuple(counters), strict=True))
    by_kind.pop('watches')
    return by_kind


def _count_shed_by_reason(path: ServicePath) -> _Values:
    shed: Counts[str] = Counts()
    for queue in path.queues():
        for reason, count in queue.shed_counts.items():
            shed[reason.value] += count
    return shed
