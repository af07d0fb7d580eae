"""Stand-ins of the second review: clients, replicas, the operator and the platform."""
