"""The demo: the system in one process over loopback, and the checked outcomes."""
