"""Metrics of an entry's parts, read from them at scrape time.

``docs/alerts.md`` says what operators do with them. Labels are members of an
Enum or fixed words.
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

# Values by the word of the metric's one label; '' for a metric without one.
_Values: TypeAlias = Mapping[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class GaugeParts:
    """The parts that are read."""

    store: ResilientStore
    capacity_manager: CapacityManager
    ownership: Ownership
    path: ServicePath
    notes: NoteRegistry
    gate: DrainGate


class Gauges:
    """Registers the metrics and brings them up to date."""

    def __init__(self, parts: GaugeParts, registry: Registry) -> None:
        """Register all metrics; ``collect`` gives them their values."""
        self._parts = parts
        self._registry = registry
        self._collectors: list[Callable[[], None]] = []
        self._add_store()
        self._add_capacity()
        self._add_service()

    def collect(self) -> None:
        """Read the parts; called before each scrape."""
        for collect in self._collectors:
            collect()

    def _add_store(self) -> None:
        store = self._parts.store
        self._count(
            'store_calls_total',
            'Store calls by kind: made, retried, shed, failed, lost.',
            lambda: _by_kind(store.counters),
            label='kind',
        )
        self._gauge(
            'store_watches_count',
            'Open watches.',
            lambda: {'': store.counters.watches_count},
        )
        self._gauge(
            'store_health_state',
            '1 for the state of the store as this entry sees it.',
            lambda: {
                state.value: int(state is store.health) for state in StoreHealth
            },
            label='state',
        )

    def _add_capacity(self) -> None:
        capacity_manager = self._parts.capacity_manager
        ledgers = capacity_manager.allocator.ledgers
        self._gauge(
            'grants_lent_count',
            'Grants of owned workers that are lent, to this entry too.',
            lambda: {
                '': sum(
                    ledger.lent_grants_count for ledger in ledgers.values()
                ),
            },
        )
        self._gauge(
            'grants_borrowed_count',
            'Grants in the wallet of this entry.',
            lambda: {'': len(capacity_manager.borrower.lenders)},
        )
        self._count(
            'grants_revoked_total',
            'Grants whose revocation a worker has acknowledged.',
            lambda: {'': capacity_manager.heartbeats.revoked_count},
        )
        self._count(
            'heartbeats_failed_total',
            'Heartbeats to owned workers without a reply.',
            lambda: {'': capacity_manager.heartbeats.failed_count},
        )
        self._gauge(
            'owned_count',
            'Capacity shards and workers that this entry owns.',
            lambda: {
                'shards': len(self._parts.ownership.owned),
                'workers': len(ledgers),
            },
            label='kind',
        )

    def _add_service(self) -> None:
        path = self._parts.path
        self._gauge(
            'queue_length_count',
            'Requests that wait for a permit.',
            lambda: {'': path.waiting_count()},
        )
        self._count(
            'queue_waiting_seconds_total',
            'Time that requests have waited for a permit.',
            lambda: {'': sum(queue.total_wait_s for queue in path.queues())},
        )
        self._count(
            'queue_shed_total',
            'Requests refused by the queue, by reason.',
            lambda: _shed(path),
            label='reason',
        )
        self._gauge(
            'permits_in_doubt_count',
            'Permits whose call the worker has not settled yet.',
            lambda: {'': path.settlement.in_doubt_count},
        )
        self._gauge(
            'workers_ejected_count',
            'Workers that get no requests because their calls failed.',
            lambda: {'': path.health.ejected_count},
        )
        self._gauge(
            'note_revision',
            'Revision of the release note in force.',
            lambda: {'': self._parts.notes.current.revision},
        )
        self._gauge(
            'requests_in_flight_count',
            'Requests that are being served.',
            lambda: {'': self._parts.gate.in_flight_count},
        )

    def _gauge(
        self,
        name: str,
        doc: str,
        read: Callable[[], _Values],
        *,
        label: str = '',
    ) -> None:
        gauge = Gauge(f'marjoramwharf_{name}', doc, registry=self._registry)
        self._add(gauge, read, label)

    def _count(
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
        self._add(counter, read, label)

    def _add(
        self,
        metric: Gauge | Counter,
        read: Callable[[], _Values],
        label: str,
    ) -> None:
        def collect() -> None:  # noqa: WPS430
            for word, number in read().items():
                metric.set({label: word} if label else {}, number)

        self._collectors.append(collect)


def _by_kind(counters: StoreCounters) -> _Values:
    names = [part.name.removesuffix('_count') for part in fields(counters)]
    by_kind = dict(zip(names, astuple(counters), strict=True))
    by_kind.pop('watches')
    return by_kind


def _shed(path: ServicePath) -> _Values:
    shed: Counts[str] = Counts()
    for queue in path.queues():
        for reason, count in queue.shed_counts.items():
            shed[reason.value] += count
    return shed
