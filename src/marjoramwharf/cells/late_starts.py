"""Start orders without an answer, which a worker may still carry out.

A worker refuses a late order for a run that has been there. One that starts again
under its id remembers no run, so the next incarnation would carry the order out,
also if the run has ended since.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.ids import TaskId, WorkerId

# An order without an answer may still be carried out for this long.
LATE_ORDER_WINDOW_S = 13.0

RunKey = tuple[TaskId, int]

_SentTimes = dict[RunKey, float]


@dataclass(slots=True)
class LateStarts:
    """The latest unanswered start order of each run, by worker, for a while."""

    _sent_s: dict[WorkerId, _SentTimes] = field(default_factory=dict)

    def record_sent(
        self, worker_id: WorkerId, run: RunKey, *, now_s: float
    ) -> float | None:
        """Record an order; return when an earlier one of the run was sent.

        Returns ``None`` if there is none without an answer.
        """
        sent_s = self._sent_s.setdefault(worker_id, {})
        former_s = sent_s.pop(run, None)
        _drop_expired(sent_s, now_s)
        sent_s[run] = now_s
        return former_s

    def record_answered(
        self, worker_id: WorkerId, run: RunKey, *, former_s: float | None
    ) -> None:
        """Forget the latest order of a run, but not the one before it."""
        sent_s = self._sent_s.get(worker_id, {})
        sent_s.pop(run, None)
        if former_s is not None:
            sent_s[run] = former_s
        elif not sent_s:
            self._sent_s.pop(worker_id, None)

    def runs_at(self, worker_id: WorkerId, *, now_s: float) -> list[RunKey]:
        """Return the runs that a late order may start at a worker."""
        sent_s = self._sent_s.get(worker_id, {})
        return [run for run, at_s in sent_s.items() if _is_recent(at_s, now_s)]

    def may_start(
        self, worker_id: WorkerId, run: RunKey, *, now_s: float
    ) -> bool:
        """Whether a late order may start a run at a worker."""
        at_s = self._sent_s.get(worker_id, {}).get(run)
        return at_s is not None and _is_recent(at_s, now_s)


def _is_recent(at_s: float, now_s: float) -> bool:
    return now_s - at_s < LATE_ORDER_WINDOW_S


def _drop_expired(sent_s: _SentTimes, now_s: float) -> None:
    """Drop the first orders, which are about the oldest, if they are."""
    while sent_s:
        run, at_s = next(iter(sent_s.items()))
        if _is_recent(at_s, now_s):
            return
        sent_s.pop(run)
