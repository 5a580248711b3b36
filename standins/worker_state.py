"""State of the stand-in for a worker, without any transport.

It admits calls while slots are free, keeps each call id for settlement, runs
tasks and records the history that tests and the measuring tool check against.
Times are arguments, in monotonic seconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from msgspec import Struct

from marjoramwharf.ids import CallId, Epoch, GrantId, Incarnation, random_id
from marjoramwharf.machines.calls import (
    CallAnswer,
    CallState,
    ClassUsage,
    Demand,
    RunningCall,
    SettleReply,
    TaskReport,
    TaskStart,
    UsageReport,
    WorkerRefusal,
)
from standins.worker_tasks import TaskRecord, TaskTable

_MS_PER_S = 1_000


class WorkerConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one stand-in.

    ``service_ms`` and ``service_sigma`` are the median and the shape of the
    log-normal service time. ``slowdown`` maps a service to the factors by which
    running tasks of each class multiply its time. ``entry_delays_ms`` has the
    one-way delays to single entries; the others have ``link_delay_ms``.
    """

    worker_id: str
    host: str = '127.0.0.1'
    port: int = 0
    services: tuple[str, ...] = ('notice',)
    slots_count: int = 8
    connections_count: int = 64
    cpu_millicores: int = 32_000
    memory_mb: int = 125_000
    accelerators_count: int = 0
    seed: int = 1
    service_ms: float = 5
    service_sigma: float = 0.3
    slowdown: dict[str, dict[str, float]] = {}
    link_delay_ms: float = 0
    entry_delays_ms: dict[str, float] = {}
    loss_share: float = 0
    usage_lag_ms: int = 2_000
    lease_ms: int = 10_000


