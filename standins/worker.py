"""The stand-in for a worker's agent, over HTTP.

It runs as a process (``python -m standins.worker --config FILE``) or in the
nursery of a test (``await nursery.start(serve_worker, config)``). A service
answers with the body of the request, so that callers can check the answer.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial

import msgspec
import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from quart import Response, request
from quart_trio import QuartTrio

from marjoramwharf import jsonc
from marjoramwharf.ids import CallId, EntryId, Epoch, GrantId
from marjoramwharf.machines.agent_messages import (
    EXPECTED_INCARNATION_HEADER,
    INCARNATION_HEADER,
    LeaseRequest,
)
from marjoramwharf.machines.calls import (
    CallAnswer,
    LeaseReply,
)
from standins._worker_replies import (
    as_json,
    call_response,
    read_request_body,
    refusal_answer,
    truncated_body,
)
from standins._worker_task_routes import TaskRoutes
from standins.worker_state import (
    CallRecord,
    Faults,
    WorkerConfig,
    WorkerState,
)

_MS_PER_S = 1_000
# Long, so that a request rarely arrives while its connection is being closed.
_KEEP_ALIVE_S = 60


@dataclass(slots=True)
class _Connection:
    stream: trio.SocketStream
    entry_id: EntryId = EntryId('')


@dataclass(slots=True)
class _RunningCall:
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended: trio.Event = field(default_factory=trio.Event)


class WorkerServer:
    """Holds the connections and running calls of one stand-in."""

    def __init__(self, config: WorkerConfig, nursery: trio.Nursery) -> None:
        """Run calls in ``nursery``, so that they outlive their connections."""
        self.state = WorkerState(config, time.monotonic())
        self._nursery = nursery
        self._connections: dict[tuple[str, int], _Connection] = {}
        self._running: dict[CallId, _RunningCall] = {}
        self._faults_changed = trio.Event()
        self._previous_answer: CallAnswer | None = None
        self._hypercorn = Config()
        self._hypercorn.keep_alive_timeout = _KEEP_ALIVE_S
        self._hypercorn.errorlog = None
        self._app = ASGIWrapper(_build_app(self))

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve one connection, or close it if the limit is reached."""
        history = self.state.history
        if len(self._connections) >= self.state.config.connections_count:
            history.refused_connections_count += 1
            await trio.aclose_forcefully(stream)
            return
        client_address = stream.socket.getpeername()[:2]
        connection = _Connection(stream)
        self._connections[client_address] = connection
        history.peak_connections_count = max(
            history.peak_connections_count,
            len(self._connections),
        )
        with ExitStack() as stack:
            stack.callback(
                _discard_connection,
                self._connections,
                client_address,
                connection,
            )
            await self._serve_connection(stream)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        """Answer the requests of a connection; its failures end only itself.

        Hypercorn may send two responses at the same time if the client leaves
        in the middle of a request.
        """
        try:
            await TCPServer(
                self._app,
                self._hypercorn,
                WorkerContext(None),
                ConnectionState({}),
                stream,  # type: ignore[arg-type]
            )
        except* trio.BusyResourceError:
            await trio.aclose_forcefully(stream)

    async def apply_request_faults(self) -> Response | None:
        """Delay a received request or lose it, and apply a ``hang`` fault."""
        if request.path in {'/faults', '/record'}:
            return None
        config = self.state.config
        connection = self._connections[_client_address()]
        connection.entry_id = EntryId(request.headers.get('X-Entry-Id', ''))
        await trio.sleep(self._one_way_s())
        if self.state.random.random() < config.loss_share / 2:
            await self._abort_connection()
            return Response('', status=503)
        if not request.path.startswith('/run/'):
            await self._wait_for_hang()
        return None

    async def apply_response_faults(self, response: Response) -> Response:
        """Add the incarnation to an answer, and delay or lose it."""
        response.headers[INCARNATION_HEADER] = self.state.incarnation
        if request.path in {'/faults', '/record'}:
            return response
        config = self.state.config
        await trio.sleep(self._one_way_s())
        if self.state.random.random() < config.loss_share / 2:
            await self._abort_connection()
        return response

    def _one_way_s(self) -> float:
        config = self.state.config
        entry_id = request.headers.get('X-Entry-Id', '')
        delay_ms = config.entry_delays_ms.get(entry_id, config.link_delay_ms)
        return delay_ms / _MS_PER_S

    async def run(self, service: str) -> Response:
        """Run a call, which goes on if its connection breaks."""
        body = await read_request_body()
        record = CallRecord(
            call_id=CallId(request.headers['X-Call-Id']),
            grant_id=GrantId(request.headers['X-Grant-Id']),
            epoch=Epoch(int(request.headers['X-Epoch'])),
            service=service,
            idempotency_key=request.headers.get('Idempotency-Key'),
            request_id=request.headers.get('X-Request-Id'),
            start_s=time.monotonic(),
            expected_incarnation=request.headers.get(
                EXPECTED_INCARNATION_HEADER,
            ),
        )
        refusal = self.state.admit(record)
        if refusal is not None:
            return call_response(refusal_answer(record.call_id, refusal))
        content_type = request.headers.get('Content-Type', '')
        running = _RunningCall()
        self._running[record.call_id] = running
        self._nursery.start_soon(
            self._execute,
            record,
            CallAnswer(record.call_id, 200, content_type, body),
            running,
        )
        await running.ended.wait()
        return await self._build_answer(record.call_id)

    async def settle(self, call_id: str) -> Response:
        """Return the state and the answer of a call."""
        return as_json(self.state.settle(CallId(call_id)))

    async def cancel(self, call_id: str) -> Response:
        """Cancel a call if it runs, then return its state and answer."""
        running = self._running.get(CallId(call_id))
        if running is not None:
            running.scope.cancel()
            await running.ended.wait()
        return as_json(self.state.settle(CallId(call_id)))

    async def lease(self) -> Response:
        """Fence older epochs, extend the lease and report what runs."""
        body = await read_request_body()
        call = msgspec.json.decode(body, type=LeaseRequest)
        running = self.state.lease(
            call.epoch,
            call.revoked,
            call.lease_ms,
            time.monotonic(),
        )
        connections = Counter(
            connection.entry_id
            for connection in self._connections.values()
            if connection.entry_id
        )
        return as_json(
            LeaseReply(
                self.state.epoch,
                self.state.faults.leaving,
                running,
                self.state.tasks.reports(),
                tuple(sorted(connections.items())),
            ),
        )

    async def set_faults(self) -> Response:
        """Replace the faults; calls waiting for a hang to end go on."""
        body = await read_request_body()
        self.apply_faults(msgspec.json.decode(body, type=Faults))
        return as_json(self.state.faults)

    def apply_faults(self, faults: Faults) -> None:
        """Replace the faults from within the process, without HTTP."""
        self.state.replace_faults(faults, time.monotonic())
        self._faults_changed.set()
        self._faults_changed = trio.Event()

    async def record(self) -> Response:
        """Return the worker's history."""
        self.state.tasks.advance(time.monotonic())
        return as_json(self.state.history)

    async def _execute(
        self,
        record: CallRecord,
        answer: CallAnswer,
        running: _RunningCall,
    ) -> None:
        ended: CallAnswer | None = None
        with running.scope:
            if self.state.faults.black_hole:
                answer = CallAnswer(record.call_id, 500, 'text/plain', b'')
            else:
                await self._wait_for_hang()
                await trio.sleep(self.state.service_s(record.service))
            ended = answer
        self.state.end_call(record.call_id, ended, time.monotonic())
        self._running.pop(record.call_id)
        running.ended.set()

    async def _build_answer(self, call_id: CallId) -> Response:
        """Return the answer to a call, altered by the faults.

        It may be the answer to the previous call or a truncated one. A
        cancelled call has none, and its connection is aborted.
        """
        answer = self.state.answers.get(call_id)
        if answer is None:
            await self._abort_connection()
            return Response('', status=503)
        previous = self._previous_answer
        self._previous_answer = answer
        draw = self.state.random.random
        if previous and draw() < self.state.faults.cross_answers_share:
            return call_response(previous)
        response = call_response(answer)
        if draw() < self.state.faults.cut_answers_share:
            first_half = answer.body[: len(answer.body) // 2]
            response.response = response.iterable_body_class(
                truncated_body(first_half, self._abort_connection),
            )
        return response

    async def _wait_for_hang(self) -> None:
        while self.state.faults.hang:
            await self._faults_changed.wait()

    async def _abort_connection(self) -> None:
        """Abort the request's connection, which counts as closed at once."""
        connection = self._connections.pop(_client_address(), None)
        if connection is not None:
            await trio.aclose_forcefully(connection.stream)


async def serve_worker(
    config: WorkerConfig,
    *,
    task_status: trio.TaskStatus[
        tuple[str, WorkerServer]
    ] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; the task status is the URL and the server."""
    async with trio.open_nursery() as nursery:
        server = WorkerServer(config, nursery)
        listeners = await trio.open_tcp_listeners(
            config.port,
            host=config.host,
        )
        port = listeners[0].socket.getsockname()[1]
        task_status.started((f'http://{config.host}:{port}', server))
        await trio.serve_listeners(server.accept, listeners)


def main() -> None:
    """Run one stand-in worker with the settings of a file."""
    parser = argparse.ArgumentParser(description='Stand-in for a worker.')
    parser.add_argument('--config', type=pathlib.Path, required=True)
    path: pathlib.Path = parser.parse_args().config
    try:
        trio.run(partial(serve_worker, jsonc.load_file(path, WorkerConfig)))
    except KeyboardInterrupt:
        sys.exit(130)


def _discard_connection(
    connections: dict[tuple[str, int], _Connection],
    client_address: tuple[str, int],
    connection: _Connection,
) -> None:
    """Remove a connection unless a new one has taken its address."""
    if connections.get(client_address) is connection:
        connections.pop(client_address)


def _client_address() -> tuple[str, int]:
    """Return the address that the handled request came from."""
    host, port = request.scope['client'] or ('', 0)
    return (host, port or 0)


def _build_app(server: WorkerServer) -> QuartTrio:
    app = QuartTrio(__name__)
    tasks = TaskRoutes(server.state)
    app.before_request(server.apply_request_faults)
    app.after_request(server.apply_response_faults)
    routes = (
        ('POST', '/run/<service>', server.run),
        ('POST', '/calls/<call_id>/settle', server.settle),
        ('POST', '/calls/<call_id>/cancel', server.cancel),
        ('PUT', '/lease', server.lease),
        ('PUT', '/tasks/<task_id>', tasks.start_task),
        ('POST', '/tasks/<task_id>/stop', tasks.stop_task),
        ('POST', '/tasks/<task_id>/throttle', tasks.throttle_task),
        ('GET', '/usage', tasks.usage),
        ('POST', '/faults', server.set_faults),
        ('GET', '/record', server.record),
    )
    for method, path, handler in routes:
        app.add_url_rule(path, view_func=handler, methods=[method])
    return app


if __name__ == '__main__':
    main()
