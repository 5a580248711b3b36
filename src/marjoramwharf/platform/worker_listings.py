"""The entries that workers write of themselves into the store.

An entry may come from another writer. One that can't be read, or that names
a state that isn't known, names no worker to use.
"""

from __future__ import annotations

import enum

from msgspec import DecodeError, Struct

from marjoramwharf.errors import BadListing
from marjoramwharf.ids import DataCentreId, WorkerId
from marjoramwharf.json_bodies import decode_json
from marjoramwharf.scheduling.fleet import Room, WorkerListing, WorkerState

WORKERS_PREFIX = 'servers/'


@enum.unique
class _State(enum.Enum):
    READY = 'ready'
    DRAINING = 'draining'


_STATES = {
    _State.READY: WorkerState.READY,
    _State.DRAINING: WorkerState.DRAINING,
}


class _Capacity(Struct, frozen=True, rename='pascal'):
    """``Cpu`` is in thousandths of a core, ``Gpu`` a count."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Entry(Struct, frozen=True, rename='pascal'):
    """``RemainingMs`` is only there while the worker drains."""

    service: str
    address: str
    state: _State
    capacity: _Capacity
    zone: str = ''
    labels: tuple[str, ...] = ()
    remaining_ms: int | None = None
    machine: str = ''


class _Birth(Struct, frozen=True):
    """``born`` is the Unix time of the worker's start in ms."""

    born: int = 0


def worker_id_from_key(key: str) -> WorkerId:
    """Return the id of the worker that a key is the entry of."""
    return WorkerId(key.removeprefix(WORKERS_PREFIX))


def decode_listing(key: str, raw: bytes) -> WorkerListing:
    """Return the worker of an entry; raises ``BadListing``."""
    try:
        entry = decode_json(raw, _Entry)
        birth = decode_json(raw, _Birth)
        host, port = _split_address(entry.address)
    except (DecodeError, ValueError) as failure:
        raise BadListing(message=f'{key}: {failure}') from failure
    return WorkerListing(
        worker_id=worker_id_from_key(key),
        service=entry.service,
        host=host,
        port=port,
        data_centre=DataCentreId(entry.zone),
        state=_STATES[entry.state],
        capacity=Room(
            cpu_millicores=entry.capacity.cpu,
            memory_mb=entry.capacity.mem_mb,
            accelerators_count=entry.capacity.gpu,
        ),
        labels=entry.labels,
        born_ms=birth.born,
        remaining_ms=entry.remaining_ms,
        machine=entry.machine,
    )


def _split_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return (host, int(port))
