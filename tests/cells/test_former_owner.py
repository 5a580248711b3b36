"""What shows that the process of a former owner has ended, and what doesn't."""

from __future__ import annotations

import unittest
from dataclasses import replace
from functools import partial

import trio

from marjoramwharf.cells.former_owner import FormerOwner, ask_identity
from marjoramwharf.cells.owner_view import OwnerView
from marjoramwharf.cells.ownership import Tenure
from marjoramwharf.cells.records import (
    EntryRecord,
    encode,
    incarnation_of,
    owner_key,
)
from marjoramwharf.cells.tenure_end import answer_tenure_end, ask_tenure_end
from marjoramwharf.errors import PeerUnreachable
from marjoramwharf.ids import DataCentreId, EntryId, LeaseId
from marjoramwharf.links.http_server import open_listener
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.store import StoredValue, StoreEvent, WatchBatch
from marjoramwharf.links.thrift_types.peer import ttypes
from tests.cells.cluster import CELL, run_with_clock

_KEY = owner_key(CELL)
_HOST = '127.0.0.1'
_UNNOTICED_S = 3.2
_HOLD_AFTER_EXPIRY_S = 1.2
_ENDED_AGO_S = 5
_LONG_TENURE_S = 30
_SHORT_TENURE_S = 1
_FENCE = 9

_FIRST = EntryRecord('e0', '10.0.0.3', 7, 'the very first')
_FORMER = EntryRecord('e1', '10.0.0.1', 7, 'secret of a former process')
_OWN = EntryRecord('e2', '10.0.0.2', 7, 'own secret')
_RESTARTED = PeerIdentity(
    EntryId('e1'), incarnation_of('another secret'), DataCentreId('dc')
)


def _written(record: EntryRecord, revision: int) -> StoreEvent:
    return StoreEvent(
        _KEY, StoredValue(_KEY, encode(record), revision, revision)
    )


class FormerOwnerTests(unittest.TestCase):
    """Guards against waiting too long, and against not waiting long enough."""

    def test_later_process_answers(self) -> None:
        """Guards against the wait for a process that has ended."""
        run_with_clock(self._later_process_answers)

    def test_same_process_answers(self) -> None:
        """Guards against an owner that is alive and counts as ended."""
        run_with_clock(self._same_process_answers)

    def test_former_owner_tells_its_end(self) -> None:
        """Guards against a wait whose end the former owner knows."""
        run_with_clock(self._same_process_tells)

    def test_former_owner_tells_over_a_connection(self) -> None:
        """Guards against an end that is read earlier than it was."""
        trio.run(self._tells_over_a_connection)

    def test_another_entry_answers(self) -> None:
        """Guards against an address that was given away."""
        run_with_clock(self._another_entry_answers)

    def test_nobody_answers(self) -> None:
        """Guards against a broken path that counts as an end."""
        run_with_clock(self._nobody_answers)

    def test_former_owner_had_just_begun(self) -> None:
        """Guards against the owner before, which may not have noticed it."""
        run_with_clock(self._former_owner_had_just_begun)

    def test_owner_in_a_gap_of_the_watch(self) -> None:
        """Guards against an owner that came and went unseen."""
        run_with_clock(self._owner_in_a_gap)

    def test_record_in_between_is_damaged(self) -> None:
        """Guards against an owner whose record can't be read."""
        run_with_clock(self._damaged_record)

    def test_same_record_after_a_gap(self) -> None:
        """Guards against a needless wait when the owner was there all along."""
        run_with_clock(self._same_record_after_a_gap)

    def test_process_says_who_it_is(self) -> None:
        """Guards against an answer that another process can't be told by."""
        trio.run(self._process_says_who_it_is)

    async def _later_process_answers(self) -> None:
        view = await _open_view()
        await trio.sleep(_LONG_TENURE_S)
        await view.apply(_batch(_written(_OWN, _FENCE)))
        self.assertTrue(await _is_spared(view, _RESTARTED))

    async def _same_process_answers(self) -> None:
        view = await _open_view()
        await trio.sleep(_LONG_TENURE_S)
        await view.apply(_batch(_written(_OWN, _FENCE)))
        same = replace(_RESTARTED, incarnation=_FORMER.incarnation)
        self.assertFalse(await _is_spared(view, same))

    async def _same_process_tells(self) -> None:
        view = await _open_view()
        await trio.sleep(_LONG_TENURE_S)
        await view.apply(_batch(_written(_OWN, _FENCE)))
        same = replace(_RESTARTED, incarnation=_FORMER.incarnation)
        until_s = await _may_extend_until_s(view, same, age_s=_ENDED_AGO_S)
        self.assertEqual(until_s, trio.current_time() - _ENDED_AGO_S)

    async def _tells_over_a_connection(self) -> None:
        tenure = Tenure(CELL, LeaseId(1), _FENCE, 20, 10, ended_s=28)
        handle = partial(_answer_tenure_end, tenure)
        own = PeerIdentity(EntryId('e2'), _OWN.incarnation, DataCentreId('dc'))
        listener = await open_listener(_HOST, 0)
        port = listener.socket.getsockname()[1]
        record = EntryRecord('e1', _HOST, port, _FORMER.secret)
        server = PeerServer(
            {ttypes.JobCall: handle},
            identity=replace(_RESTARTED, incarnation=record.incarnation),
            secret=record.secret,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, server.serve, [listener])
            ended = await ask_tenure_end(own, CELL, record, _FENCE)
            unknown = await ask_tenure_end(own, CELL, record, _FENCE + 1)
            nursery.cancel_scope.cancel()
        self.assertAlmostEqual(30 - 20 - _HOLD_AFTER_EXPIRY_S, ended or 0)
        self.assertIsNone(unknown)

    async def _another_entry_answers(self) -> None:
        view = await _open_view()
        await trio.sleep(_LONG_TENURE_S)
        await view.apply(_batch(_written(_OWN, _FENCE)))
        other = replace(_RESTARTED, entry_id=EntryId('e7'))
        self.assertFalse(await _is_spared(view, other))

    async def _nobody_answers(self) -> None:
        view = await _open_view()
        await trio.sleep(_LONG_TENURE_S)
        await view.apply(_batch(_written(_OWN, _FENCE)))
        self.assertFalse(await _is_spared(view, None))

    async def _former_owner_had_just_begun(self) -> None:
        view = await _open_view(_FIRST)
        await trio.sleep(_LONG_TENURE_S)
        await view.apply(_batch(_written(_FORMER, _FENCE - 1)))
        began_s = trio.current_time()
        await trio.sleep(_SHORT_TENURE_S)
        await view.apply(_batch(_written(_OWN, _FENCE)))
        until_s = await _may_extend_until_s(view, _RESTARTED)
        self.assertEqual(until_s, began_s + _UNNOTICED_S)

    async def _owner_in_a_gap(self) -> None:
        view = await _open_view()
        await trio.sleep(_LONG_TENURE_S)
        await view.apply(WatchBatch(_FENCE - 1, (), restarted=True))
        await view.apply(_batch(_written(_OWN, _FENCE)))
        self.assertFalse(await _is_spared(view, _RESTARTED))

    async def _damaged_record(self) -> None:
        view = await _open_view()
        await trio.sleep(_LONG_TENURE_S)
        damaged = StoredValue(_KEY, b'\xc1', _FENCE - 1, _FENCE - 1)
        await view.apply(
            _batch(StoreEvent(_KEY, damaged), _written(_OWN, _FENCE))
        )
        self.assertFalse(await _is_spared(view, _RESTARTED))

    async def _same_record_after_a_gap(self) -> None:
        view = await _open_view()
        await trio.sleep(_LONG_TENURE_S)
        await view.apply(
            WatchBatch(_FENCE - 1, (_written(_FORMER, 1),), restarted=True)
        )
        await view.apply(_batch(_written(_OWN, _FENCE)))
        self.assertTrue(await _is_spared(view, _RESTARTED))

    async def _process_says_who_it_is(self) -> None:
        listener = await open_listener(_HOST, 0)
        port = listener.socket.getsockname()[1]
        server = PeerServer({}, identity=_RESTARTED, secret='another secret')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, server.serve, [listener])
            record = EntryRecord('e1', _HOST, port, _FORMER.secret)
            self.assertEqual(await ask_identity(record), _RESTARTED)
            nursery.cancel_scope.cancel()


