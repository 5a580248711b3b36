"""Data centres whose workers get no new runs at an operator's request.

Runs that are there already go on: they are held, paced and stopped as before.
Every entry follows the requests, so that a new owner of a cell knows them
before it plans its first run.
"""

from __future__ import annotations

from collections.abc import Callable, KeysView
from dataclasses import dataclass, field

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.ids import DataCentreId
from marjoramwharf.links.store import WatchBatch
from marjoramwharf.logs import part_logger

_LOG = part_logger('evacuation')

KeyDecoder = Callable[[str], DataCentreId | None]


@dataclass(slots=True)
class Evacuations:
    """Follows the operators' requests to evacuate data centres.

    ``decode_key`` returns the data centre that a key names. While the store
    can't be read, the requests that were read last stay in force: an entry
    that starts runs writes to the store first, so that it can't be without
    the store for long.
    """

    decode_key: KeyDecoder
    _since_s: dict[DataCentreId, float] = field(default_factory=dict)

    @property
    def data_centres(self) -> KeysView[DataCentreId]:
        """The evacuated data centres; the view follows later requests."""
        return self._since_s.keys()

    async def apply(self, batch: WatchBatch) -> None:
        """Apply watch events of requests; ones of other keys are left out."""
        now_s = boot_s()
        requested: set[DataCentreId] = set()
        for event in batch.events:
            data_centre = self.decode_key(event.key)
            if data_centre is None:
                continue
            if event.stored is None:
                self._end(data_centre, now_s)
            else:
                requested.add(data_centre)
                self._begin(data_centre, now_s)
        if batch.restarted:
            for ended in tuple(self._since_s.keys() - requested):
                self._end(ended, now_s)

    def _begin(self, data_centre: DataCentreId, now_s: float) -> None:
        if data_centre not in self._since_s:
            self._since_s[data_centre] = now_s
            _LOG.info('data centre evacuated', data_centre=data_centre)

    def _end(self, data_centre: DataCentreId, now_s: float) -> None:
        since_s = self._since_s.pop(data_centre, None)
        if since_s is not None:
            _LOG.info(
                'data centre taken back',
                data_centre=data_centre,
                evacuated_s=round(now_s - since_s, 3),
            )
