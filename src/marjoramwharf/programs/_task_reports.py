"""Forwards the task reports of the owned workers to the job owners.

A job owner needs the ends of attempts soon. It also needs the complete list
of a worker's tasks regularly, since a task that is missing from it was lost.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Mapping
from typing import TypeAlias

import trio

from marjoramwharf.batch.job import parse_shard_id
from marjoramwharf.batch.runner import JobRunner
from marjoramwharf.batch.settling import RUNNING_PHASES
from marjoramwharf.contracts.borrowing import PEER_TIMEOUT_S, PeerCaller
from marjoramwharf.contracts.capacity_handlers import demand_of
from marjoramwharf.contracts.ownership import OwnerRecord
from marjoramwharf.errors import PeerRefused, PeerUnreachable
from marjoramwharf.ids import EntryId, Epoch, ShardId, TaskId, WorkerId
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.machines.calls import LeaseReply, TaskPhase, TaskReport
from marjoramwharf.programs._task_placement import demand_message

_SEND_INTERVAL_S = 1.0
# Combines the ends that several workers report at about the same time.
_BATCH_DELAY_S = 0.05
_NO_EPOCH = Epoch(0)

# Proofs of a worker that are kept for a later owner of the job shard.
_MAX_PROOFS_COUNT = 64
# Replies of one worker that are queued while the store is slow. The oldest is
# dropped; an end in it is asked for later, when the task is found missing.
_MAX_QUEUED_REPLIES_COUNT = 8

_Queue: TypeAlias = deque[tuple[LeaseReply, frozenset[ShardId] | None]]


class TaskReportRelay:
    """Applies the reports for own job shards and forwards the others.

    ``records`` returns the ownership records of the job shards;
    ``on_worker_seen`` is called for each worker whose reports arrive.
    """

    def __init__(
        self,
        runner: JobRunner,
        entry_id: EntryId,
        *,
        records: Callable[[], Mapping[ShardId, OwnerRecord]],
        peers: Callable[[], Mapping[EntryId, PeerCaller]],
        on_worker_seen: Callable[[WorkerId], None],
    ) -> None:
        """Start without reports."""
        self._runner = runner
        self._entry_id = entry_id
        self._records = records
        self._peers = peers
        self._on_worker_seen = on_worker_seen
        self._nursery: trio.Nursery | None = None
        self._latest: dict[WorkerId, LeaseReply] = {}
        # Ends that a job owner has acknowledged, with the epoch of its shard:
        # the owner of a later epoch must get them again.
        self._acknowledged_ends: dict[WorkerId, dict[TaskReport, Epoch]] = {}
        # Proofs that attempts never ran, which their workers don't repeat.
        self._never_ran: dict[WorkerId, deque[TaskReport]] = {}
        self._unsent: defaultdict[EntryId, set[WorkerId]] = defaultdict(set)
        self._queues: dict[WorkerId, _Queue] = {}
        self._busy_owners: set[EntryId] = set()
        self._new_ends_event = trio.Event()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forward reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                with trio.move_on_after(_SEND_INTERVAL_S):
                    await self._new_ends_event.wait()
                    await trio.sleep(_BATCH_DELAY_S)
                self._new_ends_event = trio.Event()
                self._send_all(nursery)

    def on_lease(self, worker_id: WorkerId, reply: LeaseReply) -> None:
        """Handle the heartbeat reply of an owned worker.

        Its reports are queued for the own job shards and for other owners.
        """
        self._on_worker_seen(worker_id)
        self._latest[worker_id] = reply
        self._enqueue(worker_id, reply, None)
        acknowledged = self._acknowledged_ends.setdefault(worker_id, {})
        current = set(self._reports_of(worker_id))
        self._acknowledged_ends[worker_id] = {
            report: epoch
            for report, epoch in acknowledged.items()
            if report in current
        }
        records = self._records()
        owners = {record.owner for record in records.values()}
        for owner in owners - {self._entry_id, EntryId('')}:
            self._unsent[owner].add(worker_id)
        if any(
            self._is_unacknowledged_end(acknowledged, records, report)
            for report in current
        ):
            self._new_ends_event.set()

    def on_never_ran(self, worker_id: WorkerId, report: TaskReport) -> None:
        """Handle a worker's proof that an attempt never ran and never will.

        The owner of the job shard may be unable to get it from the worker.
        """
        proofs = self._never_ran.setdefault(
            worker_id, deque(maxlen=_MAX_PROOFS_COUNT)
        )
        proofs.append(report)
        reply = LeaseReply(
            epoch=_NO_EPOCH,
            leaving=False,
            running=(),
            tasks=(report,),
            connections=(),
        )
        self._enqueue(worker_id, reply, frozenset())
        record = _find_record(self._records(), report)
        if record is not None and record.owner != self._entry_id:
            self._unsent[record.owner].add(worker_id)
            self._new_ends_event.set()

    def _reports_of(self, worker_id: WorkerId) -> tuple[TaskReport, ...]:
        """Return the reports of a worker's latest reply, and the proofs."""
        latest = self._latest.get(worker_id)
        reported = () if latest is None else latest.tasks
        return (*reported, *self._never_ran.get(worker_id, ()))

    async def on_peer_reports(
        self,
        _sender: PeerIdentity,
        message: Message,
    ) -> Message:
        """Queue the reports of a peer's workers and acknowledge them.

        The answer does not wait for the store: this entry retries the commit
        of the outcomes until they are durable, and a later owner of the shard
        asks for them itself.
        """
        for worker in message.workers:
            worker_id = WorkerId(worker.worker_id)
            self._on_worker_seen(worker_id)
            reply = LeaseReply(
                epoch=_NO_EPOCH,
                leaving=False,
                running=(),
                tasks=tuple(map(_decode_report, worker.reports)),
                connections=(),
            )
            shards = frozenset(map(ShardId, worker.shards))
            self._enqueue(worker_id, reply, shards)
        return ttypes.Ack()

    def _enqueue(
        self,
        worker_id: WorkerId,
        reply: LeaseReply,
        shards: frozenset[ShardId] | None,
    ) -> None:
        queue = self._queues.setdefault(
            worker_id, deque(maxlen=_MAX_QUEUED_REPLIES_COUNT)
        )
        queue.append((reply, shards))
        if self._nursery is not None and len(queue) == 1:
            self._nursery.start_soon(self._process_queue, worker_id, queue)

    async def _process_queue(self, worker_id: WorkerId, queue: _Queue) -> None:
        while queue:
            reply, shards = queue[0]
            await self._runner.on_lease_reply(worker_id, reply, shards=shards)
            if queue[0][0] is reply:
                queue.popleft()
        self._queues.pop(worker_id)

    def _is_unacknowledged_end(
        self,
        acknowledged: Mapping[TaskReport, Epoch],
        records: Mapping[ShardId, OwnerRecord],
        report: TaskReport,
    ) -> bool:
        """Tell whether a report is an end that its owner must still get."""
        record = _find_record(records, report)
        if record is None or record.owner == self._entry_id:
            return False
        is_acknowledged = acknowledged.get(report) == record.epoch
        return report.phase not in RUNNING_PHASES and not is_acknowledged

    def _send_all(self, nursery: trio.Nursery) -> None:
        peers = self._peers()
        for owner, workers in tuple(self._unsent.items()):
            peer = peers.get(owner)
            if peer is not None and workers and owner not in self._busy_owners:
                self._unsent.pop(owner)
                self._busy_owners.add(owner)
                nursery.start_soon(self._send, owner, peer, workers)

    async def _send(
        self,
        owner: EntryId,
        peer: PeerCaller,
        workers: set[WorkerId],
    ) -> None:
        records = {
            shard: record
            for shard, record in self._records().items()
            if record.owner == owner
        }
        reports_by_worker = {
            worker_id: self._reports_for_owner(worker_id, records)
            for worker_id in workers
        }
        message = ttypes.TaskReports(
            workers=[
                ttypes.WorkerTasks(
                    worker_id=worker_id,
                    shards=list(records),
                    reports=list(map(_encode_report, reports)),
                )
                for worker_id, reports in reports_by_worker.items()
            ],
        )
        try:
            await peer.call(message, timeout_s=PEER_TIMEOUT_S)
        except (PeerUnreachable, PeerRefused):
            self._busy_owners.discard(owner)
            return
        self._busy_owners.discard(owner)
        for sender, sent in reports_by_worker.items():
            acknowledged = self._acknowledged_ends.setdefault(sender, {})
            for report in sent:
                record = _find_record(records, report)
                if record is not None and report.phase not in RUNNING_PHASES:
                    acknowledged[report] = record.epoch

    def _reports_for_owner(
        self,
        worker_id: WorkerId,
        records: Mapping[ShardId, OwnerRecord],
    ) -> list[TaskReport]:
        acknowledged = self._acknowledged_ends.get(worker_id, {})
        return [
            report
            for report in self._reports_of(worker_id)
            if _find_record(records, report) is not None
            and (
                report.phase in RUNNING_PHASES
                or self._is_unacknowledged_end(acknowledged, records, report)
            )
        ]


def _find_record(
    records: Mapping[ShardId, OwnerRecord],
    report: TaskReport,
) -> OwnerRecord | None:
    shard = parse_shard_id(report.task_id)
    return None if shard is None else records.get(shard)


def _encode_report(report: TaskReport) -> Message:
    return ttypes.TaskReportMessage(
        task_id=report.task_id,
        shard_epoch=report.fence[0],
        attempt=report.fence[1],
        phase=report.phase.value,
        checkpoint=report.checkpoint,
        demand=demand_message(report.demand),
    )


def _decode_report(message: Message) -> TaskReport:
    return TaskReport(
        task_id=TaskId(message.task_id),
        fence=(message.shard_epoch, message.attempt),
        phase=TaskPhase(message.phase),
        checkpoint=message.checkpoint,
        demand=demand_of(message.demand),
    )
