"""Tests of how registries follow the head: outages, restarts and sizes."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from hypothesis import given, settings, strategies
from msgspec import json, structs

from marjoramwharf.contracts.configuration import Configuration
from marjoramwharf.contracts.note_answers import Accepted
from marjoramwharf.contracts.note_api import MAX_NOTE_BYTES
from marjoramwharf.contracts.note_registry import ActiveConfiguration
from marjoramwharf.contracts.release_note import (
    InstanceChanges,
    Quota,
    QuotaChanges,
    ReleaseNote,
    Service,
    ServiceChanges,
)
from marjoramwharf.errors import Reason, StoreUnavailable
from marjoramwharf.links.store import StoredValue, StoreEvent, WatchBatch
from standins.kv_state import KeyValueState
from standins.memory_store import MemoryStore
from tests.contracts.note_registries import (
    admit,
    quiet_logs,
    registry_on,
    run_test,
)


def setUpModule() -> None:  # noqa: N802
    """Suppress the expected warnings in the output of the tests."""
    quiet_logs()


class _EndingWatchStore(MemoryStore):
    """Ends each watch after a second; first repeats an old head, if set."""

    old: StoredValue | None = None

    @asynccontextmanager
    async def watch(
        self,
        prefix: str,
        *,
        from_revision: int,
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Report the old head, if set, and fail."""
        yield self._report_and_fail()

    async def _report_and_fail(self) -> AsyncIterator[WatchBatch]:
        await trio.sleep(1)
        if self.old is not None:
            events = (StoreEvent(self.old.key, self.old),)
            yield WatchBatch(self.old.mod_revision, events, restarted=True)
        raise StoreUnavailable(message='the watch was cut')


