"""Settings of an entry instance: addresses, time bounds and store limits.

The values come from the settings of the process; ``platform.settings_file`` reads
them on the users' platform.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.ids import DataCentreId, EntryId, RegionId

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds that the platform and its users rely on.

    ``max_hold_ms`` is the longest lease of a run, ``stop_ms`` the longest time
    that a worker takes to stop one, ``drain_ms`` the time that a draining one
    has left by default, ``grace_ms`` that from the request to stop this process
    to its kill, ``status_ms`` that for which a finished job's state has to be
    available, and ``max_over_target_ms`` that for which a tail latency may be
    over its target. The others are only read from the settings and not used.
    """

    max_hold_ms: int = 10_000
    stop_ms: int = 1_000
    drain_ms: int = 2_000
    grace_ms: int = 6_000
    config_apply_ms: int = 2_000
    early_ms: int = 250
    status_ms: int = 120_000
    gang_wait_ms: int = 3_000
    max_over_target_ms: int = 4_000
    far_factor: float = 1


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the store: call rates of all entries together, lease, value."""

    writes_per_s: float = 400
    reads_per_s: float = 2_000
    min_ttl_ms: int = 1_000
    max_value_bytes: int = 1_048_576


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Identity, addresses and limits of one entry instance.

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
    store_limits: StoreLimits = field(default_factory=StoreLimits)
