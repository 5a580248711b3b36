"""Client of the platform's list of live and leaving instances.

``GET /instances`` returns ``{"revision": 7, "instances": [...]}``, where each
instance has the fields of ``machines.worker.Worker``. The list lags behind
the actual instances.

Example:
    async with open_directory(settings) as directory:
        listing = await directory.fetch()
"""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import astuple, dataclass

import httpx
import msgspec
import trio

from marjoramwharf.errors import BadListing, DirectoryUnavailable
from marjoramwharf.json_bodies import decode_json
from marjoramwharf.machines.worker import Worker
from marjoramwharf.settings import DirectorySettings

# A list of 5,200 workers has 2 MB, about 400 bytes each, and takes well under
# a second to transfer.
_TIMEOUT_S = 2
_MAX_LISTING_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class Listing:
    """The list of instances at one revision; revisions only increase."""

    revision: int
    instances: tuple[Worker, ...]


class DirectoryClient:
    """Fetches the list of instances; use ``open_directory``."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Wrap an HTTP client whose base URL is that of the directory."""
        self._client = client
        self._body = b''
        self._listing: Listing | None = None

    async def fetch(self) -> Listing:
        """Return the current list, the same object while it is unchanged.

        An unchanged list is not decoded again: with 5,200 workers, decoding
        takes about 0.1 s of CPU time and the list changes every few seconds
        at most. Raises ``DirectoryUnavailable`` if there is no complete
        response and ``BadListing`` for malformed content.
        """
        try:
            with trio.fail_after(_TIMEOUT_S):
                content = await self._read()
        except (httpx.HTTPError, trio.TooSlowError) as failure:
            message = f'{type(failure).__name__}: {failure}'
            raise DirectoryUnavailable(message=message) from failure
        if self._listing is None or content != self._body:
            self._listing = read_listing(content)
            self._body = content
        return self._listing

    async def _read(self) -> bytes:
        """Return the body; stop reading once it is over the limit."""
        body = bytearray()
        async with self._client.stream('GET', '/instances') as response:
            if response.status_code != httpx.codes.OK:
                raise DirectoryUnavailable(
                    message=f'directory returned status {response.status_code}',
                )
            async for chunk in response.aiter_bytes():
                body.extend(chunk)
                if len(body) > _MAX_LISTING_BYTES:
                    break
        return bytes(body)


@asynccontextmanager
async def open_directory(
    settings: DirectorySettings,
) -> AsyncIterator[DirectoryClient]:
    """Open a client that is closed at the end of the ``async with`` block."""
    async with httpx.AsyncClient(
        base_url=settings.url,
        timeout=_TIMEOUT_S,
        trust_env=False,
    ) as client:
        yield DirectoryClient(client)


def read_listing(body: bytes) -> Listing:
    """Decode and validate a list; raises ``BadListing``.

    A list with one invalid instance is rejected as a whole: if only that
    instance were left out, it would look as if it had been removed.
    """
    if len(body) > _MAX_LISTING_BYTES:
        raise BadListing(
            message=f'list is larger than {_MAX_LISTING_BYTES} bytes'
        )
    try:
        listing = decode_json(body, Listing)
    except msgspec.MsgspecError as failure:
        raise BadListing(message=str(failure)) from failure
    _check_instances(listing)
    return listing


def _check_instances(listing: Listing) -> None:
    ids = Counter(worker.worker_id for worker in listing.instances)
    for worker_id, count in ids.items():
        if count > 1 or not worker_id:
            raise BadListing(message=f'{worker_id!r} is listed {count} times')
    for worker in listing.instances:
        problem = _find_problem(worker)
        if problem is not None:
            raise BadListing(
                message=f'{worker.worker_id!r} is invalid: {problem}',
            )


def _find_problem(worker: Worker) -> str | None:
    if min(astuple(worker.capacity)) < 0:
        return 'negative capacity'
    if not _is_url(worker.url):
        return f'url {worker.url!r}'
    return None


def _is_url(text: str) -> bool:
    try:
        url = httpx.URL(text)
    except (httpx.InvalidURL, ValueError):
        return False
    return url.scheme in {'http', 'https'} and bool(url.host)
