"""What operators have stored: the configuration and evacuations in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from marjoramwharf.cells.config_cache import ConfigCache
from marjoramwharf.cells.evacuations import Evacuations
from marjoramwharf.links.prefix_watcher import PrefixWatcher
from marjoramwharf.links.store import PollingStore, WatchBatch
from marjoramwharf.platform.evacuation_requests import evacuated_data_centre
from marjoramwharf.platform.operator_config import (
    CONFIG_KEY,
    decode_configuration,
)

_PREFIX = 'op/'

# How long a watch request waits for a change. A silent connection is noticed
# one second after that, and a configuration must be in force within 2 s.
_WAIT_MS = 900


@dataclass(slots=True)
class OperatorRequests:
    """Follows the operators' requests in the store."""

    config: ConfigCache = field(
        default_factory=partial(ConfigCache, CONFIG_KEY, decode_configuration)
    )
    evacuations: Evacuations = field(
        default_factory=partial(Evacuations, evacuated_data_centre)
    )

    async def run(self, store: PollingStore) -> None:
        """Follow the requests until cancelled."""
        await PrefixWatcher(store, _PREFIX, self._apply, _WAIT_MS).run()

    async def _apply(self, batch: WatchBatch) -> None:
        """Apply changes by operators.

        Nothing is planned without a configuration, so the evacuations, which
        are read with it, come first.
        """
        await self.evacuations.apply(batch)
        await self.config.apply(batch)