async def _answer_tenure_end(
    tenure: Tenure, _sender: PeerIdentity, call: Message
) -> Message:
    await trio.lowlevel.checkpoint()
    return answer_tenure_end(tenure, _HOLD_AFTER_EXPIRY_S, call, now_s=30)


async def _open_view(record: EntryRecord = _FORMER) -> OwnerView:
    """Return a view that has seen one owner, at revision 1."""
    view = OwnerView()
    await view.apply(WatchBatch(1, (_written(record, 1),), restarted=True))
    return view


def _batch(*events: StoreEvent) -> WatchBatch:
    return WatchBatch(_FENCE, events)


async def _is_spared(view: OwnerView, answer: PeerIdentity | None) -> bool:
    """Whether the wait is shorter than for an owner that goes on."""
    latest_s = trio.current_time() + _UNNOTICED_S
    return await _may_extend_until_s(view, answer) < latest_s


async def _may_extend_until_s(
    view: OwnerView,
    answer: PeerIdentity | None,
    *,
    age_s: float | None = None,
) -> float:
    """Return until when a former owner may extend, as far as is found out.

    It says that its tenure ended ``age_s`` ago, or that it goes on.
    """

    async def ask(_record: EntryRecord) -> PeerIdentity:
        await trio.lowlevel.checkpoint()
        if answer is None:
            raise PeerUnreachable(message='nobody answers')
        return answer

    async def ask_tenure_end(_record: EntryRecord, _fence: int) -> float | None:
        await trio.lowlevel.checkpoint()
        return age_s

    now_s = trio.current_time()
    tenure = Tenure(CELL, LeaseId(1), _FENCE, now_s, now_s)
    former_owner = FormerOwner(
        tenure,
        view.succession,
        _UNNOTICED_S,
        _HOLD_AFTER_EXPIRY_S,
        None,
        ask_tenure_end,
        ask,
    )
    await former_owner.run()
    return former_owner.may_extend_until_s()
