"""Helpers for logs, metrics, tasks, processes and HTTP servers."""
