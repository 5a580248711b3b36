"""Queue limits and quotas of the configuration in force.

The admission queue reads these limits for each request. They are rebuilt
when the configuration changes; the functions are pure.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from marjoramwharf.contracts.configuration import Configuration
from marjoramwharf.contracts.release_note import Quota
from marjoramwharf.errors import Reason
from marjoramwharf.ids import NoteRevision, ServiceId, TeamId

_DEFAULT_WEIGHT = 1


@dataclass(frozen=True, slots=True)
class TeamBounds:
    """Slots and fair-share weight of one team at one service.

    ``slots_count`` is ``None`` if no quota applies.
    """

    slots_count: int | None
    weight: float


@dataclass(frozen=True, slots=True)
class Usage:
    """Current numbers of running and queued requests.

    ``running_count`` counts the team's running requests to the service. The
    other fields count queued requests: of all teams, the team and the caller.
    """

    running_count: int
    queued_count: int
    team_queued_count: int
    caller_queued_count: int


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of queued requests in total, per team and per caller; quotas."""

    revision: NoteRevision
    queue_count: int
    team_count: int
    caller_count: int
    quotas: Mapping[tuple[TeamId, ServiceId], Quota] = field(
        default_factory=dict,
    )


def build_request_limits(configuration: Configuration) -> RequestLimits:
    """Build the request limits of a configuration."""
    return RequestLimits(
        revision=NoteRevision(configuration.revision),
        queue_count=configuration.limits.queue_count,
        team_count=configuration.limits.team_count,
        caller_count=configuration.limits.caller_count,
        quotas={
            (TeamId(quota.team), ServiceId(quota.service)): quota
            for quota in configuration.quotas
        },
    )


def get_team_bounds(
    limits: RequestLimits,
    team: TeamId,
    service: ServiceId,
    *,
    now_ms: int,
) -> TeamBounds:
    """Return the bounds of a team at ``now_ms``, a Unix time.

    Without a quota, or after its end, only the default weight applies.
    """
    quota = limits.quotas.get((team, service))
    if quota is None or _has_ended(quota, now_ms):
        return TeamBounds(None, _DEFAULT_WEIGHT)
    return TeamBounds(quota.slots_count, quota.weight)


def check_queue_limits(limits: RequestLimits, usage: Usage) -> Reason | None:
    """Return why one more request may not be queued, or ``None``."""
    if usage.queued_count >= limits.queue_count:
        return Reason.QUEUE_FULL
    if usage.team_queued_count >= limits.team_count:
        return Reason.TEAM_LIMIT
    # The limit of a caller has no reason of its own.
    if usage.caller_queued_count >= limits.caller_count:
        return Reason.TEAM_LIMIT
    return None


def may_start(bounds: TeamBounds, usage: Usage) -> bool:
    """Tell whether the quota allows one more running request of the team."""
    limit = bounds.slots_count
    return limit is None or usage.running_count < limit


def compute_fair_shares(
    limits: RequestLimits,
    service: ServiceId,
    demands: Mapping[TeamId, int],
    *,
    slots_count: int,
    now_ms: int,
) -> dict[TeamId, float]:
    """Divide slots among teams by weight (weighted max-min fairness).

    ``demands`` is the number of requests that each team wants to run. No team
    gets more than its demand or its quota; what it leaves goes to the others.
    """
    weights: dict[TeamId, float] = {}
    ceilings: dict[TeamId, float] = {}
    for team, demand in demands.items():
        bounds = get_team_bounds(limits, team, service, now_ms=now_ms)
        quota = demand if bounds.slots_count is None else bounds.slots_count
        weights[team] = bounds.weight
        ceilings[team] = min(demand, quota)
    return _fill_shares(weights, ceilings, slots_count)


def _fill_shares(
    weights: Mapping[TeamId, float],
    ceilings: Mapping[TeamId, float],
    slots_count: float,
) -> dict[TeamId, float]:
    # Progressive filling: the common fill level, in slots per unit of weight,
    # rises, and teams are processed in the order in which it reaches their
    # ceilings.
    shares: dict[TeamId, float] = {}
    remaining = slots_count
    remaining_weight = sum(weights.values())
    for team in _sort_by_fill_level(weights, ceilings):
        share = min(
            ceilings[team], remaining * weights[team] / remaining_weight
        )
        shares[team] = share
        remaining = max(remaining - share, 0)
        remaining_weight -= weights[team]
    return shares


def _sort_by_fill_level(
    weights: Mapping[TeamId, float],
    ceilings: Mapping[TeamId, float],
) -> Iterable[TeamId]:
    return sorted(
        weights,
        key=lambda team: (ceilings[team] / weights[team], team),
    )


def _has_ended(quota: Quota, now_ms: int) -> bool:
    return quota.valid_until_ms is not None and now_ms >= quota.valid_until_ms
