"""Location, capacity and state of a worker."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marjoramwharf.ids import DataCentreId, RackId, WorkerId


@enum.unique
class WorkerState(enum.Enum):
    """State of a worker; a leaving one gets no new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots, connections and resources of a worker."""

    slots_count: int
    connections_count: int
    cpu_millicores: int
    memory_mb: int
    accelerators_count: int = 0


@dataclass(frozen=True, slots=True)
class Worker:
    """One worker as the platform's list describes it.

    ``url`` is the base URL of its agent, ``services`` are the latency-critical
    services that it runs.
    """

    worker_id: WorkerId
    url: str
    data_centre: DataCentreId
    rack: RackId
    capacity: Capacity
    services: frozenset[str]
    state: WorkerState = WorkerState.LIVE
