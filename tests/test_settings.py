"""Settings: invalid values are rejected with file, field and range."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest
from typing import Any

from marjoramwharf.errors import BadSettings
from marjoramwharf.settings import load_entry_settings

_GOOD: dict[str, Any] = {
    'entry_id': 'entry-1',
    'region': 'ar-centro',
    'data_centre': 'dc-1',
    'listen': {'host': '127.0.0.1', 'http_port': 8001, 'peer_port': 9001},
    'store': {'url': 'http://127.0.0.1:2379'},
    'directory': {'url': 'http://127.0.0.1:2380'},
    'topology': {
        'data_centres': [{'data_centre': 'dc-1', 'region': 'ar-centro'}],
    },
    'peer_secret': 'a-secret-of-16-bytes',
    'operator_token': 'a-token-of-16-bytes',
}


class SettingsTests(unittest.TestCase):
    """Guards against settings that are accepted with a wrong meaning."""

    def setUp(self) -> None:
        """Create a directory for the settings file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / 'entry.json'

    def test_comments_are_allowed(self) -> None:
        """Guards against a parser that accepts only plain JSON."""
        self.path.write_text(f'// an entry\n{json.dumps(_GOOD)}')
        settings = load_entry_settings(self.path)
        self.assertEqual(settings.capacity.grant_ttl_ms, 3000)

    def test_error_names_file_field_and_range(self) -> None:
        """Guards against messages that don't say what to correct."""
        self._assert_rejected(
            {'store': {'url': 'http://127.0.0.1:1', 'timeout_ms': 1}},
            r'entry\.json.*>= 10.*\$\.store\.timeout_ms',
        )

    def test_unknown_field_is_assert_rejected(self) -> None:
        """Guards against a misspelt name that has no effect."""
        self._assert_rejected({'lisen': {}}, 'lisen')

    def test_unknown_data_centre_is_assert_rejected(self) -> None:
        """Guards against an entry whose data centre isn't in the topology."""
        self._assert_rejected({'data_centre': 'dc-9'}, 'topology.data_centres')

    def test_missing_file_is_assert_rejected(self) -> None:
        """Guards against an untyped error for a missing file."""
        with self.assertRaisesRegex(BadSettings, 'No such file'):
            load_entry_settings(self.path)

    def _assert_rejected(self, change: dict[str, Any], pattern: str) -> None:
        self.path.write_text(json.dumps({**_GOOD, **change}))
        with self.assertRaisesRegex(BadSettings, pattern):
            load_entry_settings(self.path)
