"""Scheduling: queue order, concurrency limits and placement of requests."""
