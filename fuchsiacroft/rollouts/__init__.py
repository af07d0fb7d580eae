"""Rollouts: moving a service's traffic to a new software version, and back."""
