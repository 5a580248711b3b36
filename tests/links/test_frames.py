"""Frames: compiled and plain codec agree, and damaged frames are rejected."""

from __future__ import annotations

import itertools
import unittest
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.transport.TTransport import TMemoryBuffer

from marjoramwharf.errors import BadFrame
from marjoramwharf.links.frames import decode_body, encode_frame
from marjoramwharf.links.peer_messages import pack
from marjoramwharf.links.thrift_types.peer import ttypes

_SUMMARY = ttypes.Summary(
    entry_id='entry-1',
    incarnation='i',
    workers=[
        ttypes.WorkerSummary(
            worker_id=f'w-é{number}',
            free_slots_count=number,
            leaving=bool(number),
            service_latency_ms=0.5,
            interference_ratio=1,
        )
        for number in range(2)
    ],
)
_BODY = encode_frame(pack(7, _SUMMARY))[4:]
# Start of a struct and of a list in Thrift's binary protocol, as the content
# of an unknown field.
_NESTED_STARTS = {
    b'\x0c\0\x63': b'\x0c\0\x01',
    b'\x0f\0\x63': b'\x0f\0\0\0\x01',
}


class FrameTests(unittest.TestCase):
    """Guards against entries whose codecs disagree about a frame."""

    def test_bytes_are_those_of_the_plain_protocol(self) -> None:
        """Guards against frames that an older entry can't read."""
        buffer = TMemoryBuffer()
        pack(7, _SUMMARY).write(TBinaryProtocol(buffer))
        self.assertEqual(buffer.getvalue(), _BODY)
        self.assertEqual(decode_body(_BODY).summary, _SUMMARY)

    def test_deep_nesting_is_refused(self) -> None:
        """Guards against a nested frame that exhausts the process's stack."""
        for field, opened in _NESTED_STARTS.items():
            body = b''.join((field, *itertools.repeat(opened, 100_000)))
            with self.subTest(field=field), self.assertRaises(BadFrame):
                decode_body(body)

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, len(_BODY) - 1), st.integers(0, 255))
    def test_damage_raises_bad_frame(self, position: int, octet: int) -> None:
        """Guards against exceptions other than ``BadFrame``.

        A frame with a changed byte may still be valid; a truncated one isn't.
        """
        damaged = bytearray(_BODY)
        damaged[position] = octet
        with suppress(BadFrame):
            decode_body(bytes(damaged))
        with self.assertRaises(BadFrame):
            decode_body(_BODY[:position])
