"""Judges the peers of a relay by the outcomes of the calls through them.

A peer that is connected may be unable to execute calls, since it doesn't reach
the store either or stands still, while another one could.

>>> failing, other = PeerUsefulness(), PeerUsefulness()
>>> failing.record_failure(now_s=3)
>>> rank_peers({'e1': failing, 'e2': other})
['e2', 'e1']
>>> find_replaceable({'e1': failing, 'e2': other}, now_s=5)
'e1'
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

# Longer than a peer takes to notice that its own way to the store has failed.
_REPLACE_AFTER_S = 0.7

_Peer = TypeVar('_Peer')


@dataclass(slots=True)
class PeerUsefulness:
    """Failures of calls through a peer since the latest answer.

    ``useless_since_s`` is the time of the first of them, ``None`` if there is
    none, and ``failed_s`` that of the latest one ever.
    """

    useless_since_s: float | None = None
    failed_s: float = 0

    def record_answer(self) -> None:
        """Record a call that the peer got an answer to from the store."""
        self.useless_since_s = None

    def record_failure(self, *, now_s: float) -> None:
        """Record a call that the peer didn't answer or could not execute."""
        self.failed_s = now_s
        if self.useless_since_s is None:
            self.useless_since_s = now_s


def rank_peers(peers: Mapping[_Peer, PeerUsefulness]) -> list[_Peer]:
    """Return the peers in the order in which to use them.

    Those that are useless come last, the one that failed latest at the end.
    """
    return sorted(
        peers,
        key=lambda peer: (
            peers[peer].useless_since_s is not None,
            peers[peer].failed_s,
        ),
    )


def find_replaceable(
    peers: Mapping[_Peer, PeerUsefulness], *, now_s: float
) -> _Peer | None:
    """Return the peer that has been useless longest, if for long enough."""
    useless = {
        peer: usefulness.useless_since_s
        for peer, usefulness in peers.items()
        if usefulness.useless_since_s is not None
    }
    longest = min(useless, key=lambda peer: useless[peer], default=None)
    if longest is None or now_s - useless[longest] < _REPLACE_AFTER_S:
        return None
    return longest
