"""Tests of admission, routing and dispatch of latency-critical requests."""
