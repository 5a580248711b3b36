"""Runs the planner of a cell whenever something may have changed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from marjoramwharf.cells.auto_reset_event import AutoResetEvent
from marjoramwharf.cells.clocks import boot_s, wall_ms
from marjoramwharf.cells.decision_log import log_plan
from marjoramwharf.cells.waiting_log import WaitingLog
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.policy import Configuration

_PLAN_PERIOD_S = 0.25
_MS_PER_S = 1_000

# The planner pauses for this multiple of the time that its last pass took. It is
# longer while tasks wait for room, since hundreds of polls and ends of runs a
# second would each cause a pass over all of these tasks.
_PAUSE_FACTOR = 1.0
_FULL_PAUSE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class PlanLoop:
    """Plans after each ``signal`` and at least four times a second.

    Nothing is planned unless ``may_plan``. ``on_planned`` is called after a
    pass that has planned runs, which then have to be stored, and ``preempt``
    after each pass, to make room for tasks that found none. The tasks that wait
    long are logged, also while nothing is planned.
    """

    planner: Planner
    job_table: JobTable
    configuration: Callable[[], Configuration | None]
    signal: AutoResetEvent
    may_plan: Callable[[], bool]
    on_planned: Callable[[], None]
    preempt: Callable[[], None]

    async def run(self) -> None:
        """Plan until cancelled."""
        waiting_log = WaitingLog(self.planner, self.configuration)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(waiting_log.run)
            await self._plan_repeatedly()

    async def _plan_repeatedly(self) -> None:
        while True:
            may_plan = self.may_plan()
            # What is due stays due while nothing may be planned.
            period_s = self._next_pass_s() if may_plan else _PLAN_PERIOD_S
            await self.signal.wait(timeout_s=period_s)
            if self.may_plan():
                began_s = boot_s()
                self._plan()
                # Leaves processor time to orders and polls during a burst.
                await trio.sleep(self._pause_s(boot_s() - began_s))

    def _next_pass_s(self) -> float:
        """Return the longest time until the next pass."""
        due_ms = self.job_table.next_due_ms()
        if due_ms is None:
            return _PLAN_PERIOD_S
        until_due_s = (due_ms - wall_ms()) / _MS_PER_S
        return min(_PLAN_PERIOD_S, max(0, until_due_s))

    def _pause_s(self, took_s: float) -> float:
        """Return the pause after a pass that took ``took_s``."""
        has_waiting = bool(self.job_table.ready)
        factor = _FULL_PAUSE_FACTOR if has_waiting else _PAUSE_FACTOR
        return min(_PLAN_PERIOD_S, took_s * factor)

    def _plan(self) -> None:
        configuration = self.configuration()
        if configuration is None:
            return
        now_s = boot_s()
        now_ms = wall_ms()
        self.job_table.create_due_occurrences(now_s=now_s, now_ms=now_ms)
        planned = self.planner.plan(
            configuration.queues, now_s=now_s, now_ms=now_ms
        )
        self.preempt()
        for plan in planned:
            log_plan(plan, configuration.version)
        if planned:
            self.on_planned()
