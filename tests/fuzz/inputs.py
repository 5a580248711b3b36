"""Hypothesis strategies for bytes and texts from other processes."""

from __future__ import annotations

import json
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
