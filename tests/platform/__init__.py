"""Tests of the package ``marjoramwharf.platform``."""
