"""Tells the story of one request, or of one belief, from the processes' logs."""
