"""Bodies and headers of the worker agent's contract, beside those of calls."""

from __future__ import annotations

import msgspec

from marjoramwharf.ids import EntryId, Epoch, GrantId
from marjoramwharf.machines.calls import WorkerRefusal

INCARNATION_HEADER = 'X-Worker-Incarnation'
EXPECTED_INCARNATION_HEADER = 'X-Expected-Incarnation'


class RefusalReply(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a refusal; it proves that nothing was run or started."""

    refused: WorkerRefusal


class LeaseRequest(msgspec.Struct, frozen=True):
    """Body of a heartbeat that fences and extends a worker's lease."""

    epoch: Epoch
    owner: EntryId
    revoked: tuple[GrantId, ...]
    lease_ms: int


class StopRequest(msgspec.Struct, frozen=True):
    """Body of a request to stop one attempt of a task."""

    fence: tuple[int, int]
    with_checkpoint: bool


class ThrottleRequest(msgspec.Struct, frozen=True):
    """Body of a request to limit a task's processors; 0 to 1."""

    cpu_share: float
