"""Fuzz tests: any input yields a valid value or an error of a declared type."""
