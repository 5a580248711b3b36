"""A store client that falls back to calls through a peer.

The platform's store may reject the calls of some entries while it serves the
others. Such an entry lets a peer execute its calls until the store answers it
again.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
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

# Interval of the probes that check whether an unreachable store answers again.
_PROBE_INTERVAL_S = 0.5
_PROBE_KEY = 'mw/probe'

_Found = TypeVar('_Found')
_Execute = Callable[[StoreCall], Awaitable[StoreReply]]


class Relay(Protocol):
    """Executes store calls through a peer."""

    @property
    def is_connected(self) -> bool:
        """Whether at least one peer is connected."""

    async def call(self, call: StoreCall) -> StoreReply:
        """Let a peer execute a call; raises what the store's method raises.

        Raises ``PeerUnreachable`` if no peer received the call.
        """


@dataclass(slots=True)
class RelayedStore:
    """Implements ``PollingStore`` over a direct store and a relay.

    ``reachability`` tells whether the store answers this entry, and
    ``relay_reachability`` whether it answers the peers that relay calls.
    Several stores may share these two objects.
    """

    direct: PollingStore
    relay: Relay
    reachability: StoreReachability = field(default_factory=StoreReachability)
    relay_reachability: StoreReachability = field(
        default_factory=StoreReachability
    )

    @property
    def is_reachable(self) -> bool:
        """Whether a call is likely to be executed, directly or by a peer."""
        return not self.reachability.is_unreachable or self._can_relay()

    async def read(self, key: str) -> StoredValue | None:
        """Return the value of a key, or ``None`` if it does not exist."""
        return (await self._execute(ReadCall(key))).stored

    async def read_prefix(self, prefix: str) -> PrefixSnapshot:
        """Return all keys below a prefix, with the revision to watch from."""
        reply = await self._execute(ReadPrefixCall(prefix))
        return _require(reply.snapshot)

    async def commit(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
    ) -> Committed | Conflict:
        """Apply all writes in one call if all guards hold."""
        reply = await self._execute(CommitCall(tuple(guards), tuple(writes)))
        if reply.committed is not None:
            return reply.committed
        return _require(reply.conflict)

    async def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Create a lease that expires unless it is kept alive."""
        return _require((await self._execute(GrantCall(ttl_ms))).lease)

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Extend a lease; return whether it still exists."""
        return (await self._execute(KeepAliveCall(lease))).exists

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys attached to it."""
        await self._execute(RevokeCall(lease))

    async def poll(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> WatchBatch:
        """Wait for changes after a revision; return none after ``wait_ms``."""
        call = PollCall(prefix, after_revision, wait_ms)
        return _require((await self._execute(call)).batch)

    async def run_probe(self) -> None:
        """Probe the store while it is unreachable, until cancelled.

        A successful probe marks it as reachable, so calls go there again. The
        peers are probed, too, while they can't reach it either.
        """
        while True:
            await trio.sleep(_PROBE_INTERVAL_S)
            if self.reachability.is_unreachable:
                await self._probe()

    async def _probe(self) -> None:
        if await _try_probe(self._execute_directly):
            _LOG.info('store reachable again')
        elif self.relay.is_connected and not self._can_relay():
            if await _try_probe(self._execute_through_peer):
                _LOG.info('store reachable through a peer again')

    async def _execute(self, call: StoreCall) -> StoreReply:
        if self.reachability.is_unreachable and self._can_relay():
            return await self._execute_through_peer(call)
        try:
            return await self._execute_directly(call)
        except StoreUnavailable:
            # Nothing was applied, so the call may be relayed at once.
            if self.reachability.is_unreachable and self._can_relay():
                return await self._execute_through_peer(call)
            raise

    def _can_relay(self) -> bool:
        return (
            self.relay.is_connected
            and not self.relay_reachability.is_unreachable
        )

    async def _execute_directly(self, call: StoreCall) -> StoreReply:
        was_unreachable = self.reachability.is_unreachable
        try:
            reply = await execute_call(self.direct, call)
        except StoreRefused:
            self.reachability.record_answer(now_s=trio.current_time())
            raise
        except (StoreUnavailable, StoreAnswerLost) as failure:
            self.reachability.record_failure(now_s=trio.current_time())
            if self.reachability.is_unreachable and not was_unreachable:
                _LOG.warning('store unreachable', error=str(failure))
            raise
        except Failure:
            self.reachability.record_answer(now_s=trio.current_time())
            raise
        self.reachability.record_answer(now_s=trio.current_time())
        return reply

    async def _execute_through_peer(self, call: StoreCall) -> StoreReply:
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


async def _try_probe(execute: _Execute) -> bool:
    """Read a key; return whether the store has answered."""
    try:
        await execute(ReadCall(_PROBE_KEY))
    except Failure as failure:
        _LOG.debug('store still unreachable', error=str(failure))
        return False
    return True


def _require(returned: _Found | None) -> _Found:
    """Return a field that the reply must have; raises ``StoreAnswerLost``."""
    if returned is None:
        raise StoreAnswerLost(message='the reply lacks the result of the call')
    return returned
