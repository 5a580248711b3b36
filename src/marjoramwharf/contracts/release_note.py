"""Release notes: declarations of what is added, changed and withdrawn.

A note is a JSON file with comments in the operators' version control. An
added item is declared in full; a changed item lists only the fields that
change; a withdrawn item is only named. Two notes can be accepted
independently of each other if :func:`shared_fields` returns nothing.
"""

from __future__ import annotations

import enum
import pathlib
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Annotated, TypeAlias

from msgspec import Meta, Struct

from marjoramwharf import jsonc
from marjoramwharf._field_lines import find_field_lines, find_line
from marjoramwharf.errors import BadNote, BadSettings
from marjoramwharf.settings import Name

FieldPath: TypeAlias = tuple[str, ...]

Text: TypeAlias = Annotated[str, Meta(min_length=1, max_length=500)]
LatencyMs: TypeAlias = Annotated[float, Meta(ge=1, le=600_000)]
TimeoutMs: TypeAlias = Annotated[int, Meta(ge=10, le=600_000)]
Processors: TypeAlias = Annotated[int, Meta(ge=0, le=65_536)]
SlotCount: TypeAlias = Annotated[int, Meta(ge=0, le=100_000)]
QueueCount: TypeAlias = Annotated[int, Meta(ge=1, le=100_000)]
Weight: TypeAlias = Annotated[float, Meta(ge=0, le=10)]
TeamWeight: TypeAlias = Annotated[float, Meta(gt=0, le=1_000)]
RunSeconds: TypeAlias = Annotated[int, Meta(ge=1, le=2_592_000)]
TimeMs: TypeAlias = Annotated[int, Meta(ge=0)]

_FIELD_PATH = re.compile(r'^(?P<text>.*) - at `(?P<path>\$[^`]*)`$', re.DOTALL)
_UNKNOWN_FIELD = re.compile('unknown field `([^`]+)`')
_SYNTAX_LINE = re.compile(r'<string>:(\d+)')


