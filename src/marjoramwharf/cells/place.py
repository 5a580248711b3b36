"""Where an entry runs, and the bounds that hold there.

The values come from the settings of the process;
``platform.settings_file`` reads them on the users' platform.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.ids import DataCentreId, EntryId, RegionId

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times that the platform and its users rely on.

    ``max_hold_ms`` is the longest lease of a run. ``stop_ms`` bounds a stop at
    a worker, ``grace_ms`` the time from the request to stop to the kill.
    ``status_ms`` is how long a finished job has to be known.
    """

    max_hold_ms: int = 10_000
    stop_ms: int = 1_000
    drain_ms: int = 2_000
    grace_ms: int = 6_000
    config_apply_ms: int = 2_000
    early_ms: int = 250
    status_ms: int = 120_000
    gang_wait_ms: int = 3_000
    harm_ms: int = 4_000
    far_factor: float = 1


@dataclass(frozen=True, slots=True)
class StoreRates:
    """Calls that all entries together may make, and the shortest lease."""

    writes_per_s: float = 400
    reads_per_s: float = 2_000
    shortest_ttl_ms: int = 1_000
    value_bytes: int = 1_048_576


@dataclass(frozen=True, slots=True)
class EntryPlace:
    """One entry instance.

    ``peer_ports`` are the first and the last port for messages between
    entries. ``cpu_share`` is the speed of the instance in cores.
    """

    entry_id: EntryId
    data_centre: DataCentreId
    region: RegionId
    host: str
    front: Address | None
    ready: Address | None
    peer_ports: tuple[int, int]
    store_address: str
    advice_address: str = ''
    machines_address: str = ''
    cpu_share: float = 1
    memory_mb: int = 300
    bounds: Bounds = field(default_factory=Bounds)
    rates: StoreRates = field(default_factory=StoreRates)
