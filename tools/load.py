"""An open-loop load generator for service requests.

The schedule does not wait for answers, and a latency counts from the time at
which the request was due. Otherwise a slow answer would delay the requests
after it, and the report would hide that delay (coordinated omission).
"""

from __future__ import annotations

import hashlib
import json
import random
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from marjoramwharf.links.http_client import (
    CallFailed,
    HttpClient,
    NotConnected,
)
from marjoramwharf.links.http_responses import ClientResponse
from tools.fleet import Endpoint
from tools.history import CallerOutcome, CallerRecord

_MAX_ATTEMPTS_COUNT = 6
_POLL_INTERVAL_S = 0.3
_SETTLE_TIMEOUT_S = 12
_RETRY_PAUSE_S = 0.1
_TEAMS = ('north', 'centre', 'south', 'coast')


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of the schedule; ``due_s`` counts from its start."""

    request_id: str
    due_s: float
    is_idempotent: bool
    team: str
    body: bytes


@dataclass(slots=True)
class RequestResult:
    """The outcome and latency of a planned request.

    ``is_in_time`` is true for a success within the caller's time limit.
    """

    planned: PlannedRequest
    record: CallerRecord
    latency_ms: float
    is_in_time: bool


@dataclass(slots=True)
class Balancer:
    """The platform's load balancer: round-robin over the ready entries."""

    entries: Sequence[Endpoint]
    ready_entries: set[str] = field(default_factory=set)
    _position: int = 0

    def next_entry(self) -> Endpoint:
        """Return the entry for the next request; any entry if none is ready."""
        for _ in self.entries:
            self._position += 1
            entry = self.entries[self._position % len(self.entries)]
            if entry.name in self.ready_entries:
                return entry
        return self.entries[self._position % len(self.entries)]

    async def poll_readiness(self, http: HttpClient) -> None:
        """Poll the readiness of all entries until cancelled."""
        async with trio.open_nursery() as nursery:
            for entry in self.entries:
                nursery.start_soon(self._poll_entry, http, entry)

    async def _poll_entry(self, http: HttpClient, entry: Endpoint) -> None:
        while True:
            url = f'{entry.url}/readyz'
            is_ready = False
            with suppress(CallFailed):
                answer = await http.request('GET', url, timeout_s=1)
                is_ready = answer.is_success
            if is_ready:
                self.ready_entries.add(entry.name)
            else:
                self.ready_entries.discard(entry.name)
            await trio.sleep(_POLL_INTERVAL_S)


def schedule_requests(
    rng: random.Random,
    *,
    rate_per_s: float,
    duration_s: float,
    publish_share: float = 0.1,
) -> Iterator[PlannedRequest]:
    """Yield lot checks and publications with exponential gaps between them."""
    due_s = rng.expovariate(rate_per_s)
    number = 0
    while due_s < duration_s:
        number += 1
        request_id = f'r{number:06}-{rng.getrandbits(32):08x}'
        is_publish = rng.random() < publish_share
        yield PlannedRequest(
            request_id=request_id,
            due_s=due_s,
            is_idempotent=not is_publish,
            team=rng.choice(_TEAMS),
            body=_make_body(request_id, is_publish=is_publish, rng=rng),
        )
        due_s += rng.expovariate(rate_per_s)


