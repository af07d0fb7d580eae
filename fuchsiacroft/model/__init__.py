"""A model of the systems served: engines, applications, callers, network."""
