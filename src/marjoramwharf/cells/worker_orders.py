"""Orders of a cell's owner to one worker, sent until their outcome is known."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.link_parts import LinkOwner, LinkTerms
from marjoramwharf.cells.worker_clock import WorkerClock
from marjoramwharf.cells.worker_messages import (
    OrderAnswer,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_table import job_of
from marjoramwharf.scheduling.job_state import Run, RunEnd, RunPhase

_LOG = part_logger('worker')

_ORDER_TIMEOUT_S = 0.5
_ORDER_PAUSE_S = 0.1
_START_ATTEMPTS = 4
_UNHEALTHY_PAUSE_S = 0.5
_FULL_PAUSE_S = 0.1

# Outcomes of a start that show that the run has begun. A number is used once,
# so "too old" means that this run has ended there already; its end is listed
# by the next look.
_HAS_BEGUN = frozenset((OrderOutcome.ACCEPTED, OrderOutcome.RUN_TOO_OLD))

# Outcomes after which a stopped run can't start at the worker any more.
_STOP_SETTLED = frozenset(
    (
        OrderOutcome.ACCEPTED,
        OrderOutcome.RUN_TOO_OLD,
        OrderOutcome.OTHER_WORKER,
        OrderOutcome.BAD_ORDER,
    ),
)


@dataclass(slots=True, eq=False)
class WorkerOrders:
    """Sends orders to one worker; each runs in a task of its own.

    ``clock`` is the worker's, shared with the link that holds it.
    """

    worker: Worker
    owner: LinkOwner
    terms: LinkTerms
    clock: WorkerClock

    @property
    def address(self) -> WorkerAddress:
        """Where the worker listens."""
        listing = self.worker.listing
        return WorkerAddress(listing.worker_id, listing.host, listing.port)

    async def start(self, run: Run) -> None:
        """Order a run until its outcome is known."""
        if run.phase is not RunPhase.PLANNED:
            return
        run.phase = RunPhase.ORDERED
        for _ in range(_START_ATTEMPTS):
            answer = await self._send_start(run)
            if run.phase is not RunPhase.ORDERED:
                return
            if answer.outcome is not OrderOutcome.UNKNOWN:
                break
            run.is_start_unconfirmed = True
        self.terms.counters.starts[answer.outcome] += 1
        if answer.outcome in _HAS_BEGUN:
            self.owner.run_started(run)
        elif answer.outcome is OrderOutcome.FENCED:
            self.owner.superseded()
        else:
            await self._refused(run, answer.outcome)

    async def stop(self, run: Run) -> None:
        """Stop a run; the worker then refuses it for good."""
        if run.phase is RunPhase.PLANNED:
            self.owner.run_ended(run, RunEnd.VANISHED, '')
            return
        if run.phase in {RunPhase.STOPPING, RunPhase.ENDED}:
            return
        run.phase = RunPhase.STOPPING
        order = StopOrder(run.task.name, run.number, self.terms.fence)
        while self.owner.find_run(run.task.name, run.number) is run:
            answer = await self.terms.calls.stop(
                self.address,
                order,
                timeout_s=_ORDER_TIMEOUT_S,
            )
            self._read_clock(answer)
            if answer.outcome is OrderOutcome.FENCED:
                self.owner.superseded()
                return
            if answer.outcome in _STOP_SETTLED:
                run.stop_answered_s = boot_s()
                return
            await trio.sleep(_ORDER_PAUSE_S)

    async def pace(self, run: Run, percent: int) -> None:
        """Let a run work at a share of its speed; one attempt."""
        self.terms.counters.pace_orders_count += 1
        order = PaceOrder(run.task.name, run.number, percent, self.terms.fence)
        answer = await self.terms.calls.pace(
            self.address,
            order,
            timeout_s=_ORDER_TIMEOUT_S,
        )
        if answer.outcome is not OrderOutcome.ACCEPTED:
            # The next look decides anew, from the pace that is not in force.
            run.pace_percent = 100

    async def _send_start(self, run: Run) -> OrderAnswer:
        now_s = boot_s()
        expires_ms = self.clock.grant(self.terms.hold_ms, now_s=now_s)
        if expires_ms is None:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        answer = await self.terms.calls.start(
            self.address,
            StartOrder(
                task=run.task.name,
                run=run.number,
                payload=job_of(run.task).request.payload,
                expires_ms=expires_ms,
                fence=self.terms.fence,
                checkpoint=run.task.checkpoint,
                ticket=run.ticket,
            ),
            timeout_s=_ORDER_TIMEOUT_S,
        )
        self._read_clock(answer)
        return answer

    async def _refused(self, run: Run, outcome: OrderOutcome) -> None:
        _LOG.info(
            'start refused',
            task=run.task.name,
            run=run.number,
            worker=self.worker.worker_id,
            outcome=outcome.value,
        )
        now_s = boot_s()
        if outcome is OrderOutcome.NO_ROOM:
            self.worker.not_before_s = now_s + _FULL_PAUSE_S
        else:
            self.worker.not_before_s = now_s + _UNHEALTHY_PAUSE_S
        if run.is_start_unconfirmed:
            await self.stop(run)
        else:
            self.owner.run_ended(run, RunEnd.VANISHED, '')

    def _read_clock(self, answer: OrderAnswer) -> None:
        if answer.clock_ms is not None and self.clock.reading_ms is not None:
            self.clock.note(answer.clock_ms, now_s=boot_s())
