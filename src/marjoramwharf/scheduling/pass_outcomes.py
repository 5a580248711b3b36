"""What the planner's latest pass did with each step, for logs."""

from __future__ import annotations

import enum
from collections.abc import Collection
from dataclasses import dataclass, field

from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.job_state import Step
from marjoramwharf.scheduling.placement import PlacementContext


@enum.unique
class StepOutcome(enum.Enum):
    """What became of the ready tasks of a step in one pass.

    - ``NOT_TRIED``: the pass didn't consider the step, since its tasks became
      ready later or may not start yet.
    - ``HELD_BACK``: the room left is kept for short work.
    - ``RULED_OUT``: skipped, since a step that needs no more found no worker.
    - ``NO_WORKER``: searched, and at least one task found no worker.
    - ``PLACED``: all tasks that weren't held back got a worker.
    - ``ERROR``: an unexpected error, which is logged.
    """

    NOT_TRIED = 'not_tried'
    HELD_BACK = 'held_back'
    RULED_OUT = 'ruled_out'
    NO_WORKER = 'no_worker'
    PLACED = 'placed'
    ERROR = 'error'


@dataclass(slots=True)
class PassOutcomes:
    """The outcomes of the latest pass, which began at ``began_s`` (0: none).

    ``tickets`` hold the workers with a ticket for a step, ``None`` if it needs
    none.
    """

    began_s: float = 0
    contexts: dict[Step, PlacementContext] = field(default_factory=dict)
    tickets: dict[Step, Collection[WorkerId] | None] = field(
        default_factory=dict
    )
    _outcomes: dict[Step, StepOutcome] = field(default_factory=dict)

    def begin(self, now_s: float) -> None:
        """Forget the former pass."""
        self.began_s = now_s
        self.contexts.clear()
        self.tickets.clear()
        self._outcomes.clear()

    def consider(self, step: Step, context: PlacementContext) -> None:
        """Record that the pass considers a step, and under what conditions.

        The step counts as held back until another outcome is recorded.
        """
        self.contexts[step] = context
        self._outcomes[step] = StepOutcome.HELD_BACK

    def record(self, step: Step, outcome: StepOutcome) -> None:
        """Record the outcome of a step that the pass considers."""
        self._outcomes[step] = outcome

    def outcome_of(self, step: Step) -> StepOutcome:
        """Return the outcome of a step."""
        return self._outcomes.get(step, StepOutcome.NOT_TRIED)
