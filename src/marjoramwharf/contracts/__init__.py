"""Capacity grants, ownership, claims and release notes."""
