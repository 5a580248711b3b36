"""Workers of a cluster that come, go, start again and change their listings."""

from __future__ import annotations

from dataclasses import replace

import trio

from marjoramwharf.errors import BadListing
from marjoramwharf.ids import DataCentreId, WorkerId
from marjoramwharf.links.store import Guard, Write
from marjoramwharf.scheduling.fleet import Resources, WorkerListing, WorkerState
from standins.polling_store import PollingMemoryStore
from standins.simulated_worker import SimulatedWorker
from standins.simulated_worker_client import MemoryWorkerClient

WORKERS_SERVICE = 'presses'


class ChangingWorkers:
    """Changes the workers of a cluster, which has these attributes."""

    store: PollingMemoryStore
    workers: dict[WorkerId, SimulatedWorker]
    listings: dict[WorkerId, WorkerListing]
    former_workers: list[SimulatedWorker]
    worker_client: MemoryWorkerClient

    async def add_worker(
        self,
        name: str,
        *,
        state: WorkerState = WorkerState.READY,
        remaining_ms: int | None = None,
        data_centre: str = 'plovdiv',
        kind: str = 'a',
        tells_start: bool = False,
    ) -> SimulatedWorker:
        """Add a worker to the list, or change what is listed there.

        A listing that ``tells_start`` has the start time of the incarnation.
        """
        worker_id = WorkerId(name)
        worker = self.workers.setdefault(
            worker_id,
            SimulatedWorker(born_s=trio.current_time()),
        )
        self.listings[worker_id] = WorkerListing(
            worker_id=worker_id,
            service=WORKERS_SERVICE,
            host=name,
            port=1,
            data_centre=DataCentreId(data_centre),
            state=state,
            capacity=Resources(8_000, 8_000, 0),
            labels=(kind, 'r1'),
            born_ms=worker.born_ms if tells_start else 0,
            remaining_ms=remaining_ms,
        )
        await self._store(f'servers/{name}', name.encode())
        return worker

    async def drain_worker(self, name: str) -> None:
        """List a worker as draining."""
        worker_id = WorkerId(name)
        self.listings[worker_id] = replace(
            self.listings[worker_id], state=WorkerState.DRAINING
        )
        await self._store(f'servers/{name}', b'draining')

    def restart_worker(
        self, name: str, *, is_dark: bool = False, clock_origin_ms: int = 0
    ) -> SimulatedWorker:
        """Replace a worker with another incarnation; return that one.

        A poll under way hears nothing of a restart that ``is_dark``, as after a
        loss of power, and waits until its timeout.
        """
        worker_id = WorkerId(name)
        self.former_workers.append(self.workers[worker_id])
        dark_restarts = self.worker_client.dark_restarts
        dark_restarts.discard(worker_id)
        if is_dark:
            dark_restarts.add(worker_id)
        worker = SimulatedWorker(
            trio.current_time(), clock_origin_ms=clock_origin_ms
        )
        self.workers[worker_id] = worker
        return worker

    def replace_worker(self, name: str, new_name: str) -> SimulatedWorker:
        """Start a worker with another id at the address of one that is lost.

        It is on no list.
        """
        self.former_workers.append(self.workers.pop(WorkerId(name)))
        worker_id = WorkerId(new_name)
        self.workers[worker_id] = SimulatedWorker(trio.current_time())
        self.worker_client.listeners[name] = worker_id
        return self.workers[worker_id]

    async def list_replacement(self, name: str, new_name: str) -> None:
        """List a worker that has replaced another one, with half its room."""
        worker_id = WorkerId(new_name)
        self.listings[worker_id] = replace(
            self.listings[WorkerId(name)],
            worker_id=worker_id,
            capacity=Resources(4_000, 4_000, 0),
        )
        await self._store(f'servers/{new_name}', b'')

    async def move_listing(self, name: str, host: str) -> None:
        """List a worker at another host."""
        worker_id = WorkerId(name)
        self.listings[worker_id] = replace(self.listings[worker_id], host=host)
        await self._store(f'servers/{name}', host.encode())

    def unlist(self, name: str) -> None:
        """Remove a worker from the list, as the platform does when it is gone."""
        self.store.state.apply([Write(f'servers/{name}', None)])

    async def _store(self, key: str, body: bytes) -> None:
        stored = self.store.state.stored.get(key)
        revision = 0 if stored is None else stored.mod_revision
        await self.store.commit([Guard(key, revision)], [Write(key, body)])

    def decode_listing(self, key: str, _body: bytes) -> WorkerListing:
        """Return the listing with a key; raises ``BadListing``."""
        try:
            return self.listings[WorkerId(key.removeprefix('servers/'))]
        except KeyError as failure:
            raise BadListing(message=key) from failure
