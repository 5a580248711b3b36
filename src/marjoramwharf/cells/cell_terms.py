"""What an entry that owns a cell works with, and what lets it act."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramwharf.cells.advice import AdviceCalls
from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.place import Bounds
from marjoramwharf.cells.records import CellId
from marjoramwharf.cells.worker_board import ListingDecoder
from marjoramwharf.cells.worker_messages import WorkerCalls
from marjoramwharf.links.store import Guard, PollingStore
from marjoramwharf.scheduling.policy import Configuration

ConfigurationSource = Callable[[], Configuration | None]


@dataclass(frozen=True, slots=True)
class CellParts:
    """What a cell needs of the process around it.

    ``decode_listing`` raises ``BadListing`` for an entry that names no worker.
    ``hold_ms`` is the length of the leases of runs.
    """

    store: PollingStore
    calls: WorkerCalls
    configuration: ConfigurationSource
    workers_prefix: str
    decode_listing: ListingDecoder
    bounds: Bounds
    hold_ms: int
    counters: CellCounters = field(default_factory=CellCounters)
    advice: AdviceCalls | None = None


@dataclass(frozen=True, slots=True)
class Mandate:
    """What lets an entry act as the owner of a cell.

    ``guard`` is the condition of every write, and its revision the fence of
    every order. ``is_current`` tells whether runs may still be started, and
    ``may_extend`` whether leases of runs may still be extended.
    """

    cell: CellId
    guard: Guard
    is_current: Callable[[], bool]
    may_extend: Callable[[], bool]
    give_up: Callable[[], None]
