"""Soak test: checks invariants of real processes under random faults."""
