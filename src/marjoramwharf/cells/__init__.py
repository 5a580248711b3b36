"""Cells: groups of workers and jobs that one entry owns at a time."""
