"""Claims that let a non-idempotent request run once, kept in the store.

A claim is created before the first dispatch and completed with the answer. It
names the worker and the call, so that any entry can settle it later. Writes
that wait while a commit is in progress share the next one.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from urllib.parse import quote

import msgspec

from marjoramwharf.contracts._claim_lease import BucketLease
from marjoramwharf.contracts._claim_writer import ClaimWriter, PendingWrite
from marjoramwharf.contracts.claim_values import (
    Claim,
    ClaimOutcome,
    ClaimRecord,
    ClaimWithdrawn,
)
from marjoramwharf.errors import Failure
from marjoramwharf.ids import CallId, Incarnation, TeamId, WorkerId, random_id
from marjoramwharf.links.store import Store
from marjoramwharf.logs import part_logger
from marjoramwharf.machines.calls import CallAnswer

_log = part_logger('claims')


class ClaimStore:
    """Reads and writes claims; ``run`` must be running for the writes.

    The claims that one entry writes in the same time bucket share a store
    lease, so that no claim costs a lease of its own. A claim lives for
    ``ttl_s`` to 1.05 times ``ttl_s`` after its last write.
    """

    def __init__(
        self,
        store: Store,
        *,
        ttl_s: int,
        body_limit_bytes: int,
        clock: Callable[[], float],
    ) -> None:
        """Set up the writer; ``clock`` returns monotonic seconds."""
        self._body_limit_bytes = body_limit_bytes
        lease = BucketLease(store, ttl_s=ttl_s)
        self._writer = ClaimWriter(store, lease, clock)

    async def run(self) -> None:
        """Write queued claims until cancelled."""
        await self._writer.run()

    async def wait_until_drained(self) -> None:
        """Wait until all queued writes are done, for a planned stop."""
        await self._writer.wait_until_drained()

    async def look_up(self, team: TeamId, key: str) -> Claim | None:
        """Read a claim, if there is one; raises ``StoreUnavailable``."""
        return await self._writer.read(claim_key(team, key))

    async def create(
        self,
        team: TeamId,
        key: str,
        *,
        digest: str,
        worker_id: WorkerId,
        call_id: CallId,
        incarnation: Incarnation,
    ) -> ClaimOutcome:
        """Create a claim, or return the one that exists.

        Raises the ``Failure`` of the store; the call must then not be
        dispatched.
        """
        record = ClaimRecord(
            digest,
            worker_id,
            call_id,
            1,
            random_id(),
            incarnation,
        )
        return await self._write(
            PendingWrite(claim_key(team, key), 0, record, True)
        )

    async def take_over(
        self,
        claim: Claim,
        *,
        worker_id: WorkerId,
        call_id: CallId,
        incarnation: Incarnation,
    ) -> ClaimOutcome:
        """Move a claim to a new call.

        The caller must have proof that the former call never runs. Of several
        callers with the same claim only one succeeds.
        """
        record = ClaimRecord(
            claim.record.digest,
            worker_id,
            call_id,
            claim.record.attempt + 1,
            random_id(),
            incarnation,
        )
        return await self._write(
            PendingWrite(claim.key, claim.revision, record, True),
        )

    async def withdraw(self, claim: Claim) -> bool:
        """Delete a claim; the caller must have proof that its call never runs.

        ``False`` means that it was taken over, so its request may still run.
        Raises the ``Failure`` of the store.
        """
        outcome = await self._write(
            PendingWrite(claim.key, claim.revision, None, True),
        )
        return isinstance(outcome, ClaimWithdrawn)

    def complete(self, claim: Claim, answer: CallAnswer) -> None:
        """Queue the answer of a claim's call for a write in the background.

        The body is stored only up to the limit, its digest in any case.
        """
        is_kept = len(answer.body) <= self._body_limit_bytes
        record = msgspec.structs.replace(
            claim.record,
            writer=random_id(),
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body if is_kept else None,
            body_sha256=hashlib.sha256(answer.body).hexdigest(),
        )
        pending = PendingWrite(
            claim.key,
            claim.revision,
            record,
            is_urgent=False,
        )
        if not self._writer.add(pending):
            _log.warning(
                'claim completion dropped: queue is full',
                call=claim.record.call_id,
            )

    async def _write(self, pending: PendingWrite) -> ClaimOutcome:
        self._writer.add(pending)
        await pending.done.wait()
        if isinstance(pending.outcome, Failure):
            raise pending.outcome
        assert pending.outcome is not None
        return pending.outcome


def claim_key(team: TeamId, key: str) -> str:
    """Return the store key of a claim; slashes in ``key`` are escaped."""
    return f'/once/{quote(team, safe="")}/{quote(key, safe="")}'


def request_digest(service: str, content_type: str, body: bytes) -> str:
    """Return the digest of a request; a repeat of it must have the same.

    >>> request_digest('notice', 'text/plain', b'')[:8]
    '30b2c0a3'
    """
    digest = hashlib.sha256()
    for part in (service.encode(), content_type.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
