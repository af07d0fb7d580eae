"""Replays recorded traces against a running system and checks the outcomes."""
