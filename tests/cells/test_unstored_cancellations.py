"""Jobs that their callers cancel before they are stored."""

from __future__ import annotations

import enum
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from unittest.mock import patch

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.cells.job_submitter import JobSubmitter
from marjoramwharf.cells.records import cancel_key, request_key
from marjoramwharf.links.store import Conflict, Write
from standins.kv_state import KeyValueState
from tests.cells.cluster import CELL, open_cluster, run_with_clock
from tests.cells.fronts import (
    JOB_ID,
    JOB_PATH,
    Front,
    carry_out_late,
    decode_body,
    open_front,
    wait_for_owner,
)

_CANCEL_KEY = cancel_key(CELL, JOB_ID)
_REQUEST_KEY = request_key(CELL, JOB_ID)
_LEAVES_S = 0.02
_EXAMPLES_COUNT = 150

_ACKNOWLEDGED = frozenset((200, 410))

_Call = Callable[[], Awaitable[None]]


@enum.unique
class _Move(enum.Enum):
    """A call at an entry, or that the store carries out the held writes.

    Of the unanswered ones, the first write is held, and the caller leaves.
    """

    SUBMIT = 'submit'
    SUBMIT_UNANSWERED = 'submit, unanswered'
    CANCEL = 'cancel'
    CANCEL_UNANSWERED = 'cancel, unanswered'
    CARRY_OUT = 'carry out'


_UNANSWERED = frozenset((_Move.SUBMIT_UNANSWERED, _Move.CANCEL_UNANSWERED))
_CANCELS = frozenset((_Move.CANCEL, _Move.CANCEL_UNANSWERED))


async def _make(move: _Move, front: Front) -> int:
    """Make a move at an entry, and return the status of the answer, if any."""
    if move is _Move.CARRY_OUT:
        carry_out_late(front.store)
        return 0
    if move in _CANCELS:
        return await front.cancel()
    return await front.submit()


async def _submit_and_leave(front: Front) -> None:
    """Submit the job; its write is held, and the entry ends then."""
    front.store.commits_to_delay = 1
    with trio.move_on_after(_LEAVES_S):
        await front.submit()


def _before_call(number: int, act: Callable[[], object]) -> _Call:
    """Return a start of store calls that acts before one of them."""
    calls = iter(range(1, 100))

    async def begin_call() -> None:
        await trio.lowlevel.checkpoint()
        if next(calls) == number:
            act()

    return begin_call


