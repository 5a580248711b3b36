"""A store that this entry reaches directly, or else through a peer.

The platform's store may turn some entries away while it serves the others.
Such an entry has its calls carried out by a peer until the store answers it
again.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

import trio

from marjoramwharf.errors import (
    Failure,
    PeerUnreachable,
    StoreAnswerLost,
    StoreRefused,
    StoreUnavailable,
)
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PollingStore,
    PrefixSnapshot,
    StoredValue,
    WatchBatch,
    Write,
)
from marjoramwharf.links.store_calls import (
    CommitCall,
    GrantCall,
    KeepAliveCall,
    PollCall,
    ReadCall,
    ReadPrefixCall,
    RevokeCall,
    StoreCall,
    StoreReply,
    execute_call,
)
from marjoramwharf.links.store_reachability import StoreReachability
from marjoramwharf.logs import part_logger

_LOG = part_logger('store')

# While calls go through a peer, the store is asked this often whether it
# answers again.
_PROBE_PAUSE_S = 0.5
_PROBE_KEY = 'mw/probe'

_Found = TypeVar('_Found')


class Relay(Protocol):
    """Carries calls to the store out through a peer."""

    @property
    def is_connected(self) -> bool:
        """Whether a peer can be asked now."""

    async def call(self, call: StoreCall) -> StoreReply:
        """Have a call carried out; raises what the store's method raises.

        Raises ``PeerUnreachable`` if no peer has acted on the call.
        """


@dataclass(slots=True)
class RelayedStore:
    """Implements ``PollingStore`` over a direct store and a relay.

    ``reachability`` tells whether the store answers this entry, and ``relay_reachability``
    whether it answers the peers that are asked. Several stores may share them.
    """

    direct: PollingStore
    relay: Relay
    reachability: StoreReachability = field(default_factory=StoreReachability)
    relay_reachability: StoreReachability = field(
        default_factory=StoreReachability
    )

    @property
    def is_reachable(self) -> bool:
        """Whether a call is likely to be carried out."""
        return not self.reachability.is_unreachable or self._may_relay()

    async def read(self, key: str) -> StoredValue | None:
        """Return the value of a key, or ``None`` if it does not exist."""
        return (await self._run(ReadCall(key))).stored

    async def read_prefix(self, prefix: str) -> PrefixSnapshot:
        """Return all keys below a prefix, with the revision to watch from."""
        reply = await self._run(ReadPrefixCall(prefix))
        return _present(reply.snapshot)

    async def commit(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
    ) -> Committed | Conflict:
        """Apply all writes in one call if all guards hold."""
        reply = await self._run(CommitCall(tuple(guards), tuple(writes)))
        if reply.committed is not None:
            return reply.committed
        return _present(reply.conflict)

    async def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Create a lease that lapses when it is not kept alive."""
        return _present((await self._run(GrantCall(ttl_ms))).lease)

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Extend a lease; tell whether it still exists."""
        return (await self._run(KeepAliveCall(lease))).exists

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys attached to it."""
        await self._run(RevokeCall(lease))

    async def poll(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> WatchBatch:
        """Return the changes after a revision, empty when the wait is over."""
        call = PollCall(prefix, after_revision, wait_ms)
        return _present((await self._run(call)).batch)

    async def run_probe(self) -> None:
        """Ask the store now and then while it is away, until cancelled."""
        while True:
            await trio.sleep(_PROBE_PAUSE_S)
            if self.reachability.is_unreachable:
                try:
                    await self._run_direct(ReadCall(_PROBE_KEY))
                except Failure as failure:
                    _LOG.debug('still away', error=str(failure))
                else:
                    _LOG.info('store answers again')

    async def _run(self, call: StoreCall) -> StoreReply:
        if self.reachability.is_unreachable and self._may_relay():
            return await self._run_relayed(call)
        try:
            return await self._run_direct(call)
        except StoreUnavailable:
            # Nothing was done, so the call may go another way at once.
            if self.reachability.is_unreachable and self._may_relay():
                return await self._run_relayed(call)
            raise

    def _may_relay(self) -> bool:
        return (
            self.relay.is_connected
            and not self.relay_reachability.is_unreachable
        )

    async def _run_direct(self, call: StoreCall) -> StoreReply:
        was_away = self.reachability.is_unreachable
        try:
            reply = await execute_call(self.direct, call)
        except StoreRefused:
            self.reachability.record_answer(now_s=trio.current_time())
            raise
        except (StoreUnavailable, StoreAnswerLost) as failure:
            self.reachability.record_failure(now_s=trio.current_time())
            if self.reachability.is_unreachable and not was_away:
                _LOG.warning('store away', error=str(failure))
            raise
        except Failure:
            self.reachability.record_answer(now_s=trio.current_time())
            raise
        self.reachability.record_answer(now_s=trio.current_time())
        return reply

    async def _run_relayed(self, call: StoreCall) -> StoreReply:
        try:
            reply = await self.relay.call(call)
        except PeerUnreachable as failure:
            self.relay_reachability.record_failure(now_s=trio.current_time())
            raise StoreUnavailable(message=str(failure)) from failure
        except (StoreUnavailable, StoreAnswerLost):
            self.relay_reachability.record_failure(now_s=trio.current_time())
            raise
        self.relay_reachability.record_answer(now_s=trio.current_time())
        return reply


def _present(found: _Found | None) -> _Found:
    """Return what a reply must hold; raises ``StoreAnswerLost``."""
    if found is None:
        raise StoreAnswerLost(message='the reply does not fit the call')
    return found
