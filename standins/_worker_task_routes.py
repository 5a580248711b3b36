"""The requests of the stand-in worker that concern tasks and usage."""

from __future__ import annotations

import time

import msgspec
from quart import Response

from marjoramwharf.ids import TaskId
from marjoramwharf.machines.agent_messages import (
    RefusalReply,
    StopRequest,
    ThrottleRequest,
)
from marjoramwharf.machines.calls import (
    TaskStart,
    WorkerRefusal,
)
from standins._worker_replies import (
    as_json,
    read_request_body,
    unknown_task_report,
)
from standins.worker_state import (
    WorkerState,
)


class TaskRoutes:
    """Handles the requests about tasks and usage."""

    def __init__(self, state: WorkerState) -> None:
        """Handle requests on ``state``."""
        self._state = state

    async def start_task(self, task_id: str) -> Response:
        """Start an attempt of a task."""
        body = await read_request_body()
        start = msgspec.json.decode(body, type=TaskStart)
        report = self._state.start_task(start, time.monotonic())
        if isinstance(report, WorkerRefusal):
            return as_json(RefusalReply(report), status=409)
        return as_json(report)

    async def stop_task(self, task_id: str) -> Response:
        """Stop an attempt of a task."""
        body = await read_request_body()
        call = msgspec.json.decode(body, type=StopRequest)
        report = self._state.tasks.stop(
            TaskId(task_id),
            call.fence,
            time.monotonic(),
            with_checkpoint=call.with_checkpoint,
        )
        return as_json(report or unknown_task_report(task_id, call.fence))

    async def throttle_task(self, task_id: str) -> Response:
        """Limit a task to a share of its processors."""
        body = await read_request_body()
        call = msgspec.json.decode(body, type=ThrottleRequest)
        report = self._state.tasks.throttle(
            TaskId(task_id),
            call.cpu_share,
            time.monotonic(),
        )
        return as_json(report or unknown_task_report(task_id, (0, 0)))

    async def usage(self) -> Response:
        """Return the usage report, which lags by ``usage_lag_ms``."""
        return as_json(self._state.usage(time.monotonic()))
