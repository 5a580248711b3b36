"""Reads the platform's settings file, which has lines of ``a.b=value``.

Unknown fields are ignored, since the platform may add some. A required field
that is missing, or one that can't be parsed, raises ``BadSettings`` with its
name.
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

_PATH_VARIABLE = 'MARJORAMWHARF_BOOT'
_MS_PER_S = 1_000

_Field = TypeVar('_Field')
_Fields = Mapping[str, str]


def settings_path() -> pathlib.Path:
    """Return the path of the settings file from the environment.

    Raises ``BadSettings`` if the variable is not set.
    """
    path = os.environ.get(_PATH_VARIABLE, '')
    if not path:
        raise BadSettings(message=f'{_PATH_VARIABLE} is not set')
    return pathlib.Path(path)


def load_instance_settings(path: pathlib.Path) -> InstanceSettings:
    """Read the settings of an entry; raises ``BadSettings``."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as failure:
        raise BadSettings(
            message=f'{path} can not be read: {failure}'
        ) from failure
    return parse_instance_settings(text, origin=str(path))


def parse_instance_settings(text: str, *, origin: str) -> InstanceSettings:
    """Parse the settings of an entry; errors name ``origin`` and the field.

    Raises ``BadSettings``.
    """
    fields = _parse_lines(text)

    def read(
        name: str,
        convert: Callable[[str], _Field],
        default: _Field | None = None,
    ) -> _Field:
        return _read_field(fields, name, convert, default, origin)

    return InstanceSettings(
        entry_id=EntryId(read('Node', _parse_nonempty)),
        data_centre=DataCentreId(read('Zone', _parse_nonempty)),
        region=RegionId(read('Region', str, '')),
        host=read('Ip', _parse_nonempty),
        front=_read_optional_address(fields, 'ListenAddrs.Front', origin),
        ready=_read_optional_address(fields, 'ListenAddrs.Ready', origin),
        peer_ports=read('PortRange', _parse_port_range),
        store_address=read('platform.Address', _parse_nonempty),
        advice_address=read('Advice', str, ''),
        machines_address=read('CloudApi.Address', str, ''),
        # The product of a share and a number of cores is in cores.
        cpu_share=read('Limits.CpuShare', float, 1.0)
        * read('Limits.Cores', float, 1.0),
        memory_mb=read('Limits.MemoryMb', _parse_rounded, 300),
        bounds=_read_bounds(fields, origin),
        store_limits=StoreLimits(
            writes_per_s=read('platform.WritesPerS', float, 400.0),
            reads_per_s=read('platform.ReadsPerS', float, 2_000.0),
            min_ttl_ms=read('platform.TtlMinMs', _parse_rounded, 1_000),
            max_value_bytes=read(
                'platform.ValueBytes', _parse_rounded, 1_048_576
            ),
        ),
    )


def _read_bounds(fields: _Fields, origin: str) -> Bounds:
    """Read the bounds; ``GraceS`` and ``status_s`` are in s, others in ms."""

    def read_rounded(name: str, default: int) -> int:
        return _read_field(
            fields, f'Bounds.{name}', _parse_rounded, default, origin
        )

    def read_s_as_ms(name: str, default: float) -> int:
        bound_s = _read_field(fields, f'Bounds.{name}', float, default, origin)
        return round(bound_s * _MS_PER_S)

    return Bounds(
        max_hold_ms=read_rounded('MaxHoldMs', 10_000),
        stop_ms=read_rounded('StopMs', 1_000),
        drain_ms=read_rounded('DrainMs', 2_000),
        grace_ms=read_s_as_ms('GraceS', 6),
        config_apply_ms=read_rounded('ConfigApplyMs', 2_000),
        early_ms=read_rounded('early_ms', 0),
        status_ms=read_s_as_ms('status_s', 120),
        gang_wait_ms=read_rounded('GangMs', 3_000),
        max_over_target_ms=read_rounded('HarmMs', 4_000),
        far_factor=_read_field(fields, 'Bounds.FarX', float, 1.0, origin),
    )


def _parse_lines(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, content = line.partition('=')
        if separator:
            fields[name.strip()] = content.strip()
    return fields


def _read_field(
    fields: _Fields,
    name: str,
    convert: Callable[[str], _Field],
    default: _Field | None,
    origin: str,
) -> _Field:
    text = fields.get(name, '')
    if not text and default is not None:
        return default
    try:
        return convert(text)
    except ValueError as failure:
        message = f'{origin}: {name}: {text!r} is not allowed: {failure}'
        raise BadSettings(message=message) from failure


def _read_optional_address(
    fields: _Fields,
    name: str,
    origin: str,
) -> Address | None:
    if not fields.get(name):
        return None
    return _read_field(fields, name, _parse_address, None, origin)


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return (_parse_nonempty(host), int(port))


def _parse_port_range(text: str) -> tuple[int, int]:
    first, _, last = text.partition(',')
    return (int(first), int(last))


def _parse_rounded(text: str) -> int:
    return round(float(text))


def _parse_nonempty(text: str) -> str:
    if not text:
        raise ValueError('a value is required')
    return text
