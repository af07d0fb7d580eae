"""Where each request runs, when it waits, and when it is refused."""
