"""Directory client: invalid lists are rejected with ``BadListing``."""

from __future__ import annotations

import json
import unittest
from typing import Any

import trio

from marjoramwharf.errors import BadListing, DirectoryUnavailable
from marjoramwharf.links.directory import open_directory, read_listing
from marjoramwharf.machines.worker import WorkerState
from marjoramwharf.settings import DirectorySettings
from standins.directory import DirectoryStandin
from standins.serving import serve_app

_WORKER: dict[str, Any] = {
    'worker_id': 'w-1',
    'url': 'http://127.0.0.1:7001',
    'data_centre': 'dc-1',
    'rack': 'rack-1',
    'capacity': {
        'slots_count': 8,
        'connections_count': 64,
        'cpu_millicores': 32_000,
        'memory_mb': 125_000,
    },
    'services': ['notice'],
    'state': 'leaving',
}


class ListingTests(unittest.TestCase):
    """Guards against invalid content that gives a wrong list of workers."""

    def test_fields_are_read(self) -> None:
        """Guards against fields that are not decoded."""
        listing = read_listing(_listing(_WORKER))
        worker = listing.instances[0]
        self.assertEqual(worker.state, WorkerState.LEAVING)
        self.assertEqual(worker.capacity.slots_count, 8)
        self.assertEqual(worker.services, {'notice'})

    def test_bad_content_is_refused(self) -> None:
        """Guards against an invalid instance that is silently left out."""
        bad_capacity = {**_WORKER['capacity'], 'slots_count': -1}
        for body in (
            b'{',
            b'{"revision": 1}',
            _listing({**_WORKER, 'state': 'gone'}),
            _listing({**_WORKER, 'url': 'w-1:7001'}),
            _listing({**_WORKER, 'capacity': bad_capacity}),
            _listing(_WORKER, _WORKER),
        ):
            with self.subTest(body=body), self.assertRaises(BadListing):
                read_listing(body)

    def test_standin_serves_the_list(self) -> None:
        """Guards against a stand-in and a client that disagree."""
        trio.run(self._read_from_standin)

    async def _read_from_standin(self) -> None:
        expected = read_listing(_listing(_WORKER)).instances[0]
        standin = DirectoryStandin()
        async with trio.open_nursery() as nursery:
            url = await nursery.start(serve_app, standin.app)
            async with open_directory(DirectorySettings(url)) as directory:
                self.assertEqual((await directory.fetch()).instances, ())
                standin.put(expected, trio.current_time())
                listing = await directory.fetch()
                self.assertEqual(listing.instances, (expected,))
                self.assertIs(await directory.fetch(), listing)
                standin.remove(expected.worker_id, trio.current_time())
                self.assertEqual((await directory.fetch()).instances, ())
            async with open_directory(
                DirectorySettings(f'{url}/missing'),
            ) as directory:
                with self.assertRaises(DirectoryUnavailable):
                    await directory.fetch()
            nursery.cancel_scope.cancel()

    def test_list_lags(self) -> None:
        """Guards against a stand-in that shows changes without delay."""
        standin = DirectoryStandin(lag_s=2)
        standin.put(read_listing(_listing(_WORKER)).instances[0], 10)
        self.assertEqual(standin.listing(11).revision, 0)
        self.assertEqual(standin.listing(12).revision, 1)


def _listing(*instances: dict[str, Any]) -> bytes:
    return json.dumps({'revision': 1, 'instances': instances}).encode()
