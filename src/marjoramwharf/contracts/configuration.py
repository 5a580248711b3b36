"""The configuration in force, and the changes that a release note makes.

The functions are pure. All entries apply the same notes in the order of
their revisions, so they arrive at the same configuration.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

from msgspec import Struct, structs

from marjoramwharf.contracts.release_note import (
    Problem,
    Quota,
    ReleaseNote,
    Routing,
    Service,
    TaskClass,
    changed_fields,
    identity_of,
)
from marjoramwharf.errors import BadNote


class Limits(Struct, frozen=True):
    """Largest numbers of queued requests: in total, per team, per caller."""

    queue_count: int = 512
    team_count: int = 256
    caller_count: int = 64


class Policy(Struct, frozen=True):
    """Weights of the three scheduling objectives, and the routing rule."""

    tail_latency: float = 1
    throughput: float = 1
    evictions: float = 1
    routing: Routing = Routing.PREDICTED


class Configuration(Struct, frozen=True, omit_defaults=True):
    """Everything that release notes have put in force, sorted by key.

    Revision 0 is the empty configuration before the first note.
    """

    revision: int = 0
    note_id: str = ''
    services: tuple[Service, ...] = ()
    instances: tuple[str, ...] = ()
    limits: Limits = Limits()
    quotas: tuple[Quota, ...] = ()
    policy: Policy = Policy()
    task_classes: tuple[TaskClass, ...] = ()


class IncompatibleNote(BadNote):
    """A note that can't be applied to the configuration, with all problems."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        """Store the problems; the message lists them."""
        self.problems = tuple(problems)
        super().__init__(
            message='; '.join(
                f'{found.field}: {found.message}' for found in problems
            ),
        )


def apply_note(
    configuration: Configuration, note: ReleaseNote
) -> Configuration:
    """Return the next revision of the configuration, with the note applied.

    Raises ``IncompatibleNote`` when the note does not fit the configuration.
    """
    problems: list[Problem] = []
    merged = {
        section: _merge_section(
            section,
            getattr(configuration, section),
            getattr(note, section),
            problems,
        )
        for section in ('services', 'quotas', 'task_classes')
    }
    after = structs.replace(
        configuration,
        revision=configuration.revision + 1,
        note_id=note.note_id,
        instances=_merge_instances(configuration.instances, note, problems),
        limits=structs.replace(
            configuration.limits,
            **changed_fields(note.limits),
        ),
        policy=structs.replace(
            configuration.policy,
            **changed_fields(note.policy),
        ),
        **merged,
    )
    problems.extend(_check_consistency(after, note))
    if problems:
        raise IncompatibleNote(problems)
    return after


def _merge_section(
    section: str,
    in_force: tuple[Any, ...],
    changes: Any,
    problems: list[Problem],
) -> tuple[Any, ...]:
    """Apply the changes of a section; add a problem for each wrong one."""
    items = {item.identity: item for item in in_force}
    named: set[str] = set()
    for kind in ('withdrawn', 'changed', 'added'):
        for index, declared in enumerate(getattr(changes, kind)):
            key = identity_of(declared)
            fault = _find_fault(key, key in items, key in named, kind)
            named.add(key)
            if fault:
                path = f'$.{section}.{kind}[{index}]'
                problems.append(Problem(path, fault))
            else:
                _apply_change(items, kind, key, declared)
    return tuple(items[key] for key in sorted(items))


def _apply_change(
    items: dict[str, Any], kind: str, key: str, declared: Any
) -> None:
    if kind == 'withdrawn':
        items.pop(key)
    elif kind == 'changed':
        items[key] = structs.replace(items[key], **changed_fields(declared))
    else:
        items[key] = declared


def _find_fault(key: str, is_in_force: bool, is_named: bool, kind: str) -> str:
    """Return what is wrong with a declared key, or an empty string."""
    if is_named:
        return f'{key!r} is declared twice in this note'
    if kind in {'added', 'admitted'}:
        return f'{key!r} is already in force' if is_in_force else ''
    return '' if is_in_force else f'{key!r} is not in force'


def _merge_instances(
    in_force: tuple[str, ...],
    note: ReleaseNote,
    problems: list[Problem],
) -> tuple[str, ...]:
    workers = set(in_force)
    named: set[str] = set()
    for kind in ('withdrawn', 'admitted'):
        for index, worker in enumerate(getattr(note.instances, kind)):
            fault = _find_fault(
                worker, worker in workers, worker in named, kind
            )
            named.add(worker)
            if fault:
                path = f'$.instances.{kind}[{index}]'
                problems.append(Problem(path, fault))
    workers.difference_update(note.instances.withdrawn)
    workers.update(note.instances.admitted)
    return tuple(sorted(workers))


def _check_consistency(
    after: Configuration, note: ReleaseNote
) -> Iterator[Problem]:
    yield from _check_quotas(after, note)
    yield from _check_timeouts(after, note)
    limits = after.limits
    if not limits.caller_count <= limits.team_count <= limits.queue_count:
        yield Problem(
            '$.limits',
            'caller_count <= team_count <= queue_count does not hold: '
            f'{limits.caller_count}, {limits.team_count}, '
            f'{limits.queue_count}',
        )
    policy = after.policy
    if not policy.tail_latency + policy.throughput + policy.evictions:
        yield Problem('$.policy', 'at least one weight must be above 0')


def _check_quotas(after: Configuration, note: ReleaseNote) -> Iterator[Problem]:
    service_names = {service.name for service in after.services}
    added = {
        quota.identity: f'$.quotas.added[{index}].service'
        for index, quota in enumerate(note.quotas.added)
    }
    for quota in after.quotas:
        if quota.service in service_names:
            continue
        path = added.get(quota.identity, '$.services.withdrawn')
        yield Problem(
            path,
            f'the quota of team {quota.team!r} is for the unknown service '
            f'{quota.service!r}',
        )


def _check_timeouts(
    after: Configuration,
    note: ReleaseNote,
) -> Iterator[Problem]:
    services = {service.name: service for service in after.services}
    for kind in ('added', 'changed'):
        for index, declared in enumerate(getattr(note.services, kind)):
            service = services.get(declared.name)
            if service and service.timeout_ms < service.latency_objective_ms:
                yield Problem(
                    f'$.services.{kind}[{index}].timeout_ms',
                    f'{service.timeout_ms} is below latency_objective_ms',
                )
