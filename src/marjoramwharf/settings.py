"""Settings of an entry, read at startup from a JSON file with comments.

Every field has a type, a range and, where sensible, a default. Unknown fields
are rejected, since a misspelt name would otherwise be ignored.
"""

from __future__ import annotations

import pathlib
from typing import Annotated, TypeAlias

from msgspec import Meta, Struct

from marjoramwharf import jsonc
from marjoramwharf.errors import BadSettings
from marjoramwharf.ids import DataCentreId, EntryId, RegionId

Port: TypeAlias = Annotated[int, Meta(ge=1, le=65_535)]
Name: TypeAlias = Annotated[
    str,
    Meta(min_length=1, max_length=64, pattern='^[A-Za-z0-9._-]+$'),
]
Url: TypeAlias = Annotated[str, Meta(pattern='^https?://[^/]+$')]
Secret: TypeAlias = Annotated[str, Meta(min_length=16, max_length=256)]
Share: TypeAlias = Annotated[float, Meta(ge=0, le=1)]


class _Section(Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all sections: immutable, and unknown fields are rejected."""


class Listen(_Section, frozen=True):
    """Addresses on which an entry listens; ``host`` is an IP address."""

    host: str
    http_port: Port
    peer_port: Port


class StoreSettings(_Section, frozen=True):
    """The platform's key-value service and this entry's share of its rates."""

    url: Url
    timeout_ms: Annotated[int, Meta(ge=10, le=30_000)] = 500
    reads_per_s: Annotated[float, Meta(gt=0, le=2_000)] = 200
    writes_per_s: Annotated[float, Meta(gt=0, le=1_000)] = 40


class DirectorySettings(_Section, frozen=True):
    """The platform's list of live and leaving instances."""

    url: Url
    poll_ms: Annotated[int, Meta(ge=50, le=60_000)] = 1_000


class DataCentreSettings(_Section, frozen=True):
    """One data centre and the region that it belongs to."""

    data_centre: Name
    region: Name


class LinkSettings(_Section, frozen=True):
    """The expected one-way delay between two data centres."""

    between: tuple[Name, Name]
    one_way_ms: Annotated[float, Meta(ge=0, le=10_000)]


class TopologySettings(_Section, frozen=True):
    """Data centres and links; unlisted pairs use the default delay."""

    data_centres: tuple[DataCentreSettings, ...]
    links: tuple[LinkSettings, ...] = ()
    default_one_way_ms: Annotated[float, Meta(ge=0, le=10_000)] = 5


class CapacitySettings(_Section, frozen=True):
    """Ownership of workers and lending of their slots between entries."""

    shard_count: Annotated[int, Meta(ge=1, le=4_096)] = 32
    entry_lease_s: Annotated[int, Meta(ge=1, le=600)] = 5
    grant_ttl_ms: Annotated[int, Meta(ge=200, le=60_000)] = 3_000
    heartbeat_ms: Annotated[int, Meta(ge=50, le=60_000)] = 1_000
    worker_lease_ms: Annotated[int, Meta(ge=500, le=3_600_000)] = 10_000
    connections_per_session: Annotated[int, Meta(ge=2, le=64)] = 5


class ServiceSettings(_Section, frozen=True):
    """Limits of the latency-critical path."""

    default_timeout_ms: Annotated[int, Meta(ge=10, le=600_000)] = 2_000
    max_timeout_ms: Annotated[int, Meta(ge=10, le=600_000)] = 60_000
    max_body_bytes: Annotated[int, Meta(ge=1, le=16_777_216)] = 1_048_576
    queue_limit: Annotated[int, Meta(ge=1, le=100_000)] = 512
    team_share: Share = 0.5
    retry_budget_share: Share = 0.1
    max_ejected_share: Share = 0.3
    claim_body_bytes: Annotated[int, Meta(ge=0, le=900_000)] = 65_536
    claim_ttl_s: Annotated[int, Meta(ge=60, le=604_800)] = 86_400


class BatchSettings(_Section, frozen=True):
    """Job shards, group commit and snapshots."""

    shard_count: Annotated[int, Meta(ge=1, le=1_024)] = 16
    commit_interval_ms: Annotated[int, Meta(ge=0, le=10_000)] = 50
    snapshot_after_entries_count: Annotated[int, Meta(ge=1, le=100_000)] = 200
    snapshot_part_bytes: Annotated[int, Meta(ge=1_024, le=1_000_000)] = 262_144
    max_job_bytes: Annotated[int, Meta(ge=1_024, le=1_000_000)] = 262_144


class TraceSettings(_Section, frozen=True):
    """Export of trace spans; off without a URL."""

    otlp_url: Url | None = None
    buffer_spans_count: Annotated[int, Meta(ge=16, le=65_536)] = 2_048


class ShutdownSettings(_Section, frozen=True):
    """How long a planned stop may take."""

    drain_timeout_s: Annotated[float, Meta(gt=0, le=3_600)] = 30


class EntrySettings(_Section, frozen=True):
    """All settings of one entry."""

    entry_id: Name
    region: Name
    data_centre: Name
    listen: Listen
    store: StoreSettings
    directory: DirectorySettings
    topology: TopologySettings
    peer_secret: Secret
    operator_token: Secret
    capacity: CapacitySettings = CapacitySettings()
    service: ServiceSettings = ServiceSettings()
    batch: BatchSettings = BatchSettings()
    trace: TraceSettings = TraceSettings()
    shutdown: ShutdownSettings = ShutdownSettings()

    @property
    def identity(self) -> EntryId:
        """``entry_id`` as its distinct type."""
        return EntryId(self.entry_id)

    @property
    def home(self) -> DataCentreId:
        """``data_centre`` as its distinct type."""
        return DataCentreId(self.data_centre)

    @property
    def home_region(self) -> RegionId:
        """``region`` as its distinct type."""
        return RegionId(self.region)


def load_entry_settings(path: pathlib.Path) -> EntrySettings:
    """Read and validate the settings of an entry.

    Raises ``BadSettings`` with the file, the field and the allowed range.
    """
    settings = jsonc.load_file(path, EntrySettings)
    regions = {
        centre.data_centre: centre.region
        for centre in settings.topology.data_centres
    }
    if regions.get(settings.data_centre) != settings.region:
        raise BadSettings(
            message=(
                f'{path}: $.data_centre: {settings.data_centre!r} in region '
                f'{settings.region!r} is not in $.topology.data_centres'
            ),
        )
    _check_links(settings.topology, frozenset(regions), path)
    return settings


def _check_links(
    topology: TopologySettings,
    data_centres: frozenset[str],
    path: pathlib.Path,
) -> None:
    for index, link in enumerate(topology.links):
        missing = set(link.between) - data_centres
        if missing:
            field = f'$.topology.links[{index}].between'
            raise BadSettings(
                message=(
                    f'{path}: {field}: unknown data centres {sorted(missing)}'
                ),
            )
