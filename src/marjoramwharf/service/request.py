"""A caller's request to a latency-critical service, and its three outcomes."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

from marjoramwharf.errors import Reason
from marjoramwharf.ids import ServiceId, TeamId


@enum.unique
class Priority(enum.IntEnum):
    """Priority of a request; under overload the lowest is shed first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """One request of a caller.

    ``arrived_at_s`` and ``deadline_s`` are in monotonic seconds. A request
    that is not idempotent needs an idempotency key. With ``is_first_attempt``
    the caller declares that it has sent no request with this key before,
    neither to this entry nor to another.
    """

    request_id: str
    service: ServiceId
    team: TeamId
    body: bytes
    content_type: str
    arrived_at_s: float
    deadline_s: float
    priority: Priority = Priority.NORMAL
    is_idempotent: bool = False
    idempotency_key: str | None = None
    is_first_attempt: bool = False


@dataclass(frozen=True, slots=True)
class Done:
    """The complete answer of the service."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request provably did not run; retry it after ``retry_after_s``."""

    reason: Reason
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; ``outcome_key`` serves to look it up later."""

    reason: Reason
    message: str
    outcome_key: str | None


Outcome: TypeAlias = Done | NotRun | Unknown
