"""HTTP client of one worker's agent.

Messages are the dataclasses of :mod:`machines.calls` as JSON, with bytes in
base64. The answer of a run is the service's own body; it is accepted only if
the call id, the length and the digest in its headers match.
"""

from __future__ import annotations

import functools
import ssl
from dataclasses import replace
from typing import TypeVar

import httpx
import msgspec
import trio
from opentelemetry import trace

from marjoramwharf.errors import Reason, WorkerUnreachable
from marjoramwharf.ids import (
    CallId,
    EntryId,
    Epoch,
    GrantId,
    Incarnation,
    TaskId,
)
from marjoramwharf.machines._aborted_connections import AbortedConnections
from marjoramwharf.machines._agent_answers import (
    decode_reply,
    parse_refusal,
    read_answer,
    read_incarnation,
    read_limited,
    sanitize_answer,
)
from marjoramwharf.machines.agent_messages import (
    EXPECTED_INCARNATION_HEADER,
    INCARNATION_HEADER,
    LeaseRequest,
    StopRequest,
    ThrottleRequest,
)
from marjoramwharf.machines.calls import (
    Call,
    CallAnswer,
    CallInDoubt,
    CallOutcome,
    CallRefused,
    LeaseReply,
    SettleReply,
    TaskReport,
    TaskStart,
    UsageReport,
    WorkerRefusal,
)
from marjoramwharf.tracing import start_span, trace_headers

# A settle reply contains the answer in base64, which adds a third.
_MAX_REPLY_BYTES = 24_000_000
_MS_PER_S = 1_000

_Reply = TypeVar('_Reply')


@functools.cache
def _get_tls_context() -> ssl.SSLContext:
    """Return the TLS context that all agents share.

    Loading the certificates takes about 60 ms; with one context per client it
    would be repeated for each worker.
    """
    return ssl.create_default_context()


