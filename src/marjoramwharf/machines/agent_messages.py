"""Bodies and headers of the worker agent's HTTP API, except those of calls."""

from __future__ import annotations

import msgspec

from marjoramwharf.ids import EntryId, Epoch, GrantId
from marjoramwharf.machines.calls import WorkerRefusal

INCARNATION_HEADER = 'X-Worker-Incarnation'
EXPECTED_INCARNATION_HEADER = 'X-Expected-Incarnation'


class RefusalReply(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a refusal to run a call or start a task, with the reason."""

    refused: WorkerRefusal


class LeaseRequest(msgspec.Struct, frozen=True):
    """Body of a heartbeat that fences old epochs and extends the lease."""

    epoch: Epoch
    owner: EntryId
    revoked: tuple[GrantId, ...]
    lease_ms: int


class StopRequest(msgspec.Struct, frozen=True):
    """Body of a request to stop an attempt and, if asked, save progress."""

    fence: tuple[int, int]
    with_checkpoint: bool


class ThrottleRequest(msgspec.Struct, frozen=True):
    """Body of a request to limit a task to a share, 0 to 1, of its CPUs."""

    cpu_share: float
