"""In-memory copy of the operators' configuration that an entry uses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from marjoramwharf.errors import Failure
from marjoramwharf.isolation import log_unexpected
from marjoramwharf.links.store import WatchBatch
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.policy import Configuration

_LOG = part_logger('config')


@dataclass(slots=True)
class ConfigCache:
    """Holds the newest configuration read from the store.

    A configuration with a lower version never replaces it. ``decode`` raises a
    ``Failure`` for a value that can't be decoded; ``current`` is then kept.
    """

    key: str
    decode: Callable[[bytes], Configuration]
    current: Configuration | None = None

    async def apply(self, batch: WatchBatch) -> None:
        """Apply watch events of the configuration's key."""
        for event in batch.events:
            if event.key == self.key and event.stored is not None:
                self._apply_stored(event.stored.body)

    def _apply_stored(self, body: bytes) -> None:
        try:
            configuration = self.decode(body)
        except Failure as failure:
            _LOG.error('configuration not decoded', error=str(failure))
        except Exception:
            log_unexpected('decoding the configuration')
        else:
            self.update_if_newer(configuration)

    def update_if_newer(self, configuration: Configuration) -> None:
        """Replace the current configuration if its version is lower."""
        replaced = self.current
        if replaced is None or configuration.version > replaced.version:
            self.current = configuration
            _LOG.info(
                'configuration in force',
                version=configuration.version,
                queues=len(configuration.queues),
            )
