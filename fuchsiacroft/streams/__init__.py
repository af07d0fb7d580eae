"""What began a stream, so that it goes on only there: service and software version."""