class Faults(Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults; ``POST /faults`` replaces all of them.

    ``black_hole``: calls fail at once, so that the worker looks idle.
    ``cross_answers_share`` of the calls get the previous call's answer, and
    ``cut_answers_share`` a truncated one.
    """

    black_hole: bool = False
    hang: bool = False
    leaving: bool = False
    cut_answers_share: float = 0
    cross_answers_share: float = 0
    slow_factor: float = 1


@dataclass(slots=True)
class CallRecord:
    """One call, kept in ``History.calls`` if it is admitted."""

    call_id: CallId
    grant_id: GrantId
    epoch: Epoch
    service: str
    idempotency_key: str | None
    request_id: str | None
    start_s: float
    expected_incarnation: str | None = None
    end_s: float | None = None
    state: CallState = CallState.RUNNING


@dataclass(slots=True)
class History:
    """What the worker did, as ``GET /record`` returns it.

    The refused counts are of attempts to exceed the worker's capacity.
    """

    worker_id: str
    slots_count: int
    connections_count: int
    peak_slots_count: int = 0
    peak_connections_count: int = 0
    refused_calls_count: int = 0
    refused_connections_count: int = 0
    leaving_since_s: float | None = None
    calls: list[CallRecord] = field(default_factory=list)
    accepted_after_leaving: list[CallId] = field(default_factory=list)
    tasks: list[TaskRecord] = field(default_factory=list)


class WorkerState:
    """Slots, fences, calls kept for settlement and tasks of one worker."""

    def __init__(self, config: WorkerConfig, now_s: float) -> None:
        """Start empty, with a first lease as long as the settings say."""
        self.config = config
        self.incarnation = Incarnation(random_id())
        self.random = random.Random(config.seed)
        self.faults = Faults()
        self.epoch = Epoch(0)
        self.history = History(
            config.worker_id,
            config.slots_count,
            config.connections_count,
        )
        self.answers: dict[CallId, CallAnswer] = {}
        self.tasks = TaskTable(
            Demand(
                config.cpu_millicores,
                config.memory_mb,
                config.accelerators_count,
            ),
            now_s + config.lease_ms / _MS_PER_S,
        )
        self.history.tasks = self.tasks.history
        self._revoked: set[GrantId] = set()
        self._calls_by_id: dict[CallId, CallRecord] = {}
        self._running_by_id: dict[CallId, CallRecord] = {}
        self._refused_call_ids: set[CallId] = set()
        self._latencies: list[tuple[float, str, float]] = []

    def replace_faults(self, faults: Faults, now_s: float) -> None:
        """Replace the faults and record when the worker began to leave."""
        self.faults = faults
        if not faults.leaving:
            self.history.leaving_since_s = None
        elif self.history.leaving_since_s is None:
            self.history.leaving_since_s = now_s

    def admit(self, record: CallRecord) -> WorkerRefusal | None:
        """Take a slot for a call, or return the reason of a refusal.

        A leaving worker still accepts calls, so that the history shows
        whether its callers stop in time.
        """
        refusal = self._refusal(record)
        if refusal is not None:
            return refusal
        self._calls_by_id[record.call_id] = record
        self._running_by_id[record.call_id] = record
        self.history.calls.append(record)
        self.history.peak_slots_count = max(
            self.history.peak_slots_count,
            len(self._running_by_id),
        )
        if self.history.leaving_since_s is not None:
            self.history.accepted_after_leaving.append(record.call_id)
        return None

    def service_s(self, service: str) -> float:
        """Draw a service time, slowed down by the running tasks."""
        factor = self.faults.slow_factor
        full_factors = self.config.slowdown.get(service, {})
        for task in self.tasks.active():
            full_factor = full_factors.get(task.start.task_class, 1)
            factor *= 1 + (full_factor - 1) * task.cpu_share
        spread = self.random.lognormvariate(0, self.config.service_sigma)
        return self.config.service_ms * spread * factor / _MS_PER_S

    def end_call(
        self,
        call_id: CallId,
        answer: CallAnswer | None,
        now_s: float,
    ) -> None:
        """Free the slot of a call, which was cancelled if it has no answer."""
        record = self._running_by_id.pop(call_id)
        record.end_s = now_s
        record.state = CallState.CANCELLED
        if answer is not None:
            record.state = CallState.FINISHED
            self.answers[call_id] = answer
        latency_ms = (now_s - record.start_s) * _MS_PER_S
        self._latencies.append((now_s, record.service, latency_ms))

    def settle(self, call_id: CallId) -> SettleReply:
        """Return the state of a call.

        An unknown id is refused from now on, so that a call still in flight
        can't run after this answer.
        """
        record = self._calls_by_id.get(call_id)
        if record is None:
            self._refused_call_ids.add(call_id)
            return SettleReply(CallState.NEVER)
        return SettleReply(record.state, self.answers.get(call_id))

    def lease(
        self,
        epoch: Epoch,
        revoked: tuple[GrantId, ...],
        lease_ms: int,
        now_s: float,
    ) -> tuple[RunningCall, ...]:
        """Raise the fence and extend the lease, unless the epoch is stale."""
        self.tasks.advance(now_s)
        if epoch >= self.epoch:
            self.epoch = epoch
            self._revoked.update(revoked)
            self.tasks.expires_at_s = now_s + lease_ms / _MS_PER_S
        return tuple(
            RunningCall(record.call_id, record.grant_id)
            for record in self._running_by_id.values()
        )

    def start_task(
        self,
        start: TaskStart,
        now_s: float,
    ) -> TaskReport | WorkerRefusal:
        """Start an attempt unless its epoch is stale or the worker leaves."""
        if start.epoch < self.epoch:
            return WorkerRefusal.STALE_EPOCH
        if self.faults.leaving:
            return WorkerRefusal.LEAVING
        return self.tasks.start(start, now_s)

    def usage(self, now_s: float) -> UsageReport:
        """Report the usage of the second that ended ``usage_lag_ms`` ago."""
        self.tasks.advance(now_s)
        until_s = now_s - self.config.usage_lag_ms / _MS_PER_S
        since_s = until_s - 1
        self._latencies = [
            sample for sample in self._latencies if sample[0] >= since_s
        ]
        by_service: dict[str, list[float]] = {}
        for at_s, service, latency_ms in self._latencies:
            if at_s <= until_s:
                by_service.setdefault(service, []).append(latency_ms)
        services = [
            ClassUsage(name, _p99(latencies), 0, 0)
            for name, latencies in sorted(by_service.items())
        ]
        tasks = [
            ClassUsage(
                task.start.task_class,
                None,
                task.start.demand.cpu_millicores * task.cpu_share,
                task.start.demand.memory_mb,
            )
            for task in self.tasks.active()
            if task.start_s <= until_s
        ]
        return UsageReport(self.config.usage_lag_ms, (*services, *tasks))

    def _refusal(self, record: CallRecord) -> WorkerRefusal | None:
        if record.expected_incarnation not in {None, self.incarnation}:
            return WorkerRefusal.OTHER_INCARNATION
        is_known = record.call_id in self._calls_by_id
        if is_known or record.call_id in self._refused_call_ids:
            return WorkerRefusal.SETTLED
        if record.epoch < self.epoch:
            return WorkerRefusal.STALE_EPOCH
        if record.grant_id in self._revoked:
            return WorkerRefusal.REVOKED_GRANT
        if record.service not in self.config.services:
            return WorkerRefusal.UNKNOWN_SERVICE
        if len(self._running_by_id) >= self.config.slots_count:
            self.history.refused_calls_count += 1
            return WorkerRefusal.FULL
        return None


def _p99(latencies_ms: list[float]) -> float:
    ranked = sorted(latencies_ms)
    return ranked[int(len(ranked) * 0.99)]
