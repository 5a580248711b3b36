"""HTTP client of one worker's agent.

Messages are the dataclasses of :mod:`machines.calls` as JSON, with bytes in
base64. The answer of a run is the service's own body; it counts as whole only
if the call id, the length and the digest in its headers match.
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
from marjoramwharf.machines._cuts import Cuts
from marjoramwharf.machines.agent_messages import (
    EXPECTED_INCARNATION_HEADER,
    INCARNATION_HEADER,
    LeaseCall,
    Refused,
    StopCall,
    ThrottleCall,
)
from marjoramwharf.machines.calls import (
    Call,
    CallAnswer,
    CallInDoubt,
    CallOutcome,
    CallRefused,
    LeaseReply,
    Settled,
    TaskReport,
    TaskStart,
    UsageReport,
    WorkerRefusal,
)
from marjoramwharf.tracing import start_span, trace_headers

_REFUSED_STATUS = 409
_STATUSES = range(200, 600)
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'
_MAX_ANSWER_BYTES = 16_777_216
_LENGTH_DIGITS = len(str(_MAX_ANSWER_BYTES))
# A settlement has the answer in base64, which adds a third.
_MAX_REPLY_BYTES = 24_000_000
_MS_PER_S = 1_000

_Reply = TypeVar('_Reply')


@functools.cache
def _tls_context() -> ssl.SSLContext:
    """Return the context that all agents share.

    Loading the certificates takes about 60 ms, for each worker anew if every
    client made a context of its own.
    """
    return ssl.create_default_context()


class HttpWorkerAgent:
    """Implements ``WorkerAgent`` for one worker over HTTP.

    At most ``connections_count`` connections are open. Runs use all but one
    of them, so that a cancellation or heartbeat never waits behind runs. The
    other calls are made one after another.
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
        """Prepare the client; connections are opened when they are needed.

        ``url`` is the base URL of the worker's agent.
        """
        self._entry_id = entry_id
        self._control_timeout_s = control_timeout_s
        self._run_limit = trio.CapacityLimiter(max(connections_count - 1, 1))
        self._control_limit = trio.CapacityLimiter(1)
        self._cuts = Cuts()
        self._incarnation: Incarnation | None = None
        self._client = httpx.AsyncClient(
            base_url=url,
            headers={'X-Entry-Id': entry_id, 'Accept-Encoding': 'identity'},
            limits=httpx.Limits(
                max_connections=connections_count,
                max_keepalive_connections=connections_count,
                keepalive_expiry=None,
            ),
            event_hooks={'response': [self._note_incarnation]},
            timeout=None,
            transport=transport,
            trust_env=False,
            verify=_tls_context(),
        )

    @property
    def incarnation(self) -> Incarnation | None:
        """The worker's incarnation in its last answer, if there was one."""
        return self._incarnation

    async def learn_incarnation(self) -> Incarnation:
        """Return the incarnation; asks the worker if it is not known yet."""
        if self._incarnation is None:
            await self._ask('GET', '/usage', None)
        if self._incarnation is None:
            raise WorkerUnreachable(message='a reply without incarnation')
        return self._incarnation

    async def aclose(self) -> None:
        """Close all connections to the worker."""
        await self._client.aclose()

    async def run(self, call: Call) -> CallOutcome:
        """Run a call and return its whole answer.

        A cancelled run leaves the call in doubt; the caller settles it. A
        call that found no free connection in time is refused as ``FULL``.
        """
        sent = False
        with start_span('worker.run', kind=trace.SpanKind.CLIENT) as span:
            span.set_attribute('worker', call.permit.worker_id)
            span.set_attribute('request_id', call.request_id or '')
            with trio.move_on_after(call.timeout_ms / _MS_PER_S):
                async with self._run_limit:
                    await self._cuts.wait_for_room(self._run_limit)
                    sent = True
                    return await self._send(call)
        if sent:
            return CallInDoubt(call.call_id, Reason.DEADLINE)
        return CallRefused(call.call_id, WorkerRefusal.FULL)

    async def settle(self, call_id: CallId) -> Settled:
        """Find out what became of a call, and refuse it if never seen."""
        return await self._end_of(call_id, 'settle')

    async def cancel(self, call_id: CallId) -> Settled:
        """Stop a call; it is refused from then on if it was never seen."""
        return await self._end_of(call_id, 'cancel')

    async def lease(
        self,
        epoch: Epoch,
        *,
        revoked: tuple[GrantId, ...],
        lease_ms: int,
    ) -> LeaseReply:
        """Fence lower epochs and revoked grants and extend the lease.

        The reply's epoch is the highest that the worker has acknowledged; a
        higher one than ``epoch`` means that nothing was extended.
        """
        body = LeaseCall(epoch, self._entry_id, revoked, lease_ms)
        return _decoded(await self._ask('PUT', '/lease', body), LeaseReply)

    async def start_task(self, start: TaskStart) -> TaskReport | WorkerRefusal:
        """Start an attempt, or return the state of the same attempt."""
        reply = await self._ask('PUT', f'/tasks/{start.task_id}', start)
        refusal = _refusal(reply.status_code, reply.content)
        return refusal or _decoded(reply, TaskReport)

    async def stop_task(
        self,
        task_id: TaskId,
        fence: tuple[int, int],
        *,
        with_checkpoint: bool,
    ) -> TaskReport:
        """Stop an attempt; phase ``UNKNOWN`` proves that it never ran."""
        body = StopCall(fence, with_checkpoint)
        reply = await self._ask('POST', f'/tasks/{task_id}/stop', body)
        return _decoded(reply, TaskReport)

    async def throttle_task(
        self,
        task_id: TaskId,
        *,
        cpu_share: float,
    ) -> TaskReport:
        """Limit a task to a share, 0 to 1, of the processors it asked for."""
        body = ThrottleCall(cpu_share)
        reply = await self._ask('POST', f'/tasks/{task_id}/throttle', body)
        return _decoded(reply, TaskReport)

    async def usage(self) -> UsageReport:
        """Return the worker's latest, lagging usage report."""
        return _decoded(await self._ask('GET', '/usage', None), UsageReport)

    async def _send(self, call: Call) -> CallOutcome:
        with self._cuts.unless_whole() as whole:
            outcome = await self._exchange_run(call)
            if not isinstance(outcome, CallInDoubt):
                whole.set()
        return outcome

    async def _note_incarnation(self, response: httpx.Response) -> None:
        self._incarnation = _incarnation_of(response) or self._incarnation

    async def _exchange_run(self, call: Call) -> CallOutcome:
        request = self._client.build_request(
            'POST',
            f'/run/{call.service}',
            content=call.body,
            headers=_run_headers(call),
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

    async def _end_of(self, call_id: CallId, action: str) -> Settled:
        reply = await self._ask('POST', f'/calls/{call_id}/{action}', None)
        settled = _decoded(reply, Settled)
        if settled.answer is not None:
            if settled.answer.call_id != call_id:
                message = f'{action}: answer to another call'
                raise WorkerUnreachable(message=message)
            passable = _passable(settled.answer)
            if not isinstance(passable, CallAnswer):
                raise WorkerUnreachable(message=f'{action}: bad status')
            settled = replace(settled, answer=passable)
        return replace(settled, incarnation=_incarnation_of(reply))

    async def _ask(
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
        with self._cuts.unless_whole() as whole:
            try:
                reply = await self._whole_reply(
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
            whole.set()
        return reply

    async def _whole_reply(self, request: httpx.Request) -> httpx.Response:
        response = await self._client.send(request, stream=True)
        try:
            content = await _read_limited(response, _MAX_REPLY_BYTES)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()
        if len(content) > _MAX_REPLY_BYTES:
            raise WorkerUnreachable(message='the reply is too large')
        return httpx.Response(
            response.status_code,
            headers={
                INCARNATION_HEADER: _incarnation_of(response) or '',
            },
            content=content,
            request=request,
        )


def _run_headers(call: Call) -> dict[str, str]:
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
    if response.headers.get('X-Call-Id') != call_id:
        return CallInDoubt(call_id, Reason.ANSWER_CROSSED)
    length = response.headers.get('Content-Length', '')
    if not length.isdecimal() or not length.isascii():
        return CallInDoubt(call_id, Reason.ANSWER_CUT)
    if len(length) > _LENGTH_DIGITS or int(length) > _MAX_ANSWER_BYTES:
        return CallInDoubt(call_id, Reason.BODY_TOO_LARGE)
    # Raw, since a small compressed body could exceed the limit.
    body = await _read_limited(response, int(length))
    digest = hashlib.sha256(body).hexdigest()
    expected = (int(length), response.headers.get('X-Body-Sha256'))
    if (len(body), digest) != expected:
        return CallInDoubt(call_id, Reason.ANSWER_CUT)
    refusal = _refusal(response.status_code, body)
    if refusal is not None:
        return CallRefused(call_id, refusal)
    return _passable(
        CallAnswer(
            call_id,
            response.status_code,
            response.headers.get('Content-Type', ''),
            body,
        ),
    )


async def _read_limited(response: httpx.Response, limit_bytes: int) -> bytes:
    """Read a body; a longer one is read a little further than its limit."""
    body = bytearray()
    async for piece in response.aiter_raw():
        body.extend(piece)
        if len(body) > limit_bytes:
            break
    return bytes(body)


def _passable(answer: CallAnswer) -> CallOutcome:
    """Return an answer that can be sent on to a caller as it is."""
    if answer.status not in _STATUSES:
        return CallInDoubt(answer.call_id, Reason.ANSWER_CUT)
    if answer.content_type and is_header_safe(answer.content_type):
        return answer
    return replace(answer, content_type=_DEFAULT_CONTENT_TYPE)


def _incarnation_of(response: httpx.Response) -> Incarnation | None:
    stated = response.headers.get(INCARNATION_HEADER, '')
    if not stated or not is_header_safe(stated):
        return None
    return Incarnation(stated)


def _refusal(status: int, body: bytes) -> WorkerRefusal | None:
    """Return the refusal; a service's own 409 has another body."""
    if status != _REFUSED_STATUS:
        return None
    try:
        return decode_json(body, Refused).refused
    except msgspec.MsgspecError:
        return None


def _decoded(reply: httpx.Response, model: type[_Reply]) -> _Reply:
    try:
        return decode_json(reply.raise_for_status().content, model)
    except (httpx.HTTPError, msgspec.MsgspecError) as failure:
        raise WorkerUnreachable(message=f'bad reply: {failure}') from failure
