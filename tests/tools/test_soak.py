"""The soak's own parts, and a short soak with a fixed seed."""

from __future__ import annotations

import os
import pathlib
import random
import tempfile
import time
import unittest
from dataclasses import replace
from unittest.mock import Mock, patch

import trio
from trio.testing import wait_all_tasks_blocked

from marjoramwharf.links.http_server import open_listener
from marjoramwharf.links.tcp import open_stream
from tools.ports import free_ports
from tools.soak.callers import Callers
from tools.soak.checks import CallerRecord, Run, find_violations
from tools.soak.faults import ALL_KINDS, FAULTS, make_plan
from tools.soak.link import HOST, Link, LinkMode
from tools.soak.soak import run_soak

_BUSY_S = 0.01
_RUN = Run('j.0.0.0', 1, 1, 2, 'done', 2.5)


def _accepted(*states: str, tasks_count: int = 1) -> CallerRecord:
    return CallerRecord(
        'j',
        tasks_count,
        is_accepted=True,
        was_refused=False,
        states=list(states),
    )


class CheckTests(unittest.TestCase):
    """Guards against a broken promise that the soak doesn't notice."""

    def test_nothing_wrong(self) -> None:
        """Guards against a violation that is none."""
        again = replace(_RUN, number=2, started_s=3, ended_s=4)
        lapsed = replace(_RUN, how='lapsed', acknowledged_s=None)
        caller = _accepted('queued', 'running', 'completed')
        self.assertFalse(find_violations([lapsed, again], [caller]))

    def test_two_runs_at_a_time(self) -> None:
        """Guards against doubled work, also while a run has not ended."""
        lapsed = replace(_RUN, how='', ended_s=None, acknowledged_s=None)
        other = replace(_RUN, number=2, started_s=8, ended_s=9)
        self._assert_found('while run 1 was at work', [lapsed, other])

    def test_start_after_completion(self) -> None:
        """Guards against work that runs again after it was done."""
        again = replace(_RUN, number=2, started_s=3, ended_s=4)
        self._assert_found('after the task was done', [_RUN, again])

    def test_refused_job_runs(self) -> None:
        """Guards against "not run" for a job that ran."""
        refused = CallerRecord('j', 1)
        self._assert_found('though it was refused', [_RUN], refused)

    def test_unasked_job_runs(self) -> None:
        """Guards against work that nobody asked for."""
        other = replace(_RUN, task='k.0.0.0')
        self._assert_found('nobody asked', [_RUN, other])

    def test_wrong_states(self) -> None:
        """Guards against a lost job, or a state that goes back."""
        for text, caller in (
            ('not known', _accepted('running', 'missing', 'completed')),
            ('after completion', _accepted('completed', 'running')),
            ('before its tasks', _accepted('completed', tasks_count=2)),
            ('running at the end', _accepted('running')),
            ('unknown at the end', _accepted()),
            ('cancelled at the end', _accepted('cancelled')),
        ):
            with self.subTest(text):
                self._assert_found(text, [_RUN], caller)

    def _assert_found(
        self, text: str, runs: list[Run], caller: CallerRecord | None = None
    ) -> None:
        found = find_violations(runs, [caller or _accepted('completed')])
        self.assertTrue(any(text in violation for violation in found), found)


class PlanTests(unittest.TestCase):
    """Guards against a failure that can't be played again."""

    def test_same_seed_same_plan(self) -> None:
        """Guards against a plan that depends on more than its seed."""
        plans = [make_plan(seed, 20, ALL_KINDS) for seed in (5, 5, 6)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plans[2])

    def test_all_faults_are_drawn(self) -> None:
        """Guards against a fault that is never played."""
        drawn = {fault.kind for fault in make_plan(1, 400, ALL_KINDS)}
        self.assertEqual(set(FAULTS), drawn)


class CallerTests(unittest.TestCase):
    """Guards against callers that the soak mixes up."""

    def test_busy_loop(self) -> None:
        """Guards against two callers of one job while the loop is busy."""
        with patch('tools.soak.callers._SUBMIT_PAUSE_S', _BUSY_S):
            trio.run(self._busy_loop)

    async def _busy_loop(self) -> None:
        callers = Callers(Mock(), random.Random(1))
        with patch.object(Callers, '_call', _end_at_once):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_keep_loop_busy)
                await callers.run(100 * _BUSY_S)
                nursery.cancel_scope.cancel()
        job_ids = [record.job_id for record in callers.records]
        self.assertEqual(len(set(job_ids)), len(job_ids))


async def _end_at_once(*_args: object) -> None:
    await trio.lowlevel.checkpoint()


async def _keep_loop_busy() -> None:
    while True:
        await trio.lowlevel.checkpoint()
        time.sleep(_BUSY_S)


