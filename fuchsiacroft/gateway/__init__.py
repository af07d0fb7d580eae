"""The request path of an entry that routes by host and path."""
