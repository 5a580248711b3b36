"""Calls of an entry to the owner of a cell, and the owner's answers."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.ownership import KnownOwner, OwnerView
from marjoramwharf.cells.records import CellId, decode, encode
from marjoramwharf.cells.status import ShownState
from marjoramwharf.errors import NotOwner, PeerRefused, PeerUnreachable
from marjoramwharf.ids import JobId
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.tcp import open_stream
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.scheduling.workload import JobRequest

_STATUS = 'status'
_WAITING = 'waiting'
_ADMIT = 'admit'
_FOUND = 200
_UNKNOWN = 404

# Refused connections in a row after which the owner's process has ended.
_REFUSALS_UNTIL_GONE = 2

CellSource = Callable[[], Cell | None]
OnGone = Callable[[KnownOwner], None]


def _ignore(_known: KnownOwner) -> None:
    """Take no notice of an owner that is gone."""


@dataclass(slots=True)
class OwnerLink:
    """Keeps a connection to whoever owns the cell.

    The methods raise ``PeerUnreachable`` or ``PeerRefused``; the caller then
    reads the store. ``on_gone`` is told of an owner whose process has ended:
    its address refuses connections, or another process answers there.
    """

    view: OwnerView
    cell: CellId
    identity: PeerIdentity
    timeout_s: float
    on_gone: OnGone = _ignore
    _client: PeerClient | None = None

    async def run(self) -> None:
        """Follow the owner until cancelled."""
        while True:
            await self._follow_owner(self.view.owners.get(self.cell))

    async def status(self, job_id: JobId) -> ShownState | None:
        """Return the state of a job, ``None`` if the owner knows none."""
        reply = await self._call(_STATUS, job_id)
        if reply.status == _UNKNOWN:
            return None
        return ShownState(reply.body.decode())

    async def waiting_count(self, queue: str) -> int:
        """Return the accepted jobs of a queue that have not begun."""
        reply = await self._call(_WAITING, queue)
        return int(reply.body)

    async def _follow_owner(self, known: KnownOwner | None) -> None:
        """Keep the connection to one owner for as long as it is named."""
        async with trio.open_nursery() as nursery:
            if known is not None and not self._is_self(known):
                self._client = self._connect(known)
                nursery.start_soon(self._client.run)
            while self.view.owners.get(self.cell) == known:
                await self.view.wait_change()
            self._client = None
            nursery.cancel_scope.cancel()

    async def can_serve(self, request: JobRequest) -> bool:
        """Return whether the workers could run a job at all."""
        reply = await self._call(_ADMIT, encode(request))
        return bool(reply.status == _FOUND)

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

    def _is_self(self, known: KnownOwner) -> bool:
        return known.record.entry_id == self.identity.entry_id

    def _connect(self, known: KnownOwner) -> PeerClient:
        record = known.record
        refusals = itertools.count(1)

        def note_failure(failure: Exception) -> None:
            if isinstance(failure, (ConnectionRefusedError, PeerRefused)):
                if next(refusals) >= _REFUSALS_UNTIL_GONE:
                    self.on_gone(known)

        return PeerClient(
            partial(open_stream, record.host, record.port),
            identity=self.identity,
            secret=record.secret,
            rng=random.Random(),
            on_failure=note_failure,
        )


async def answer_job_call(
    source: CellSource,
    _sender: PeerIdentity,
    call: Message,
) -> Message:
    """Answer a call of an entry; raises ``NotOwner`` if the cell is not ours."""
    cell = source()
    if cell is None or not cell.is_loaded or cell.mandate.cell != call.shard:
        raise NotOwner(message=f'cell {call.shard} is not owned here')
    if call.method == _ADMIT:
        request = decode(call.body, JobRequest, key='peer call')
        status = _FOUND if cell.can_serve(request) else _UNKNOWN
        return ttypes.JobReply(status=status, body=b'')
    argument = call.body.decode()
    if call.method == _WAITING:
        count = cell.job_table.waiting_count(argument)
        return ttypes.JobReply(status=_FOUND, body=str(count).encode())
    state = cell.status(JobId(argument))
    if state is None:
        return ttypes.JobReply(status=_UNKNOWN, body=b'')
    return ttypes.JobReply(status=_FOUND, body=state.value.encode())
