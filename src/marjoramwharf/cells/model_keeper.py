"""Keeps what the owner of a cell has learned, for the next owner.

Nothing depends on it: a model that can't be read is learned anew.
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

# What was learned since the last write is lost with the owner.
_WRITE_PAUSE_S = 3.0

# Bounds the size of the record, at about 40 bytes a pair of images.
_PAIRS_COUNT = 2_000


@dataclass(frozen=True, slots=True)
class ModelKeeper:
    """Reads and writes the model; ``owner`` is the condition of writes."""

    store: PollingStore
    cell: CellId
    owner: Guard
    model: InterferenceModel

    async def load(self) -> None:
        """Start from what the former owner has learned, if that is known."""
        key = model_key(self.cell)
        try:
            stored = await self.store.read(key)
            if stored is None:
                return
            record = decode(stored.body, ModelRecord, key=key)
        except Failure as failure:
            _LOG.warning('model not read', error=str(failure))
            return
        self.model.restore(record.weights)
        _LOG.info('model read', pairs=len(record.weights))

    async def run(self) -> None:
        """Write what changes until cancelled."""
        written: bytes | None = None
        while True:
            await trio.sleep(_WRITE_PAUSE_S)
            weights = self.model.learned_weights()[:_PAIRS_COUNT]
            body = encode(ModelRecord(weights))
            if body != written and weights and await self._write(body):
                written = body

    async def _write(self, body: bytes) -> bool:
        write = Write(model_key(self.cell), body)
        try:
            await self.store.commit([self.owner], [write])
        except Failure as failure:
            _LOG.info('model not stored', error=str(failure))
            return False
        return True
