"""Routes job calls to the owners of their shards."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from msgspec import json

from marjoramwharf.batch.job_calls import Answer, answer_job_call
from marjoramwharf.batch.runner import JobRunner
from marjoramwharf.contracts.borrowing import PeerCaller
from marjoramwharf.contracts.ownership import OwnerRecord
from marjoramwharf.errors import NotOwner
from marjoramwharf.ids import EntryId, ShardId
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.service.drain import DrainGate

# A commit takes at most 5 s; after that, its outcome is reported as unknown.
_CALL_TIMEOUT_S = 8.0
# A peer serves 64 calls of one connection at once. When this many calls wait
# for a state change, further ones return the present state at once.
_MAX_WAITING_CALLS_COUNT = 24
_RETRY_AFTER_S = 1.0

_MS_PER_S = 1_000


class JobRouter:
    """Serves a job call here or at the peer that owns its shard."""

    def __init__(
        self,
        runner: JobRunner,
        *,
        owner_of: Callable[[ShardId], OwnerRecord | None],
        peers: Callable[[], Mapping[EntryId, PeerCaller]],
        gate: DrainGate,
    ) -> None:
        """Store the collaborators; no call is served yet."""
        self._runner = runner
        self._owner_of = owner_of
        self._peers = peers
        self._gate = gate
        self._waiting_count = 0

    async def route(self, shard: ShardId, method: str, body: bytes) -> Answer:
        """Serve a job call here, or send it to the owner of its shard."""
        with self._gate.track_request():
            owned = self._runner.shard(shard)
            if owned is not None:
                return await answer_job_call(owned, body, now_ms())
            return await self._call_owner(shard, method, body)

    async def on_job_call(
        self,
        _sender: PeerIdentity,
        call: Message,
    ) -> Message:
        """Serve a job call that a peer has forwarded."""
        owned = self._runner.shard(ShardId(call.shard))
        status, body = await answer_job_call(owned, call.body, now_ms())
        return ttypes.JobReply(status=status, body=body)

    async def _call_owner(
        self,
        shard: ShardId,
        method: str,
        body: bytes,
    ) -> Answer:
        record = self._owner_of(shard)
        peer = None
        if record is not None:
            peer = self._peers().get(record.owner)
        if peer is None:
            raise NotOwner(
                message='the owner of the shard is not reachable',
                retry_after_s=_RETRY_AFTER_S,
            )
        wait_s = _get_wait_s(method, body)
        if wait_s and self._waiting_count >= _MAX_WAITING_CALLS_COUNT:
            return await _send_call(peer, shard, method, _without_wait(body), 0)
        self._waiting_count += bool(wait_s)
        try:
            return await _send_call(peer, shard, method, body, wait_s)
        finally:
            self._waiting_count -= bool(wait_s)


async def _send_call(
    peer: PeerCaller,
    shard: ShardId,
    method: str,
    body: bytes,
    wait_s: float,
) -> Answer:
    reply = await peer.call(
        ttypes.JobCall(method=method, shard=shard, body=body),
        timeout_s=_CALL_TIMEOUT_S + wait_s,
    )
    return reply.status, reply.body


def _get_wait_s(method: str, body: bytes) -> float:
    if method != 'status':
        return 0
    return float(json.decode(body).get('wait_s', 0))


def _without_wait(body: bytes) -> bytes:
    return json.encode({**json.decode(body), 'wait_s': 0})


def now_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * _MS_PER_S)
