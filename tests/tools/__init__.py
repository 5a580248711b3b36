"""Tests of the history checker and the capacity figures."""
