"""Random faults from outside on real programs, and the promises meanwhile."""
