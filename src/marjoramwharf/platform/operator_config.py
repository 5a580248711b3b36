"""Decodes the operators' configuration, stored as JSON in one key."""

from __future__ import annotations

from msgspec import DecodeError, Struct, field

from marjoramwharf.errors import BadNote
from marjoramwharf.json_bodies import Amount, Ratio, decode_json
from marjoramwharf.scheduling.policy import (
    AdvicePolicy,
    Configuration,
    QueuePolicy,
    RequestLimits,
    ServicePolicy,
)

CONFIG_KEY = 'op/config'


class _Advice(Struct, frozen=True, rename='pascal'):
    """The advice service's timing for a queue.

    ``PeriodMs`` is not a period but the time that a call takes for each worker
    it names, on top of ``DecisionMs``.
    """

    decision_ms: Amount = 0
    period_ms: Amount = 0
    valid_ms: Amount = 0


class _Route(Struct, frozen=True, rename='pascal'):
    """A queue; ``TargetLatencyMs`` is one term of a job's objective."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: Amount = 3_000
    target_latency_ms: Amount = 1_000
    priority: Amount = 0
    max_attempts: Amount = 1
    stretch: Ratio = 1
    advice: _Advice | None = None


class _Service(Struct, frozen=True, rename='pascal'):
    name: str
    health_path: str = ''
    rejects_overload: bool = False
    spare: bool = False


class _Limits(Struct, frozen=True, rename='pascal'):
    max_header_bytes: Amount = 16_384
    max_body_bytes: Amount = 262_144
    header_timeout_ms: Amount = 5_000
    idle_timeout_ms: Amount = 30_000


class _Config(Struct, frozen=True, rename='pascal'):
    version: Amount
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = field(default_factory=_Limits)


def decode_configuration(raw: bytes) -> Configuration:
    """Decode a stored configuration; raises ``BadNote``, as for notes."""
    try:
        config = decode_json(raw, _Config)
    except DecodeError as failure:
        raise BadNote(message=f'unreadable configuration: {failure}') from (
            failure
        )
    return Configuration(
        version=config.version,
        queues={route.name: _to_queue_policy(route) for route in config.routes},
        services={
            service.name: ServicePolicy(
                name=service.name,
                enforces_capacity=service.rejects_overload,
                is_spare=service.spare,
                health_path=service.health_path,
            )
            for service in config.services
        },
        limits=RequestLimits(
            header_bytes=config.limits.max_header_bytes,
            body_bytes=config.limits.max_body_bytes,
            header_timeout_ms=config.limits.header_timeout_ms,
            idle_timeout_ms=config.limits.idle_timeout_ms,
        ),
    )


def _to_queue_policy(route: _Route) -> QueuePolicy:
    advice = route.advice
    return QueuePolicy(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_latency_ms=route.target_latency_ms,
        timeout_ms=route.timeout_ms,
        advice=None
        if advice is None
        else AdvicePolicy(
            decision_ms=advice.decision_ms,
            per_worker_ms=advice.period_ms,
            valid_ms=advice.valid_ms,
        ),
    )
