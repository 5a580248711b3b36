"""Tests of decoding configurations, worker listings and job requests."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.errors import BadJob, BadListing, BadNote
from marjoramwharf.ids import JobId
from marjoramwharf.platform import job_bodies
from marjoramwharf.platform.operator_config import decode_configuration
from marjoramwharf.platform.worker_listings import decode_listing
from marjoramwharf.scheduling.fleet import WorkerState
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.workload import JobRequest

_QUEUE = QueuePolicy('r-1', 'nony24.example', '/lohu930/', 'presses')
_CONFIG = b"""{"Version":7,"Routes":[{"Name":"r-1","Host":"nony24.example",
"Prefix":"/lohu930/","Kind":"unsafe","TimeoutMs":3000,"TargetLatencyMs":250,
"Priority":2,"Service":"presses","MaxAttempts":4,"Stretch":1.5,
"Advice":{"DecisionMs":20,"PeriodMs":2,"ValidMs":3000}}],
"Services":[{"Name":"presses","RejectsOverload":true,"Spare":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4096,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"""
_ENTRY = b"""{"Service":"presses","Address":"10.128.0.9:8080","Zone":"zone-a",
"Version":"v1","Slots":8,"State":"draining","ColdRemainingMs":0,
"Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":2},"Labels":["a","r1-3"],
"RemainingMs":1500,"ClockMs":482113,"Seq":4,"born":1785000000123}"""
_JOB = b"""{"TaskSpec":"(text)","RepeatCount":3,"InitialMs":1000,
"IntervalMs":500,"Steps":[
{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":900,"DataRack":"r1-3"},
{"Count":20,"Cpu":2000,"MemMb":1024,"Gpu":1,"EstimateMs":7000,"After":[0],
"Checkpointing":true,"Gang":true,"SameRack":true,"Requirements":"a",
"AntiAffinity":2,"AllowDuplicates":true,"LongRunning":true,"Image":"im",
"TargetMs":18,"Fills":true,"MayMiss":1}]}"""


def _decode(raw: bytes) -> JobRequest:
    return job_bodies.decode_job(
        raw,
        job_id=JobId('5c0e7a21d94b36f8'),
        queue=_QUEUE,
        now_ms=5,
    )


class ConfigurationTests(unittest.TestCase):
    """Guards against a misread configuration."""

    def test_all_fields(self) -> None:
        """Guards against fields that are mixed up."""
        configuration = decode_configuration(_CONFIG)
        queue = configuration.queue_at('nony24.example', '/lohu930/abc')
        self.assertIsNotNone(queue)
        assert queue is not None
        self.assertEqual(7, configuration.version)
        self.assertEqual(
            (2, 4, 1.5), (queue.priority, queue.max_attempts, queue.stretch)
        )
        assert queue.advice is not None
        self.assertEqual(2, queue.advice.per_worker_ms)
        self.assertTrue(configuration.services['presses'].enforces_capacity)
        self.assertEqual(4096, configuration.limits.body_bytes)
        self.assertIsNone(configuration.queue_at('nony24.example', '/x'))
        self.assertIsNone(configuration.queue_at('other', '/lohu930/'))

    def test_longest_prefix(self) -> None:
        """Guards against a queue that hides one with a longer prefix."""
        raw = _CONFIG.replace(
            b'"Routes":[',
            b'"Routes":[{"Name":"r-2","Host":"nony24.example",'
            b'"Prefix":"/lohu930/x/","Service":"presses"},',
        )
        found = decode_configuration(raw).queue_at(
            'nony24.example',
            '/lohu930/x/1',
        )
        self.assertEqual('r-2', found.name if found else '')

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=80))
    def test_any_bytes(self, raw: bytes) -> None:
        """Guards against any exception but ``BadNote``."""
        with self.assertRaises(BadNote):
            decode_configuration(raw)


class ListingTests(unittest.TestCase):
    """Guards against a misread worker listing."""

    def test_all_fields(self) -> None:
        """Guards against fields that are mixed up."""
        listing = decode_listing('servers/i-1', _ENTRY)
        self.assertEqual('i-1', listing.worker_id)
        self.assertEqual(('10.128.0.9', 8080), (listing.host, listing.port))
        self.assertIs(WorkerState.DRAINING, listing.state)
        self.assertEqual(1500, listing.remaining_ms)
        self.assertEqual('r1-3', listing.rack)
        self.assertEqual(2, listing.capacity.accelerators_count)
        self.assertEqual(1785000000123, listing.born_ms)

    def test_unknown_state(self) -> None:
        """Guards against use of a worker whose listing has an unknown state."""
        with self.assertRaises(BadListing):
            decode_listing('servers/i-1', _ENTRY.replace(b'draining', b'odd'))

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=80))
    def test_any_bytes(self, raw: bytes) -> None:
        """Guards against any exception but ``BadListing``."""
        with self.assertRaises(BadListing):
            decode_listing('servers/i-1', raw)


class JobBodyTests(unittest.TestCase):
    """Guards against a misread job."""

    def test_all_fields(self) -> None:
        """Guards against fields that are mixed up."""
        job = _decode(_JOB)
        first, second = job.steps
        self.assertEqual(
            ('r1-3', 900, 256),
            (first.data_rack, first.estimate_ms, first.memory_mb),
        )
        self.assertEqual((0,), second.after)
        self.assertTrue(second.has_checkpoints and second.is_gang)
        self.assertTrue(second.needs_one_rack and second.may_duplicate)
        self.assertTrue(second.is_lasting and second.fills)
        self.assertEqual(
            ('a', 2, 'im'),
            (second.required_label, second.per_worker_limit, second.image),
        )
        self.assertEqual(
            (18, 1, 1),
            (
                second.target_tail_ms,
                second.max_unavailable_count,
                second.accelerators_count,
            ),
        )
        self.assertEqual(
            (3, 1000, 2000), (job.repeat_count, job.due_ms(0), job.due_ms(2))
        )

    def test_refused_bodies(self) -> None:
        """Guards against accepting a job that could never complete."""
        for raw in (
            b'',
            b'{}',
            b'{"Steps":[]}',
            b'{"Steps":[{"Count":0}]}',
            b'{"Steps":[{"Count":1,"After":[0]}]}',
            b'{"Steps":[{"Count":1},{"Count":1,"After":[-1]}]}',
            b'{"Steps":[{"Count":1,"Cpu":-5}]}',
        ):
            with self.subTest(raw=raw), self.assertRaises(BadJob):
                _decode(raw)

    def test_states(self) -> None:
        """Guards against a state that has no body."""
        for state in PublicJobState:
            self.assertIn(b'"State"', job_bodies.encode_state(state))

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=80))
    def test_any_bytes(self, raw: bytes) -> None:
        """Guards against any exception but ``BadJob``."""
        with self.assertRaises(BadJob):
            _decode(raw)
