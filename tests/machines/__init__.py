"""Tests of worker state, worker health and the agents' client."""
