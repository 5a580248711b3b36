"""Admission, routing and dispatch of requests to latency-critical services."""
