"""HTTP API of jobs: routing by shard, typed errors and size limits."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from quart_trio import QuartTrio
from trio.testing import MockClock

from marjoramwharf.batch.http_api import jobs_blueprint
from marjoramwharf.batch.job_calls import answer_job_call
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.errors import PeerUnreachable
from marjoramwharf.ids import ShardId
from tests.batch.fakes import SHARD, Cluster

_TASK = {'cpu_millicores': 1, 'memory_mb': 1, 'run_ms': 1}
_JOB = {'tasks': [_TASK], 'priority': 'urgent'}
_HEADERS = {'X-Team': 'team-1', 'Idempotency-Key': 'k-1'}


class HttpTests(unittest.TestCase):
    """Guards against answers from which a caller can't tell what to do."""

    def setUp(self) -> None:
        """Start with an empty store and a reachable peer."""
        self.cluster = Cluster()
        self.is_peer_lost = False

    def test_job_goes_through_its_states(self) -> None:
        """Guards against a job id that the other endpoints don't accept."""

        async def script(client: Any) -> None:
            job_id = await self._submit(client)
            self.assertEqual(await self._submit(client), job_id)
            path = f'/v1/jobs/{job_id}'
            waiting = await client.get(path, query_string={'wait_s': '1'})
            self.assertEqual((await waiting.get_json())['state'], 'waiting')
            cancelled = await client.post(f'{path}/cancel')
            self.assertEqual(cancelled.status_code, 200)
            found = await client.get('/v1/jobs?state=cancelled&limit=5')
            jobs = (await found.get_json())['jobs']
            self.assertEqual([job['job_id'] for job in jobs], [job_id])

        self._serve(script)

    def test_many_jobs_are_cancelled_with_one_call(self) -> None:
        """Guards against an unknown id that makes the whole request fail."""

        async def script(client: Any) -> None:
            job_id = await self._submit(client)
            many = await client.post(
                '/v1/jobs/cancel',
                json={'job_ids': [job_id, 'x']},
            )
            self.assertEqual((await many.get_json())['cancelled'], [job_id])

        self._serve(script)

    def test_errors_are_typed(self) -> None:
        """Guards against an error without a reason."""

        async def script(client: Any) -> None:
            post = client.post
            await self._expect(
                await post('/v1/jobs', data=b'{', headers=_HEADERS),
                400,
                'bad_request',
            )
            await self._expect(
                await post('/v1/jobs', json=_JOB),
                400,
                'bad_request',
            )
            await self._expect(
                await post('/v1/jobs', data=b' ' * 5000, headers=_HEADERS),
                413,
                'body_too_large',
            )

        self._serve(script)

    def test_unknown_and_reused_are_typed(self) -> None:
        """Guards against an untyped error for a wrong id or key."""

        async def script(client: Any) -> None:
            for unknown in ('x', '7-1', '3-none'):
                await self._expect(
                    await client.get(f'/v1/jobs/{unknown}'),
                    404,
                    'unknown_job',
                )
            await self._submit(client)
            other = {**_JOB, 'max_failures_count': 9}
            await self._expect(
                await client.post('/v1/jobs', json=other, headers=_HEADERS),
                409,
                'key_reused',
            )

        self._serve(script)

    def test_outage_says_not_run_and_when_to_retry(self) -> None:
        """Guards against a store outage answered like an accepted job."""

        async def script(client: Any) -> None:
            self.cluster.store.is_down = True
            answer = await client.post('/v1/jobs', json=_JOB, headers=_HEADERS)
            fields = await self._expect(answer, 503, 'store_unavailable')
            self.assertEqual(fields['outcome'], 'not_run')
            self.assertIn('Retry-After', answer.headers)

        self._serve(script)

    def test_submission_to_a_lost_peer_is_unknown(self) -> None:
        """Guards against "not run" for a job that the peer accepted."""

        async def script(client: Any) -> None:
            self.is_peer_lost = True
            answer = await client.post('/v1/jobs', json=_JOB, headers=_HEADERS)
            fields = await self._expect(answer, 202, 'peer_unreachable')
            self.assertEqual(fields['outcome'], 'unknown')
            listed = await client.get('/v1/jobs')
            failed = (await listed.get_json())['failed_shards']
            self.assertEqual(failed['3']['reason'], 'peer_unreachable')

        self._serve(script)

    async def _submit(self, client: Any) -> str:
        answer = await client.post('/v1/jobs', json=_JOB, headers=_HEADERS)
        self.assertEqual(answer.status_code, 201)
        return str((await answer.get_json())['job_id'])

    async def _expect(
        self,
        answer: Any,
        status: int,
        reason: str,
    ) -> dict[str, Any]:
        fields: dict[str, Any] = await answer.get_json()
        self.assertEqual(
            (answer.status_code, fields['reason']), (status, reason)
        )
        self.assertEqual(
            set(fields),
            {'outcome', 'reason', 'message', 'retry_after_s'},
        )
        return fields

    def _serve(self, script: Callable[[Any], Awaitable[None]]) -> None:
        async def serve() -> None:
            shard = await self.cluster.take_over()
            app = QuartTrio(__name__)
            app.register_blueprint(
                jobs_blueprint(
                    self._route_to(shard),
                    shard_count=SHARD + 1,
                    max_body_bytes=4_096,
                ),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(shard.journal.run)
                await script(app.test_client())
                nursery.cancel_scope.cancel()

        trio.run(serve, clock=MockClock(autojump_threshold=0))

    def _route_to(
        self,
        shard: JobShard,
    ) -> Callable[[ShardId, str, bytes], Awaitable[tuple[int, bytes]]]:
        async def route(
            number: ShardId,
            method: str,
            body: bytes,
        ) -> tuple[int, bytes]:
            if self.is_peer_lost:
                raise PeerUnreachable(message='no answer')
            if method == 'list' and number != SHARD:
                return 200, b'{"jobs": []}'
            return await answer_job_call(shard, body, 7)

        return route
