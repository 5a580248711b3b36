"""The platform's settings file: lines of ``a.b=value``.

Unknown fields are ignored, since new ones may come. A field that is needed
and missing, or that can't be read, raises ``BadSettings`` with its name.
"""

from __future__ import annotations

import os
import pathlib
from collections.abc import Callable, Mapping
from typing import TypeVar

from marjoramwharf.cells.instance_settings import (
    Address,
    Bounds,
    InstanceSettings,
    StoreLimits,
)
from marjoramwharf.errors import BadSettings
from marjoramwharf.ids import DataCentreId, EntryId, RegionId

_FILE_VARIABLE = 'MARJORAMWHARF_BOOT'
_MS_PER_S = 1_000

_Field = TypeVar('_Field')
_Fields = Mapping[str, str]


def settings_path() -> pathlib.Path:
    """Return the path of the settings file; raises ``BadSettings``."""
    path = os.environ.get(_FILE_VARIABLE, '')
    if not path:
        raise BadSettings(message=f'{_FILE_VARIABLE} is not set')
    return pathlib.Path(path)


def load_place(path: pathlib.Path) -> InstanceSettings:
    """Read the settings of an entry from a file."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as failure:
        raise BadSettings(message=f'{path}: {failure}') from failure
    return parse_place(text, origin=str(path))


def parse_place(text: str, *, origin: str) -> InstanceSettings:
    """Read the settings of an entry from a text."""
    fields = _split(text)

    def read(
        name: str,
        convert: Callable[[str], _Field],
        default: _Field | None = None,
    ) -> _Field:
        return _field(fields, name, convert, default, origin)

    return InstanceSettings(
        entry_id=EntryId(read('Node', _name)),
        data_centre=DataCentreId(read('Zone', _name)),
        region=RegionId(read('Region', str, '')),
        host=read('Ip', _name),
        front=_optional_address(fields, 'ListenAddrs.Front', origin),
        ready=_optional_address(fields, 'ListenAddrs.Ready', origin),
        peer_ports=read('PortRange', _ports),
        store_address=read('platform.Address', _name),
        advice_address=read('Advice', str, ''),
        machines_address=read('CloudApi.Address', str, ''),
        cpu_share=read('Limits.CpuShare', float, 1.0)
        * read('Limits.Cores', float, 1.0),
        memory_mb=read('Limits.MemoryMb', _whole, 300),
        bounds=_bounds(fields, origin),
        store_limits=StoreLimits(
            writes_per_s=read('platform.WritesPerS', float, 400.0),
            reads_per_s=read('platform.ReadsPerS', float, 2_000.0),
            min_ttl_ms=read('platform.TtlMinMs', _whole, 1_000),
            max_value_bytes=read('platform.ValueBytes', _whole, 1_048_576),
        ),
    )


def _bounds(fields: _Fields, origin: str) -> Bounds:
    """``GraceS`` and ``status_s`` are in seconds, the others in ms."""

    def whole(name: str, default: int) -> int:
        return _field(fields, f'Bounds.{name}', _whole, default, origin)

    def seconds(name: str, default: float) -> int:
        found = _field(fields, f'Bounds.{name}', float, default, origin)
        return round(found * _MS_PER_S)

    return Bounds(
        max_hold_ms=whole('MaxHoldMs', 10_000),
        stop_ms=whole('StopMs', 1_000),
        drain_ms=whole('DrainMs', 2_000),
        grace_ms=seconds('GraceS', 6),
        config_apply_ms=whole('ConfigApplyMs', 2_000),
        early_ms=whole('early_ms', 0),
        status_ms=seconds('status_s', 120),
        gang_wait_ms=whole('GangMs', 3_000),
        max_over_target_ms=whole('HarmMs', 4_000),
        far_factor=_field(fields, 'Bounds.FarX', float, 1.0, origin),
    )


def _split(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, content = line.partition('=')
        if separator:
            fields[name.strip()] = content.strip()
    return fields


def _field(
    fields: _Fields,
    name: str,
    convert: Callable[[str], _Field],
    default: _Field | None,
    origin: str,
) -> _Field:
    found = fields.get(name, '')
    if not found and default is not None:
        return default
    try:
        return convert(found)
    except ValueError as failure:
        message = f'{origin}: {name}: {found!r} is not allowed: {failure}'
        raise BadSettings(message=message) from failure


def _optional_address(
    fields: _Fields,
    name: str,
    origin: str,
) -> Address | None:
    if not fields.get(name):
        return None
    return _field(fields, name, _address, None, origin)


def _address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return (_name(host), int(port))


def _ports(text: str) -> tuple[int, int]:
    first, _, last = text.partition(',')
    return (int(first), int(last))


def _whole(text: str) -> int:
    return round(float(text))


def _name(text: str) -> str:
    if not text:
        raise ValueError('a value is needed')
    return text
