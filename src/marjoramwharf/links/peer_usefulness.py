"""Judges the peers of a relay by the outcomes of the calls through them.

A peer that is connected may be unable to execute calls, since it doesn't reach
the store either or stands still, while another one could.

>>> usefulness = PeerUsefulness()
>>> usefulness.record_failure(now_s=3)
>>> usefulness.is_useful(now_s=3.5), usefulness.is_useful(now_s=4)
(True, False)
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import trio

from marjoramwharf.links.relay_peers import PeerAddress, PeerSource

# Longer than a peer takes to notice that its own way to the store has failed.
_USELESS_AFTER_S = 0.7

# A useless peer is worth a connection again this long after its last failure.
_AVOID_S = 5.0


@dataclass(slots=True)
class PeerUsefulness:
    """Failures of calls through a peer since the latest answer.

    ``failing_since_s`` is the time of the first of them, ``None`` if there is
    none, and ``failed_s`` that of the latest one ever.
    """

    failing_since_s: float | None = None
    failed_s: float = 0

    def record_answer(self) -> None:
        """Record a call that the peer got an answer to from the store."""
        self.failing_since_s = None

    def record_failure(self, *, now_s: float) -> None:
        """Record a call that the peer didn't answer or could not execute."""
        self.failed_s = now_s
        if self.failing_since_s is None:
            self.failing_since_s = now_s

    def is_useful(self, *, now_s: float) -> bool:
        """Whether the peer is worth a connection."""
        since_s = self.failing_since_s
        if since_s is None or now_s - since_s < _USELESS_AFTER_S:
            return True
        return now_s - self.failed_s >= _AVOID_S


@dataclass(slots=True)
class PeerRecords:
    """The usefulness of each known peer."""

    peers: PeerSource
    _records: dict[PeerAddress, PeerUsefulness] = field(default_factory=dict)

    def find(self, peer: PeerAddress) -> PeerUsefulness:
        """Return the record of a peer; forget those that are not known."""
        if peer not in self._records:
            for former in self._records.keys() - set(self.peers()):
                self._records.pop(former)
        return self._records.setdefault(peer, PeerUsefulness())

    def rank(self, peers: Iterable[PeerAddress]) -> list[PeerAddress]:
        """Return the peers in the order in which to use them.

        Those that are failing come last, the one that failed latest at the
        end.
        """
        return sorted(peers, key=self._rank_of)

    def is_useful(self, peer: PeerAddress) -> bool:
        """Whether a peer is worth a connection now."""
        return self.find(peer).is_useful(now_s=trio.current_time())

    def _rank_of(self, peer: PeerAddress) -> tuple[bool, float]:
        record = self.find(peer)
        return record.failing_since_s is not None, record.failed_s
