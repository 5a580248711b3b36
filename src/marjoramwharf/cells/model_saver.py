"""Persistence of the interference model across changes of owner.

The model is only an optimization: one that can't be read is learned anew.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from marjoramwharf.cells.records import (
    CellId,
    ModelRecord,
    decode,
    encode,
    model_key,
)
from marjoramwharf.errors import Failure
from marjoramwharf.links.store import Guard, PollingStore, Write
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.interference import InterferenceModel

_LOG = part_logger('model')

# What was learned since the last write is lost when the owner changes.
_SAVE_PERIOD_S = 3.0

# Limits the size of the record; a pair of images takes about 40 bytes.
_MAX_PAIRS_COUNT = 2_000


@dataclass(frozen=True, slots=True)
class ModelSaver:
    """Loads and saves the model; ``ownership_guard`` stops former owners."""

    store: PollingStore
    cell: CellId
    ownership_guard: Guard
    model: InterferenceModel

    async def load(self) -> None:
        """Restore the model that the former owner has saved, if any."""
        key = model_key(self.cell)
        try:
            stored = await self.store.read(key)
            if stored is None:
                return
            record = decode(stored.body, ModelRecord, key=key)
        except Failure as failure:
            _LOG.warning('model not loaded', error=str(failure))
            return
        self.model.restore(record.weights)
        _LOG.info('model loaded', pairs=len(record.weights))

    async def run(self) -> None:
        """Save the model whenever it has changed, until cancelled."""
        saved_body: bytes | None = None
        while True:
            await trio.sleep(_SAVE_PERIOD_S)
            weights = self.model.learned_weights()[:_MAX_PAIRS_COUNT]
            body = encode(ModelRecord(weights))
            if body != saved_body and weights and await self._save(body):
                saved_body = body

    async def _save(self, body: bytes) -> bool:
        write = Write(model_key(self.cell), body)
        try:
            await self.store.commit([self.ownership_guard], [write])
        except Failure as failure:
            _LOG.info('model not saved', error=str(failure))
            return False
        return True
