"""Tests of reading the platform's settings file."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.errors import BadSettings
from marjoramwharf.platform.settings_file import parse_instance_settings

_TEXT = """Node=front-a-1
Zone=zone-a
Region=north
Ip=10.1.0.13
ListenAddrs.Front=10.1.0.13:8161
ListenAddrs.Ready=10.1.0.13:8167
PortRange=7720,7735
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Bounds.GraceS=6
Bounds.DrainMs=2000
Bounds.status_s=120
Bounds.FarX=1.5
NewField=something
platform.Address=10.200.1.7:8169
platform.WritesPerS=400
"""


class SettingsFileTests(unittest.TestCase):
    """Guards against misread settings and errors that name no field."""

    def test_all_fields(self) -> None:
        """Guards against wrong units and a wrong product of share and cores."""
        instance_settings = parse_instance_settings(
            _TEXT, origin='settings.conf'
        )
        self.assertEqual(('10.1.0.13', 8161), instance_settings.front)
        self.assertEqual((7720, 7735), instance_settings.peer_ports)
        self.assertAlmostEqual(1.074, instance_settings.cpu_share)
        self.assertEqual(6_000, instance_settings.bounds.grace_ms)
        self.assertEqual(120_000, instance_settings.bounds.status_ms)
        self.assertEqual(1.5, instance_settings.bounds.far_factor)
        self.assertEqual('', instance_settings.advice_address)

    def test_missing_field_is_named(self) -> None:
        """Guards against an error that doesn't name the missing field."""
        with self.assertRaisesRegex(BadSettings, 'platform.Address'):
            parse_instance_settings(
                _TEXT.replace('platform.Address', 'elsewhere'),
                origin='settings.conf',
            )

    def test_unreadable_field_is_named(self) -> None:
        """Guards against an unreadable value replaced by the default."""
        with self.assertRaisesRegex(BadSettings, 'GraceS'):
            parse_instance_settings(
                _TEXT.replace('GraceS=6', 'GraceS=soon'),
                origin='settings.conf',
            )

    @settings(derandomize=True, max_examples=200)
    @given(st.text(max_size=200))
    def test_any_text(self, text: str) -> None:
        """Guards against any exception but ``BadSettings``."""
        try:
            parse_instance_settings(text, origin='settings.conf')
        except BadSettings:
            return
        self.fail('needed fields are missing')
