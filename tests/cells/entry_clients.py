"""The clients with which the entries of a cluster call others."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from functools import partial

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.former_owner import FormerOwner
from marjoramwharf.cells.ownership import Tenure
from marjoramwharf.cells.records import EntryRecord
from marjoramwharf.cells.routed_worker_client import RoutedWorkerClient
from marjoramwharf.cells.tenure_end import last_extension_s
from marjoramwharf.cells.worker_messages import WorkerClient
from marjoramwharf.ids import DataCentreId, EntryId
from marjoramwharf.links.peer_messages import PeerIdentity
from standins.frozen_process import FreezableWorkerClient
from standins.partitioned_worker_client import PartitionedWorkerClient
from standins.relaying_entries import RelayingEntries
from tests.cells.candidate import Candidate

HOLD_AFTER_EXPIRY_S = 1.2


def routed_client_of(
    candidate: Candidate,
    candidates: Sequence[Candidate],
    shared_client: WorkerClient,
    nursery: trio.Nursery,
) -> RoutedWorkerClient:
    """Return the client of an owner, which may call through other entries."""

    def clients() -> Iterator[tuple[EntryId, WorkerClient]]:
        if candidate.is_isolated:
            return
        for number, other in enumerate(candidates):
            is_cut_off = any(other is cut for cut in candidate.unconnected)
            is_gone = is_cut_off or other.scope.cancel_called
            if other is not candidate and not is_gone:
                yield EntryId(f'e{number}'), _direct(other, shared_client)

    return RoutedWorkerClient(
        _direct(candidate, shared_client), RelayingEntries(clients, nursery)
    )


def former_owner_of(
    candidate: Candidate,
    candidates: Sequence[Candidate],
    tenure: Tenure,
    unnoticed_s: float,
) -> FormerOwner:
    """Return what an owner finds out about the one before it."""
    campaign = candidate.campaign
    return FormerOwner(
        tenure,
        candidate.view.succession,
        unnoticed_s,
        HOLD_AFTER_EXPIRY_S,
        None if campaign is None else campaign.latest_tenure,
        partial(_ask_tenure_end, candidates),
        partial(_ask_candidate, candidates),
    )


async def _ask_tenure_end(
    candidates: Sequence[Candidate], record: EntryRecord, fence: int
) -> float | None:
    """Return how long ago a former owner could last extend leases."""
    await trio.lowlevel.checkpoint()
    for other in candidates:
        latest = other.campaign and other.campaign.latest_tenure
        if latest and latest.revision == fence:
            return boot_s() - last_extension_s(latest, HOLD_AFTER_EXPIRY_S)
    return None


async def _ask_candidate(
    candidates: Sequence[Candidate], record: EntryRecord
) -> PeerIdentity:
    """Return who answers at the address of an entry."""
    await trio.lowlevel.checkpoint()
    for other in candidates:
        campaign = other.campaign
        is_listening = not (
            other.refuses_connections or other.scope.cancel_called
        )
        if is_listening and campaign and campaign.record.host == record.host:
            return PeerIdentity(
                EntryId(campaign.record.entry_id),
                campaign.record.incarnation,
                DataCentreId(''),
            )
    raise ConnectionRefusedError


def _direct(
    candidate: Candidate, shared_client: WorkerClient
) -> FreezableWorkerClient:
    """Return a client that reaches only what an entry has a path to."""
    return FreezableWorkerClient(
        PartitionedWorkerClient(shared_client, candidate.unreachable),
        candidate.gate,
    )
