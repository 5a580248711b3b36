"""Entries that serve callers over a shared stand-in store, for these tests."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.intake import Intake
from marjoramwharf.cells.owner_link import OwnerLink
from marjoramwharf.cells.owner_view import OwnerView
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation, JobId
from marjoramwharf.links.http_server import HttpRequest, HttpResponse
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.store import Committed, Conflict
from marjoramwharf.platform.job_api import JobApi
from marjoramwharf.scheduling.policy import Configuration
from standins.kv_state import KeyValueState
from standins.polling_store import PollingMemoryStore
from tests.cells.candidate import Candidate
from tests.cells.cluster import CELL, Cluster

JOB_ID = JobId('5c0e7a21d94b36f8')
JOB_PATH = f'/recipes/{JOB_ID}'
JOB_BODY = b'{"TaskSpec":"t","Steps":[{"Count":1,"Cpu":500}]}'

_IDENTITY = PeerIdentity(EntryId('e1'), Incarnation('1'), DataCentreId('ruse'))


@dataclass
class Front:
    """An entry without a path to the cell's owner, and its store."""

    store: PollingMemoryStore
    configuration: Configuration | None = Cluster.configuration
    intake: Intake = field(init=False)
    api: JobApi = field(init=False)

    def __post_init__(self) -> None:
        """Create the intake and the API."""
        link = OwnerLink(OwnerView(), CELL, _IDENTITY, 0.3)
        self.intake = Intake(self.store, CELL, link, lambda: None)
        self.api = JobApi(self.intake, lambda: self.configuration)

    async def ask(
        self,
        method: str,
        path: str = JOB_PATH,
        *,
        body: bytes = b'',
        host: str = 'a.example',
    ) -> HttpResponse:
        """Send one request to the front."""
        return await self.api.handle(
            HttpRequest(
                method=method,
                target=path,
                headers={
                    'host': host,
                    'x-marjoramwharf-deadline-ms': '3000',
                },
                body=body,
                arrived_s=trio.current_time(),
            ),
        )

    async def submit(self, path: str = JOB_PATH) -> int:
        """Submit a job of one task, and return the status."""
        return (await self.ask('POST', path, body=JOB_BODY)).status

    async def cancel(self, path: str = JOB_PATH) -> int:
        """Cancel the job, and return the status."""
        return (await self.ask('DELETE', path)).status


def open_front(state: KeyValueState | None = None) -> Front:
    """Return an entry with a client of its own to a store."""
    return Front(PollingMemoryStore(state))


def carry_out_late(store: PollingMemoryStore) -> list[Committed | Conflict]:
    """Let a store carry out the writes that it holds; return the outcomes."""
    outcomes = [commit() for commit in store.delayed_commits]
    store.delayed_commits.clear()
    return outcomes


async def wait_for_owner(cluster: Cluster, candidate: Candidate) -> Cell:
    """Wait until an entry owns the cell, and return the cell."""
    await cluster.wait_until(
        lambda: candidate.cell is not None and candidate.cell.is_loaded
    )
    if candidate.cell is None:
        raise AssertionError('the entry lost the cell at once')
    return candidate.cell


def decode_body(reply: HttpResponse) -> Any:
    """Return the decoded body of an answer."""
    return json.loads(reply.body)
