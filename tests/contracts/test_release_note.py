"""Tests of release notes: parsing, shared fields and application."""

from __future__ import annotations

import unittest

from marjoramwharf.contracts.configuration import (
    Configuration,
    IncompatibleNote,
    apply_note,
)
from marjoramwharf.contracts.release_note import parse_note, shared_fields
from marjoramwharf.errors import BadNote
from tests.contracts.notes import SERVICE, note_of, note_text


class ParseTests(unittest.TestCase):
    """Guards against errors that don't say where the mistake is."""

    def test_range_error_has_line_field_and_range(self) -> None:
        """Guards against a weight out of range, and a message without line."""
        self._refused(
            '"policy": {\n"evictions": 11}', r':6: .*evictions.*<= 10'
        )

    def test_error_in_a_list_has_its_line(self) -> None:
        """Guards against the line of the list instead of the element."""
        self._refused(
            '"instances": {"admitted": [\n"a", // {"\n"b c"]}',
            r':7: \$\.instances\.admitted\[1\]',
        )

    def test_unknown_field_has_its_line(self) -> None:
        """Guards against a misspelt field that has no effect."""
        self._refused('"limits":\n{"team": 3}', r':6: \$\.limits\.team: ')

    def test_syntax_error_has_its_line(self) -> None:
        """Guards against an untyped error for broken syntax."""
        self._refused('"limits": {\n"team_count" 3}', r'note\.json:6: ')

    def test_deep_nesting_is_a_typed_error(self) -> None:
        """Guards against a recursion error of the parser or the line scan."""
        nested = '[' * 5000
        self._refused(f'"limits": {nested}', r'note\.json')

    def _refused(self, fields: str, pattern: str) -> None:
        with self.assertRaisesRegex(BadNote, pattern):
            parse_note(note_text(fields), origin='note.json')


class SharedFieldsTests(unittest.TestCase):
    """Guards against conflicts that are missed or reported without cause."""

    def test_other_fields_of_one_service_are_disjoint(self) -> None:
        """Guards against refusing operators who change different fields."""
        left = note_of(
            '"services": {"changed": [{"name": "s", "timeout_ms": 90}]}'
        )
        right = note_of(
            '"services": {"changed": '
            '[{"name": "s", "reserved_processors_count": 9}]}',
        )
        self.assertEqual(shared_fields(left, right), ())

    def test_withdrawal_conflicts_with_a_change(self) -> None:
        """Guards against a change to a service that another note withdraws."""
        left = note_of(
            '"services": {"changed": [{"name": "s", "timeout_ms": 90}]}'
        )
        right = note_of('"services": {"withdrawn": ["s"]}')
        expected = ('services.s.timeout_ms',)
        self.assertEqual(shared_fields(left, right), expected)
        self.assertEqual(shared_fields(right, left), expected)


class ApplyTests(unittest.TestCase):
    """Guards against notes that leave a contradictory configuration."""

    def setUp(self) -> None:
        """Put one service in force."""
        self.before = apply_note(
            Configuration(),
            note_of(f'"services": {{"added": [{SERVICE}]}}'),
        )

    def test_change_keeps_other_fields(self) -> None:
        """Guards against a partial change that resets the other fields."""
        after = apply_note(
            self.before,
            note_of(
                '"services": {"changed": [{"name": "s", "timeout_ms": 90}]}'
            ),
        )
        self.assertEqual(after.revision, 2)
        self.assertEqual(after.services[0].timeout_ms, 90)
        self.assertEqual(after.services[0].latency_objective_ms, 40)

    def test_contradictions_name_their_field(self) -> None:
        """Guards against notes that refer to what is not in force."""
        quota = '{"team": "t", "service": "x", "slots_count": 3}'
        for fields, pattern in (
            (f'"quotas": {{"added": [{quota}]}}', r'added\[0\].*unknown.*x'),
            ('"services": {"withdrawn": ["x"]}', r'withdrawn\[0\]: .*not in'),
            (f'"services": {{"added": [{SERVICE}]}}', 'already in force'),
            ('"instances": {"withdrawn": ["w"]}', r'withdrawn\[0\]: .*not in'),
            ('"limits": {"team_count": 9999}', r'\$\.limits: '),
            (
                '"policy": {"tail_latency": 0, "throughput": 0, "evictions": 0}',
                r'\$\.policy: ',
            ),
            (
                '"services": {"changed": [{"name": "s", "timeout_ms": 10}]}',
                r'changed\[0\]\.timeout_ms: ',
            ),
        ):
            with (
                self.subTest(fields=fields),
                self.assertRaisesRegex(IncompatibleNote, pattern),
            ):
                apply_note(self.before, note_of(fields))

    def test_service_with_quotas_is_not_withdrawn(self) -> None:
        """Guards against quotas that are left without their service."""
        quota = '{"team": "t", "service": "s", "slots_count": 3}'
        before = apply_note(
            self.before,
            note_of(f'"quotas": {{"added": [{quota}]}}'),
        )
        with self.assertRaisesRegex(
            IncompatibleNote, r'\$\.services\.withdrawn'
        ):
            apply_note(before, note_of('"services": {"withdrawn": ["s"]}'))
