"""Hypothesis strategies for bytes and texts from other processes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st

FUZZ = settings(derandomize=True, deadline=None, database=None)

numbers = st.one_of(
    st.integers(-2, 3),
    st.integers(),
    st.floats(),
    st.just(10**400),
)
leaves = st.one_of(st.none(), st.booleans(), numbers, st.text(max_size=8))
trees = st.recursive(
    leaves,
    lambda parts: st.one_of(
        st.lists(parts, max_size=3),
        st.dictionaries(st.text(max_size=8), parts, max_size=3),
    ),
    max_leaves=8,
)
_POWERS = (2**53 + 1, 2**63, 2**64, 10**300)
extremes = st.sampled_from((-1, 65_536, *_POWERS, 1e308, '9' * 400))
_DEPTH = 20_000
_HOLE = 'hole'
deep = st.sampled_from(('[' * 50_000, '{"a":' * 50_000))


def texts_like(example: dict[str, Any]) -> st.SearchStrategy[str]:
    """Return texts: the example with changes, any JSON, deep JSON, any text."""
    names = st.sampled_from(sorted(example))
    changes = st.dictionaries(names, trees, max_size=2)
    changed = changes.map(lambda fields: json.dumps({**example, **fields}))
    return st.one_of(changed, trees.map(json.dumps), deep, st.text())


def bytes_like(example: dict[str, Any]) -> st.SearchStrategy[bytes]:
    """Return a strategy for bodies: those of ``texts_like``, or any bytes."""
    texts = texts_like(example).map(_encode)
    return st.one_of(texts, st.binary(max_size=200))


def _encode(text: str) -> bytes:
    return text.encode('utf-8', 'surrogatepass')


def variants_of(example: Any) -> st.SearchStrategy[bytes]:
    """Return bodies: the example with one part replaced, at any depth."""
    paths = st.sampled_from(list(_paths(example)))
    replaced = st.tuples(paths, trees | extremes).map(
        lambda change: json.dumps(_replace(example, *change))
    )
    nested = paths.map(
        lambda path: json.dumps(_replace(example, path, _HOLE)).replace(
            f'"{_HOLE}"', '[' * _DEPTH + ']' * _DEPTH
        )
    )
    return st.one_of(replaced, nested, deep).map(_encode)


def _paths(tree: Any) -> Iterator[tuple[Any, ...]]:
    """Yield the path to each part of a tree."""
    yield ()
    parts: Iterable[tuple[Any, Any]] = ()
    if isinstance(tree, dict):
        parts = tree.items()
    elif isinstance(tree, list):
        parts = enumerate(tree)
    for key, part in parts:
        yield from ((key, *path) for path in _paths(part))


def _replace(tree: Any, path: tuple[Any, ...], part: Any) -> Any:
    """Return a copy of a tree with another part at a path."""
    if not path:
        return part
    changed = dict(tree) if isinstance(tree, dict) else list(tree)
    changed[path[0]] = _replace(tree[path[0]], path[1:], part)
    return changed
