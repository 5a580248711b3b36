"""Tests of the workers' client against the platform's published protocol."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.platform.worker_client import PlatformWorkerClient
from marjoramwharf.scheduling.job_state import RunEnd
from tests.links.raw_server import raw_server
from tests.platform.serving import Script, scripted

_TASK = TaskId('5c0e7a21d94b36f8.0.1.17')
_START = StartOrder(_TASK, 2, '(text)', 486_000, 7, '00000bb87a21d94b')


_REPORT = (200, {'ClockMs': 482113, 'born': 99, 'Running': [], 'Ended': []})


def _address(script: Script, *, born_ms: int | None = None) -> WorkerAddress:
    host, _, port = script.address.partition(':')
    return WorkerAddress(WorkerId('i-1'), host, int(port), born_ms)


class WorkerClientTests(unittest.TestCase):
    """Guards against orders that differ from the published protocol."""

    def setUp(self) -> None:
        """Use a new client in each test."""
        self.worker_client = PlatformWorkerClient(HttpClient())

    def test_start(self) -> None:
        """Guards against wrong fields or headers of a start order."""
        trio.run(self._start)

    def test_refusals(self) -> None:
        """Guards against refusals that are mixed up."""
        trio.run(self._refusals)

    def test_hold(self) -> None:
        """Guards against misread runs and ends."""
        trio.run(self._hold)

    def test_stop_and_pace(self) -> None:
        """Guards against wrong fields or paths of stop and pace orders."""
        trio.run(self._stop_and_pace)

    def test_no_answer(self) -> None:
        """Guards against a lost answer that is taken for a refusal."""
        trio.run(self._no_answer)

    def test_order_is_cut_off(self) -> None:
        """Guards against a start order that may have run and counts as unsent.

        The connection is cut while the worker starts the run, and the worker
        then refuses new connections, or answers there that it is unhealthy.
        """
        trio.run(self._order_is_cut_off)

    def test_answer_is_cut_off(self) -> None:
        """Guards against a refusal that is read from a part of an answer."""
        trio.run(self._answer_is_cut_off)

    def test_order_to_an_incarnation(self) -> None:
        """Guards against an order that another incarnation carries out."""
        trio.run(self._order_to_an_incarnation)

    def test_hold_is_not_repeated(self) -> None:
        """Guards against a lease and ends of before at a new incarnation."""
        trio.run(self._hold_is_not_repeated)

    def test_refused_by_another_worker(self) -> None:
        """Guards against a worker that nobody learns of, or a bad id of one."""
        trio.run(self._refused_by_another)

    async def _refused_by_another(self) -> None:
        expected = {
            b'i-7': WorkerId('i-7'),
            b'': None,
            b'i' * 300: None,
            b'\xc3\xa9': None,
        }
        for told, other_id in expected.items():
            async with raw_server() as server:
                server.response = (
                    b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n'
                    b'X-Marjoramwharf-Instance-Id: ' + told + b'\r\n\r\n'
                )
                worker = WorkerAddress(
                    WorkerId('i-2'), '127.0.0.1', server.port
                )
                report = await self.worker_client.hold(
                    worker, HoldOrder(7, 0, None, 0), timeout_s=2
                )
            self.assertIs(OrderOutcome.OTHER_WORKER, report.outcome)
            self.assertEqual(other_id, report.other_worker_id)

    async def _order_to_an_incarnation(self) -> None:
        """Only a connection that the incarnation has answered on is used."""
        async with scripted(_REPORT, (200, {})) as script:
            known, other = (_address(script, born_ms=born) for born in (99, 98))
            for worker, outcome in (
                (known, OrderOutcome.NOT_CONNECTED),
                (_address(script), OrderOutcome.ACCEPTED),
                (other, OrderOutcome.NOT_CONNECTED),
                (known, OrderOutcome.ACCEPTED),
            ):
                if worker.born_ms is None:
                    report = await self.worker_client.hold(
                        worker, HoldOrder(7, 0, None, 0), timeout_s=2
                    )
                    self.assertIs(outcome, report.outcome)
                    continue
                answer = await self.worker_client.start(
                    worker, _START, timeout_s=2
                )
                self.assertIs(outcome, answer.outcome)
            self.assertEqual(2, len(script.requests))

    async def _hold_is_not_repeated(self) -> None:
        async with scripted(_REPORT, None, _REPORT) as script:
            await self.worker_client.hold(
                _address(script), HoldOrder(7, 0, None, 0), timeout_s=2
            )
            report = await self.worker_client.hold(
                _address(script, born_ms=99),
                HoldOrder(7, 57, 486_000, 0),
                timeout_s=2,
            )
            self.assertIs(OrderOutcome.NOT_CONNECTED, report.outcome)
            self.assertEqual(2, len(script.requests))

    async def _answer_is_cut_off(self) -> None:
        async with raw_server() as server:
            server.response = (
                b'HTTP/1.1 409 Conflict\r\nContent-Length: 50\r\n\r\n{"Reason'
            )
            server.ends_after_response = True
            worker = WorkerAddress(WorkerId('i-2'), '127.0.0.1', server.port)
            answer = await self.worker_client.start(worker, _START, timeout_s=2)
        self.assertIs(OrderOutcome.UNKNOWN, answer.outcome)

    async def _order_is_cut_off(self) -> None:
        async with scripted((200, {}), None, (503, {})) as script:
            for outcome in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN):
                answer = await self.worker_client.start(
                    _address(script), _START, timeout_s=2
                )
                self.assertIs(outcome, answer.outcome)
            self.assertEqual(2, len(script.requests))
        async with raw_server() as server:
            worker = WorkerAddress(WorkerId('i-2'), '127.0.0.1', server.port)
            await self.worker_client.start(worker, _START, timeout_s=2)
            server.is_silent = True
            await server.listener.aclose()
            answer = await self.worker_client.start(worker, _START, timeout_s=2)
            self.assertIs(OrderOutcome.UNKNOWN, answer.outcome)

    async def _start(self) -> None:
        async with scripted((200, {'ClockMs': 482113})) as script:
            answer = await self.worker_client.start(
                _address(script),
                _START,
                timeout_s=2,
            )
            self.assertIs(OrderOutcome.ACCEPTED, answer.outcome)
            self.assertEqual(482113, answer.clock_ms)
            self.assertEqual(
                {
                    'Task': _TASK,
                    'Run': 2,
                    'TaskSpec': '(text)',
                    'ExpiresMs': 486000,
                    'Fence': 7,
                    'Checkpoint': '00000bb87a21d94b',
                },
                script.body(0),
            )
            sent = script.requests[0].headers
            self.assertEqual('i-1', sent['x-marjoramwharf-target-instance'])

    async def _refusals(self) -> None:
        expected = {
            'fence': OrderOutcome.FENCED,
            'old': OrderOutcome.RUN_TOO_OLD,
            'late': OrderOutcome.TOO_LATE,
            'room': OrderOutcome.NO_ROOM,
            'ticket': OrderOutcome.BAD_TICKET,
            'new kind': OrderOutcome.BAD_ORDER,
        }
        by_status = {
            400: OrderOutcome.BAD_ORDER,
            421: OrderOutcome.OTHER_WORKER,
            429: OrderOutcome.BUSY,
            503: OrderOutcome.BUSY,
            500: OrderOutcome.UNKNOWN,
        }
        replies = [(409, {'ClockMs': 1, 'Reason': why}) for why in expected]
        statuses: list[tuple[int, dict[str, str]]] = [
            (status, {}) for status in by_status
        ]
        async with scripted(*replies, *statuses) as script:
            for outcome in (*expected.values(), *by_status.values()):
                answer = await self.worker_client.start(
                    _address(script),
                    _START,
                    timeout_s=2,
                )
                self.assertIs(outcome, answer.outcome)

    async def _hold(self) -> None:
        lists = {
            'ClockMs': 482113,
            'born': 99,
            'Running': [[_TASK, 2, '0bb8', 41, 17]],
            'Ended': [[58, _TASK, 1, 'done', ''], [59, _TASK, 2, 'odd', 'c']],
        }
        async with scripted((200, lists), (200, [])) as script:
            order = HoldOrder(7, 57, 486_000, 1_000)
            report = await self.worker_client.hold(
                _address(script),
                order,
                timeout_s=2,
            )
            self.assertEqual((99, 482113), (report.born_ms, report.clock_ms))
            self.assertEqual(
                (41, 17), (report.running[0].percent, report.running[0].reading)
            )
            self.assertIs(RunEnd.DONE, report.ended[0].how)
            self.assertIs(RunEnd.STOPPED, report.ended[1].how)
            self.assertEqual(
                {
                    'Fence': 7,
                    'LastSeen': 57,
                    'ExpiresMs': 486000,
                    'WaitMs': 1000,
                },
                script.body(0),
            )
            unread = await self.worker_client.hold(
                _address(script), order, timeout_s=2
            )
            self.assertIs(OrderOutcome.UNKNOWN, unread.outcome)

    async def _stop_and_pace(self) -> None:
        async with scripted((200, {}), (200, {})) as script:
            await self.worker_client.stop(
                _address(script),
                StopOrder(_TASK, 2, 7),
                timeout_s=2,
            )
            await self.worker_client.pace(
                _address(script),
                PaceOrder(_TASK, 2, 40, 7),
                timeout_s=2,
            )
            self.assertEqual(
                {'Task': _TASK, 'Run': 2, 'Fence': 7}, script.body(0)
            )
            self.assertEqual(40, script.body(1)['Percent'])
            targets = [request.target for request in script.requests]
            self.assertEqual(['/run-stop', '/pace'], targets)

    async def _no_answer(self) -> None:
        async with scripted(None) as script:
            answer = await self.worker_client.start(
                _address(script),
                _START,
                timeout_s=2,
            )
            self.assertIs(OrderOutcome.UNKNOWN, answer.outcome)
        nowhere = WorkerAddress(WorkerId('i-1'), '127.0.0.1', 1)
        unsent = await self.worker_client.start(nowhere, _START, timeout_s=2)
        self.assertIs(OrderOutcome.NOT_SENT, unsent.outcome)
