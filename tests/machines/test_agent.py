"""The client of worker agents, with the stand-in worker on loopback."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio

from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Reason, WorkerUnreachable
from marjoramwharf.ids import (
    CallId,
    EntryId,
    Epoch,
    GrantId,
    ServiceId,
    TaskId,
    WorkerId,
)
from marjoramwharf.machines.agent import HttpWorkerAgent
from marjoramwharf.machines.calls import (
    Call,
    CallAnswer,
    CallInDoubt,
    CallOutcome,
    CallRefused,
    CallState,
    Demand,
    TaskPhase,
    TaskReport,
    TaskStart,
    WorkerRefusal,
)
from standins.worker import WorkerServer, serve_worker
from standins.worker_state import Faults, WorkerConfig, WorkerState

_Scenario = Callable[[HttpWorkerAgent, WorkerServer], Awaitable[None]]


def make_call(call_id: str, *, epoch: int = 1, timeout_ms: int = 5_000) -> Call:
    """Return a call under a grant of the same epoch."""
    permit = Permit(
        GrantId(f'{epoch}-1'),
        WorkerId('w1'),
        Epoch(epoch),
        serial=1,
        expires_at_s=1e9,
    )
    return Call(
        CallId(call_id),
        ServiceId('notice'),
        body=call_id.encode() * 100,
        content_type='text/plain',
        timeout_ms=timeout_ms,
        permit=permit,
    )


def _start(attempt: int, *, key: str | None = None) -> TaskStart:
    return TaskStart(
        TaskId(f'task-{key}' if key else 'task'),
        (1, attempt),
        Epoch(1),
        'die-wear' if key else None,
        Demand(cpu_millicores=1_000, memory_mb=100),
        'batch',
        run_ms=3_600_000,
        checkpoint=0,
    )


class AgentTests(unittest.TestCase):
    """Guards against answers and refusals that are misread."""

    def test_answer_is_complete(self) -> None:
        """Guards against a client that rejects correct answers."""

        async def scenario(
            agent: HttpWorkerAgent, _server: WorkerServer
        ) -> None:
            answer = await agent.run(make_call('a'))
            self.assertEqual(
                answer,
                CallAnswer(CallId('a'), 200, 'text/plain', b'a' * 100),
            )

        _with_worker(scenario)

    def test_truncated_answer_is_in_doubt(self) -> None:
        """Guards against a truncated answer that counts as complete."""

        async def scenario(
            agent: HttpWorkerAgent, server: WorkerServer
        ) -> None:
            server.apply_faults(Faults(cut_answers_share=1))
            outcome = await agent.run(make_call('a'))
            self.assertEqual(
                outcome,
                CallInDoubt(CallId('a'), Reason.ANSWER_CUT),
            )
            settled = await agent.settle(CallId('a'))
            self.assertEqual(settled.state, CallState.FINISHED)
            assert settled.answer is not None
            self.assertEqual(settled.answer.body, b'a' * 100)

        _with_worker(scenario)

    def test_answer_to_another_call_is_in_doubt(self) -> None:
        """Guards against the answer to one call returned for another."""

        async def scenario(
            agent: HttpWorkerAgent, server: WorkerServer
        ) -> None:
            server.apply_faults(Faults(cross_answers_share=1))
            await agent.run(make_call('a'))
            outcome = await agent.run(make_call('b'))
            self.assertEqual(
                outcome,
                CallInDoubt(CallId('b'), Reason.ANSWER_CROSSED),
            )

        _with_worker(scenario)

    def test_corrupted_answer_is_in_doubt(self) -> None:
        """Guards against a body that does not match its length or digest."""
        head = b'HTTP/1.1 200 OK\r\nX-Call-Id: a\r\n'
        digest = b'X-Body-Sha256: %b\r\n' % (b'0' * 64)
        for case in (
            b'%bContent-Length: 2\r\n%b\r\nhi' % (head, digest),
            b'%bContent-Length: 2\r\n\r\nhi' % head,
            b'%bConnection: close\r\n%b\r\nhi' % (head, digest),
        ):
            with self.subTest(case):
                self.assertEqual(
                    trio.run(_run_against, case),
                    CallInDoubt(CallId('a'), Reason.ANSWER_CUT),
                )

    def test_settled_unseen_call_never_runs(self) -> None:
        """Guards against a delayed call that runs after the reply "never"."""

        async def scenario(
            agent: HttpWorkerAgent, server: WorkerServer
        ) -> None:
            settled = await agent.settle(CallId('a'))
            self.assertEqual(settled.state, CallState.NEVER)
            self._assert_refused(await agent.run(make_call('a')), 'settled')
            self.assertFalse(server.state.history.calls)

        _with_worker(scenario)

    def test_old_epoch_and_revoked_grant_are_refused(self) -> None:
        """Guards against runs under a permit that was lent to another entry."""

        async def scenario(
            agent: HttpWorkerAgent, _server: WorkerServer
        ) -> None:
            await agent.lease(
                Epoch(2),
                revoked=(GrantId('2-1'),),
                lease_ms=1_000,
            )
            self._assert_refused(await agent.run(make_call('a')), 'stale_epoch')
            outcome = await agent.run(make_call('b', epoch=2))
            self._assert_refused(outcome, 'revoked_grant')

        _with_worker(scenario)

    def test_no_connection_proves_not_run(self) -> None:
        """Guards against doubt about a call that was never sent."""

        async def main() -> None:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listeners[0].socket.getsockname()[1]
            await listeners[0].aclose()
            agent = _agent(f'http://127.0.0.1:{port}')
            self._assert_refused(
                await agent.run(make_call('a')), 'not_connected'
            )
            with self.assertRaises(WorkerUnreachable):
                await agent.settle(CallId('a'))
            await agent.aclose()

        trio.run(main)

    def test_timeout_leaves_the_call_counted(self) -> None:
        """Guards against a slot that counts as free after a timeout."""

        async def scenario(
            agent: HttpWorkerAgent, server: WorkerServer
        ) -> None:
            server.apply_faults(Faults(hang=True))
            outcome = await agent.run(make_call('a', timeout_ms=100))
            self.assertEqual(outcome, CallInDoubt(CallId('a'), Reason.DEADLINE))
            server.apply_faults(Faults(slow_factor=1e6))
            reply = await agent.lease(Epoch(1), revoked=(), lease_ms=1_000)
            self.assertEqual([call.call_id for call in reply.running], ['a'])
            settled = await agent.cancel(CallId('a'))
            self.assertEqual(settled.state, CallState.CANCELLED)

        _with_worker(scenario)

    def test_connections_stay_within_the_session(self) -> None:
        """Guards against more connections than the session allows."""

        async def scenario(
            agent: HttpWorkerAgent, server: WorkerServer
        ) -> None:
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(agent.run, make_call(str(number)))
            history = server.state.history
            self.assertLessEqual(history.peak_connections_count, 3)
            self.assertEqual(len(history.calls), 20)
            reply = await agent.lease(Epoch(1), revoked=(), lease_ms=1_000)
            self.assertEqual(reply.connections[0][0], 'e1')

        _with_worker(scenario)

    def test_task_fences(self) -> None:
        """Guards against concurrent attempts of a task or holders of a key."""

        async def scenario(
            agent: HttpWorkerAgent, _server: WorkerServer
        ) -> None:
            started = await agent.start_task(_start(2, key='a'))
            assert isinstance(started, TaskReport)
            self.assertEqual(started.phase, TaskPhase.RUNNING)
            refused = await agent.start_task(_start(1, key='a'))
            self.assertEqual(refused, WorkerRefusal.STALE_FENCE)
            refused = await agent.start_task(_start(3, key='b'))
            self.assertEqual(refused, WorkerRefusal.FULL)
            throttled = await agent.throttle_task(
                started.task_id,
                cpu_share=0.5,
            )
            self.assertEqual(throttled.phase, TaskPhase.THROTTLED)
            await agent.usage()
            stopped = await agent.stop_task(
                started.task_id,
                (1, 2),
                with_checkpoint=True,
            )
            self.assertEqual(stopped.phase, TaskPhase.STOPPED)
            unknown = await agent.stop_task(
                TaskId('task'),
                (1, 1),
                with_checkpoint=False,
            )
            self.assertEqual(unknown.phase, TaskPhase.UNKNOWN)
            refused = await agent.start_task(_start(1))
            self.assertEqual(refused, WorkerRefusal.STALE_FENCE)

        _with_worker(scenario)

    def test_restarted_worker_refuses_calls_for_the_former(self) -> None:
        """Guards against a "never" from a new incarnation taken as proof."""

        async def scenario(
            agent: HttpWorkerAgent, server: WorkerServer
        ) -> None:
            former = await agent.fetch_incarnation()
            self.assertEqual(former, server.state.incarnation)
            await agent.run(make_call('a'))
            server.state = WorkerState(server.state.config, 0)
            call = replace(make_call('b'), incarnation=former)
            self._assert_refused(await agent.run(call), 'other_incarnation')
            settled = await agent.settle(CallId('a'))
            self.assertEqual(settled.state, CallState.NEVER)
            self.assertEqual(settled.incarnation, server.state.incarnation)
            self.assertEqual(agent.incarnation, server.state.incarnation)
            self.assertNotEqual(agent.incarnation, former)

        _with_worker(scenario)

    def _assert_refused(self, outcome: CallOutcome, refusal: str) -> None:
        assert isinstance(outcome, CallRefused), outcome
        self.assertEqual(outcome.refusal.value, refusal)


async def _run_against(raw: bytes) -> CallOutcome:
    """Return the outcome of a call that gets a fixed response."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(raw)
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        port = listeners[0].socket.getsockname()[1]
        agent = _agent(f'http://127.0.0.1:{port}')
        outcome = await agent.run(make_call('a'))
        await agent.aclose()
        nursery.cancel_scope.cancel()
    return outcome


def _agent(url: str) -> HttpWorkerAgent:
    return HttpWorkerAgent(url, EntryId('e1'), connections_count=3)


def _with_worker(scenario: _Scenario) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            url, server = await nursery.start(
                serve_worker,
                WorkerConfig('w1', service_ms=1),
            )
            agent = _agent(url)
            with trio.fail_after(30):
                await scenario(agent, server)
            await agent.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
