"""The deployments that are measured, with their present sizes and delays."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Deployment:
    """Data centres and sizes of one deployment; delays are one-way, in ms."""

    region: str
    data_centres: tuple[str, ...]
    service: str
    workers_count: int
    rack_size: int
    entries_count: int
    between_centres_ms: float
    within_centre_ms: float = 0.2
    slots_count: int = 8
    connections_count: int = 64

    def get_data_centre(self, index: int) -> str:
        """Return the data centre of the worker or entry with this index."""
        return self.data_centres[index % len(self.data_centres)]

    def get_rack(self, index: int) -> str:
        """Return the rack of a worker.

        Workers fill the racks of their data centre one after the other.
        """
        data_centres_count = len(self.data_centres)
        rack_number = index // data_centres_count // self.rack_size
        return f'{self.get_data_centre(index)}-rack-{rack_number}'

    def delay_ms(self, first: str, second: str) -> float:
        """Return the one-way delay between two data centres."""
        if first == second:
            return self.within_centre_ms
        return self.between_centres_ms


DEPLOYMENTS = {
    'consortium': Deployment(
        region='ar-centro',
        data_centres=('rosario', 'santa-fe', 'cordoba', 'parana'),
        service='notice',
        workers_count=24,
        rack_size=6,
        entries_count=8,
        between_centres_ms=3,
    ),
    'holding': Deployment(
        region='bg-south',
        data_centres=('plovdiv', 'gabrovo', 'ruse'),
        service='planning',
        workers_count=33,
        rack_size=8,
        entries_count=9,
        between_centres_ms=4.5,
    ),
}
