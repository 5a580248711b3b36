"""Persistence of the interference model across changes of owner."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.model_saver import ModelSaver
from marjoramwharf.cells.records import model_key
from marjoramwharf.links.store import Guard, Write
from marjoramwharf.scheduling.interference import FillingLoad, InterferenceModel
from standins.polling_store import PollingMemoryStore
from tests.cells.cluster import CELL, run_with_clock

_OWNER_KEY = 'mw/own/0'


async def _owned_store() -> tuple[PollingMemoryStore, Guard]:
    store = PollingMemoryStore()
    await store.commit([], [Write(_OWNER_KEY, b'e1')])
    stored = store.state.stored[_OWNER_KEY]
    return store, Guard(_OWNER_KEY, stored.mod_revision)


def _new_saver(store: PollingMemoryStore, guard: Guard) -> ModelSaver:
    return ModelSaver(store, CELL, guard, InterferenceModel())


class ModelSaverTests(unittest.TestCase):
    """Guards against seconds of missed targets after each change of owner."""

    def test_next_owner_knows_it(self) -> None:
        """Guards against a model that is learned anew by each owner."""
        run_with_clock(self._next_owner)

    def test_former_owner(self) -> None:
        """Guards against a former owner that overwrites a newer model."""
        run_with_clock(self._former_owner)

    def test_unreadable(self) -> None:
        """Guards against an owner that fails to start with a damaged model."""
        run_with_clock(self._unreadable)

    async def _next_owner(self) -> None:
        store, guard = await _owned_store()
        saver = _new_saver(store, guard)
        for _ in range(40):
            saver.model.observe(
                's',
                [FillingLoad('f', 0.1)],
                lost_headroom=1,
                variance=0.05,
            )
        await self._run(saver)
        successor = _new_saver(store, guard)
        await successor.load()
        learned = saver.model.weight('f', 's')
        self.assertEqual(learned, successor.model.weight('f', 's'))

    async def _former_owner(self) -> None:
        store, guard = await _owned_store()
        await store.commit([], [Write(_OWNER_KEY, b'e2')])
        saver = _new_saver(store, guard)
        saver.model.observe(
            's', [FillingLoad('f', 0.1)], lost_headroom=1, variance=0.05
        )
        await self._run(saver)
        self.assertNotIn(model_key(CELL), store.state.stored)

    async def _unreadable(self) -> None:
        store, guard = await _owned_store()
        await store.commit([], [Write(model_key(CELL), b'\xc1')])
        saver = _new_saver(store, guard)
        await saver.load()
        self.assertFalse(saver.model.learned_weights())

    async def _run(self, saver: ModelSaver) -> None:
        with trio.move_on_after(4):
            await saver.run()