class _SilentStore(MemoryStore):
    """A store whose watches report nothing."""

    @asynccontextmanager
    async def watch(
        self,
        prefix: str,
        *,
        from_revision: int,
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Watch a prefix that never changes."""
        async with super().watch('/none', from_revision=0) as batches:
            yield batches


def _target_note() -> ReleaseNote:
    """Return a note with 5,200 workers and 74 teams on 20 services."""
    services = [f'service-{index}' for index in range(20)]
    return structs.replace(
        admit('w'),
        instances=InstanceChanges(
            admitted=tuple(f'region-1-dc-1-{index}' for index in range(5200)),
        ),
        services=ServiceChanges(
            added=tuple(Service(name, 40, 64, 2000) for name in services),
        ),
        quotas=QuotaChanges(
            added=tuple(
                Quota(f'team-{team}', name, slots_count=8)
                for team in range(74)
                for name in services
            ),
        ),
    )


class SizeTests(unittest.TestCase):
    """Guards against a configuration that exceeds a value of the store."""

    def test_target_fits_in_one_value(self) -> None:
        """Guards against refusing notes at the size of the two-year target."""

        async def check() -> None:
            store = MemoryStore()
            note = _target_note()
            self.assertLess(len(json.encode(note)), MAX_NOTE_BYTES)
            self.assertEqual(await registry_on(store).accept(note), Accepted(1))

        run_test(check)

    def test_larger_configuration_is_refused(self) -> None:
        """Guards against an endless retry of a value that is too large."""

        async def check() -> None:
            workers = tuple(str(index).zfill(64) for index in range(16_000))
            note = structs.replace(
                admit('w'),
                instances=InstanceChanges(admitted=workers),
            )
            answer = await registry_on(MemoryStore()).accept(note)
            reason = getattr(answer, 'reason', None)
            self.assertIs(reason, Reason.BODY_TOO_LARGE)

        run_test(check)


class FollowTests(unittest.TestCase):
    """Guards against entries that miss a note or revert to an older one."""

    def test_note_reaches_entries_within_the_bound(self) -> None:
        """Guards against a watch that is not resumed after an outage."""

        async def check() -> None:
            state = KeyValueState()
            store = _EndingWatchStore(state)
            registry = registry_on(store, 'entry-2')
            seen: list[ActiveConfiguration] = []
            registry.add_listener(seen.append)
            registry.add_listener(lambda _now: self.fail('listener fault'))
            async with trio.open_nursery() as nursery:
                await nursery.start(registry.run)
                await registry_on(MemoryStore(state)).accept(admit('w'))
                store.old = state.stored['/note/head']
                store.is_down = True
                await registry_on(MemoryStore(state)).accept(admit('x'))
                await trio.sleep(60)
                store.is_down = False
                await trio.sleep(11)
                self.assertEqual(registry.current.revision, 2)
                await trio.sleep(60)
                nursery.cancel_scope.cancel()
            revisions = [now.revision for now in seen]
            self.assertEqual(revisions, sorted(set(revisions)))
            self.assertEqual(revisions[-1], 2)

        run_test(check)

    def test_restarted_entry_waits_for_the_hinted_revision(self) -> None:
        """Guards against applying a stale read after a restart."""

        async def check() -> None:
            store = MemoryStore()
            writer = registry_on(store)
            await writer.accept(admit('w'))
            registry = registry_on(store, 'entry-2')
            registry.hint(2)
            async with trio.open_nursery() as nursery:
                await nursery.start(registry.run)
                self.assertFalse(registry.is_synchronised)
                await writer.accept(admit('x'))
                await trio.sleep(11)
                self.assertEqual(registry.current.revision, 2)
                nursery.cancel_scope.cancel()

        run_test(check)

    def test_watch_reports_between_checks(self) -> None:
        """Guards against a registry that relies on periodic polling."""

        async def check() -> None:
            store = MemoryStore()
            registry = registry_on(store, 'entry-2')
            async with trio.open_nursery() as nursery:
                await nursery.start(registry.run)
                await trio.sleep(1)
                await registry_on(store).accept(admit('w'))
                await trio.sleep(1)
                self.assertEqual(registry.current.revision, 1)
                nursery.cancel_scope.cancel()

        run_test(check)

    def test_silent_watch_is_made_up_for(self) -> None:
        """Guards against a watch that reports nothing and doesn't end."""

        async def check() -> None:
            state = KeyValueState()
            silent_store = _SilentStore(state)
            registry = registry_on(silent_store, 'entry-2')
            async with trio.open_nursery() as nursery:
                await nursery.start(registry.run)
                await registry_on(MemoryStore(state)).accept(admit('w'))
                await trio.sleep(11)
                self.assertEqual(registry.current.revision, 1)
                nursery.cancel_scope.cancel()

        run_test(check)

    @settings(derandomize=True, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.booleans(),
                strategies.integers(0, 9),
            ),
            max_size=30,
        ),
    )
    def test_revision_never_goes_back(
        self,
        steps: list[tuple[bool, int]],
    ) -> None:
        """Guards against any order of heads and hints that reverts a note."""
        registry = registry_on(MemoryStore(), now_ms=int)
        floor = 0
        for at_ms, (is_hint, revision) in enumerate(steps):
            before = registry.current
            if is_hint:
                registry.hint(revision)
                floor = max(floor, revision)
            else:
                registry.observe(Configuration(revision=revision), now_ms=at_ms)
            expected = before.revision
            if not is_hint and revision >= floor:
                expected = max(before.revision, revision)
            self.assertEqual(registry.current.revision, expected)
            if before.revision == expected:
                self.assertIs(registry.current, before)

    def test_history_is_newest_first(self) -> None:
        """Guards against a history that misses a note or exceeds its limit."""

        async def check() -> None:
            store = MemoryStore()
            registry = registry_on(store)
            for worker in ('a', 'b', 'c'):
                await registry.accept(admit(worker))
            found = await registry.history(limit=2)
            self.assertEqual([entry.revision for entry in found], [3, 2])
            self.assertEqual(found[0].note, admit('c'))

        run_test(check)
