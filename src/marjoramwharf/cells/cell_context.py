"""Dependencies of a cell, and the right to act as its owner."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from marjoramwharf.cells.advice import AdviceClient
from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.instance_settings import Bounds
from marjoramwharf.cells.lapsing_view import LapsingView
from marjoramwharf.cells.link_context import LinkContext
from marjoramwharf.cells.records import CellId
from marjoramwharf.cells.unlisted_checks import ListingDecoder, UnlistedChecks
from marjoramwharf.cells.worker_clock import MIN_CLOCK_RATE
from marjoramwharf.cells.worker_messages import WorkerClient
from marjoramwharf.ids import DataCentreId
from marjoramwharf.links.store import Guard, PollingStore
from marjoramwharf.scheduling.policy import Configuration

_MS_PER_S = 1_000


def _never() -> bool:
    return False


ConfigurationSource = Callable[[], Configuration | None]


@dataclass(frozen=True, slots=True)
class CellContext:
    """Clients, settings and limits that a cell uses.

    ``decode_listing`` decodes a key and value below ``workers_prefix`` and
    raises ``BadListing`` if they name no worker. ``hold_ms`` is the length of
    the leases of runs. No run starts in the ``evacuated`` data centres, a view
    that follows the operators' requests. ``has_other_entries`` tells whether
    other entries are known, ``is_isolated`` whether this one has tried to reach
    them and reaches none, and ``given_way_count`` how often owners have
    given the cell up lately. ``lapsing_view`` holds the marks that owners have
    stored.
    """

    store: PollingStore
    worker_client: WorkerClient
    configuration: ConfigurationSource
    workers_prefix: str
    decode_listing: ListingDecoder
    bounds: Bounds
    hold_ms: int
    counters: CellCounters = field(default_factory=CellCounters)
    advice_client: AdviceClient | None = None
    evacuated: AbstractSet[DataCentreId] = frozenset()
    has_other_entries: Callable[[], bool] = _never
    is_isolated: Callable[[], bool] = _never
    given_way_count: Callable[[], int] = int
    lapsing_view: LapsingView = field(default_factory=LapsingView)

    @property
    def longest_lease_s(self) -> float:
        """The longest time that a lease lasts, by the slowest clock."""
        return self.hold_ms / _MS_PER_S / MIN_CLOCK_RATE

    def link_context(self, fence: int) -> LinkContext:
        """Return what the links to all workers share in a tenure."""
        return LinkContext(
            worker_client=self.worker_client,
            fence=fence,
            hold_ms=self.hold_ms,
            max_hold_ms=self.bounds.max_hold_ms,
            stop_ms=self.bounds.stop_ms,
            counters=self.counters,
        )

    def unlisted_checks(self) -> UnlistedChecks:
        """Return what asks the store about workers that aren't listed."""
        return UnlistedChecks(
            self.store, self.workers_prefix, self.decode_listing
        )


@dataclass(frozen=True, slots=True)
class CellOwnership:
    """The right of an entry to act as the owner of a cell.

    ``guard`` is the condition of every write to the store, and its revision
    the fence of every order to a worker. ``is_current`` tells whether runs may
    still be started, and ``may_extend_leases`` whether the leases of runs may
    still be extended. A former owner that hasn't noticed this one may extend
    them until ``former_owner_until_s()`` of the boot clock, which may turn out
    to be earlier than was known before; ``former_fence`` is that of the owner
    before, if known. ``give_up`` ends the ownership, and ``give_way`` also lets
    other entries campaign first.
    """

    cell: CellId
    guard: Guard
    is_current: Callable[[], bool]
    may_extend_leases: Callable[[], bool]
    former_owner_until_s: Callable[[], float]
    give_up: Callable[[], None]
    give_way: Callable[[], None]
    former_fence: int | None = None
