"""What could not be placed in one pass of the planner.

Load answered: bursts on large fleets, in which hundreds of steps wait. Room
only shrinks within a pass, so a step that asks for no less than one that was
refused needs no comparison with every worker.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.scheduling.workload import StepRequest


@dataclass(frozen=True, slots=True)
class _Refusal:
    service: str
    step: StepRequest
    allowed_harm: float


@dataclass(slots=True)
class UnplaceableSteps:
    """The steps that were refused in this pass."""

    _known: list[_Refusal] = field(default_factory=list)

    def add(
        self,
        service: str,
        step: StepRequest,
        allowed_harm: float,
    ) -> None:
        """Note that no worker takes a task of a step now.

        A limit for each worker is a reason of the step's own, which says
        nothing of other steps.
        """
        if not step.per_worker_limit:
            self._known.append(_Refusal(service, step, allowed_harm))

    def covers(
        self,
        service: str,
        step: StepRequest,
        allowed_harm: float,
    ) -> bool:
        """Whether a step is refused for the same reason as another."""
        return any(
            refusal.service == service
            and _asks_no_less(step, refusal.step)
            and _is_as_harmful(step, allowed_harm, refusal)
            for refusal in self._known
        )


def _asks_no_less(step: StepRequest, refused: StepRequest) -> bool:
    if refused.required_label not in {'', step.required_label}:
        return False
    if step.fills is not refused.fills:
        return False
    return (
        step.cpu_millicores >= refused.cpu_millicores
        and step.memory_mb >= refused.memory_mb
        and step.accelerators_count >= refused.accelerators_count
    )


def _is_as_harmful(
    step: StepRequest,
    allowed_harm: float,
    refusal: _Refusal,
) -> bool:
    if not step.fills:
        return True
    same_image = step.image == refusal.step.image
    return same_image and allowed_harm <= refusal.allowed_harm
