"""Fake workers, fake capacity and owners of one job shard for the tests."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import trio
from trio.testing import wait_all_tasks_blocked

from marjoramwharf.batch.capacity import (
    NoWorkerFound,
    Reservation,
    ReservationRequest,
)
from marjoramwharf.batch.job import JobSpec, TaskSpec
from marjoramwharf.batch.journal import Journal
from marjoramwharf.batch.ordering import ShardPolicy
from marjoramwharf.batch.runner import JobRunner
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.errors import WorkerUnreachable
from marjoramwharf.ids import Epoch, ShardId, TaskId, TeamId, WorkerId
from marjoramwharf.links.store import Committed, Guard, Urgency, Write
from marjoramwharf.machines.calls import (
    Demand,
    LeaseReply,
    TaskPhase,
    TaskReport,
    TaskStart,
    WorkerRefusal,
)
from standins.memory_store import MemoryStore

SHARD = ShardId(3)
OWNER_KEY = '/own/jobs/3'
TICK_S = 0.1
POLICY = ShardPolicy(quota_millicores=lambda team: 100_000)


def job_spec(
    key: str,
    *,
    tasks_count: int = 1,
    run_ms: int = 3,
    **fields: Any,
) -> JobSpec:
    """Return a job whose tasks need ``run_ms`` ticks."""
    task = TaskSpec(cpu_millicores=100, memory_mb=100, run_ms=run_ms)
    fields.setdefault('team', TeamId('team-1'))
    return JobSpec(
        idempotency_key=key,
        tasks=(task,) * tasks_count,
        **fields,
    )


@dataclass
class FakeWorker:
    """Does one unit of work of each running task per tick.

    ``answers_to_lose`` starts take effect, but their answers are lost.
    ``starts_to_delay`` starts get no answer and take effect at the next tick.
    One that ``is_cut_off`` reports to the entry that owns its capacity, but
    can't be called by the owners of job shards.
    """

    worker_id: WorkerId
    executed: Counter[tuple[TaskId, int]]
    is_reachable: bool = True
    is_cut_off: bool = False
    answers_to_lose: int = 0
    starts_to_delay: int = 0
    is_failing: bool = False
    attempts: dict[TaskId, TaskReport] = field(default_factory=dict)
    starts: dict[TaskId, TaskStart] = field(default_factory=dict)
    delayed: list[TaskStart] = field(default_factory=list)
    fences: dict[str, tuple[int, int]] = field(default_factory=dict)
    refused: set[tuple[TaskId, tuple[int, int]]] = field(default_factory=set)

    async def start_task(self, start: TaskStart) -> TaskReport | WorkerRefusal:
        """Serve a start, with the configured faults."""
        await self._enter_call()
        if self.starts_to_delay:
            self.starts_to_delay -= 1
            self.delayed.append(start)
            raise WorkerUnreachable(message='no answer')
        outcome = self.begin(start)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise WorkerUnreachable(message='the answer was lost')
        return outcome

    async def stop_task(
        self,
        task_id: TaskId,
        fence: tuple[int, int],
        *,
        with_checkpoint: bool,
    ) -> TaskReport:
        """Stop an attempt, or refuse its start from now on."""
        await self._enter_call()
        report = self.attempts.get(task_id)
        if report is None or report.fence != fence:
            self.refused.add((task_id, fence))
            return TaskReport(
                task_id,
                fence,
                TaskPhase.UNKNOWN,
                0,
                Demand(0, 0),
            )
        if report.phase is TaskPhase.RUNNING:
            report = replace(report, phase=TaskPhase.STOPPED)
            self.attempts[task_id] = report
        return report

    async def heartbeat(self) -> LeaseReply:
        """Report all attempts."""
        await self._enter()
        return LeaseReply(
            epoch=Epoch(1),
            leaving=False,
            running=(),
            tasks=tuple(self.attempts.values()),
            connections=(),
        )

    def begin(self, start: TaskStart) -> TaskReport | WorkerRefusal:
        """Start an attempt, unless its fence is too low or was refused."""
        known = self.attempts.get(start.task_id)
        if known is not None and known.fence == start.fence:
            return known
        names = {start.task_id, start.exclusive_key or start.task_id}
        if (start.task_id, start.fence) in self.refused:
            return WorkerRefusal.SETTLED
        if any(self.fences.get(name, (0, 0)) > start.fence for name in names):
            return WorkerRefusal.STALE_FENCE
        self.fences |= dict.fromkeys(names, start.fence)
        self.starts[start.task_id] = start
        self.attempts[start.task_id] = TaskReport(
            task_id=start.task_id,
            fence=start.fence,
            phase=TaskPhase.RUNNING,
            checkpoint=start.checkpoint,
            demand=start.demand,
        )
        return self.attempts[start.task_id]

    def running(self) -> list[TaskStart]:
        """Return the starts of the running attempts."""
        return [
            self.starts[task_id]
            for task_id, report in self.attempts.items()
            if report.phase is TaskPhase.RUNNING
        ]

    def tick(self) -> None:
        """Apply delayed starts and do one unit of work of each attempt."""
        while self.delayed:
            self.begin(self.delayed.pop(0))
        for start in self.running():
            report = self.attempts[start.task_id]
            self.executed[start.task_id, report.checkpoint] += 1
            report = replace(report, checkpoint=report.checkpoint + 1)
            if self.is_failing:
                report = replace(report, phase=TaskPhase.FAILED)
            elif report.checkpoint >= start.run_ms:
                report = replace(report, phase=TaskPhase.FINISHED)
            self.attempts[start.task_id] = report

    async def _enter_call(self) -> None:
        await self._enter()
        if self.is_cut_off:
            raise WorkerUnreachable(message='no route from this entry')

    async def _enter(self) -> None:
        await trio.lowlevel.checkpoint()
        if not self.is_reachable:
            raise WorkerUnreachable(message='no route')


@dataclass
class FakeCapacity:
    """Reserves workers in turn; a ``refusal`` answers every request."""

    worker_ids: list[WorkerId]
    refusal: NoWorkerFound | None = None
    next_id: int = 0
    released: Counter[str] = field(default_factory=Counter)

    async def reserve(
        self,
        request: ReservationRequest,
    ) -> Reservation | NoWorkerFound:
        """Reserve capacity on the next worker that is not to be avoided."""
        await trio.lowlevel.checkpoint()
        usable = [
            worker_id
            for worker_id in self.worker_ids
            if worker_id not in request.avoid_workers
        ]
        if self.refusal is not None or not usable:
            return self.refusal or NoWorkerFound()
        self.next_id += 1
        return Reservation(
            worker_id=usable[self.next_id % len(usable)],
            epoch=Epoch(1),
            reservation_id=f'r-{self.next_id}',
        )

    async def release(self, reservation_id: str) -> None:
        """Count the releases of a reservation."""
        await trio.lowlevel.checkpoint()
        self.released[reservation_id] += 1


class Cluster:
    """The store and the workers, which outlive every shard owner."""

    def __init__(self, workers_count: int = 2) -> None:
        """Start with an empty store and idle workers."""
        self.store = MemoryStore()
        self.executed: Counter[tuple[TaskId, int]] = Counter()
        names = [WorkerId(f'w-{index}') for index in range(workers_count)]
        self.capacity = FakeCapacity(names)
        self.workers = {name: FakeWorker(name, self.executed) for name in names}
        self.epoch = 0
        self.runners: list[JobRunner] = []

    @asynccontextmanager
    async def owner(
        self,
        policy: ShardPolicy = POLICY,
        **options: Any,
    ) -> AsyncIterator[tuple[JobShard, JobRunner]]:
        """Take over the shard as a new owner and serve it in the block."""
        shard = await self.take_over(policy, **options)
        runner = JobRunner(self.capacity, self.get_agent)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(runner.serve_shard, shard)
            nursery.start_soon(runner.run)
            self.runners.append(runner)
            await wait_all_tasks_blocked()
            yield shard, runner
            self.runners.remove(runner)
            nursery.cancel_scope.cancel()

    async def take_over(
        self,
        policy: ShardPolicy = POLICY,
        **options: Any,
    ) -> JobShard:
        """Overwrite the ownership record and recover the journal."""
        self.epoch += 1
        body = str(self.epoch).encode()
        outcome = await self.store.commit(
            [],
            [Write(OWNER_KEY, body)],
            urgency=Urgency.OWNERSHIP,
        )
        assert isinstance(outcome, Committed)
        journal = Journal(
            self.store,
            SHARD,
            owner=Guard(OWNER_KEY, outcome.revision),
            **options,
        )
        await journal.recover()
        return JobShard(SHARD, Epoch(self.epoch), journal, policy)

    async def run_workers(self) -> None:
        """Let the workers work and report until cancelled."""
        while True:
            for _ in range(5):
                await trio.sleep(TICK_S)
                self.check_exclusive()
                for worker in self.workers.values():
                    worker.tick()
            for worker in tuple(self.workers.values()):
                await self._report(worker)

    def check_exclusive(self) -> None:
        """Fail if a task or an exclusive key runs twice at this time."""
        running: Counter[str] = Counter()
        for worker in self.workers.values():
            for start in worker.running():
                key = start.exclusive_key or start.task_id
                running.update({key, start.task_id})
        assert not running or max(running.values()) == 1, running

    def get_agent(self, worker_id: WorkerId) -> Any:
        """Return a fake worker, which has only the methods for tasks."""
        return self.workers.get(worker_id)

    async def _report(self, worker: FakeWorker) -> None:
        try:
            reply = await worker.heartbeat()
        except WorkerUnreachable:
            return
        for runner in tuple(self.runners):
            await runner.on_lease_reply(worker.worker_id, reply)
