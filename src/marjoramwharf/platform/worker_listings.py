"""Decodes the listings that workers write of themselves into the store.

A key below ``servers/`` may have been written by someone else. A listing that
can't be decoded, whose state is unknown, or that has a number or an address
which no worker can have, raises ``BadListing``, so that the worker gets no new
runs.
"""

from __future__ import annotations

import enum
from ipaddress import IPv4Address

from msgspec import DecodeError, Struct, convert

from marjoramwharf.errors import BadListing
from marjoramwharf.ids import DataCentreId, WorkerId
from marjoramwharf.json_bodies import Amount, Port, decode_json
from marjoramwharf.scheduling.fleet import Resources, WorkerListing, WorkerState

WORKERS_PREFIX = 'servers/'

# One more than a port has, so that a longer text is out of range.
_PORT_DIGITS = 6


@enum.unique
class _State(enum.Enum):
    READY = 'ready'
    DRAINING = 'draining'


_STATES = {
    _State.READY: WorkerState.READY,
    _State.DRAINING: WorkerState.DRAINING,
}


class _Capacity(Struct, frozen=True, rename='pascal'):
    """``Cpu`` is in millicores; ``Gpu`` is a number of accelerators."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class _ListingBody(Struct, frozen=True, rename='pascal'):
    """``RemainingMs`` is present only while the worker drains."""

    service: str
    address: str
    state: _State
    capacity: _Capacity
    zone: str = ''
    labels: tuple[str, ...] = ()
    remaining_ms: Amount | None = None
    machine: str = ''


class _StartTimeBody(Struct, frozen=True):
    """``born`` is the Unix time of the worker's start in ms."""

    born: Amount = 0


def worker_id_from_key(key: str) -> WorkerId:
    """Return the id of the worker whose listing has this key."""
    return WorkerId(key.removeprefix(WORKERS_PREFIX))


def decode_listing(key: str, raw: bytes) -> WorkerListing:
    """Decode the listing stored under ``key``; raises ``BadListing``."""
    try:
        listing = decode_json(raw, _ListingBody)
        start_time = decode_json(raw, _StartTimeBody)
        host, port = _split_address(listing.address)
    except (DecodeError, ValueError) as failure:
        raise BadListing(message=f'{key}: {failure}') from failure
    return WorkerListing(
        worker_id=worker_id_from_key(key),
        service=listing.service,
        host=host,
        port=port,
        data_centre=DataCentreId(listing.zone),
        state=_STATES[listing.state],
        capacity=Resources(
            cpu_millicores=listing.capacity.cpu,
            memory_mb=listing.capacity.mem_mb,
            accelerators_count=listing.capacity.gpu,
        ),
        labels=listing.labels,
        born_ms=start_time.born,
        remaining_ms=listing.remaining_ms,
        machine=listing.machine,
    )


def _split_address(text: str) -> tuple[str, int]:
    """Return the parts of ``IPv4:port``; raises ``ValueError``."""
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdecimal()):
        raise ValueError(f'{text!r} has no port')
    return str(IPv4Address(host)), convert(int(port[:_PORT_DIGITS]), Port)
