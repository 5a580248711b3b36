"""Tests of the note registry: races, lost answers and outages."""

from __future__ import annotations

import unittest
from typing import Any

import trio

from marjoramwharf.contracts.note_answers import (
    Accepted,
    Answer,
    NoteConflict,
    NoteRefused,
)
from marjoramwharf.contracts.note_registry import NoteRegistry
from marjoramwharf.contracts.release_note import ReleaseNote
from marjoramwharf.errors import Reason
from marjoramwharf.links.store import StoredValue, Urgency
from marjoramwharf.service.request import NotRun, Unknown
from standins.kv_state import KeyValueState
from standins.memory_store import MemoryStore
from tests.contracts.note_registries import (
    admit,
    quiet_logs,
    registry_on,
    run_test,
)
from tests.contracts.notes import note_of


def setUpModule() -> None:  # noqa: N802
    """Suppress the expected warnings in the output of the tests."""
    quiet_logs()


class _LateStore(MemoryStore):
    """Loses the answers of commits and does not apply them."""

    is_losing = False

    async def commit(self, *args: Any, **options: Any) -> Any:
        """Apply nothing and lose the answer, while ``is_losing`` is set."""
        if self.is_losing:
            self.answers_to_lose += 1
            args = ([], [])
        return await super().commit(*args, **options)


async def _race(
    registries: list[NoteRegistry],
    notes: list[ReleaseNote],
) -> list[Answer]:
    answers: dict[int, Answer] = {}

    async def submit(index: int) -> None:
        answers[index] = await registries[index].accept(
            notes[index], based_on=0
        )

    async with trio.open_nursery() as nursery:
        for index, _note in enumerate(notes):
            nursery.start_soon(submit, index)
    return [answers[index] for index in range(len(notes))]


class _StaleStore(MemoryStore):
    """Answers the next read of each listed key with an older value."""

    def __init__(self, state: KeyValueState) -> None:
        """Start without stale answers."""
        super().__init__(state)
        self.stale: dict[str, StoredValue | None] = {}

    async def read(self, key: str, *, urgency: Urgency) -> StoredValue | None:
        """Return the older value of a listed key once."""
        fresh = await super().read(key, urgency=urgency)
        return self.stale.pop(key, fresh)


class RaceTests(unittest.TestCase):
    """Guards against concurrent notes that overwrite each other."""

    def setUp(self) -> None:
        """Share one state between the stores of four entries."""
        state = KeyValueState()
        self.stores = [MemoryStore(state) for _ in range(4)]
        for store in self.stores:
            store.delay_s = 0.01

    def test_disjoint_notes_are_all_accepted(self) -> None:
        """Guards against a refusal, or a lost change, after a rebase."""

        async def check() -> None:
            registries = [registry_on(store) for store in self.stores]
            notes = [admit(f'w{index}') for index in range(4)]
            answers = await _race(registries, notes)
            self.assertEqual(
                {getattr(answer, 'revision', 0) for answer in answers},
                {1, 2, 3, 4},
            )
            await registries[0].accept(admit('w9'))
            self.assertEqual(
                registries[0].current.configuration.instances,
                ('w0', 'w1', 'w2', 'w3', 'w9'),
            )

        run_test(check)

    def test_conflicting_notes_name_the_fields(self) -> None:
        """Guards against accepting both, and an unexplained refusal."""

        async def check() -> None:
            registries = [registry_on(store) for store in self.stores]
            notes = [
                note_of(
                    f'"limits": {{"team_count": {count}}}',
                    note_id=f'n-{count}',
                    author=f'author-{count}',
                )
                for count in range(100, 104)
            ]
            answers = await _race(registries, notes)
            won = [
                index
                for index, answer in enumerate(answers)
                if isinstance(answer, Accepted)
            ]
            self.assertEqual(len(won), 1)
            expected = NoteConflict(
                notes[won[0]].note_id,
                notes[won[0]].author,
                1,
                ('limits.team_count',),
            )
            self.assertEqual(answers.count(expected), 3)

        run_test(check)

    def test_same_note_is_accepted_once(self) -> None:
        """Guards against applying a note again for each submission."""

        async def check() -> None:
            registries = [registry_on(store) for store in self.stores]
            answers = await _race(registries, [admit('w') for _ in registries])
            self.assertEqual(
                {getattr(answer, 'revision', 0) for answer in answers},
                {1},
            )
            other = await registries[0].accept(admit('x', note_id='admit-w'))
            self.assertIsInstance(other, NoteRefused)
            self.assertIs(getattr(other, 'reason', None), Reason.KEY_REUSED)

        run_test(check)

    def test_unbased_note_is_compared_after_losing_a_race(self) -> None:
        """Guards against using the concurrent note's head as the base."""

        async def check() -> None:
            registries = [registry_on(store) for store in self.stores[:2]]
            answers: list[Answer] = []

            async def submit(index: int) -> None:
                note = note_of(
                    f'"policy": {{"evictions": {index}}}',
                    note_id=f'n-{index}',
                )
                answers.append(await registries[index].accept(note))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, 0)
                nursery.start_soon(submit, 1)
            kinds = sorted(type(answer).__name__ for answer in answers)
            self.assertEqual(kinds, ['Accepted', 'NoteConflict'])

        run_test(check)


