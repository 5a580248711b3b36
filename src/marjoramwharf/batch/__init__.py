"""Batch jobs: durable state, placement, task starts and recovery."""
