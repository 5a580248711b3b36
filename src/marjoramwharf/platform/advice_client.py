"""Client of the platform's advice service, a ``cells.AdviceClient``."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import DecodeError, Struct, json

from marjoramwharf.cells.advice import Advice
from marjoramwharf.errors import AdviceUnavailable
from marjoramwharf.ids import WorkerId
from marjoramwharf.json_bodies import Amount, decode_json
from marjoramwharf.links.http_client import CallFailed, HttpClient


class _AdviceRequest(Struct, frozen=True, rename='pascal'):
    """``Step`` is the id of a task without its last number."""

    step: str
    workers: tuple[str, ...]


class _AdviceReply(Struct, frozen=True, rename='pascal'):
    """``Good`` has rows of a worker's id and the ticket to run there."""

    good: tuple[tuple[str, str], ...] = ()
    valid_ms: Amount = 0


class PlatformAdviceClient:
    """Asks the advice service over the connections of one HTTP client."""

    def __init__(self, client: HttpClient, address: str) -> None:
        """Use the advice service at ``host:port``."""
        self._client = client
        self._url = f'http://{address}/advise'

    async def advise(
        self,
        step: str,
        workers: Sequence[WorkerId],
        *,
        timeout_s: float,
    ) -> Advice:
        """Ask which of the workers may run a step.

        Raises ``AdviceUnavailable`` if there is no usable answer.
        """
        try:
            answer = await self._client.request(
                'POST',
                self._url,
                headers={'Content-Type': 'application/json'},
                body=json.encode(_AdviceRequest(step, tuple(workers))),
                timeout_s=timeout_s,
            )
        except CallFailed as failure:
            raise AdviceUnavailable(message=str(failure)) from failure
        if not answer.is_success:
            raise AdviceUnavailable(message=f'answer of status {answer.status}')
        try:
            body = decode_json(answer.body, _AdviceReply)
        except DecodeError as failure:
            raise AdviceUnavailable(message=str(failure)) from failure
        return Advice(
            {WorkerId(worker): ticket for worker, ticket in body.good},
            body.valid_ms,
        )
