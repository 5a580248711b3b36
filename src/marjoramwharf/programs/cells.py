"""``marjoramwharf-cells``: owners, jobs, evacuations and workers as stored.

    marjoramwharf-cells --store 10.200.1.7:8169

It only reads the store, so it is safe at any time, also while entries are down.
"""

from __future__ import annotations

import sys
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from typing import Annotated

import cappa
import trio

from marjoramwharf.cells.records import (
    OWNERS_PREFIX,
    CellId,
    EntryRecord,
    ProgressRecord,
    decode,
    inbox_prefix,
    progress_prefix,
    request_key,
)
from marjoramwharf.errors import BadListing
from marjoramwharf.ids import DataCentreId, JobId
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.links.store import PollingStore
from marjoramwharf.platform.evacuation_requests import (
    EVACUATIONS_PREFIX,
    evacuated_data_centre,
)
from marjoramwharf.platform.kv_store import KvStore
from marjoramwharf.platform.worker_listings import (
    WORKERS_PREFIX,
    decode_listing,
)
from marjoramwharf.programs._command_line import run_command
from marjoramwharf.programs._output import Row, print_rows

_TIMEOUT_S = 3.0


async def owner_rows(store: PollingStore) -> list[Row]:
    """Return a row for each cell that has an owner."""
    found = (await store.read_prefix(OWNERS_PREFIX)).found
    rows: list[Row] = []
    for stored in found:
        record = decode(stored.body, EntryRecord, key=stored.key)
        rows.append(
            {
                'cell': stored.key.removeprefix(OWNERS_PREFIX),
                'owner': record.entry_id,
                'address': f'{record.host}:{record.port}',
                'fence': stored.mod_revision,
            },
        )
    return rows


async def job_rows(store: PollingStore, cell: CellId) -> list[Row]:
    """Return one row with the number of jobs of a cell in each phase."""
    phases: Counter[str] = Counter()
    running = 0
    for stored in (await store.read_prefix(progress_prefix(cell))).found:
        record = decode(stored.body, ProgressRecord, key=stored.key)
        phases[record.phase.name.lower()] += 1
        running += sum(len(task.runs) for task in record.tasks)
    inbox = (await store.read_prefix(inbox_prefix(cell))).found
    prefix = request_key(cell, JobId(''))
    accepted = sum(stored.key.startswith(prefix) for stored in inbox)
    return [
        {
            'cell': cell,
            'accepted': accepted,
            **phases,
            'not_begun': accepted - phases.total(),
            'live_runs': running,
        },
    ]


async def evacuation_rows(store: PollingStore, cell: CellId) -> list[Row]:
    """Return a row for each evacuated data centre and what still runs there.

    A request that names a data centre without workers shows none.
    """
    workers: dict[str, DataCentreId] = {}
    for stored in (await store.read_prefix(WORKERS_PREFIX)).found:
        with suppress(BadListing):
            listing = decode_listing(stored.key, stored.body)
            workers[listing.worker_id] = listing.data_centre
    runs: Counter[DataCentreId | None] = Counter()
    for stored in (await store.read_prefix(progress_prefix(cell))).found:
        record = decode(stored.body, ProgressRecord, key=stored.key)
        runs.update(
            workers.get(run.worker_id)
            for task in record.tasks
            for run in task.runs
        )
    requests = (await store.read_prefix(EVACUATIONS_PREFIX)).found
    names = [evacuated_data_centre(stored.key) for stored in requests]
    return [
        {
            'evacuated': name,
            'workers': sum(where == name for where in workers.values()),
            'live_runs': runs[name],
        }
        for name in names
        if name is not None
    ]


async def worker_rows(store: PollingStore) -> list[Row]:
    """Return a row for each listed worker, also for unreadable listings."""
    rows: list[Row] = []
    for stored in (await store.read_prefix(WORKERS_PREFIX)).found:
        try:
            listing = decode_listing(stored.key, stored.body)
        except BadListing as failure:
            rows.append({'worker': stored.key, 'state': str(failure)})
            continue
        rows.append(
            {
                'worker': listing.worker_id,
                'service': listing.service,
                'state': listing.state.value,
                'data_centre': listing.data_centre,
                'rack': listing.rack,
                'cpu_millicores': listing.capacity.cpu_millicores,
            },
        )
    return rows


@cappa.command(name='marjoramwharf-cells')
@dataclass
class Cells:
    """Print owners, jobs and workers from the platform's store."""

    store: Annotated[
        str,
        cappa.Arg(long='--store', help='HOST:PORT of the store.'),
    ]
    cell: Annotated[
        int,
        cappa.Arg(long='--cell', default=0, help='Number of the cell.'),
    ] = 0
    as_json: Annotated[
        bool,
        cappa.Arg(long='--json', default=False, help='Print JSON.'),
    ] = False

    def run(self) -> int:
        """Read the store and print four tables."""
        trio.run(self._print)
        return 0

    async def _print(self) -> None:
        store = KvStore(HttpClient(), self.store, timeout_s=_TIMEOUT_S)
        for rows in (
            await owner_rows(store),
            await job_rows(store, CellId(self.cell)),
            await evacuation_rows(store, CellId(self.cell)),
            await worker_rows(store),
        ):
            print_rows(rows, as_json=self.as_json)


def main() -> int:
    """Run the command; returns 3 if the store can't be reached."""
    command = cappa.parse(Cells)
    return run_command(command.run)


if __name__ == '__main__':
    sys.exit(main())
