"""Stand-ins at the interfaces, for tests and trials."""
