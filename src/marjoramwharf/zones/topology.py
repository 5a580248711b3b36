"""Data centres and the expected delay between them."""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.ids import DataCentreId, RegionId
from marjoramwharf.settings import TopologySettings

_SAME_DATA_CENTRE_ONE_WAY_MS = 0.2


@dataclass(frozen=True, slots=True)
class Topology:
    """The data centres with their regions, and the delays of their links."""

    regions: dict[DataCentreId, RegionId]
    default_one_way_ms: float
    one_way_ms: dict[frozenset[DataCentreId], float] = field(
        default_factory=dict,
    )

    def delay_ms(self, start: DataCentreId, end: DataCentreId) -> float:
        """Return the expected one-way delay between two data centres."""
        if start == end:
            return _SAME_DATA_CENTRE_ONE_WAY_MS
        return self.one_way_ms.get(
            frozenset((start, end)),
            self.default_one_way_ms,
        )


def build_topology(settings: TopologySettings) -> Topology:
    """Build the topology of validated settings."""
    return Topology(
        regions={
            DataCentreId(centre.data_centre): RegionId(centre.region)
            for centre in settings.data_centres
        },
        default_one_way_ms=settings.default_one_way_ms,
        one_way_ms={
            frozenset(map(DataCentreId, link.between)): link.one_way_ms
            for link in settings.links
        },
    )
