"""The etcd client against the stand-in store.

Covers lost answers, lost connections and compaction.
"""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio

from marjoramwharf.errors import (
    StoreAnswerLost,
    StoreRefused,
    StoreUnavailable,
)
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.etcd import EtcdStore, open_store
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    Urgency,
    WatchBatch,
    Write,
)
from marjoramwharf.settings import StoreSettings
from standins.serving import serve_app
from standins.store import Faults, StoreStandin

_Check = Callable[[EtcdStore, StoreStandin], Awaitable[None]]


@asynccontextmanager
async def _serving(
    timeout_ms: int,
) -> AsyncIterator[tuple[EtcdStore, StoreStandin]]:
    standin = StoreStandin()
    async with trio.open_nursery() as nursery:
        url = await nursery.start(serve_app, standin.app)
        settings = StoreSettings(url=url, timeout_ms=timeout_ms)
        async with open_store(settings) as store:
            yield store, standin
        nursery.cancel_scope.cancel()


def _run(check: _Check, *, timeout_ms: int = 5_000) -> None:
    async def main() -> None:
        with trio.fail_after(30):
            async with _serving(timeout_ms) as (store, standin):
                await check(store, standin)

    trio.run(main)


async def _put(store: EtcdStore, key: str, body: bytes) -> Committed:
    outcome = await store.commit([], [Write(key, body)], urgency=Urgency.JOB)
    assert isinstance(outcome, Committed)
    return outcome


class CommitTests(unittest.TestCase):
    """Guards against writes that are reported with the wrong outcome."""

    def test_guards_and_reads(self) -> None:
        """Guards against guards that the protocol interprets differently."""
        _run(self._guards_and_reads)

    def test_applied_write_without_answer_is_lost(self) -> None:
        """Guards against "not applied" for a write that took effect."""
        _run(self._lost_answer, timeout_ms=1_000)

    def test_refusals_prove_that_nothing_was_applied(self) -> None:
        """Guards against an unknown outcome after a refusal of the store."""
        _run(self._refusals)

    def test_closed_port_is_unavailable(self) -> None:
        """Guards against an unknown outcome of a write that was not sent."""
        trio.run(self._closed_port)

    def test_expired_lease_deletes_its_keys(self) -> None:
        """Guards against a keep-alive that hides an expired lease."""
        _run(self._expired_lease)

    async def _guards_and_reads(
        self,
        store: EtcdStore,
        _standin: StoreStandin,
    ) -> None:
        created = await store.commit(
            [Guard('/a/1', 0)],
            [Write('/a/1', b'one'), Write('/a/2', b''), Write('/b', b'x')],
            urgency=Urgency.JOB,
        )
        self.assertEqual(created, Committed(2))
        again = await store.commit(
            [Guard('/a/1', 0)],
            [Write('/a/1', b'two')],
            urgency=Urgency.JOB,
        )
        self.assertEqual(again, Conflict())
        await store.commit(
            [Guard('/a/1', 2)],
            [Write('/a/1', None)],
            urgency=Urgency.JOB,
        )
        reading = await store.read_prefix('/a/', urgency=Urgency.JOB)
        self.assertEqual(reading.revision, 3)
        self.assertEqual([kv.key for kv in reading.found], ['/a/2'])
        self.assertIsNone(await store.read('/a/1', urgency=Urgency.JOB))

    async def _lost_answer(
        self,
        store: EtcdStore,
        standin: StoreStandin,
    ) -> None:
        standin.set_faults(Faults(lose_answers_share=1))
        with self.assertRaises(StoreAnswerLost):
            await _put(store, '/a', b'1')
        self.assertEqual(standin.state.stored['/a'].body, b'1')
        standin.set_faults(Faults(lose_answers_share=0))
        self.assertIsNotNone(await store.read('/a', urgency=Urgency.JOB))

    async def _refusals(self, store: EtcdStore, standin: StoreStandin) -> None:
        with self.assertRaises(StoreRefused):
            await store.commit(
                [],
                [Write('/a', b'1', LeaseId(77))],
                urgency=Urgency.JOB,
            )
        standin.set_faults(Faults(down=True))
        with self.assertRaises(StoreUnavailable):
            await _put(store, '/a', b'1')
        with self.assertRaises(StoreUnavailable):
            await store.read('/a', urgency=Urgency.JOB)
        self.assertEqual(standin.state.stored, {})

    async def _closed_port(self) -> None:
        with trio.socket.socket() as unused:
            # Bound but not listening, so that connections are refused.
            await unused.bind(('127.0.0.1', 0))
            port = unused.getsockname()[1]
            settings = StoreSettings(url=f'http://127.0.0.1:{port}')
            async with open_store(settings) as store:
                with self.assertRaises(StoreUnavailable):
                    await _put(store, '/a', b'1')

    async def _expired_lease(
        self,
        store: EtcdStore,
        standin: StoreStandin,
    ) -> None:
        lease = await store.grant_lease(60)
        await store.commit(
            [],
            [Write('/a', b'1', lease)],
            urgency=Urgency.JOB,
        )
        self.assertEqual(await store.keep_alive(lease), 60)
        standin.set_faults(Faults(expire_leases=True))
        self.assertEqual(await store.keep_alive(lease), 0)
        self.assertIsNone(await store.read('/a', urgency=Urgency.JOB))
        with self.assertRaises(StoreRefused):
            await store.revoke_lease(lease)


class WatchTests(unittest.TestCase):
    """Guards against changes that a watch loses or repeats."""

    def test_resumes_after_a_disconnect(self) -> None:
        """Guards against lost or repeated changes after a reconnect."""
        _run(self._disconnect)

    def test_rereads_after_a_compaction(self) -> None:
        """Guards against keys that stay although they were deleted.

        The deletion is part of the history that was compacted.
        """
        _run(self._compaction)

    async def _disconnect(
        self, store: EtcdStore, standin: StoreStandin
    ) -> None:
        await _put(store, '/a/1', b'1')
        async with store.watch('/a/', from_revision=1) as batches:
            self.assertEqual(_bodies(await anext(batches)), [b'1'])
            standin.set_faults(Faults(drop_watches=True))
            await _put(store, '/b', b'other prefix')
            await _put(store, '/a/2', b'2')
            self.assertEqual(_bodies(await anext(batches)), [b'2'])
            await store.commit([], [Write('/a/1', None)], urgency=Urgency.JOB)
            self.assertEqual(_bodies(await anext(batches)), [None])
        while standin.watches_count:
            await trio.sleep(0.01)

    async def _compaction(
        self,
        store: EtcdStore,
        standin: StoreStandin,
    ) -> None:
        await _put(store, '/a/1', b'1')
        await _put(store, '/a/2', b'2')
        await store.commit([], [Write('/a/1', None)], urgency=Urgency.JOB)
        standin.state.compact()
        async with store.watch('/a/', from_revision=2) as batches:
            restart = await anext(batches)
            self.assertTrue(restart.restarted)
            self.assertEqual(_bodies(restart), [b'2'])
            await _put(store, '/a/3', b'3')
            following = await anext(batches)
            self.assertFalse(following.restarted)
            self.assertEqual(_bodies(following), [b'3'])


def _bodies(batch: WatchBatch) -> list[bytes | None]:
    return [
        None if event.stored is None else event.stored.body
        for event in batch.events
    ]
