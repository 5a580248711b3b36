"""The store leases that the claims of one entry share."""

from __future__ import annotations

from marjoramwharf.ids import LeaseId
from marjoramwharf.links.store import Store

# A time bucket is 1/20 of the lifetime of a claim.
_BUCKETS_COUNT = 20


class BucketLease:
    """Grants one store lease for all claims written in a time bucket.

    A lease is never extended, so the claims of a bucket expire together.
    """

    def __init__(self, store: Store, *, ttl_s: int) -> None:
        """Start without a lease; claims live for at least ``ttl_s`` seconds."""
        self._store = store
        self._ttl_s = ttl_s
        self._bucket_s = max(ttl_s // _BUCKETS_COUNT, 1)
        self._lease: LeaseId | None = None
        self._bucket_ends_s: float = 0
        self._is_suspect = False

    def mark_suspect(self) -> None:
        """Have the lease checked before its next use, after a failed write.

        The store refuses a write whose lease has expired.
        """
        self._is_suspect = True

    async def current(self, now_s: float) -> LeaseId:
        """Return the lease of the current bucket; grant one if needed."""
        lease = self._lease
        if lease is not None and self._is_suspect:
            if not await self._store.keep_alive(lease):
                lease = None
        if lease is None or now_s >= self._bucket_ends_s:
            lease = await self._store.grant_lease(self._ttl_s + self._bucket_s)
            self._bucket_ends_s = now_s + self._bucket_s
        self._lease = lease
        self._is_suspect = False
        return lease
