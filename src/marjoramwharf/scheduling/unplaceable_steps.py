"""Steps that could not be placed in one pass of the planner.

Free capacity only shrinks within a pass. If no worker could take one step, none
can take a step that needs at least as much, so that step is skipped. This saves
much time during bursts on large fleets, when hundreds of steps wait.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.scheduling.workload import StepRequest


@dataclass(frozen=True, slots=True)
class _UnplaceableStep:
    """A step that no worker could take.

    A filling task of it was to do at most ``allowed_harm``, in the unit of
    ``headroom.expected_harm``.
    """

    service: str
    step: StepRequest
    allowed_harm: float


@dataclass(slots=True)
class UnplaceableSteps:
    """The steps of which a task found no worker in this pass."""

    _steps: list[_UnplaceableStep] = field(default_factory=list)

    def add(
        self,
        service: str,
        step: StepRequest,
        allowed_harm: float,
    ) -> None:
        """Record that no worker can take a task of a step now.

        A step with a limit per worker is left out: the limit counts only its
        own tasks, so it says nothing about other steps.
        """
        if not step.per_worker_limit:
            self._steps.append(_UnplaceableStep(service, step, allowed_harm))

    def rules_out(
        self,
        service: str,
        step: StepRequest,
        allowed_harm: float,
    ) -> bool:
        """Whether a recorded step proves that no worker can take this one."""
        return any(
            recorded.service == service
            and _needs_no_less(step, recorded.step)
            and _allows_no_more_harm(step, allowed_harm, recorded)
            for recorded in self._steps
        )


def _needs_no_less(step: StepRequest, other: StepRequest) -> bool:
    if other.required_label not in {'', step.required_label}:
        return False
    if step.fills is not other.fills:
        return False
    return (
        step.cpu_millicores >= other.cpu_millicores
        and step.memory_mb >= other.memory_mb
        and step.accelerators_count >= other.accelerators_count
    )


def _allows_no_more_harm(
    step: StepRequest,
    allowed_harm: float,
    recorded: _UnplaceableStep,
) -> bool:
    if not step.fills:
        return True
    same_image = step.image == recorded.step.image
    return same_image and allowed_harm <= recorded.allowed_harm