class StoreFaultTests(unittest.TestCase):
    """Guards against wrong answers when the store fails."""

    def test_stale_head_is_not_a_reason_to_refuse(self) -> None:
        """Guards against a refusal because of an outdated configuration."""

        async def check() -> None:
            store = _StaleStore(KeyValueState())
            registry = registry_on(store)
            await registry.accept(admit('w'))
            old = store.state.stored['/note/head']
            await registry.accept(admit('x'))
            store.stale['/note/head'] = old
            note = note_of('"instances": {"withdrawn": ["x"]}')
            self.assertEqual(await registry.accept(note), Accepted(3))

        run_test(check)

    def test_stale_id_does_not_accept_a_note_again(self) -> None:
        """Guards against a note that is applied twice after a stale read."""

        async def check() -> None:
            store = _StaleStore(KeyValueState())
            registry = registry_on(store)
            note = note_of('"policy": {"evictions": 1}')
            await registry.accept(note)
            for based_on in (0, 1):
                store.stale['/note/id/n-1'] = None
                answer = await registry.accept(note, based_on=based_on)
                self.assertEqual(answer, Accepted(1, is_repeat=True))

        run_test(check)

    def test_unbased_note_follows_what_is_in_force(self) -> None:
        """Guards against a conflict with a note accepted long before."""

        async def check() -> None:
            store = MemoryStore()
            for count in (1, 2):
                note = note_of(
                    f'"policy": {{"evictions": {count}}}',
                    note_id=f'n-{count}',
                )
                answer = await registry_on(store).accept(note)
                self.assertEqual(answer, Accepted(count))

        run_test(check)

    def test_lost_answer_is_settled_by_reading(self) -> None:
        """Guards against applying a note twice after a lost answer."""

        async def check() -> None:
            store = MemoryStore()
            store.answers_to_lose = 1
            answer = await registry_on(store).accept(admit('w'))
            self.assertEqual(answer, Accepted(1, is_repeat=True))
            self.assertEqual(store.writes_count, 1)

        run_test(check)

    def test_unsettled_write_is_unknown(self) -> None:
        """Guards against "not run" where a lost write may still be applied."""

        async def check() -> None:
            store = _LateStore()
            store.is_losing = True
            answer = await registry_on(store).accept(admit('w'))
            self.assertIsInstance(answer, Unknown)

        run_test(check)

    def test_outage_keeps_the_configuration(self) -> None:
        """Guards against losing the configuration, or an untyped error."""

        async def check() -> None:
            store = MemoryStore()
            registry = registry_on(store)
            await registry.accept(admit('w'))
            store.is_down = True
            answer = await registry.accept(admit('x'))
            self.assertIsInstance(answer, NotRun)
            self.assertIsNotNone(getattr(answer, 'retry_after_s', None))
            self.assertEqual(registry.current.configuration.instances, ('w',))
            store.is_down = False
            self.assertEqual(await registry.accept(admit('x')), Accepted(2))

        run_test(check)

    def test_base_that_does_not_exist_is_refused(self) -> None:
        """Guards against accepting a note meant for another deployment."""

        async def check() -> None:
            answer = await registry_on(MemoryStore()).accept(
                admit('w'),
                based_on=7,
            )
            self.assertIsInstance(answer, NoteRefused)

        run_test(check)
