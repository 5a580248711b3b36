"""The operators' configuration in force at an entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from marjoramwharf.errors import Failure
from marjoramwharf.links.store import WatchBatch
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.policy import Configuration

_LOG = part_logger('config')


@dataclass(slots=True)
class ConfigKeeper:
    """Keeps the newest configuration that was seen; never an older one.

    ``decode`` raises ``BadNote`` for a value that can't be read; the one in
    force is then kept.
    """

    key: str
    decode: Callable[[bytes], Configuration]
    current: Configuration | None = None

    async def apply(self, batch: WatchBatch) -> None:
        """Take in changes of the configuration's key."""
        for event in batch.events:
            if event.key != self.key or event.stored is None:
                continue
            try:
                offered = self.decode(event.stored.body)
            except Failure as failure:
                _LOG.error('configuration refused', error=str(failure))
                continue
            self.offer(offered)

    def offer(self, offered: Configuration) -> None:
        """Put a configuration in force unless a newer one is."""
        known = self.current
        if known is None or offered.version > known.version:
            self.current = offered
            _LOG.info(
                'configuration in force',
                version=offered.version,
                queues=len(offered.queues),
            )
