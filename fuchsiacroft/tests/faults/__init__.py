"""Fault scenarios on real processes, checked by the fake backend servers' counts."""
