"""Scheduling decisions: queueing, placing, pacing and moving, without I/O."""
