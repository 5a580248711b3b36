"""RPC to a former owner of a cell: since when it can't extend leases any more.

The answer is an age, since the clocks of two entries can't be compared.
"""

from __future__ import annotations

import random
from functools import partial

import trio

from marjoramwharf.cells.ownership import Tenure
from marjoramwharf.cells.records import CellId, EntryRecord
from marjoramwharf.errors import Failure
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.tcp import open_stream
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.logs import part_logger

_LOG = part_logger('owner')

TENURE_END_METHOD = 'tenure-end'

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_MS_PER_S = 1_000
_CONNECT_POLL_S = 0.02
_TIMEOUT_S = 0.3


def last_extension_s(tenure: Tenure, hold_after_expiry_s: float) -> float:
    """Return until when an owner could extend leases in a tenure that ended.

    It goes on for ``hold_after_expiry_s`` after its own lease may have expired.
    """
    return min(tenure.ended_s, tenure.valid_until_s + hold_after_expiry_s)


def answer_tenure_end(
    latest: Tenure | None,
    hold_after_expiry_s: float,
    call: Message,
    *,
    now_s: float,
) -> Message:
    """Answer a later owner; ``latest`` is the tenure of this one that ended."""
    fence = int(call.body)
    if latest is None or latest.revision != fence:
        return ttypes.JobReply(status=_STATUS_NOT_FOUND, body=b'')
    age_s = now_s - last_extension_s(latest, hold_after_expiry_s)
    age_ms = max(0, int(age_s * _MS_PER_S))
    return ttypes.JobReply(status=_STATUS_OK, body=str(age_ms).encode())


async def ask_tenure_end(
    identity: PeerIdentity, cell: CellId, record: EntryRecord, fence: int
) -> float | None:
    """Ask how long ago a former owner could last extend leases, in seconds.

    Returns ``None`` if its tenure with this fence goes on, or if the call fails.
    Waits for a connection until cancelled.
    """
    client = PeerClient(
        partial(open_stream, record.host, record.port),
        identity=identity,
        secret=record.secret,
        rng=random.Random(),
    )
    call = ttypes.JobCall(
        method=TENURE_END_METHOD, shard=cell, body=str(fence).encode()
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(client.run)
        while client.peer is None:
            await trio.sleep(_CONNECT_POLL_S)
        age_s = await _read_age_s(client, call)
        nursery.cancel_scope.cancel()
    return age_s


async def _read_age_s(client: PeerClient, call: Message) -> float | None:
    try:
        reply = await client.call(call, timeout_s=_TIMEOUT_S)
    except Failure as failure:
        _LOG.info('end of tenure not told', error=str(failure))
        return None
    is_told = reply.status == _STATUS_OK
    return int(reply.body) / _MS_PER_S if is_told else None