class RequestLoadGenerator:
    """Sends planned requests and records the outcome of each."""

    def __init__(
        self,
        http: HttpClient,
        balancer: Balancer,
        *,
        service: str,
        timeout_ms: int,
        is_stopping: Callable[[str], bool],
    ) -> None:
        """``is_stopping`` tells whether an entry carries out a planned stop."""
        self._http = http
        self._balancer = balancer
        self._service = service
        self._timeout_ms = timeout_ms
        self._is_stopping = is_stopping
        self.results: list[RequestResult] = []

    async def run(self, requests: Iterator[PlannedRequest]) -> None:
        """Send each request when it is due and wait for the last answer."""
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for planned in requests:
                due_s = start_s + planned.due_s
                await trio.sleep_until(due_s)
                nursery.start_soon(self._call, planned, due_s)

    async def _call(self, planned: PlannedRequest, due_s: float) -> None:
        was_cut = False
        outcome = CallerOutcome.NO_ANSWER
        is_own = True
        is_success = False
        request_id = planned.request_id
        for attempt in range(_MAX_ATTEMPTS_COUNT):
            entry = self._balancer.next_entry()
            if planned.is_idempotent:
                # Each attempt is a request of its own, and its answer concerns
                # only this attempt. Attempts of the other requests share an
                # idempotency key and with it one outcome.
                request_id = f'{planned.request_id}.{attempt}'
            try:
                answer = await self._post(
                    entry,
                    planned,
                    request_id,
                    is_first=attempt == 0,
                )
            except CallFailed as failure:
                was_not_sent = isinstance(failure, NotConnected)
                was_cut |= self._is_stopping(entry.name) and not was_not_sent
                await trio.sleep(_RETRY_PAUSE_S)
                continue
            if answer.status == 202:
                answer = await self._poll_outcome(planned, answer)
            outcome, is_own = _classify_answer(planned, answer)
            is_success = answer.status == 200
            break
        latency_s = trio.current_time() - due_s
        self.results.append(
            RequestResult(
                planned,
                CallerRecord(
                    request_id,
                    planned.is_idempotent,
                    outcome,
                    is_own,
                    was_cut,
                ),
                latency_s * 1_000,
                is_success and latency_s * 1_000 <= self._timeout_ms,
            ),
        )

    async def _post(
        self,
        entry: Endpoint,
        planned: PlannedRequest,
        request_id: str,
        *,
        is_first: bool,
    ) -> ClientResponse:
        headers = {
            'Content-Type': 'application/json',
            'X-Request-Id': request_id,
            'X-Team': planned.team,
            'X-Timeout-Ms': str(self._timeout_ms),
        }
        if planned.is_idempotent:
            headers['X-Idempotent'] = 'true'
        else:
            headers['Idempotency-Key'] = planned.request_id
            headers['X-First-Attempt'] = str(is_first).lower()
        return await self._http.request(
            'POST',
            f'{entry.url}/v1/services/{self._service}',
            headers=headers,
            body=planned.body,
            timeout_s=2 * self._timeout_ms / 1_000 + 5,
        )

    async def _poll_outcome(
        self,
        planned: PlannedRequest,
        answer: ClientResponse,
    ) -> ClientResponse:
        location = answer.headers.get('location')
        deadline_s = trio.current_time() + _SETTLE_TIMEOUT_S
        while location and answer.status == 202:
            if trio.current_time() > deadline_s:
                break
            await trio.sleep(_POLL_INTERVAL_S)
            entry = self._balancer.next_entry()
            with suppress(CallFailed):
                answer = await self._http.request(
                    'GET',
                    f'{entry.url}{location}',
                    headers={'X-Team': planned.team},
                    timeout_s=5,
                )
        return answer


def _classify_answer(
    planned: PlannedRequest,
    answer: ClientResponse,
) -> tuple[CallerOutcome, bool]:
    """Classify an answer; a stand-in worker answers with the request's body."""
    if answer.status == 202:
        return CallerOutcome.UNKNOWN, True
    if answer.is_success:
        return CallerOutcome.DONE, answer.body == planned.body
    try:
        outcome = json.loads(answer.body).get('outcome')
    except (ValueError, AttributeError):
        return CallerOutcome.DONE, True
    if outcome == 'not_run':
        return CallerOutcome.NOT_RUN, True
    return CallerOutcome.DONE, True


def _make_body(
    request_id: str,
    *,
    is_publish: bool,
    rng: random.Random,
) -> bytes:
    lot = hashlib.sha256(request_id.encode()).hexdigest()[:10]
    tree = {
        'request': request_id,
        'lot': f'L{lot}',
        'store': rng.randrange(900),
    }
    if is_publish:
        tree['text'] = f'Recall of lot L{lot}. ' * rng.randrange(20, 80)
    return json.dumps(tree).encode()
