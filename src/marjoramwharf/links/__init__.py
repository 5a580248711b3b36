"""Connections to the store, the instance directory and peer entries."""
