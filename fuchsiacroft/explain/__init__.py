"""Reconstructs the timeline of a request, or of a field's value, from logs."""
