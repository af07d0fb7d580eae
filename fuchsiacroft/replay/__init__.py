"""Plays recorded traces against a running system and judges the outcomes."""