class LinkTests(unittest.TestCase):
    """Guards against a fault of a link that harms nothing."""

    def test_modes(self) -> None:
        """Guards against bytes that pass a cut link, or are lost by it."""
        trio.run(self._modes)

    def test_reset(self) -> None:
        """Guards against a connection that survives a reset."""
        trio.run(self._reset)

    async def _modes(self) -> None:
        async with trio.open_nursery() as nursery:
            link = await self._open_link(nursery)
            stream = await open_stream(HOST, link.port)
            self.assertEqual(b'a', await _exchange(stream, b'a'))
            for mode in set(LinkMode) - {LinkMode.OPEN}:
                link.mode = mode
                self.assertIsNone(await _exchange(stream, b'b'))
                link.heal()
                with trio.fail_after(2):
                    self.assertEqual(b'b', await stream.receive_some(10))
            nursery.cancel_scope.cancel()

    def test_cut_process(self) -> None:
        """Guards against a cut of one process that harms none, or others."""
        trio.run(self._cut_process)

    async def _cut_process(self) -> None:
        async with trio.open_nursery() as nursery:
            link = await self._open_link(nursery)
            stream = await open_stream(HOST, link.port)
            link.cut_pids.add(os.getppid())
            self.assertEqual(b'a', await _exchange(stream, b'a'))
            link.cut_pids.add(os.getpid())
            self.assertIsNone(await _exchange(stream, b'b'))
            link.heal()
            with trio.fail_after(2):
                self.assertEqual(b'b', await stream.receive_some(10))
            nursery.cancel_scope.cancel()

    def test_refuse(self) -> None:
        """Guards against a link that goes on while it should refuse."""
        trio.run(self._refuse)

    async def _reset(self) -> None:
        async with trio.open_nursery() as nursery:
            link = await self._open_link(nursery)
            stream = await open_stream(HOST, link.port)
            self.assertEqual(b'a', await _exchange(stream, b'a'))
            await link.reset()
            with self.assertRaises(trio.BrokenResourceError):
                await _exchange(stream, b'b')
            again = await open_stream(HOST, link.port)
            self.assertEqual(b'c', await _exchange(again, b'c'))
            nursery.cancel_scope.cancel()

    async def _refuse(self) -> None:
        async with trio.open_nursery() as nursery:
            link = await self._open_link(nursery)
            stream = await open_stream(HOST, link.port)
            self.assertEqual(b'a', await _exchange(stream, b'a'))
            nursery.start_soon(link.refuse, 0.3)
            await trio.sleep(0.1)
            with self.assertRaises(trio.BrokenResourceError):
                await _exchange(stream, b'b')
            with self.assertRaises(ConnectionRefusedError):
                await open_stream(HOST, link.port)
            await trio.sleep(0.4)
            again = await open_stream(HOST, link.port)
            self.assertEqual(b'c', await _exchange(again, b'c'))
            nursery.cancel_scope.cancel()

    async def _open_link(self, nursery: trio.Nursery) -> Link:
        """Open a link to a server that sends back what it gets."""
        ports = free_ports(2)
        listener = await open_listener(HOST, ports[1])
        nursery.start_soon(trio.serve_listeners, _echo, [listener])
        link = Link(ports[0], ports[1])
        nursery.start_soon(link.serve)
        await wait_all_tasks_blocked()
        return link


async def _echo(stream: trio.SocketStream) -> None:
    try:
        while chunk := await stream.receive_some(100):
            await stream.send_all(chunk)
    except trio.BrokenResourceError:
        await trio.aclose_forcefully(stream)


async def _exchange(stream: trio.SocketStream, body: bytes) -> bytes | None:
    """Send bytes and return the answer, ``None`` if there is none in time."""
    await stream.send_all(body)
    with trio.move_on_after(0.3):
        return bytes(await stream.receive_some(10))
    return None


class SoakTests(unittest.TestCase):
    """Guards against faults that only real processes show."""

    def test_end_without_result(self) -> None:
        """Guards against a play that ends without a word."""
        with tempfile.TemporaryDirectory() as folder:
            logs = pathlib.Path(folder)
            report = trio.run(run_soak, 1, 1, logs, ('no such fault',))
            self.assertTrue(tuple(logs.glob('soak-1/*')))
        self.assertIn('no result', report.summary())

    def test_short_soak(self) -> None:
        """Guards against a broken promise under a few overlapping faults."""
        with tempfile.TemporaryDirectory() as folder:
            report = trio.run(run_soak, 1, 5, pathlib.Path(folder))
        self.assertIsNone(report.failure)
        self.assertFalse(report.violations)
        self.assertTrue(report.accepted_count)
        self.assertTrue(report.runs)
