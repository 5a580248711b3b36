"""Tests of the store's client against the platform's published protocol."""

from __future__ import annotations

import unittest
from base64 import b64encode

import trio

from marjoramwharf.errors import (
    HistoryLost,
    LeaseEnded,
    StoreAnswerLost,
    StoreRefused,
    StoreUnavailable,
)
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.links.store import Committed, Conflict, Guard, Write
from marjoramwharf.platform.kv_store import KvStore
from tests.platform.serving import Script, scripted

_VALUE = b64encode(b'node-1').decode()
_ITEM = {
    'Key': 'my/leader',
    'Value': _VALUE,
    'Revision': 412,
    'Created': 400,
    'Lease': 77120,
    'CurrentRev': 530,
}


def _store(script: Script) -> KvStore:
    return KvStore(HttpClient(), script.address, timeout_s=2)


class KvStoreTests(unittest.TestCase):
    """Guards against calls that differ from the published protocol."""

    def test_read(self) -> None:
        """Guards against a misread value, or a missing key read as one."""
        trio.run(self._read)

    def test_pages(self) -> None:
        """Guards against keys that are lost between pages."""
        trio.run(self._pages)

    def test_commit(self) -> None:
        """Guards against lost conditions and misread conflicts."""
        trio.run(self._commit)

    def test_poll(self) -> None:
        """Guards against misread changes and unnoticed loss of history."""
        trio.run(self._poll)

    def test_leases(self) -> None:
        """Guards against an ended lease that is taken for a live one."""
        trio.run(self._leases)

    def test_failures(self) -> None:
        """Guards against a lost answer that is taken for a refusal."""
        trio.run(self._failures)

    async def _read(self) -> None:
        async with scripted((200, _ITEM), (404, {})) as script:
            found = await _store(script).read('my/leader')
            assert found is not None
            self.assertEqual((b'node-1', 412), (found.body, found.mod_revision))
            self.assertEqual(
                '/kv-key?Key=my%2Fleader', script.requests[0].target
            )
            self.assertIsNone(await _store(script).read('none'))

    async def _pages(self) -> None:
        first = {'items': [_ITEM], 'HasMore': True, 'CurrentRev': 530}
        last = {
            'items': [{**_ITEM, 'Key': 'my/z'}],
            'HasMore': False,
            'CurrentRev': 540,
        }
        async with scripted((200, first), (200, last)) as script:
            reading = await _store(script).read_prefix('my/')
            self.assertEqual(530, reading.revision)
            keys = [stored.key for stored in reading.found]
            self.assertEqual(['my/leader', 'my/z'], keys)
            self.assertIn('After=my%2Fleader', script.requests[1].target)

    async def _commit(self) -> None:
        conflict = {'items': [_ITEM]}
        async with scripted(
            (200, {'Revision': 9}),
            (412, conflict),
            (404, {}),
        ) as script:
            store = _store(script)
            writes = [Write('a', b'node-1', LeaseId(5)), Write('b', None)]
            done = await store.commit([Guard('a', 3)], writes)
            self.assertEqual(Committed(9), done)
            self.assertEqual(
                {
                    'Expect': [{'Key': 'a', 'Revision': 3}],
                    'Puts': [{'Key': 'a', 'Value': _VALUE, 'Lease': 5}],
                    'Remove': ['b'],
                },
                script.body(0),
            )
            refused = await store.commit([Guard('a', 3)], writes)
            assert isinstance(refused, Conflict)
            self.assertEqual('my/leader', refused.found[0].key)
            with self.assertRaises(LeaseEnded):
                await store.commit([], writes)

    async def _poll(self) -> None:
        changes = {
            'events': [_ITEM, {'Key': 'x', 'Revision': 413, 'Deleted': True}],
            'CurrentRev': 413,
        }
        async with scripted((200, changes), (410, {})) as script:
            store = _store(script)
            batch = await store.poll('my/', after_revision=411, wait_ms=10)
            self.assertEqual(413, batch.revision)
            self.assertIsNone(batch.events[1].stored)
            self.assertIn('After=411&WaitMs=10', script.requests[0].target)
            with self.assertRaises(HistoryLost):
                await store.poll('my/', after_revision=1, wait_ms=10)

    async def _leases(self) -> None:
        async with scripted(
            (200, {'Lease': 77120, 'TtlMs': 3000}),
            None,
            (200, {'TtlMs': 3000}),
            (404, {}),
        ) as script:
            store = _store(script)
            lease = await store.grant_lease(3_000)
            self.assertEqual({'TtlMs': 3000}, script.body(0))
            # The kept connection ends; a renewal is sent again on a new one.
            self.assertTrue(await store.keep_alive(lease))
            self.assertEqual('/kv-keep/77120', script.requests[1].target)
            self.assertEqual('/kv-keep/77120', script.requests[2].target)
            self.assertFalse(await store.keep_alive(lease))

    async def _failures(self) -> None:
        async with scripted((503, {}), (429, {}), None, (403, {})) as script:
            store = _store(script)
            for _ in range(2):
                with self.assertRaises(StoreUnavailable):
                    await store.commit([], [Write('a', b'')])
            # The kept connection ends; the write is not sent again on a new one.
            with self.assertRaises(StoreAnswerLost):
                await store.commit([], [Write('a', b'')])
            with self.assertRaises(StoreRefused):
                await store.commit([], [Write('op/config', b'')])
        nowhere = KvStore(HttpClient(), '127.0.0.1:1', timeout_s=2)
        with self.assertRaises(StoreUnavailable):
            await nowhere.commit([], [Write('a', b'')])