class _NoteStruct(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Base of the structs of a note: immutable, without unknown fields."""


class Service(_NoteStruct, frozen=True):
    """A latency-critical service with its objective and reservation."""

    name: Name
    latency_objective_ms: LatencyMs
    reserved_processors_count: Processors
    timeout_ms: TimeoutMs

    @property
    def identity(self) -> str:
        """The name under which the service is in force."""
        return self.name


class ServiceChange(_NoteStruct, frozen=True):
    """New values of some fields of a service."""

    name: Name
    latency_objective_ms: LatencyMs | None = None
    reserved_processors_count: Processors | None = None
    timeout_ms: TimeoutMs | None = None

    @property
    def identity(self) -> str:
        """The name of the service that changes."""
        return self.name


class TaskClass(_NoteStruct, frozen=True):
    """A class of batch tasks that behave alike beside services."""

    name: Name
    max_run_s: RunSeconds
    can_checkpoint: bool
    weight: TeamWeight = 1

    @property
    def identity(self) -> str:
        """The name under which the class is in force."""
        return self.name


class TaskClassChange(_NoteStruct, frozen=True):
    """New values of some fields of a task class."""

    name: Name
    max_run_s: RunSeconds | None = None
    can_checkpoint: bool | None = None
    weight: TeamWeight | None = None

    @property
    def identity(self) -> str:
        """The name of the class that changes."""
        return self.name


class QuotaKey(_NoteStruct, frozen=True):
    """The team and the service of a quota."""

    team: Name
    service: Name

    @property
    def identity(self) -> str:
        """The key under which the quota is in force."""
        return f'{self.team}/{self.service}'


class Quota(QuotaKey, frozen=True):
    """How much of a service a team may use.

    ``slots_count`` limits the concurrent requests, ``weight`` is the team's
    weight in fair sharing. From ``valid_until_ms`` (Unix time) on, the quota
    no longer applies.
    """

    slots_count: SlotCount
    weight: TeamWeight = 1
    valid_until_ms: TimeMs | None = None


class QuotaChange(QuotaKey, frozen=True):
    """New values of some fields of a quota."""

    slots_count: SlotCount | None = None
    weight: TeamWeight | None = None
    valid_until_ms: TimeMs | None = None


class ServiceChanges(_NoteStruct, frozen=True):
    """Services that are added, changed and withdrawn."""

    added: tuple[Service, ...] = ()
    changed: tuple[ServiceChange, ...] = ()
    withdrawn: tuple[Name, ...] = ()


class TaskClassChanges(_NoteStruct, frozen=True):
    """Task classes that are added, changed and withdrawn."""

    added: tuple[TaskClass, ...] = ()
    changed: tuple[TaskClassChange, ...] = ()
    withdrawn: tuple[Name, ...] = ()


class QuotaChanges(_NoteStruct, frozen=True):
    """Quotas that are added, changed and withdrawn."""

    added: tuple[Quota, ...] = ()
    changed: tuple[QuotaChange, ...] = ()
    withdrawn: tuple[QuotaKey, ...] = ()


class InstanceChanges(_NoteStruct, frozen=True):
    """Workers that are admitted and withdrawn."""

    admitted: tuple[Name, ...] = ()
    withdrawn: tuple[Name, ...] = ()


class LimitChanges(_NoteStruct, frozen=True):
    """New limits of queued requests: in total, per team and per caller."""

    queue_count: QueueCount | None = None
    team_count: QueueCount | None = None
    caller_count: QueueCount | None = None


@enum.unique
class Routing(enum.Enum):
    """How a worker is chosen for a request.

    ``PREDICTED`` compares predicted latencies and hedges slow requests; the
    others are simple rules that serve as its baselines.
    """

    PREDICTED = 'predicted'
    ROUND_ROBIN = 'round_robin'
    LEAST_LOADED = 'least_loaded'


class PolicyChanges(_NoteStruct, frozen=True):
    """New weights of the three scheduling objectives, and the routing rule."""

    tail_latency: Weight | None = None
    throughput: Weight | None = None
    evictions: Weight | None = None
    routing: Routing | None = None


class ReleaseNote(_NoteStruct, frozen=True):
    """A release note: the changes to the configuration with their author.

    ``note_id`` is chosen by the author and accepted once. ``based_on`` is
    the revision that the author saw; without it the note is based on the
    configuration in force when it is submitted.
    """

    note_id: Name
    author: Text
    summary: Text
    based_on: Annotated[int, Meta(ge=0)] | None = None
    services: ServiceChanges = ServiceChanges()
    instances: InstanceChanges = InstanceChanges()
    limits: LimitChanges = LimitChanges()
    quotas: QuotaChanges = QuotaChanges()
    policy: PolicyChanges = PolicyChanges()
    task_classes: TaskClassChanges = TaskClassChanges()


@dataclass(frozen=True, slots=True)
class Problem:
    """An error in one field, whose path is like ``$.quotas.added[0]``."""

    field: str
    message: str


@dataclass(frozen=True, slots=True)
class NoteFile:
    """A note with the name of its file and the line numbers of its fields."""

    note: ReleaseNote
    origin: str
    lines: dict[str, int] = field(default_factory=dict)

    def format_problem(self, problem: Problem) -> str:
        """Return the message of a problem with its file, line and field."""
        return _format_problem(self.origin, self.lines, problem)


def load_note(path: pathlib.Path) -> NoteFile:
    """Read a note from a file.

    Raises ``BadNote``, whose message names the file, line, field and range.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as failure:
        raise BadNote(message=f'{path}: {failure}') from failure
    return parse_note(text, origin=str(path))


def parse_note(text: str, *, origin: str) -> NoteFile:
    """Parse the text of a note; ``origin`` names it in error messages."""
    try:
        note = jsonc.load_text(text, ReleaseNote, origin=origin)
    except BadSettings as failure:
        cause = failure.__cause__ or failure
        raise BadNote(
            message=_describe_error(origin, text, str(cause))
        ) from failure
    return NoteFile(note, origin, find_field_lines(text))


def touched_fields(note: ReleaseNote) -> frozenset[FieldPath]:
    """Return the paths of all fields that a note sets.

    An added or withdrawn item gives one path, which covers all its fields.
    """
    paths: set[FieldPath] = set()
    for section in ('services', 'quotas', 'task_classes'):
        changes = getattr(note, section)
        for declared in (*changes.added, *changes.withdrawn):
            paths.add((section, identity_of(declared)))
        for change in changes.changed:
            paths.update(
                (section, change.identity, name)
                for name in changed_fields(change)
            )
    for worker in (*note.instances.admitted, *note.instances.withdrawn):
        paths.add(('instances', worker))
    paths.update(('limits', name) for name in changed_fields(note.limits))
    paths.update(('policy', name) for name in changed_fields(note.policy))
    return frozenset(paths)


def shared_fields(left: ReleaseNote, right: ReleaseNote) -> tuple[str, ...]:
    """Return the fields that both notes set, such as ``limits.team_count``.

    An item that one note adds or withdraws shares every field that the other
    note changes of it.
    """
    left_paths = touched_fields(left)
    right_paths = touched_fields(right)
    shared = set(_paths_covered_by(left_paths, right_paths))
    shared.update(_paths_covered_by(right_paths, left_paths))
    return tuple(sorted('.'.join(path) for path in shared))


def changed_fields(change: Struct) -> dict[str, object]:
    """Return the fields that a change sets, without the key of the item."""
    return {
        name: getattr(change, name)
        for name in change.__struct_fields__
        if name not in {'name', 'team', 'service'}
        and getattr(change, name) is not None
    }


def identity_of(declared: str | Service | TaskClass | QuotaKey) -> str:
    """Return the key of an item that is declared or withdrawn."""
    return declared if isinstance(declared, str) else declared.identity


def _paths_covered_by(
    paths: frozenset[FieldPath],
    covering: frozenset[FieldPath],
) -> Iterator[FieldPath]:
    """Yield the paths that are in ``covering`` or have a prefix there."""
    for path in paths:
        prefixes = (path[:length] for length in range(1, len(path) + 1))
        if any(prefix in covering for prefix in prefixes):
            yield path


def _describe_error(origin: str, text: str, message: str) -> str:
    """Return a parser's message with the file, line and field added."""
    syntax = _SYNTAX_LINE.search(message)
    if syntax is not None:
        return f'{origin}:{syntax.group(1)}: {message}'
    match = _FIELD_PATH.match(message)
    path = '$'
    if match is not None:
        message, path = match.group('text'), match.group('path')
    unknown = _UNKNOWN_FIELD.search(message)
    if unknown is not None:
        path = f'{path}.{unknown.group(1)}'
    return _format_problem(
        origin, find_field_lines(text), Problem(path, message)
    )


def _format_problem(
    origin: str, lines: dict[str, int], problem: Problem
) -> str:
    line = find_line(lines, problem.field)
    return f'{origin}:{line}: {problem.field}: {problem.message}'
