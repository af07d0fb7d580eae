"""Test doubles for the package's interfaces, for tests and benchmarks."""
