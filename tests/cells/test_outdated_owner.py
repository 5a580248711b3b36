"""States of jobs told by an owner that may have been replaced."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.cells.owner_link import answer_job_call
from marjoramwharf.cells.records import list_position_key
from marjoramwharf.errors import NotOwner
from marjoramwharf.ids import (
    DataCentreId,
    EntryId,
    Incarnation,
    JobId,
)
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.scheduling.workload import JobRequest
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    CELL,
    QUEUE,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
)

_FREEZE_S = 6.0
_OK = 200
_MAY_BE_OUTDATED = 203


class OutdatedOwnerTests(unittest.TestCase):
    """Guards against a state that goes back, told by a former owner."""

    def test_former_owner_wakes(self) -> None:
        """Guards against "running" for a job that another owner has ended."""
        run_with_clock(self._former_owner_wakes)

    def test_former_owner_knows_its_successor(self) -> None:
        """Guards against a former owner that tries to acquire a taken cell."""
        run_with_clock(self._former_owner_knows_its_successor)

    def test_answer_to_a_peer(self) -> None:
        """Guards against a peer that takes an outdated state for certain."""
        run_with_clock(self._answer_to_a_peer)

    def test_waiting_count_of_a_former_owner(self) -> None:
        """Guards against "none wait" by an owner that has lost the store."""
        run_with_clock(self._waiting_count_of_a_former_owner)

    async def _former_owner_wakes(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            request = job_request('aa', payload='ms=3000')
            first = await self._freeze_owner(cluster, nursery, request)
            cell = first.cell
            self.assertIsNotNone(cell)
            if cell is None:
                return
            cluster.spawn(nursery, 'e2')
            await cluster.wait_until(
                lambda: (
                    self._state_at(cluster, 1, request.job_id)
                    is PublicJobState.DONE
                )
            )
            answer = cell.answer_status(request.job_id)
            self.assertIsNotNone(answer)
            if answer is not None:
                self.assertIs(PublicJobState.RUNNING, answer.state)
                self.assertTrue(answer.may_be_outdated)

    async def _former_owner_knows_its_successor(self) -> None:
        async with open_cluster() as (cluster, nursery):
            request = job_request('aa', payload='ms=100')
            former = await self._freeze_owner(
                cluster, nursery, request, until=PublicJobState.DONE
            )
            cluster.spawn(nursery, 'e2')
            await trio.sleep(_FREEZE_S + 2)
            store = cluster.store
            before = store.commits_count
            revision = store.state.revision
            await trio.sleep(5)
            # The new owner stores how far it has followed the list.
            positions = store.state.changes_after(
                revision, list_position_key(CELL)
            )
            self.assertEqual(len(positions), store.commits_count - before)
            self.assertEqual(1, former.tenures_count)

    async def _answer_to_a_peer(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            request = job_request('aa', payload='ms=60000')
            first = await self._freeze_owner(cluster, nursery, request)
            self.assertEqual(_OK, await self._ask(first, request.job_id))
            await trio.sleep(_FREEZE_S / 2)
            self.assertEqual(
                _MAY_BE_OUTDATED, await self._ask(first, request.job_id)
            )

    async def _waiting_count_of_a_former_owner(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            request = job_request('aa', payload='ms=60000')
            first = await self._freeze_owner(cluster, nursery, request)
            self.assertEqual(b'0', await self._count_waiting(first))
            await trio.sleep(_FREEZE_S / 2)
            await cluster.submit(job_request('bb'))
            with self.assertRaises(NotOwner):
                await self._count_waiting(first)

    async def _freeze_owner(
        self,
        cluster: Cluster,
        nursery: trio.Nursery,
        request: JobRequest,
        *,
        until: PublicJobState = PublicJobState.RUNNING,
    ) -> Candidate:
        """Start a job at a first owner, which stands still from then on."""
        first = cluster.spawn(nursery, 'e1')
        await cluster.submit(request)
        await cluster.wait_until(
            lambda: self._state_at(cluster, 0, request.job_id) is until
        )
        first.gate.freeze(_FREEZE_S)
        return first

    def _state_at(
        self, cluster: Cluster, number: int, job_id: JobId
    ) -> PublicJobState | None:
        cell = cluster.candidates[number].cell
        return None if cell is None else cell.status(job_id)

    async def _ask(self, candidate: Candidate, job_id: JobId) -> int:
        """Return the status of the answer to a peer's call."""
        return int((await self._call(candidate, 'status', job_id)).status)

    async def _count_waiting(self, candidate: Candidate) -> bytes:
        return bytes((await self._call(candidate, 'waiting', QUEUE)).body)

    async def _call(
        self, candidate: Candidate, method: str, argument: str
    ) -> Message:
        identity = PeerIdentity(
            EntryId('e2'), Incarnation('1'), DataCentreId('ruse')
        )
        call = ttypes.JobCall(method=method, shard=CELL, body=argument.encode())
        return await answer_job_call(lambda: candidate.cell, identity, call)
