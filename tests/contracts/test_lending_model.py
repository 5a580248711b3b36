"""Model test that no order of events overloads a worker (rule R1)."""

from __future__ import annotations

import math
import unittest
from collections.abc import Iterable

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.ids import GrantId
from marjoramwharf.machines.calls import LeaseReply, RunningCall
from tests.contracts.lending_model import FEW_CONNECTIONS, LendingMachine

_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=400,
    stateful_step_count=50,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)


class _FreesExpired(WorkerLedger):
    """Frees an expired grant without revoking it at the worker."""

    def start_revocations(self, now_s: float) -> list[GrantId]:
        self.record_revocations(super().start_revocations(now_s), ())
        return []


class _ForgetsRunningCalls(WorkerLedger):
    """Frees all slots of a revoked grant, though some calls still run."""

    def _record_running_calls(self, running: Iterable[RunningCall]) -> None:
        super()._record_running_calls(())


class _LendsBeforeFence(WorkerLedger):
    """Lends before the worker has acknowledged the epoch."""

    @property
    def free_slots_count(self) -> int:
        self.fenced = True
        self._expiry_s = math.inf
        return super().free_slots_count


class _FreesSessionsEarly(WorkerLedger):
    """Frees a session while the worker still reports its connections."""

    def record_report(self, reply: LeaseReply, sent_at_s: float) -> None:
        without = LeaseReply(reply.epoch, False, reply.running, (), ())
        super().record_report(without, sent_at_s)


class _FewConnections(LendingMachine):
    """A worker whose connections are used up before its slots."""

    worker_spec = FEW_CONNECTIONS


class LendingModelTests(unittest.TestCase):
    """Guards against orders of events that overload a worker."""

    def test_slots_are_never_overloaded(self) -> None:
        """Guards against slots that are counted as free too early."""
        run_state_machine_as_test(LendingMachine, settings=_SETTINGS)

    def test_connections_never_exceed_the_limit(self) -> None:
        """Guards against sessions that are counted as free too early."""
        run_state_machine_as_test(_FewConnections, settings=_SETTINGS)

    def test_broken_slot_ledgers_are_caught(self) -> None:
        """Guards against a model that does not detect a broken protocol."""
        for broken in (_FreesExpired, _ForgetsRunningCalls, _LendsBeforeFence):
            with self.subTest(broken=broken.__name__):
                self._is_caught(broken, LendingMachine)

    def test_broken_session_ledger_is_caught(self) -> None:
        """Guards against a model that does not detect early free sessions."""
        self._is_caught(_FreesSessionsEarly, _FewConnections)

    def _is_caught(
        self,
        broken: type[WorkerLedger],
        machine: type[LendingMachine],
    ) -> None:
        broken_machine = type('Broken', (machine,), {'ledger_type': broken})
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(broken_machine, settings=_SETTINGS)
