"""HTTP client of one worker's agent.

Messages are the dataclasses of :mod:`machines.calls` as JSON, with bytes in
base64. The answer of a run is the service's own body; it is accepted only if
the call id, the length and the digest in its headers match.
"""

from __future__ import annotations

import functools
import hashlib
import ssl
from dataclasses import replace
from typing import TypeVar

import httpx
import msgspec
import trio
from opentelemetry import trace

from marjoramwharf.errors import Reason, WorkerUnreachable
from marjoramwharf.http_bodies import is_header_safe
from marjoramwharf.ids import (
    CallId,
    EntryId,
    Epoch,
    GrantId,
    Incarnation,
    TaskId,
)
from marjoramwharf.json_bodies import decode_json
from marjoramwharf.machines._aborted_connections import AbortedConnections
from marjoramwharf.machines.agent_messages import (
    EXPECTED_INCARNATION_HEADER,
    INCARNATION_HEADER,
    LeaseRequest,
    RefusalReply,
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

_REFUSED_STATUS = 409
_VALID_STATUSES = range(200, 600)
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'
_MAX_ANSWER_BYTES = 16_777_216
_LENGTH_DIGITS = len(str(_MAX_ANSWER_BYTES))
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
        return _decode_reply(
            await self._send_control('PUT', '/lease', body), LeaseReply
        )

    async def start_task(self, start: TaskStart) -> TaskReport | WorkerRefusal:
        """Start an attempt unless it was; return its state or the refusal."""
        reply = await self._send_control(
            'PUT', f'/tasks/{start.task_id}', start
        )
        refusal = _parse_refusal(reply.status_code, reply.content)
        return refusal or _decode_reply(reply, TaskReport)

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
        return _decode_reply(reply, TaskReport)

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
        return _decode_reply(reply, TaskReport)

    async def usage(self) -> UsageReport:
        """Return the worker's latest usage report, which is some time old."""
        return _decode_reply(
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
        self._incarnation = _read_incarnation(response) or self._incarnation

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
            return await _read_answer(call.call_id, response)
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
        settled = _decode_reply(reply, SettleReply)
        if settled.answer is not None:
            if settled.answer.call_id != call_id:
                message = f'{action}: answer to another call'
                raise WorkerUnreachable(message=message)
            answer = _sanitize_answer(settled.answer)
            if not isinstance(answer, CallAnswer):
                raise WorkerUnreachable(
                    message=f'{action}: answer with an invalid status'
                )
            settled = replace(settled, answer=answer)
        return replace(settled, incarnation=_read_incarnation(reply))

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
            content = await _read_limited(response, _MAX_REPLY_BYTES)
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
                INCARNATION_HEADER: _read_incarnation(response) or '',
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


async def _read_answer(
    call_id: CallId,
    response: httpx.Response,
) -> CallOutcome:
    """Read the answer of a run; an invalid one leaves the call in doubt."""
    if response.headers.get('X-Call-Id') != call_id:
        return CallInDoubt(call_id, Reason.ANSWER_CROSSED)
    # A truncated or otherwise invalid answer is reported as ``ANSWER_CUT``.
    length = response.headers.get('Content-Length', '')
    if not length.isdecimal() or not length.isascii():
        return CallInDoubt(call_id, Reason.ANSWER_CUT)
    if len(length) > _LENGTH_DIGITS or int(length) > _MAX_ANSWER_BYTES:
        return CallInDoubt(call_id, Reason.BODY_TOO_LARGE)
    # Read raw: a small compressed body could exceed the limit when decoded.
    body = await _read_limited(response, int(length))
    digest = hashlib.sha256(body).hexdigest()
    expected = (int(length), response.headers.get('X-Body-Sha256'))
    if (len(body), digest) != expected:
        return CallInDoubt(call_id, Reason.ANSWER_CUT)
    refusal = _parse_refusal(response.status_code, body)
    if refusal is not None:
        return CallRefused(call_id, refusal)
    return _sanitize_answer(
        CallAnswer(
            call_id,
            response.status_code,
            response.headers.get('Content-Type', ''),
            body,
        ),
    )


async def _read_limited(response: httpx.Response, limit_bytes: int) -> bytes:
    """Read a body, up to and with the first chunk that exceeds the limit.

    The result is then too long; the caller checks this.
    """
    body = bytearray()
    async for chunk in response.aiter_raw():
        body.extend(chunk)
        if len(body) > limit_bytes:
            break
    return bytes(body)


def _sanitize_answer(answer: CallAnswer) -> CallOutcome:
    """Return an answer that can be forwarded to a caller.

    With an invalid status the call is in doubt, as after a truncated answer.
    An invalid content type is replaced by the default.
    """
    if answer.status not in _VALID_STATUSES:
        return CallInDoubt(answer.call_id, Reason.ANSWER_CUT)
    if answer.content_type and is_header_safe(answer.content_type):
        return answer
    return replace(answer, content_type=_DEFAULT_CONTENT_TYPE)


def _read_incarnation(response: httpx.Response) -> Incarnation | None:
    incarnation = response.headers.get(INCARNATION_HEADER, '')
    if not incarnation or not is_header_safe(incarnation):
        return None
    return Incarnation(incarnation)


def _parse_refusal(status: int, body: bytes) -> WorkerRefusal | None:
    """Parse a refusal; ``None`` if the service itself sent the response."""
    if status != _REFUSED_STATUS:
        return None
    try:
        return decode_json(body, RefusalReply).refused
    except msgspec.MsgspecError:
        return None


def _decode_reply(reply: httpx.Response, model: type[_Reply]) -> _Reply:
    try:
        return decode_json(reply.raise_for_status().content, model)
    except (httpx.HTTPError, msgspec.MsgspecError) as failure:
        raise WorkerUnreachable(
            message=f'invalid reply of the worker: {failure}'
        ) from failure
