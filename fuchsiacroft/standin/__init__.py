"""Stand-ins for the systems served: model engines and plain applications."""