class HttpWorkerAgent:
    """Implements ``WorkerAgent`` for one worker over HTTP.

    At most ``connections_count`` connections are open. Runs use all but one
    of them, so that a cancellation or heartbeat never waits for a run. All
    requests other than runs are sent one after another.
    """

    def __init__(
        self,
        url: str,
        entry_id: EntryId,
        *,
        connections_count: int,
        control_timeout_s: float = 2,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create the client; connections are opened when they are needed.

        ``url`` is the base URL of the worker's agent.
        """
        self._entry_id = entry_id
        self._control_timeout_s = control_timeout_s
        self._run_limit = trio.CapacityLimiter(max(connections_count - 1, 1))
        self._control_limit = trio.CapacityLimiter(1)
        self._aborted_connections = AbortedConnections()
        self._incarnation: Incarnation | None = None
        self._client = httpx.AsyncClient(
            base_url=url,
            headers={'X-Entry-Id': entry_id, 'Accept-Encoding': 'identity'},
            limits=httpx.Limits(
                max_connections=connections_count,
                max_keepalive_connections=connections_count,
                keepalive_expiry=None,
            ),
            event_hooks={'response': [self._store_incarnation]},
            timeout=None,
            transport=transport,
            trust_env=False,
            verify=_get_tls_context(),
        )

    @property
    def incarnation(self) -> Incarnation | None:
        """The incarnation that the worker's last reply stated, if any did."""
        return self._incarnation

    async def fetch_incarnation(self) -> Incarnation:
        """Return the incarnation; query the worker if it is not known yet."""
        if self._incarnation is None:
            await self._send_control('GET', '/usage', None)
        if self._incarnation is None:
            raise WorkerUnreachable(
                message='the reply states no worker incarnation'
            )
        return self._incarnation

    async def aclose(self) -> None:
        """Close all connections to the worker."""
        await self._client.aclose()

    async def run(self, call: Call) -> CallOutcome:
        """Run a call and return its outcome; see ``WorkerAgent.run``."""
        is_sent = False
        with start_span('worker.run', kind=trace.SpanKind.CLIENT) as span:
            span.set_attribute('worker', call.permit.worker_id)
            span.set_attribute('request_id', call.request_id or '')
            with trio.move_on_after(call.timeout_ms / _MS_PER_S):
                async with self._run_limit:
                    await self._aborted_connections.wait_for_capacity(
                        self._run_limit
                    )
                    is_sent = True
                    return await self._send(call)
        if is_sent:
            return CallInDoubt(call.call_id, Reason.DEADLINE)
        return CallRefused(call.call_id, WorkerRefusal.FULL)

    async def settle(self, call_id: CallId) -> SettleReply:
        """Return the state of a call; if it arrives later, it is refused."""
        return await self._request_settlement(call_id, 'settle')

    async def cancel(self, call_id: CallId) -> SettleReply:
        """Stop a call; if it arrives later, it is refused."""
        return await self._request_settlement(call_id, 'cancel')

    async def lease(
        self,
        epoch: Epoch,
        *,
        revoked: tuple[GrantId, ...],
        lease_ms: int,
    ) -> LeaseReply:
        """Fence lower epochs and revoked grants and extend the lease.

        The epoch in the reply is the highest that the worker has acknowledged;
        if it is higher than ``epoch``, the lease was not extended.
        """
        body = LeaseRequest(epoch, self._entry_id, revoked, lease_ms)
        return decode_reply(
            await self._send_control('PUT', '/lease', body), LeaseReply
        )

    async def start_task(self, start: TaskStart) -> TaskReport | WorkerRefusal:
        """Start an attempt unless it was; return its state or the refusal."""
        reply = await self._send_control(
            'PUT', f'/tasks/{start.task_id}', start
        )
        refusal = parse_refusal(reply.status_code, reply.content)
        return refusal or decode_reply(reply, TaskReport)

    async def stop_task(
        self,
        task_id: TaskId,
        fence: tuple[int, int],
        *,
        with_checkpoint: bool,
    ) -> TaskReport:
        """Stop an attempt; phase ``UNKNOWN`` proves that it never ran."""
        body = StopRequest(fence, with_checkpoint)
        reply = await self._send_control('POST', f'/tasks/{task_id}/stop', body)
        return decode_reply(reply, TaskReport)

    async def throttle_task(
        self,
        task_id: TaskId,
        *,
        cpu_share: float,
    ) -> TaskReport:
        """Limit a task to a share, 0 to 1, of its processors."""
        body = ThrottleRequest(cpu_share)
        reply = await self._send_control(
            'POST', f'/tasks/{task_id}/throttle', body
        )
        return decode_reply(reply, TaskReport)

    async def usage(self) -> UsageReport:
        """Return the worker's latest usage report, which is some time old."""
        return decode_reply(
            await self._send_control('GET', '/usage', None), UsageReport
        )

    async def _send(self, call: Call) -> CallOutcome:
        """Send a run; in doubt, its connection counts as aborted."""
        with self._aborted_connections.track_exchange() as completed:
            outcome = await self._exchange_run(call)
            if not isinstance(outcome, CallInDoubt):
                completed.set()
        return outcome

    async def _store_incarnation(self, response: httpx.Response) -> None:
        self._incarnation = read_incarnation(response) or self._incarnation

    async def _exchange_run(self, call: Call) -> CallOutcome:
        """Send a run and read its answer; not connected, it is refused."""
        request = self._client.build_request(
            'POST',
            f'/run/{call.service}',
            content=call.body,
            headers=_build_run_headers(call),
        )
        try:
            response = await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return CallRefused(call.call_id, WorkerRefusal.NOT_CONNECTED)
        except httpx.HTTPError:
            return CallInDoubt(call.call_id, Reason.WORKER_UNREACHABLE)
        try:
            return await read_answer(call.call_id, response)
        except httpx.HTTPError:
            return CallInDoubt(call.call_id, Reason.ANSWER_CUT)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()

    async def _request_settlement(
        self, call_id: CallId, action: str
    ) -> SettleReply:
        reply = await self._send_control(
            'POST', f'/calls/{call_id}/{action}', None
        )
        settled = decode_reply(reply, SettleReply)
        if settled.answer is not None:
            if settled.answer.call_id != call_id:
                message = f'{action}: answer to another call'
                raise WorkerUnreachable(message=message)
            answer = sanitize_answer(settled.answer)
            if not isinstance(answer, CallAnswer):
                raise WorkerUnreachable(
                    message=f'{action}: answer with an invalid status'
                )
            settled = replace(settled, answer=answer)
        return replace(settled, incarnation=read_incarnation(reply))

    async def _send_control(
        self, method: str, path: str, body: object
    ) -> httpx.Response:
        with start_span('worker.control', kind=trace.SpanKind.CLIENT) as span:
            span.set_attribute('path', path)
            with trio.move_on_after(self._control_timeout_s):
                async with self._control_limit:
                    return await self._exchange(method, path, body)
        raise WorkerUnreachable(message=f'{path}: no reply in time')

    async def _exchange(
        self,
        method: str,
        path: str,
        body: object,
    ) -> httpx.Response:
        headers = {'Content-Type': 'application/json', **trace_headers()}
        with self._aborted_connections.track_exchange() as completed:
            try:
                reply = await self._send_and_read(
                    self._client.build_request(
                        method,
                        path,
                        content=msgspec.json.encode(body),
                        headers=headers,
                    ),
                )
            except httpx.HTTPError as failure:
                raise WorkerUnreachable(
                    message=f'{path}: {failure!r}',
                ) from failure
            completed.set()
        return reply

    async def _send_and_read(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return its reply with the whole body."""
        response = await self._client.send(request, stream=True)
        try:
            content = await read_limited(response, _MAX_REPLY_BYTES)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()
        if len(content) > _MAX_REPLY_BYTES:
            raise WorkerUnreachable(
                message='the reply exceeds the size limit of 24 MB'
            )
        # The body was read raw, so ``response`` has no content of its own.
        return httpx.Response(
            response.status_code,
            headers={
                INCARNATION_HEADER: read_incarnation(response) or '',
            },
            content=content,
            request=request,
        )


def _build_run_headers(call: Call) -> dict[str, str]:
    headers = {
        'Content-Type': call.content_type,
        'X-Call-Id': call.call_id,
        'X-Grant-Id': call.permit.grant_id,
        'X-Epoch': str(call.permit.epoch),
        'X-Timeout-Ms': str(call.timeout_ms),
        **trace_headers(),
    }
    if call.idempotency_key is not None:
        headers['Idempotency-Key'] = call.idempotency_key
    if call.request_id is not None:
        headers['X-Request-Id'] = call.request_id
    if call.incarnation is not None:
        headers[EXPECTED_INCARNATION_HEADER] = call.incarnation
    return headers
