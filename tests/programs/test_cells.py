"""The tables of owners, jobs and workers of ``marjoramwharf-cells``."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.records import (
    CellId,
    EntryRecord,
    ProgressRecord,
    RunRecord,
    TaskRecord,
    encode,
    owner_key,
    progress_key,
    request_key,
)
from marjoramwharf.ids import JobId
from marjoramwharf.links.store import Write
from marjoramwharf.programs.cells import (
    evacuation_rows,
    job_rows,
    owner_rows,
    worker_rows,
)
from marjoramwharf.scheduling.job_state import JobPhase
from standins.platform_process import worker_listing
from standins.polling_store import PollingMemoryStore
from tests.cells.cluster import job_request

_CELL = CellId(0)


class CellsTests(unittest.TestCase):
    """Guards against tables that differ from what is stored."""

    def test_tables(self) -> None:
        """Guards against jobs counted twice or left out and printed secrets."""
        trio.run(self._check_tables)

    async def _check_tables(self) -> None:
        store = PollingMemoryStore()
        first, second = job_request('a'), job_request('b')
        task = TaskRecord(0, 0, 0, runs=(RunRecord(1, 'w1', 5),))
        running = ProgressRecord(JobPhase.OPEN, tasks=(task,))
        owner = EntryRecord('e1', '10.0.0.1', 7_720, 'secret')
        await store.commit(
            [],
            [
                Write(owner_key(_CELL), encode(owner)),
                Write(request_key(_CELL, first.job_id), encode(first)),
                Write(request_key(_CELL, second.job_id), encode(second)),
                Write(progress_key(_CELL, JobId('a')), encode(running)),
                Write('servers/w1', worker_listing(7_001, 'r1')),
                Write('op/evacuate/ruse', b'{}'),
                Write('op/evacuate/nowhere', b'{}'),
                Write('servers/w2', b'from another writer'),
            ],
        )
        owners = await owner_rows(store)
        self.assertEqual('e1', owners[0]['owner'])
        self.assertNotIn('secret', str(owners))
        jobs = (await job_rows(store, _CELL))[0]
        self.assertEqual((2, 1, 1), tuple(map(jobs.get, _COUNTS)))
        evacuated = await evacuation_rows(store, _CELL)
        self.assertEqual(
            [
                {'evacuated': 'nowhere', 'workers': 0, 'live_runs': 0},
                {'evacuated': 'ruse', 'workers': 1, 'live_runs': 1},
            ],
            evacuated,
        )
        workers = await worker_rows(store)
        self.assertEqual('r1', workers[0]['rack'])
        self.assertEqual(2, len(workers))


_COUNTS = ('accepted', 'open', 'live_runs')
