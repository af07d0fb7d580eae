"""Stand-in backend servers for tests and the demo: engines and applications."""
