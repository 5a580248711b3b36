"""The platform's settings file."""

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


class PlaceTests(unittest.TestCase):
    """Guards against settings that are read wrong or fail without a name."""

    def test_all_fields(self) -> None:
        """Guards against a unit or a product that is wrong."""
        place = parse_instance_settings(_TEXT, origin='settings.conf')
        self.assertEqual(('10.1.0.13', 8161), place.front)
        self.assertEqual((7720, 7735), place.peer_ports)
        self.assertAlmostEqual(1.074, place.cpu_share)
        self.assertEqual(6_000, place.bounds.grace_ms)
        self.assertEqual(120_000, place.bounds.status_ms)
        self.assertEqual(1.5, place.bounds.far_factor)
        self.assertEqual('', place.advice_address)

    def test_missing_field_is_named(self) -> None:
        """Guards against an error that doesn't say what is missing."""
        with self.assertRaisesRegex(BadSettings, 'platform.Address'):
            parse_instance_settings(
                _TEXT.replace('platform.Address', 'elsewhere'),
                origin='settings.conf',
            )

    def test_unreadable_field_is_named(self) -> None:
        """Guards against a value that is taken for a default."""
        with self.assertRaisesRegex(BadSettings, 'GraceS'):
            parse_instance_settings(
                _TEXT.replace('GraceS=6', 'GraceS=soon'),
                origin='settings.conf',
            )

    @settings(derandomize=True, max_examples=200)
    @given(st.text(max_size=200))
    def test_any_text(self, text: str) -> None:
        """Guards against a failure without a type."""
        try:
            parse_instance_settings(text, origin='settings.conf')
        except BadSettings:
            return
        self.fail('needed fields are missing')
