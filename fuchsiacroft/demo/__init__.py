"""The whole system in one process over loopback, and what it shows."""
