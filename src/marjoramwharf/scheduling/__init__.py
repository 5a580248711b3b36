"""Queueing, refusing and placing of jobs: decisions without a network."""
