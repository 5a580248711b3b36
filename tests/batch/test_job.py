"""Jobs: shards, ids and allowed state transitions."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.batch.job import (
    JobState,
    TaskState,
    derive_job_state,
    is_transition_allowed,
    job_id_of,
    parse_shard_id,
    shard_of,
)
from tests.batch.fakes import job_spec


class ShardTests(unittest.TestCase):
    """Guards against entries that disagree about the shard of a job."""

    def test_shard_is_stable(self) -> None:
        """Guards against the use of Python's hash, salted in each process."""
        self.assertEqual(shard_of(job_spec('a'), 16), 1)

    @settings(derandomize=True)
    @given(st.text(min_size=1), st.text(min_size=1), st.integers(1, 64))
    def test_exclusive_key_determines_the_shard(
        self,
        key: str,
        other: str,
        count: int,
    ) -> None:
        """Guards against jobs with one exclusive key on two shards."""
        first = shard_of(job_spec(key, exclusive_key='press'), count)
        second = shard_of(job_spec(other, exclusive_key='press'), count)
        self.assertEqual(first, second)

    @settings(derandomize=True)
    @given(st.text(min_size=1), st.integers(1, 64))
    def test_id_carries_the_shard(self, key: str, count: int) -> None:
        """Guards against a job id by which a status call can't be routed."""
        spec = job_spec(key)
        shard = shard_of(spec, count)
        self.assertEqual(parse_shard_id(job_id_of(spec, shard)), shard)

    def test_malformed_ids(self) -> None:
        """Guards against an exception for an invalid id from a caller."""
        for bad in ('', '-', 'x-1', '12', '²-1'):
            self.assertIsNone(parse_shard_id(bad), bad)


class StateTests(unittest.TestCase):
    """Guards against a final state that changes again."""

    def test_final_states_stay(self) -> None:
        """Guards against a second outcome of a task."""
        for final in (TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED):
            self.assertFalse(
                any(is_transition_allowed(final, to) for to in TaskState),
            )

    def test_job_with_a_held_task_runs(self) -> None:
        """Guards against a job that is final while a worker may run it."""
        states = {TaskState.CANCELLED, TaskState.STOPPING}
        self.assertIs(derive_job_state(states), JobState.RUNNING)
