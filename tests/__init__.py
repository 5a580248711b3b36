"""Tests, one module for each module of the package."""

from tests import untimed_examples as untimed_examples  # noqa: F401
