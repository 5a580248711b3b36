"""An in-process client of simulated workers, with the faults of real calls."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import TypeVar

import trio

from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    OrderAnswer,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from marjoramwharf.ids import WorkerId
from standins.simulated_worker import SimulatedWorker

_MS_PER_S = 1_000
_POLL_INTERVAL_S = 0.01

_Reply = TypeVar('_Reply')


@dataclass
class MemoryWorkerClient:
    """Implements ``WorkerClient`` on a table of ``SimulatedWorker``.

    Calls to ``unreachable`` workers get no answer. The next
    ``start_answers_to_lose`` starts and ``hold_answers_to_lose`` holds are
    carried out without an answer; the next ``starts_to_repeat`` starts are
    carried out twice, as by a client that sends a call again. The next
    ``starts_to_delay`` starts wait in ``delayed_orders`` for a test's call. The
    next ``stops_to_drop`` stops are not carried out and get no answer. The
    answers to the next holds take ``hold_answer_delays_s`` longer than usual.
    A hold that waits at a worker while it restarts fails at once, but gets no
    answer until its timeout if the worker is one of ``dark_restarts``.
    The next ``connections_to_lose`` calls to an incarnation find no connection.
    Another worker listens at each of the ``foreign_hosts`` and refuses all calls;
    at the hosts of ``listeners``, only the worker with that id does not, and a
    refused hold tells it. At most ``most_orders_in_flight`` start and stop orders
    were on their way to any worker at a time. ``holds_count`` is the number of
    holds that were answered, and ``sent_holds`` counts those sent to each worker,
    answered or not.
    """

    workers: dict[WorkerId, SimulatedWorker]
    unreachable: set[WorkerId] = field(default_factory=set)
    dark_restarts: set[WorkerId] = field(default_factory=set)
    foreign_hosts: set[str] = field(default_factory=set)
    listeners: dict[str, WorkerId] = field(default_factory=dict)
    most_orders_in_flight: int = 0
    orders_in_flight: Counter[WorkerId] = field(default_factory=Counter)
    start_answers_to_lose: int = 0
    starts_to_repeat: int = 0
    hold_answers_to_lose: int = 0
    connections_to_lose: int = 0
    starts_to_delay: int = 0
    stops_to_drop: int = 0
    holds_count: int = 0
    sent_holds: Counter[WorkerId] = field(default_factory=Counter)
    hold_answer_delays_s: list[float] = field(default_factory=list)
    delayed_orders: list[Callable[[], OrderAnswer]] = field(
        default_factory=list
    )

    async def start(
        self,
        worker: WorkerAddress,
        order: StartOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Order a worker to start a run."""
        refusal = self._refusal(worker)
        if refusal is not None:
            await trio.lowlevel.checkpoint()
            return OrderAnswer(refusal)
        with self._in_flight(worker.worker_id):
            return await self._send_start(worker, order, timeout_s)

    async def _send_start(
        self, worker: WorkerAddress, order: StartOrder, timeout_s: float
    ) -> OrderAnswer:
        carry_out = partial(self._start, worker.worker_id, order)
        if self.starts_to_delay:
            self.starts_to_delay -= 1
            self.delayed_orders.append(carry_out)
            await trio.sleep(timeout_s)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        answer = await self._reach(worker.worker_id, carry_out, timeout_s)
        if self.starts_to_repeat:
            self.starts_to_repeat -= 1
            await trio.sleep(timeout_s)
            answer = carry_out()
        if self.start_answers_to_lose:
            self.start_answers_to_lose -= 1
            await trio.sleep(timeout_s)
            answer = None
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def stop(
        self,
        worker: WorkerAddress,
        order: StopOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Order a worker to stop a run."""
        refusal = self._refusal(worker)
        if refusal is not None:
            await trio.lowlevel.checkpoint()
            return OrderAnswer(refusal)
        with self._in_flight(worker.worker_id):
            return await self._send_stop(worker, order, timeout_s)

    async def _send_stop(
        self, worker: WorkerAddress, order: StopOrder, timeout_s: float
    ) -> OrderAnswer:
        if self.stops_to_drop:
            self.stops_to_drop -= 1
            await trio.sleep(timeout_s)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        answer = await self._reach(
            worker.worker_id,
            lambda: self._worker(worker.worker_id).stop(
                order,
                trio.current_time(),
            ),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def pace(
        self,
        worker: WorkerAddress,
        order: PaceOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Order a worker to change the pace of a run."""
        refusal = self._refusal(worker)
        if refusal is not None:
            await trio.lowlevel.checkpoint()
            return OrderAnswer(refusal)
        answer = await self._reach(
            worker.worker_id,
            lambda: self._worker(worker.worker_id).pace(
                order,
                trio.current_time(),
            ),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def hold(
        self,
        worker: WorkerAddress,
        order: HoldOrder,
        *,
        timeout_s: float,
    ) -> HoldReport:
        """Extend leases; report at a run's end or after ``wait_ms``."""
        self.sent_holds[worker.worker_id] += 1
        refusal = self._refusal(worker)
        if refusal is not None:
            await trio.lowlevel.checkpoint()
            return HoldReport(
                refusal, other_worker_id=self.listeners.get(worker.host)
            )
        sent_s = trio.current_time()
        report = await self._wait_for_report(worker, order, timeout_s)
        if report.outcome is OrderOutcome.ACCEPTED and (
            self.hold_answer_delays_s
        ):
            await trio.sleep(self.hold_answer_delays_s.pop(0))
            if trio.current_time() - sent_s > timeout_s:
                return HoldReport(OrderOutcome.UNKNOWN)
        return report

    async def _wait_for_report(
        self, worker: WorkerAddress, order: HoldOrder, timeout_s: float
    ) -> HoldReport:
        sent_s = trio.current_time()
        deadline_s = sent_s + order.wait_ms / _MS_PER_S
        asked = self.workers.get(worker.worker_id)
        while True:
            if self.workers.get(worker.worker_id) is not asked:
                return await self._fail_restarted(
                    worker.worker_id, sent_s + timeout_s
                )
            send_hold = partial(self._hold, worker.worker_id, order)
            report = await self._reach(worker.worker_id, send_hold, timeout_s)
            if report is not None and self.hold_answers_to_lose:
                self.hold_answers_to_lose -= 1
                await trio.sleep(timeout_s)
                report = None
            if report is None:
                return HoldReport(OrderOutcome.UNKNOWN)
            if report.ended or trio.current_time() >= deadline_s:
                return report
            await trio.sleep(_POLL_INTERVAL_S)

    async def _fail_restarted(
        self, worker_id: WorkerId, timeout_at_s: float
    ) -> HoldReport:
        """End a hold whose connection ended with the incarnation."""
        if worker_id in self.dark_restarts:
            await trio.sleep_until(timeout_at_s)
        return HoldReport(OrderOutcome.UNKNOWN)

    def _refusal(self, worker: WorkerAddress) -> OrderOutcome | None:
        """Return why a call doesn't get to the worker, if it is refused."""
        if self._has_ended(worker):
            return OrderOutcome.NOT_CONNECTED
        if self._is_other_worker(worker):
            return OrderOutcome.OTHER_WORKER
        return None

    def _has_ended(self, worker: WorkerAddress) -> bool:
        """Whether the connections to the addressed incarnation have ended."""
        if worker.born_ms is not None and self.connections_to_lose:
            self.connections_to_lose -= 1
            return True
        present = self.workers.get(worker.worker_id)
        if worker.born_ms is None or present is None:
            return False
        return worker.born_ms != present.born_ms

    def _is_other_worker(self, worker: WorkerAddress) -> bool:
        """Whether another worker listens at the address of a call."""
        listener = self.listeners.get(worker.host, worker.worker_id)
        return worker.host in self.foreign_hosts or listener != worker.worker_id

    @contextmanager
    def _in_flight(self, worker_id: WorkerId) -> Iterator[None]:
        self.orders_in_flight[worker_id] += 1
        self.most_orders_in_flight = max(
            self.most_orders_in_flight, self.orders_in_flight[worker_id]
        )
        try:
            yield
        finally:
            self.orders_in_flight[worker_id] -= 1

    def _start(self, worker_id: WorkerId, order: StartOrder) -> OrderAnswer:
        return self._worker(worker_id).start(order, trio.current_time())

    def _hold(self, worker_id: WorkerId, order: HoldOrder) -> HoldReport:
        self.holds_count += 1
        return self._worker(worker_id).hold(order, trio.current_time())

    def _worker(self, worker_id: WorkerId) -> SimulatedWorker:
        return self.workers[worker_id]

    async def _reach(
        self,
        worker_id: WorkerId,
        call: Callable[[], _Reply],
        timeout_s: float,
    ) -> _Reply | None:
        if worker_id in self.unreachable or worker_id not in self.workers:
            await trio.sleep(timeout_s)
            return None
        await trio.lowlevel.checkpoint()
        return call()
