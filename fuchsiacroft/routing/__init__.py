"""The decisions: order, limits, placement of requests."""
