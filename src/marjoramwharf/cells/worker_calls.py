"""Calls to a worker as messages that another entry can send for the owner."""

from __future__ import annotations

from typing import TypeAlias, TypeVar

from msgspec import DecodeError, Struct, msgpack

from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    OrderAnswer,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
    WorkerClient,
)
from marjoramwharf.errors import BadFrame

_Reply = TypeVar('_Reply', HoldReport, OrderAnswer)


class HoldCall(Struct, frozen=True, tag=0, array_like=True):
    """Poll a worker; the reply is a ``HoldReport``."""

    worker: WorkerAddress
    order: HoldOrder
    timeout_s: float


class StartCall(Struct, frozen=True, tag=1, array_like=True):
    """Start a run; the reply is an ``OrderAnswer``, as to those below."""

    worker: WorkerAddress
    order: StartOrder
    timeout_s: float


class StopCall(Struct, frozen=True, tag=2, array_like=True):
    """Stop a run."""

    worker: WorkerAddress
    order: StopOrder
    timeout_s: float


class PaceCall(Struct, frozen=True, tag=3, array_like=True):
    """Change the speed of a run."""

    worker: WorkerAddress
    order: PaceOrder
    timeout_s: float


OrderCall: TypeAlias = StartCall | StopCall | PaceCall
WorkerCall: TypeAlias = HoldCall | OrderCall


async def execute_call(
    client: WorkerClient, call: WorkerCall
) -> HoldReport | OrderAnswer:
    """Send a call to its worker."""
    match call:
        case HoldCall(worker, order, timeout_s):
            return await client.hold(worker, order, timeout_s=timeout_s)
        case StartCall(worker, order, timeout_s):
            return await client.start(worker, order, timeout_s=timeout_s)
        case StopCall(worker, order, timeout_s):
            return await client.stop(worker, order, timeout_s=timeout_s)
        case PaceCall(worker, order, timeout_s):
            return await client.pace(worker, order, timeout_s=timeout_s)


def encode_call(call: WorkerCall) -> bytes:
    """Encode a call for another entry."""
    return msgpack.encode(call)


def decode_call(raw: bytes) -> WorkerCall:
    """Decode the call of another entry; raises ``BadFrame``."""
    try:
        return msgpack.decode(raw, type=WorkerCall)
    except (DecodeError, RecursionError, UnicodeError) as failure:
        raise BadFrame(message=f'malformed worker call: {failure}') from failure


def encode_reply(reply: HoldReport | OrderAnswer) -> bytes:
    """Encode a worker's answer for the entry that asked."""
    return msgpack.encode(reply)


def decode_reply(raw: bytes, reply_type: type[_Reply]) -> _Reply:
    """Decode a worker's answer from another entry; raises ``BadFrame``."""
    try:
        return msgpack.decode(raw, type=reply_type)
    except (DecodeError, RecursionError, UnicodeError) as failure:
        raise BadFrame(
            message=f'malformed worker reply: {failure}'
        ) from failure
