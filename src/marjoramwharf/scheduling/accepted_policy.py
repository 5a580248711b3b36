"""The policy of a job's queue when the job was accepted.

It is stored with the job and applies once the configuration lacks the queue:
an operator may withdraw a queue whose jobs still run, and an owner may start
before it has read any configuration.
"""

from __future__ import annotations

from msgspec import Struct

from marjoramwharf.scheduling.policy import AdvicePolicy, QueuePolicy


class AcceptedPolicy(Struct, frozen=True, array_like=True):
    """The part of a queue's policy that its accepted jobs still need.

    ``advice_ms`` has the times of an ``AdvicePolicy`` in their order. The
    defaults are for jobs that were stored without a policy.
    """

    max_attempts: int = 3
    priority: int = 0
    stretch: float = 1
    target_latency_ms: int = 1_000
    advice_ms: tuple[int, int, int] | None = None


def accepted_policy(queue: QueuePolicy) -> AcceptedPolicy:
    """Return the part of a queue's policy to store with a job."""
    advice = queue.advice
    return AcceptedPolicy(
        max_attempts=queue.max_attempts,
        priority=queue.priority,
        stretch=queue.stretch,
        target_latency_ms=queue.target_latency_ms,
        advice_ms=None
        if advice is None
        else (advice.decision_ms, advice.per_worker_ms, advice.valid_ms),
    )


def withdrawn_queue(
    name: str, service: str, accepted: AcceptedPolicy
) -> QueuePolicy:
    """Return the policy of a queue that the configuration lacks.

    >>> withdrawn_queue('q', 's', AcceptedPolicy(max_attempts=4)).max_attempts
    4
    """
    advice_ms = accepted.advice_ms
    return QueuePolicy(
        name=name,
        host='',
        prefix='',
        service=service,
        priority=accepted.priority,
        max_attempts=accepted.max_attempts,
        stretch=accepted.stretch,
        target_latency_ms=accepted.target_latency_ms,
        advice=None if advice_ms is None else AdvicePolicy(*advice_ms),
    )
