"""RPC from an entry to the owner of a cell: the client and the handler."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.job_status import PublicJobState, StatusAnswer
from marjoramwharf.cells.owner_view import CurrentOwner, OwnerView
from marjoramwharf.cells.records import CellId, decode, encode
from marjoramwharf.errors import NotOwner, PeerRefused, PeerUnreachable
from marjoramwharf.ids import JobId
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.tcp import open_stream
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.scheduling.workload import JobRequest

_STATUS_METHOD = 'status'
_WAITING_METHOD = 'waiting'
_ADMIT_METHOD = 'admit'
_STATUS_OK = 200
_STATUS_MAY_BE_OUTDATED = 203
_STATUS_NOT_FOUND = 404

# The owner's process counts as ended after this many refused connections or
# handshakes.
_REFUSALS_UNTIL_ENDED = 2

CellSource = Callable[[], Cell | None]
OnOwnerEnded = Callable[[CurrentOwner], None]


def _ignore_owner_end(_owner: CurrentOwner) -> None:
    """Do nothing when the process of an owner has ended."""


@dataclass(slots=True)
class OwnerLink:
    """Keeps a connection to the current owner of the cell and calls it.

    The methods raise ``PeerUnreachable`` or ``PeerRefused``; the caller then
    reads the store. ``on_owner_ended`` is called when the owner's process has
    ended: its address refuses connections, or another process answers there.
    """

    view: OwnerView
    cell: CellId
    identity: PeerIdentity
    timeout_s: float
    on_owner_ended: OnOwnerEnded = _ignore_owner_end
    _client: PeerClient | None = None

    async def run(self) -> None:
        """Connect to each owner in turn, until cancelled."""
        while True:
            await self._follow_owner(self.view.owners.get(self.cell))

    async def status(self, job_id: JobId) -> StatusAnswer | None:
        """Return the state of a job, ``None`` if the owner has no such job."""
        reply = await self._call(_STATUS_METHOD, job_id)
        if reply.status == _STATUS_NOT_FOUND:
            return None
        return StatusAnswer(
            PublicJobState(reply.body.decode()),
            may_be_outdated=reply.status == _STATUS_MAY_BE_OUTDATED,
        )

    async def waiting_count(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not begun."""
        reply = await self._call(_WAITING_METHOD, queue)
        return int(reply.body)

    async def _follow_owner(self, owner: CurrentOwner | None) -> None:
        """Stay connected to one owner until the view has another record."""
        async with trio.open_nursery() as nursery:
            if owner is not None and not self._is_self(owner):
                self._client = self._connect(owner)
                nursery.start_soon(self._client.run)
            while self.view.owners.get(self.cell) == owner:
                await self.view.wait_change()
            self._client = None
            nursery.cancel_scope.cancel()

    async def can_serve(self, request: JobRequest) -> bool:
        """Return whether some worker is large enough for each step of a job."""
        reply = await self._call(_ADMIT_METHOD, encode(request))
        return bool(reply.status == _STATUS_OK)

    async def _call(self, method: str, argument: str | bytes) -> Message:
        client = self._client
        if client is None:
            raise PeerUnreachable(message='the cell has no other owner')
        return await client.call(
            ttypes.JobCall(
                method=method,
                shard=self.cell,
                body=(
                    argument.encode() if isinstance(argument, str) else argument
                ),
            ),
            timeout_s=self.timeout_s,
        )

    def _is_self(self, owner: CurrentOwner) -> bool:
        return owner.record.entry_id == self.identity.entry_id

    def _connect(self, owner: CurrentOwner) -> PeerClient:
        """Return a client that detects the end of the owner's process."""
        record = owner.record
        refusals = itertools.count(1)

        def detect_owner_end(failure: Exception) -> None:
            if isinstance(failure, (ConnectionRefusedError, PeerRefused)):
                if next(refusals) >= _REFUSALS_UNTIL_ENDED:
                    self.on_owner_ended(owner)

        return PeerClient(
            partial(open_stream, record.host, record.port),
            identity=self.identity,
            secret=record.secret,
            rng=random.Random(),
            on_failure=detect_owner_end,
        )


async def answer_job_call(
    source: CellSource,
    _sender: PeerIdentity,
    call: Message,
) -> Message:
    """Answer a call from another entry about the cell that this entry owns.

    Raises ``NotOwner`` if this entry doesn't own the cell or hasn't loaded it,
    or can't tell how many jobs wait since another one may be the owner.
    """
    cell = source()
    if cell is None or not cell.is_loaded or cell.ownership.cell != call.shard:
        raise NotOwner(message=f'cell {call.shard} is not owned here')
    if call.method == _ADMIT_METHOD:
        request = decode(call.body, JobRequest, key='peer call')
        status = _STATUS_OK if cell.can_serve(request) else _STATUS_NOT_FOUND
        return ttypes.JobReply(status=status, body=b'')
    argument = call.body.decode()
    if call.method == _WAITING_METHOD:
        count = cell.waiting_count(argument)
        if count is None:
            raise NotOwner(message='the lease of the owner may have lapsed')
        return ttypes.JobReply(status=_STATUS_OK, body=str(count).encode())
    answer = cell.answer_status(JobId(argument))
    if answer is None:
        return ttypes.JobReply(status=_STATUS_NOT_FOUND, body=b'')
    status = _STATUS_MAY_BE_OUTDATED if answer.may_be_outdated else _STATUS_OK
    return ttypes.JobReply(status=status, body=answer.state.value.encode())
