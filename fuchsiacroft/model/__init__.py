"""A simulation of deployments: engines, applications, callers and network."""