class UnstoredCancellationTests(unittest.TestCase):
    """Guards against tasks of a job whose cancelling was answered with 410."""

    def test_repeated_write(self) -> None:
        """Guards against an entry that stores a job after it was cancelled.

        Its first write got no answer, and it repeats the write.
        """
        run_with_clock(self._repeated_write)

    def test_late_write(self) -> None:
        """Guards against a first write that is carried out after the 410.

        The entry that sent it has ended, and the owner as well.
        """
        run_with_clock(self._late_write)

    def test_stored_in_between(self) -> None:
        """Guards against a 410 for a job that is stored at that moment."""
        run_with_clock(self._stored_in_between)

    def test_removed_in_between(self) -> None:
        """Guards against a 410 that rests on a job's removal alone."""
        run_with_clock(self._removed_in_between)

    def test_lost_answer(self) -> None:
        """Guards against a 410 whose write may not have been carried out."""
        run_with_clock(self._lost_answer)

    def test_stored_id_again(self) -> None:
        """Guards against a repeat that starts a job cancelled when stored."""
        run_with_clock(self._stored_id_again)

    def test_suspended_entry(self) -> None:
        """Guards against a write that is repeated after the tombstone."""
        run_with_clock(self._suspended_entry)

    @settings(max_examples=_EXAMPLES_COUNT, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.sampled_from(_Move), st.integers(0, 1)),
            max_size=12,
        )
    )
    def test_any_order(self, moves: list[tuple[_Move, int]]) -> None:
        """Guards against an order of calls in which an ended job is stored."""
        run_with_clock(partial(self._any_order, moves))

    async def _repeated_write(self) -> None:
        state = KeyValueState()
        accepting, cancelling = open_front(state), open_front(state)
        accepting.store.commits_to_delay = 1
        statuses: list[int] = []

        async def submit() -> None:
            statuses.append(await accepting.submit())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit)
            await trio.sleep(_LEAVES_S)
            self.assertEqual(410, await cancelling.cancel())
        self.assertEqual([429], statuses)
        for late in carry_out_late(accepting.store):
            self.assertIsInstance(late, Conflict)
        self.assertEqual([_CANCEL_KEY], list(state.stored))
        # Nobody is shown a job that was never accepted.
        self.assertEqual(410, (await cancelling.ask('GET')).status)
        self.assertEqual(410, await accepting.cancel())

    async def _late_write(self) -> None:
        async with open_cluster() as (cluster, nursery):
            accepting = open_front(cluster.store.state)
            cancelling = open_front(cluster.store.state)
            owner = cluster.spawn(nursery, 'e1')
            await wait_for_owner(cluster, owner)
            await _submit_and_leave(accepting)
            self.assertEqual(410, await cancelling.cancel())
            await trio.sleep(1)
            owner.scope.cancel()
            await wait_for_owner(cluster, cluster.spawn(nursery, 'e2'))
            carry_out_late(accepting.store)
            await trio.sleep(5)
            self.assertFalse(cluster.starts())
            self.assertNotIn(_REQUEST_KEY, cluster.store.state.stored)

    async def _stored_in_between(self) -> None:
        state = KeyValueState()
        accepting, cancelling = open_front(state), open_front(state)
        await _submit_and_leave(accepting)
        with patch.object(
            cancelling.store,
            '_begin_call',
            _before_call(2, partial(carry_out_late, accepting.store)),
        ):
            self.assertEqual(200, await cancelling.cancel())
        self.assertIn(_CANCEL_KEY, state.stored)
        shown = decode_body(await cancelling.ask('GET'))
        self.assertEqual({'State': 'cancelled'}, shown)

    async def _removed_in_between(self) -> None:
        state = KeyValueState()
        front = open_front(state)
        await front.submit()
        with patch.object(
            front.store,
            '_begin_call',
            _before_call(2, lambda: state.apply([Write(_REQUEST_KEY, None)])),
        ):
            self.assertEqual(410, await front.cancel())
        self.assertIn(_CANCEL_KEY, state.stored)

    async def _lost_answer(self) -> None:
        front = open_front()
        front.store.commits_to_delay = 1
        self.assertEqual(410, await front.cancel())
        self.assertEqual(2, front.store.commits_count)
        front.store.commits_to_delay = 1_000
        self.assertEqual(504, await front.cancel(JOB_PATH.replace('f8', 'f9')))
        front.store.is_down = True
        self.assertEqual(503, await front.cancel(JOB_PATH.replace('f8', 'fa')))

    async def _stored_id_again(self) -> None:
        front = open_front()
        for _ in range(2):
            self.assertEqual(200, await front.submit())
            self.assertEqual(200, await front.cancel())
        shown = decode_body(await front.ask('GET'))
        self.assertEqual({'State': 'cancelled'}, shown)

    async def _suspended_entry(self) -> None:
        """The boot clock goes on while trio's clock stands still."""
        front = open_front()
        front.store.commits_to_delay = 1_000
        boot_times_s = iter((0, 1, 200))
        with patch(
            f'{JobSubmitter.__module__}.boot_s', lambda: next(boot_times_s)
        ):
            self.assertEqual(504, await front.submit())
        self.assertEqual(2, front.store.commits_count)

    async def _any_order(self, moves: list[tuple[_Move, int]]) -> None:
        """Make calls at two entries; nothing is removed from the store."""
        state = KeyValueState()
        fronts = [open_front(state), open_front(state)]
        is_cancelled = False
        for move, number in moves:
            front = fronts[number]
            front.store.commits_to_delay = int(move in _UNANSWERED)
            with trio.move_on_after(_LEAVES_S):
                status = await _make(move, front)
                is_cancelled |= move in _CANCELS and status in _ACKNOWLEDGED
            front.store.commits_to_delay = 0
            request = state.stored.get(_REQUEST_KEY)
            if is_cancelled and request is not None:
                cancel = state.stored[_CANCEL_KEY]
                self.assertGreater(cancel.mod_revision, request.mod_revision)
